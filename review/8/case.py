"""A page that many callers reload is refused after its servers crashed."""

import asyncio
import collections
import contextlib
import pathlib

from review.standins import clients
from review.standins import configuration
from review.standins import hosts
from review.standins import record as record_module
from review.standins import servers
from review.standins import store as store_module

SERVICE = 'sheets'
# Servers by zone. Those of the first one crash: 3 of 22, a share of 0.136.
ZONES = {'zone-a': 3, 'zone-b': 9, 'zone-c': 10}
WORK_S = 0.3

# The tenant whose callers reload one page, and the others.
RELOADING = 'club'
OTHERS = ('north', 'south', 'west')

# Of the page, and of the requests of each other tenant.
RELOAD_INTERVAL_S = 0.04
INTERVAL_S = 0.1
CRASH_AT_S = 6.0
DOWN_S = 4.4
LENGTH_S = 60.0


async def _call(host, tenant, number, get_path, interval_s, record, counts):
    """Send requests of one tenant at a steady rate; count the answers."""
    loop = asyncio.get_running_loop()
    start = loop.time()

    async def send_one(sequence):
        path = get_path(sequence)
        answer = await clients.send(
            host.address, path, key=f'key-{number}', limit_s=2.5
        )
        counts[tenant][answer.status == 200] += 1
        record.add(f'{tenant} {host.name} {path} -> {answer}')

    async with asyncio.TaskGroup() as group:
        sequence = 0
        while loop.time() < start + LENGTH_S:
            sequence += 1
            group.create_task(send_one(sequence))
            due_at = start + sequence * interval_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))


async def _crash(crashed, record):
    await asyncio.sleep(CRASH_AT_S)
    record.add(f'crash of {[server.instance for server in crashed]}')
    for server in crashed:
        server.crash()
    await asyncio.sleep(DOWN_S)
    for server in crashed:
        await server.restart()
    record.add('they are back')


def _get_share(counts):
    return counts[True] / max(1, counts.total())


async def _play(record, is_troubled):
    store = store_module.Store()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        registry = await enter(store.serve())
        rules = [configuration.make_rule('sheet', '/sheet/', 'safe', SERVICE)]
        tenants = (RELOADING, *OTHERS)
        store.put(
            'op/config',
            configuration.make_configuration(
                1, rules, [SERVICE], tenants=tenants
            ),
        )
        running = {
            zone: [
                await enter(
                    servers.Server(
                        f'i-{zone}-{number}', SERVICE, zone, work_s=WORK_S
                    ).serve(store)
                )
                for number in range(count)
            ]
            for zone, count in ZONES.items()
        }
        running_hosts = await enter(hosts.run_hosts(tuple(ZONES), registry))
        await asyncio.sleep(3.0)
        counts = collections.defaultdict(collections.Counter)
        async with asyncio.TaskGroup() as group:
            if is_troubled:
                group.create_task(_crash(running['zone-a'], record))
            group.create_task(
                _call(
                    running_hosts[0],
                    RELOADING,
                    1,
                    lambda _: '/sheet/heat-7',
                    RELOAD_INTERVAL_S,
                    record,
                    counts,
                )
            )
            for number, tenant in enumerate(OTHERS, 2):
                group.create_task(
                    _call(
                        running_hosts[1 + number % 2],
                        tenant,
                        number,
                        lambda sequence, tenant=tenant: (
                            f'/sheet/{tenant}-{sequence}'
                        ),
                        INTERVAL_S,
                        record,
                        counts,
                    )
                )
    everyone = sum(counts.values(), collections.Counter())
    for tenant, found in counts.items():
        record.add(f'{tenant}: served {found[True]} of {found.total()}')
    record.add(f'all: served {everyone[True]} of {everyone.total()}')
    return _get_share(counts[RELOADING]) < 0.25 * _get_share(everyone)


if __name__ == '__main__':
    record_module.run_case(pathlib.Path(__file__).parent, _play)
