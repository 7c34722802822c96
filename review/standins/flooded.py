"""A host with a memory limit, beside many clients with large heads."""

import asyncio
import collections
import contextlib
import resource
import signal

from . import clients
from . import configuration
from . import hosts
from . import servers
from . import store as store_module

SERVICE = 'desk'
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVERS_PER_ZONE = 2
WORK_S = 0.25

# Memory of a machine; the platform kills a process that exceeds it.
MEMORY_MB = 300
MEMORY_CHECK_S = 0.02

FLOOD_AT_S = 3.0
CLIENT_LIMIT_S = 8.0
HOLD_S = 16.0
LENGTH_S = 30.0
ORDER_INTERVAL_S = 0.1

# Descriptors of this process beside those of the clients.
OTHER_DESCRIPTORS = 500


def _raise_descriptors(count):
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = count + OTHER_DESCRIPTORS
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise RuntimeError(f'{needed} descriptors are needed')
    resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


class MemoryGuard:
    """Kills a host's process when it exceeds the memory of its machine."""

    def __init__(self, host, record):
        self._host = host
        self._record = record
        self.highest_mb = 0.0
        self.was_killed = False

    async def run(self):
        """Check the process until it is killed or the guard cancelled."""
        while not self.was_killed:
            used_mb = self._host.read_memory_mb()
            self.highest_mb = max(self.highest_mb, used_mb)
            if used_mb > MEMORY_MB:
                self.was_killed = True
                self._host.signal(signal.SIGKILL)
                self._record.add(
                    f'{self._host.name} uses {used_mb:.0f} MB of'
                    f' {MEMORY_MB} MB and is killed'
                )
            await asyncio.sleep(MEMORY_CHECK_S)


async def _send_flood(address, data, count, record):
    """Send `data` on `count` connections at once, and read no answer."""
    outcomes = collections.Counter()

    async def send_one():
        try:
            async with asyncio.timeout(CLIENT_LIMIT_S):
                _, writer = await asyncio.open_connection(
                    address, hosts.CALLER_PORT
                )
                writer.transport.pause_reading()
                writer.write(data)
                await writer.drain()
        except (OSError, TimeoutError) as error:
            outcomes[type(error).__name__] += 1
            return
        outcomes['sent'] += 1
        await asyncio.sleep(HOLD_S)
        writer.close()

    await asyncio.gather(*(send_one() for _ in range(count)))
    record.add(f'connections of the clients: {dict(outcomes)}')


async def _send_orders(host, guard, record):
    """Send ordinary orders all the time; return those without an answer."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    unanswered = []

    async def send_one(number):
        answer = await clients.send(
            host.address,
            f'/order/{number}',
            key='key-1',
            method='POST',
            body=f'order {number}'.encode(),
        )
        record.add(
            f'{host.name} order {number} {answer.request_id} -> {answer}'
        )
        if not answer.status:
            unanswered.append(answer.request_id)

    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < start + LENGTH_S and not guard.was_killed:
            number += 1
            group.create_task(send_one(number))
            due_at = start + number * ORDER_INTERVAL_S
            await asyncio.sleep(max(0.0, due_at - loop.time()))
    return unanswered


async def play(record, data, count):
    """Send `data` on `count` connections; return whether a host ended."""
    _raise_descriptors(count)
    store = store_module.Store()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        registry = await enter(store.serve())
        rules = [
            configuration.make_rule('order', '/order/', 'unsafe', SERVICE)
        ]
        store.put(
            'op/config', configuration.make_configuration(1, rules, [SERVICE])
        )
        running_servers = [
            await enter(
                servers.Server(
                    f'i-{zone}-{number}', SERVICE, zone, work_s=WORK_S
                ).serve(store)
            )
            for zone in ZONES
            for number in range(SERVERS_PER_ZONE)
        ]
        running_hosts = await enter(hosts.run_hosts(ZONES, registry))
        host = running_hosts[0]
        guard = MemoryGuard(host, record)
        watch = asyncio.create_task(guard.run())
        record.add(f'{host.name} uses {host.read_memory_mb():.0f} MB')
        orders = asyncio.create_task(_send_orders(host, guard, record))
        await asyncio.sleep(FLOOD_AT_S)
        record.add(f'{count} clients send a request of {len(data)} bytes each')
        await _send_flood(host.address, data, count, record)
        unanswered = await orders
        watch.cancel()
        ran = {run[1] for server in running_servers for run in server.runs}
    record.add(f'highest memory of {host.name}: {guard.highest_mb:.0f} MB')
    record.add(
        f'orders without an answer: {len(unanswered)},'
        f' of which ran: {len(ran.intersection(unanswered))}'
    )
    return guard.was_killed
