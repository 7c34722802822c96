"""Requests for a target whose address is no IP address are never answered."""

import asyncio
import sys

from review.common import cases
from review.common import clients
from review.common import fleet as fleet_module
from review.common import hosts as hosts_module
from review.common import store as store_module

HOSTS = 3
CONNECTIONS_PER_HOST = 8
SERVERS = 8
WORK_S = 0.25

# `timeoutS` of the route, and the time that the rule adds to it.
ROUTE_TIMEOUT_S = 3.0
MARGIN_S = 0.5
# Requests without a final answer that break the rule, and their share.
MAX_UNANSWERED = 7
MAX_SHARE = 0.25

TIME_LIMIT_S = 6.0
THINK_S = 0.2
SETTLE_S = 3.0
TRAFFIC_S = 20.0

# An IP address that lacks its third number.
FOREIGN_ADDRESS = '127.20..9:8080'


async def _use_connection(requesters, host):
    """Send orders one after the other on a kept connection."""
    connection = clients.Connection(host.front)
    try:
        while True:
            await requesters.send(
                host.front, 'order', TIME_LIMIT_S, connection
            )
            await asyncio.sleep(THINK_S)
    finally:
        connection.close()


def _judge(sent, until, record):
    """Return whether the rule was kept for requests that ended `until`."""
    limit_s = ROUTE_TIMEOUT_S + MARGIN_S
    judged = [one for one in sent if one.sent_at + limit_s < until]
    lasting = [
        one
        for one in judged
        if (one.answered_at or until) - one.sent_at > ROUTE_TIMEOUT_S
    ]
    unanswered = [
        one
        for one in lasting
        if one.status is None or one.answered_at - one.sent_at > limit_s
    ]
    record.add(
        f'{len(judged)} requests,'
        f' {sum(one.status == 200 for one in judged)} served;'
        f' {len(lasting)} lasted longer than {ROUTE_TIMEOUT_S} s,'
        f' {len(unanswered)} of them had no answer at {limit_s} s'
    )
    return len(unanswered) <= MAX_UNANSWERED or len(
        unanswered
    ) <= MAX_SHARE * len(lasting)


async def _play(record, has_trouble):
    """Play the case; return whether the rule was kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    rules = [
        store_module.describe_route(
            'order', 'unsafe', 'orders', timeoutS=ROUTE_TIMEOUT_S
        )
    ]
    store.put('op/config', store_module.describe_config(1, rules, ['orders']))
    await fleet_module.start_servers(
        net, record, store, {'orders': (SERVERS, WORK_S)}
    )
    requesters = clients.Requesters(record)
    async with (
        store.serve(f'{net}.16') as registry,
        hosts_module.run_hosts(HOSTS, registry, net) as hosts,
        clients.run_tasks() as tasks,
    ):
        for host in hosts:
            for _ in range(CONNECTIONS_PER_HOST):
                tasks.append(
                    asyncio.create_task(_use_connection(requesters, host))
                )
        await asyncio.sleep(SETTLE_S)
        if has_trouble:
            record.add(
                f'another writer puts an entry with address {FOREIGN_ADDRESS}'
            )
            store.put(
                'servers/i-foreign',
                store_module.describe_server(
                    'orders', FOREIGN_ADDRESS, 'zone-a'
                ),
            )
        await asyncio.sleep(TRAFFIC_S)
        until = record.now()
        record.add(
            f'processes that run: {sum(host.is_running for host in hosts)}'
        )
    return _judge(requesters.sent, until, record)


if __name__ == '__main__':
    sys.exit(cases.main(_play, __file__))
