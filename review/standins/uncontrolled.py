"""A client that nobody controls, beside ordinary callers."""

import asyncio
import collections
import contextlib

from . import clients
from . import configuration
from . import hosts
from . import servers
from . import store as store_module

SERVICE = 'shelf'
ZONES = ('zone-a', 'zone-b', 'zone-c')

# Requests of the uncontrolled client at a path that no route has.
NO_ROUTE = b'GET /nowhere/ HTTP/1.0\r\n\r\n'

# Of the uncontrolled client, for each host.
MAX_OPEN = 400
ANSWER_LIMIT_S = 6.0

FLOOD_S = 20.0

# Ordinary requests are judged from this time of the flood on.
JUDGED_FROM_S = 8.0
ORDER_INTERVAL_S = 0.2
WATCH_INTERVAL_S = 2.0


class Flood:
    """Requests of the uncontrolled client to one host, at a steady rate."""

    def __init__(self, address, data, requests_per_s):
        self._address = address
        self._data = data
        self._interval_s = 1 / requests_per_s
        self.answers = collections.Counter()

    async def run(self):
        """Send requests for `FLOOD_S`."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        due_at = start
        running = set()
        while loop.time() < start + FLOOD_S:
            if len(running) < MAX_OPEN:
                task = asyncio.create_task(self._send_one())
                running.add(task)
                task.add_done_callback(running.discard)
            due_at += self._interval_s
            await asyncio.sleep(max(0.0, due_at - loop.time()))
        await asyncio.gather(*running)

    async def _send_one(self):
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    self._address, hosts.CALLER_PORT
                )
                try:
                    writer.write(self._data)
                    line = (await reader.readline()).decode().strip()
                    self.answers[line] += 1
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            self.answers[type(error).__name__] += 1


class Orders:
    """Orders of ordinary callers at one host, and their judged answers."""

    def __init__(self, host, record):
        self._host = host
        self._record = record
        self.statuses = collections.Counter()

    async def run(self):
        """Send an order every `ORDER_INTERVAL_S`, during the flood."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        number = 0
        async with asyncio.TaskGroup() as group:
            while (passed_s := loop.time() - start) < FLOOD_S:
                number += 1
                group.create_task(
                    self._send_one(number, passed_s >= JUDGED_FROM_S)
                )
                due_at = start + number * ORDER_INTERVAL_S
                await asyncio.sleep(max(0.0, due_at - loop.time()))

    async def _send_one(self, number, is_judged):
        name = self._host.name
        answer = await clients.send(
            self._host.address,
            f'/order/{number}',
            key='key-1',
            method='POST',
            body=f'order {number} at {name}'.encode(),
        )
        self._record.add(
            f'{name} order {number} {answer.request_id} -> {answer}'
        )
        if is_judged:
            self.statuses[answer.status] += 1


async def _watch(running_hosts, running_servers, record):
    while True:
        record.add(
            'descriptors of the hosts'
            f' {[host.count_descriptors() for host in running_hosts]},'
            ' connections at the servers'
            f' {[server.connections for server in running_servers]},'
            f' refused there {[server.resets for server in running_servers]}'
        )
        await asyncio.sleep(WATCH_INTERVAL_S)


async def play(
    record, is_troubled, data, requests_per_s, flooded=1, servers_per_zone=1
):
    """Send `data` to the first `flooded` hosts; return judged statuses.

    These are the statuses of ordinary orders, by host. Without the
    disruption as many requests go to a path that no route has.
    """
    store = store_module.Store()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        registry = await enter(store.serve())
        rules = [
            configuration.make_rule('list', '/list/', 'safe', SERVICE, True),
            configuration.make_rule('order', '/order/', 'unsafe', SERVICE),
        ]
        store.put(
            'op/config', configuration.make_configuration(1, rules, [SERVICE])
        )
        running_servers = [
            await enter(
                servers.Server(f'i-{zone}-{number}', SERVICE, zone).serve(
                    store
                )
            )
            for zone in ZONES
            for number in range(servers_per_zone)
        ]
        running_hosts = await enter(hosts.run_hosts(ZONES, registry))
        await asyncio.sleep(3.0)
        sent = data if is_troubled else NO_ROUTE
        single = await clients.send_raw(running_hosts[0].address, sent)
        record.add(f'one request of the uncontrolled client -> {single}')
        floods = [
            Flood(host.address, sent, requests_per_s)
            for host in running_hosts[:flooded]
        ]
        orders = [Orders(host, record) for host in running_hosts]
        watch = asyncio.create_task(
            _watch(running_hosts, running_servers, record)
        )
        await asyncio.gather(
            *(flood.run() for flood in floods),
            *(entry.run() for entry in orders),
        )
        watch.cancel()
        for flood in floods:
            record.add(f'the uncontrolled client got {dict(flood.answers)}')
        ran = sum(len(server.runs) for server in running_servers)
        record.add(f'requests that ran at the servers: {ran}')
    judged = [entry.statuses for entry in orders]
    for host, statuses in zip(running_hosts, judged, strict=True):
        record.add(f'judged orders at {host.name}, by status {dict(statuses)}')
    return judged
