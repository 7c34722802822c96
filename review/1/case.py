"""Another writer puts an entry that can't be read into the store.

The entry names no server to use. Hosts must keep running.
"""

import asyncio
import collections
import contextlib
import sys

from review.common import cases
from review.common import clients
from review.common import hosts as hosts_module
from review.common import kept
from review.common import servers
from review.common import store as store_module

HOSTS = 3
SERVERS = 6
WORK_S = 0.4
CONNECTIONS_PER_HOST = 8
TRAFFIC_S = 20.0
ENTRY_AT_S = 5.0
ENTRY_KEY = 'servers/agent-7'

# Nested deeper than a JSON decoder follows, and not closed: 30 KB, below the
# 1 MB that a value may have.
UNREADABLE = b'{"x":' + b'[' * 30_000


async def run(record, has_trouble):
    """Play the case; return whether the rules were kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    ends = collections.Counter()
    fleet = []
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        registry = await enter(store.serve(f'{net}.200'))
        for number in range(SERVERS):
            server = servers.Server(f'i-{number}', record, WORK_S)
            await server.start(f'{net}.{101 + number}')
            fleet.append(server)
            store.put(
                f'servers/{server.instance}',
                store_module.describe_server(
                    'ledger', server.address, 'zone-a'
                ),
            )
        rule = store_module.describe_route('order', 'unsafe', 'ledger')
        store.put(
            'op/config', store_module.describe_config(1, [rule], ['ledger'])
        )
        hosts = await enter(hosts_module.run_hosts(HOSTS, registry, net))
        await asyncio.sleep(hosts_module.STABLE_S)
        requesters = clients.Requesters(record)
        started = record.now()
        async with clients.run_tasks() as tasks:
            kept.start(tasks, hosts, requesters, CONNECTIONS_PER_HOST, ends)
            await asyncio.sleep(ENTRY_AT_S)
            if has_trouble:
                store.put(ENTRY_KEY, UNREADABLE)
                record.add(f'another writer puts {ENTRY_KEY}')
            await asyncio.sleep(started + TRAFFIC_S - record.now())
        kept.record_errors(hosts, record)
    return kept.judge(requesters.sent, fleet, ends, record)


if __name__ == '__main__':
    sys.exit(cases.main(run, __file__))
