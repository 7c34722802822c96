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
from review.common import servers
from review.common import store as store_module

HOSTS = 3
SERVERS = 6
WORK_S = 0.4
CONNECTIONS_PER_HOST = 8
THINK_S = 0.1
TRAFFIC_S = 20.0
DEADLINE_S = 6.0
ENTRY_AT_S = 5.0
ENTRY_KEY = 'servers/agent-7'

# Nested deeper than a JSON decoder follows, and not closed: 30 KB, below the
# 1 MB that a value may have.
UNREADABLE = b'{"x":' + b'[' * 30_000

# A process that has ended is started again after this time.
RESTART_DELAY_S = 0.5

# The rule LOST: closed connections of a machine that break it.
MAX_CLOSED = 3
# The rule Fault: ends of a process, and machines, that break it.
MAX_ENDS = 3
MIN_MACHINES = 2


async def use_connection(requesters, host):
    """Send orders one after the other on a kept connection."""
    connection = clients.Connection(host.front)
    try:
        while True:
            sent = await requesters.send(
                host.front, 'order', DEADLINE_S, connection
            )
            await asyncio.sleep(THINK_S if sent.status else 0.5)
    finally:
        connection.close()


async def supervise(host, record, ends):
    """Start the process of a host again after it has ended, as the platform.

    `ends` counts how often processes have ended by themselves.
    """
    while True:
        status = await host.process.wait()
        ends[host.name] += 1
        record.add(f'{host.name} has ended by itself with status {status}')
        await asyncio.sleep(RESTART_DELAY_S)
        await host.start()


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
            for host in hosts:
                tasks.append(
                    asyncio.create_task(supervise(host, record, ends))
                )
                for _ in range(CONNECTIONS_PER_HOST):
                    tasks.append(
                        asyncio.create_task(use_connection(requesters, host))
                    )
            await asyncio.sleep(ENTRY_AT_S)
            if has_trouble:
                store.put(ENTRY_KEY, UNREADABLE)
                record.add(f'another writer puts {ENTRY_KEY}')
            await asyncio.sleep(started + TRAFFIC_S - record.now())
        errors = hosts[0].list_errors()
    for error in errors[-1:]:
        record.add(f'the process of a host has written: {error}')
    return judge(requesters.sent, fleet, ends, record)


def judge(sent, fleet, ends, record):
    """Apply the rules to what the requesters and the servers saw."""
    ran = {arrival.request_id for one in fleet for arrival in one.arrivals}
    closed = collections.Counter(
        one.machine
        for one in sent
        if one.answered_at is not None
        and one.status is None
        and one.request_id in ran
    )
    served = sum(one.status == 200 for one in sent)
    record.add(
        f'{len(sent)} requests, {served} served; connections closed without'
        f' an answer after a sound server had got the request, by machine:'
        f' {dict(closed)}; processes that ended by themselves: {dict(ends)}'
    )
    is_lost = any(count > MAX_CLOSED for count in closed.values())
    failing = [name for name, count in ends.items() if count >= MAX_ENDS]
    return not is_lost and len(failing) < MIN_MACHINES


if __name__ == '__main__':
    sys.exit(cases.main(run, __file__))
