"""A late write of a server that has left brings it back into use."""

import asyncio
import collections
import sys

from review.common import cases
from review.common import clients
from review.common import fleet as fleet_module
from review.common import hosts as hosts_module
from review.common import kept
from review.common import store as store_module

HOSTS = 3
CONNECTIONS_PER_HOST = 4
SERVERS = 4
WORK_S = 0.25

HEARTBEAT_S = 1.5
# The server leaves this time after its late heartbeat, more than `stableS`.
LEAVING_AFTER_S = 3.3
# The store has accepted the heartbeat, and does it this time later.
LATE_S = 5.5
# The server serves on after its entry is removed: `drainS` and many seconds.
SERVING_S = 8.0
# The entry expires after three heartbeats of silence.
EXPIRY_S = 3 * HEARTBEAT_S
AFTER_S = 1.0


class _LeavingServer:
    """The heartbeats of a server that leaves without a draining report."""

    def __init__(self, server, store, record):
        self._server = server
        self._store = store
        self._record = record
        self._key = f'servers/{server.instance}'
        self._sequence = 1

    def _make_entry(self):
        self._sequence += 1
        return store_module.describe_server(
            'orders', self._server.address, 'zone-a', seq=self._sequence
        )

    def beat(self):
        """Write a heartbeat."""
        self._store.put(self._key, self._make_entry())

    async def beat_late(self):
        """Write a heartbeat that the store does `LATE_S` later."""
        entry = self._make_entry()
        self._record.add(
            f'{self._server.instance} writes seq {entry["seq"]}; the store'
            f' gives no answer, and does it {LATE_S} s later'
        )
        await asyncio.sleep(LATE_S)
        self._record.add(
            f'the store does the write of seq {entry["seq"]} of'
            f' {self._server.instance}'
        )
        self._store.put(self._key, entry)
        await asyncio.sleep(EXPIRY_S)
        self._record.add(f'the entry of {self._server.instance} expires')
        self._store.remove(self._key)

    def leave(self):
        """Remove the entry; the server serves on for a while."""
        self._record.add(f'{self._server.instance} leaves: no entry')
        self._store.remove(self._key)


async def _play_leaving(server, store, record, has_trouble):
    """Let a server leave; return when the store acknowledged that."""
    leaving = _LeavingServer(server, store, record)
    for _ in range(2):
        await asyncio.sleep(HEARTBEAT_S)
        leaving.beat()
    await asyncio.sleep(HEARTBEAT_S)
    late = None
    if has_trouble:
        late = asyncio.create_task(leaving.beat_late())
    else:
        leaving.beat()
    for _ in range(2):
        await asyncio.sleep(HEARTBEAT_S)
        leaving.beat()
    await asyncio.sleep(LEAVING_AFTER_S - 2 * HEARTBEAT_S)
    leaving.leave()
    left_at = record.now()
    await asyncio.sleep(SERVING_S)
    record.add(f'{server.instance} ends')
    server.crash()
    if late is not None:
        await late
    await asyncio.sleep(AFTER_S)
    return left_at


def _judge(sent, server, left_at, record):
    """Return whether the rule was kept for the server that has left."""
    sent_at = {one.request_id: one.sent_at for one in sent}
    limit = left_at + hosts_module.DRAIN_S
    late = [
        arrival
        for arrival in server.arrivals
        if sent_at[arrival.request_id] > limit
    ]
    lost = [arrival.request_id for arrival in late if not arrival.ended]
    record.add(
        f'the store acknowledged at {left_at:.3f} s that the server has left;'
        f' {len(late)} requests that were sent over {hosts_module.DRAIN_S} s'
        f' later have reached it; not ended of these: {lost}'
    )
    return not late


async def _play(record, has_trouble):
    """Play the case; return whether the rule was kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    rules = [store_module.describe_route('order', 'unsafe', 'orders')]
    store.put('op/config', store_module.describe_config(1, rules, ['orders']))
    fleet = await fleet_module.start_servers(
        net, record, store, {'orders': (SERVERS, WORK_S)}
    )
    server = fleet['orders'][0]
    requesters = clients.Requesters(record)
    ends = collections.Counter()
    async with (
        store.serve(f'{net}.16') as registry,
        hosts_module.run_hosts(HOSTS, registry, net) as hosts,
        clients.run_tasks() as tasks,
    ):
        kept.start(tasks, hosts, requesters, CONNECTIONS_PER_HOST, ends)
        left_at = await _play_leaving(server, store, record, has_trouble)
    return _judge(requesters.sent, server, left_at, record)


if __name__ == '__main__':
    sys.exit(cases.main(_play, __file__))
