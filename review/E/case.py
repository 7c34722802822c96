"""Hosts go on sending to a server whose answers say that it leaves."""

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

SETTLE_S = 3.0
# The server begins to leave this time after the store has become silent.
LEAVING_AFTER_S = 0.5
# Longest outage of the store in the site file.
OUTAGE_S = 9.0
AFTER_S = 4.0

LEAVING_HEADER = 'Server-Leaving: 1'


def _judge(sent, server, record):
    """Return whether the rule was kept for a server that leaves."""
    told_at = {}
    sent_by_id = {one.request_id: one for one in sent}
    for one in sorted(sent, key=lambda one: one.answered_at or float('inf')):
        if one.headers.get('server-leaving') == '1':
            told_at.setdefault(one.machine, one.answered_at)
    late = collections.Counter()
    for arrival in server.arrivals:
        one = sent_by_id[arrival.request_id]
        # No host relays requests here: all of them reach the servers.
        limit = told_at.get(one.machine)
        if limit is not None and one.sent_at > limit + hosts_module.DRAIN_S:
            late[one.machine] += 1
    lost = [
        arrival.request_id for arrival in server.arrivals if not arrival.ended
    ]
    record.add(
        f'first answer with {LEAVING_HEADER!r} by machine: {told_at};'
        f' requests sent over {hosts_module.DRAIN_S} s later that reached'
        f' the server, by machine: {dict(late)};'
        f' orders that it had begun and did not end: {lost}'
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
    leaving = fleet['orders'][0]
    requesters = clients.Requesters(record)
    ends = collections.Counter()
    async with (
        store.serve(f'{net}.16') as registry,
        hosts_module.run_hosts(HOSTS, registry, net) as hosts,
        clients.run_tasks() as tasks,
    ):
        kept.start(tasks, hosts, requesters, CONNECTIONS_PER_HOST, ends)
        await asyncio.sleep(SETTLE_S)
        if has_trouble:
            record.add('the store is silent')
            store.is_silent = True
        await asyncio.sleep(LEAVING_AFTER_S)
        record.add(f'{leaving.instance} leaves')
        leaving.extra_headers.append(LEAVING_HEADER)
        store.remove(f'servers/{leaving.instance}')
        await asyncio.sleep(OUTAGE_S - LEAVING_AFTER_S)
        record.add(f'{leaving.instance} ends')
        leaving.crash()
        record.add('the store answers')
        store.is_silent = False
        await asyncio.sleep(AFTER_S)
    return _judge(requesters.sent, leaving, record)


if __name__ == '__main__':
    sys.exit(cases.main(_play, __file__))
