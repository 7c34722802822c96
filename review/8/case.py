"""Entries of a service that isn't named push sound servers out of use."""

import asyncio
import sys

from review.common import cases
from review.common import clients
from review.common import hosts as hosts_module
from review.common import servers as servers_module
from review.common import store as store_module

HOSTS = 3
SERVICE = 'orders'
SERVERS = 6
FIRST_SERVER = 5
SLOTS = 4
WORK_S = 0.25

# Six servers with four slots end 96 requests a second, three of them 48.
REQUESTS_PER_S = 66
CALM_S = 6.0
TROUBLE_S = 20.0
DEADLINE_S = 6.0
ENTRIES = 3

# FLOOR: for this long, fewer than this share of the sound servers get requests
# while this part of the requests isn't served.
WINDOW_S = 2.0
FLOOR_SHARE = 0.7
MIN_UNSERVED = 0.1
MAX_UNSERVED = 0.5
STEP_S = 0.1


class SlotServer(servers_module.Server):
    """A server that works on as many requests at a time as it has slots."""

    def __init__(self, instance, record, work_s):
        super().__init__(instance, record, work_s)
        self._slots = asyncio.Semaphore(SLOTS)

    async def respond(self, reader, writer, arrival, body):
        """Wait for a slot, then work on a request and answer it."""
        async with self._slots:
            await super().respond(reader, writer, arrival, body)


async def _start_servers(net, record, store):
    servers = []
    for number in range(SERVERS):
        server = SlotServer(f'i-{SERVICE}-{number}', record, WORK_S)
        await server.start(f'{net}.{FIRST_SERVER + number}')
        store.put(
            f'servers/{server.instance}',
            store_module.describe_server(SERVICE, server.address, 'zone-a'),
        )
        servers.append(server)
    return servers


async def _send(requesters, hosts, until):
    """Send orders in turn to the hosts, each on a new connection."""
    loop = asyncio.get_running_loop()
    tasks = []
    started = loop.time()
    while requesters.record.now() < until:
        host = hosts[len(tasks) % len(hosts)]
        tasks.append(
            asyncio.ensure_future(
                requesters.send(host.front, 'order', DEADLINE_S)
            )
        )
        due = started + len(tasks) / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due - loop.time()))
    await asyncio.gather(*tasks)


def _write_others(store, servers, record):
    """Write entries of another writer, with a service of its own."""
    for number, server in enumerate(servers):
        entry = store_module.describe_server(
            'monitoring', server.address, 'zone-a', born=1_700_000_500_000
        )
        store.put(f'servers/agent-{number}', entry)
        record.add(f'another writer puts agent-{number} at {server.address}')


def _find_breach(sent, servers, first, last):
    """Return the first window in which the rule is broken, or None."""
    at = first
    while at + WINDOW_S <= last:
        end = at + WINDOW_S
        used = sum(
            any(at <= arrival.at < end for arrival in server.arrivals)
            for server in servers
        )
        window = [one for one in sent if at <= one.sent_at < end]
        unserved = sum(one.status != 200 for one in window)
        share = unserved / max(1, len(window))
        if (
            0 < used < FLOOR_SHARE * len(servers)
            and MIN_UNSERVED < share < MAX_UNSERVED
        ):
            return at, used, share
        at += STEP_S
    return None


async def play(record, has_trouble):
    """Return whether the rule was kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    rules = [store_module.describe_route('order', 'unsafe', SERVICE)]
    store.put('op/config', store_module.describe_config(7, rules, [SERVICE]))
    servers = await _start_servers(net, record, store)
    async with (
        store.serve(f'{net}.4') as registry,
        hosts_module.run_hosts(HOSTS, registry, net) as hosts,
        clients.run_tasks() as tasks,
    ):
        requesters = clients.Requesters(record)
        until = record.now() + CALM_S + TROUBLE_S
        traffic = asyncio.ensure_future(_send(requesters, hosts, until))
        tasks.append(traffic)
        await asyncio.sleep(CALM_S)
        changed_at = record.now()
        if has_trouble:
            _write_others(store, servers[:ENTRIES], record)
        await traffic
    breach = _find_breach(
        requesters.sent, servers, hosts_module.STABLE_S, until
    )
    late = [one for one in requesters.sent if one.sent_at > changed_at + 3.0]
    served = sum(one.status == 200 for one in late)
    record.add(f'3 s after the entries: {served} of {len(late)} served')
    for server in servers:
        count = sum(one.at > changed_at + 3.0 for one in server.arrivals)
        record.add(f'{server.instance} got {count} requests after that')
    if breach is not None:
        at, used, share = breach
        record.add(
            f'from {at:.1f} s for 2 s {used} of {len(servers)} servers got'
            f' requests, {share:.2f} of the requests were not served'
        )
    return breach is None


if __name__ == '__main__':
    sys.exit(cases.main(play, __file__))
