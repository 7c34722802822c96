"""Compares the cost of a call to a target by several HTTP clients.

    python -m benchmarks.forwarding --calls 4000 --rounds 3

The targets are stand-ins in separate processes, so the CPU time measured is
that of the client alone. The direct variant, to which the others are
compared, writes a prepared request to an asyncio stream and reads the
response.
"""

import argparse
import asyncio
import contextlib
import random
import ssl
import statistics
import time

from hdrh import histogram
import httpx

from emulator import fleet
from lavenderstile import clocks
from lavenderstile import forwarding

CONNECTIONS_PER_TARGET = 8

DEADLINE_S = 30.0

HEADERS = [
    (b'accept', b'*/*'),
    (b'user-agent', b'measure'),
    (b'x-forwarded-for', b'192.0.2.1'),
    (b'cookie', b'session=0123456789abcdef'),
]


class DirectStreams:
    """Prepared requests on asyncio streams with keep-alive."""

    def __init__(self, addresses):
        self._idle = {address: [] for address in addresses}

    async def call(self, address, number):
        """Send a request and read its response."""
        idle = self._idle[address]
        if idle:
            reader, writer = idle.pop()
        else:
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, port)
        head = [b'GET /item HTTP/1.1', b'host: ' + address.encode()]
        head += [b': '.join(pair) for pair in HEADERS]
        head += [b'x-request-id: %d' % number, b'', b'']
        writer.write(b'\r\n'.join(head))
        response_head = await reader.readuntil(b'\r\n\r\n')
        length = (
            response_head.lower().split(b'content-length: ')[1].split(b'\r')[0]
        )
        await reader.readexactly(int(length))
        idle.append((reader, writer))

    async def close(self):
        """Close the connections."""
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()


class HttpxClients:
    """httpx clients, one per target or one shared by all targets."""

    def __init__(self, addresses, is_shared):
        count = len(addresses) if is_shared else 1
        shared = self._make_client(count) if is_shared else None
        self._clients = {
            address: shared or self._make_client(count)
            for address in addresses
        }

    def _make_client(self, count):
        limit = CONNECTIONS_PER_TARGET * count
        return httpx.AsyncClient(
            trust_env=False,
            timeout=DEADLINE_S,
            limits=httpx.Limits(
                max_connections=limit, max_keepalive_connections=limit
            ),
        )

    async def call(self, address, number):
        """Send a request and read its response."""
        async with self._clients[address].stream(
            'GET',
            f'http://{address}/item',
            headers=[*HEADERS, (b'x-request-id', b'%d' % number)],
        ) as response:
            async for _ in response.aiter_raw():
                pass

    async def close(self):
        """Close the connections."""
        for client in set(self._clients.values()):
            await client.aclose()


class HttpxTransports:
    """httpx transports without a client, one per target."""

    def __init__(self, addresses):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        limits = httpx.Limits(
            max_connections=CONNECTIONS_PER_TARGET,
            max_keepalive_connections=CONNECTIONS_PER_TARGET,
        )
        self._transports = {
            address: httpx.AsyncHTTPTransport(
                verify=context, trust_env=False, limits=limits
            )
            for address in addresses
        }
        self._urls = {
            address: httpx.URL(f'http://{address}') for address in addresses
        }

    async def call(self, address, number):
        """Send a request and read its response."""
        request = httpx.Request(
            'GET',
            self._urls[address],
            headers=[
                *HEADERS,
                (b'host', address.encode()),
                (b'x-request-id', b'%d' % number),
            ],
            stream=httpx.ByteStream(b''),
            extensions={'target': b'/item'},
        )
        response = await self._transports[address].handle_async_request(
            request
        )
        async for _ in response.stream:
            pass
        await response.stream.aclose()

    async def close(self):
        """Close the connections."""
        for transport in self._transports.values():
            await transport.aclose()


class FullForwarder:
    """The forwarder of lavenderstile."""

    def __init__(self, addresses):
        self._clock = clocks.Clock()
        self._forwarder = forwarding.Forwarder(
            self._clock, CONNECTIONS_PER_TARGET
        )

    async def call(self, address, number):
        """Send a request and read its response."""
        async with self._forwarder.open(
            address,
            'GET',
            b'/item',
            HEADERS,
            request_id=str(number),
            deadline=self._clock.now() + DEADLINE_S,
        ) as response:
            async for _ in response:
                pass

    async def close(self):
        """Close the connections."""
        await self._forwarder.close()


VARIANTS = {
    'direct': DirectStreams,
    'shared client': lambda addresses: HttpxClients(addresses, True),
    'client per target': lambda addresses: HttpxClients(addresses, False),
    'transport per target': HttpxTransports,
    'forwarder': FullForwarder,
}


async def measure(make_variant, addresses, options):
    """Return CPU time per call in seconds and latencies of one variant."""
    variant = make_variant(addresses)
    rng = random.Random(options.seed)
    latencies = histogram.HdrHistogram(1, 60_000_000, 3)
    numbers = iter(range(options.calls))

    async def run_worker():
        for number in numbers:
            address = rng.choice(addresses)
            started = time.perf_counter()
            await variant.call(address, number)
            latency_s = time.perf_counter() - started
            latencies.record_value(max(1, round(latency_s * 1e6)))

    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(variant.close)
        for address in addresses * CONNECTIONS_PER_TARGET:
            await variant.call(address, 0)
        started = time.process_time()
        async with asyncio.TaskGroup() as group:
            for _ in range(options.concurrency):
                group.create_task(run_worker())
        cpu_s = time.process_time() - started
    return cpu_s / options.calls, latencies


async def run(options):
    """Measure the variants one after the other and print the figures."""
    results = {name: [] for name in VARIANTS}
    async with fleet.run_fleet(0, options.targets) as running:
        for target in running.targets:
            await running.control(target.url, 'behaviour', {'slots': 1000})
        addresses = [target.address for target in running.targets]
        for _ in range(options.rounds):
            for name, make in VARIANTS.items():
                result = await measure(make, addresses, options)
                results[name].append(result)
    print_results(results)


def print_results(results):
    """Print medians over the rounds, and the latency added to direct calls."""
    direct_us = {}
    print(
        f'{"variant":<22}{"cpu us":>8}{"p50 us":>8}{"p99 us":>8}'
        f'{"p50 added":>11}{"p99 added":>11}'
    )
    for name, rounds in results.items():
        cpu = statistics.median(cpu for cpu, _ in rounds) * 1e6
        cells = f'{name:<22}{cpu:>8.0f}'
        added = ''
        for percentile in (50, 99):
            value = statistics.median(
                latencies.get_value_at_percentile(percentile)
                for _, latencies in rounds
            )
            direct_us.setdefault(percentile, value)
            cells += f'{value:>8.0f}'
            added += f'{value - direct_us[percentile]:>11.0f}'
        print(cells + added)


def main():
    """Run the program."""
    parser = argparse.ArgumentParser(description='Cost of a call')
    parser.add_argument('--calls', type=int, default=4000)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--targets', type=int, default=4)
    parser.add_argument('--concurrency', type=int, default=4)
    parser.add_argument('--seed', type=int, default=1)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
