"""An entry that cannot be read ends the processes of all hosts."""

import asyncio
import collections
import json
import sys

from review.common import cases
from review.common import clients
from review.common import fleet as fleet_module
from review.common import hosts as hosts_module
from review.common import kept
from review.common import store as store_module

HOSTS = 4
CONNECTIONS_PER_HOST = 8
SERVERS = 8
WORK_S = 0.4

SETTLE_S = 3.0
# The entry is there for this time: it comes, and is taken away.
ENTRY_S = 12.0
AFTER_S = 5.0

# Nested lists in place of the text in `version`; about 3 KB.
NESTED_LISTS = 1_500


def _make_foreign_entry(address):
    entry = store_module.describe_server('orders', address, 'zone-a')
    nested = '[' * NESTED_LISTS + ']' * NESTED_LISTS
    return json.dumps(entry).replace('"v1"', nested).encode()


async def _play(record, has_trouble):
    """Play the case; return whether the rules were kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    rules = [store_module.describe_route('order', 'unsafe', 'orders')]
    store.put('op/config', store_module.describe_config(1, rules, ['orders']))
    fleet = await fleet_module.start_servers(
        net, record, store, {'orders': (SERVERS, WORK_S)}
    )
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
            record.add('another writer puts an entry that cannot be read')
            store.put('servers/i-foreign', _make_foreign_entry(f'{net}.4:9'))
        await asyncio.sleep(ENTRY_S)
        if has_trouble:
            record.add('the entry is taken away')
            store.remove('servers/i-foreign')
        await asyncio.sleep(AFTER_S)
        kept.record_errors(hosts, record)
    return kept.judge(requesters.sent, fleet['orders'], ends, record)


if __name__ == '__main__':
    sys.exit(cases.main(_play, __file__))
