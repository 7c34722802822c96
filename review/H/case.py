"""Hosts do not follow the store to its new address in the settings."""

import asyncio
import contextlib
import sys

from review.common import cases
from review.common import clients
from review.common import fleet as fleet_module
from review.common import hosts as hosts_module
from review.common import store as store_module

HOSTS = 4
SERVERS = 4
WORK_S = 0.1

SETTLE_S = 4.0
# The settings of the hosts change one after the other.
CHANGE_GAP_S = 1.0
# The old address serves for this time after the last change.
OVERLAP_S = 10.0
# The core is stable, and all machines are in touch, after `stableS`.
CALM_S = 5.0
CONFIG_APPLY_S = 2.0
# Requests are sent for this time, that much later than the rule asks.
MARGIN_S = 3.0
TRAFFIC_S = 10.0
THINK_S = 0.2
TIME_LIMIT_S = 3.0


def _make_configuration(version, routes):
    rules = [
        store_module.describe_route(route, 'unsafe', 'orders')
        for route in routes
    ]
    return store_module.describe_config(version, rules, ['orders'])


async def _use_routes(requesters, host):
    """Send requests on the route that is gone and on the new one."""
    while True:
        await requesters.send(host.front, 'dropped', TIME_LIMIT_S)
        await requesters.send(host.front, 'added', TIME_LIMIT_S)
        await asyncio.sleep(THINK_S)


def _judge(sent, record):
    """Return whether the requests were handled as version 2 allows."""
    ran = [one for one in sent if one.kind == 'dropped' and one.status == 200]
    refused = [
        one for one in sent if one.kind == 'added' and one.status == 404
    ]
    record.add(
        f'{len(sent)} requests; {len(ran)} were run on the route that version'
        f' 2 has dropped, {len(refused)} got 404 on the route that it has'
        f' added'
    )
    return not ran and not refused


async def _play(record, has_trouble):
    """Play the case; return whether the rule was kept."""
    net = hosts_module.find_net()
    store = store_module.Store()
    store.put('op/config', _make_configuration(1, ['order', 'dropped']))
    await fleet_module.start_servers(
        net, record, store, {'orders': (SERVERS, WORK_S)}
    )
    requesters = clients.Requesters(record)
    async with contextlib.AsyncExitStack() as stack:
        old_stack = await stack.enter_async_context(
            contextlib.AsyncExitStack()
        )
        old = await old_stack.enter_async_context(store.serve(f'{net}.15'))
        new = await stack.enter_async_context(store.serve(f'{net}.16'))
        hosts = await stack.enter_async_context(
            hosts_module.run_hosts(HOSTS, old, net)
        )
        tasks = await stack.enter_async_context(clients.run_tasks())
        await asyncio.sleep(SETTLE_S)
        for host in hosts:
            record.add(
                f'the settings of {host.name} are written, with the store at'
                f' its {"new" if has_trouble else "old"} address'
            )
            host.write_settings(new if has_trouble else old)
            await asyncio.sleep(CHANGE_GAP_S)
        await asyncio.sleep(OVERLAP_S)
        if has_trouble:
            record.add('the old address of the store is closed')
            await old_stack.aclose()
            store.drop_connections(old)
        await asyncio.sleep(CALM_S)
        record.add('the store acknowledges version 2')
        store.put('op/config', _make_configuration(2, ['order', 'added']))
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        tasks.extend(
            asyncio.create_task(_use_routes(requesters, host))
            for host in hosts
        )
        await asyncio.sleep(TRAFFIC_S)
        for host in hosts:
            for line in host.log.splitlines():
                if 'settings_' in line or 'registry_lost' in line:
                    record.add(f'log of {host.name}: {line}')
    return _judge(requesters.sent, record)


if __name__ == '__main__':
    sys.exit(cases.main(_play, __file__))
