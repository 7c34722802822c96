"""Load pattern: many targets send bytes without end until the host closes."""

import asyncio
import pathlib
import tempfile
import unittest

import msgspec

from emulator import endless_targets
from emulator import processes
from emulator import registry_store
from lavenderstile.edge import http_client
from lavenderstile.edge import response_memory
from lavenderstile.platform import objects
from tests.edge import edge_case

TARGETS = 50

# Smallest memory of a host on the users' platform.
HOST_MEMORY_BYTES = 200 * 1024 * 1024

# A response must not occupy the event loop for longer than the interval at
# which the load balancer checks whether the host is ready.
MAX_LOOP_LAG_S = 1.0
LAG_INTERVAL_S = 0.02


def read_resident_bytes():
    """Return the resident memory of this process."""
    with open('/proc/self/status') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024
    raise ValueError('no VmRSS in /proc/self/status')


class ResourceMonitor:
    """Highest memory and longest lag of the event loop."""

    def __init__(self):
        self.before = read_resident_bytes()
        self.peak = self.before
        self.lag_s = 0.0

    @property
    def growth(self):
        """Bytes by which the process has grown at its peak."""
        return self.peak - self.before

    async def run(self):
        """Sample until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag_s = max(self.lag_s, loop.time() - due)
            self.peak = max(self.peak, read_resident_bytes())


class EndlessResponseTest(edge_case.EdgeCase):
    """Guards against a host that runs out of memory or stops responding."""

    async def start_targets(self, behaviour):
        """Start targets in a process of their own and register them."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        process = processes.Process(
            'targets',
            ['emulator.endless_targets', behaviour.__name__, str(TARGETS)],
            pathlib.Path(directory) / 'targets.log',
        )
        await process.start()
        self.addAsyncCleanup(process.kill)
        await self.wait_until(lambda: process.log.endswith('\n'))
        addresses = msgspec.json.decode(process.log)
        for number, address in enumerate(addresses):
            instance = f'i-{number}'
            entry = registry_store.describe_target(address)
            self.apply_events(
                objects.decode_target(instance, msgspec.json.encode(entry))
            )
            self.parts.health.add(instance, False, self.clock.now())

    async def play(self, behaviour):
        """Send a payment to each of many such targets; return statuses."""
        await self.start_targets(behaviour)
        self.monitor = ResourceMonitor()
        watching = asyncio.create_task(self.monitor.run())
        self.addCleanup(watching.cancel)
        async with asyncio.timeout(edge_case.LIMIT_S):
            responses = await asyncio.gather(
                *(self.request('/pay/1', b'x') for _ in range(TARGETS))
            )
        return responses

    async def check(self, behaviour):
        """Check the responses, the memory and the event loop."""
        for status, _, body in await self.play(behaviour):
            self.assertIn(status, (502, 504))
            self.assertIn(b'may-have-run', body)
        self.assertLess(self.monitor.growth, HOST_MEMORY_BYTES / 2)
        self.assertLess(self.monitor.lag_s, MAX_LOOP_LAG_S)
        self.assertEqual(self.parts.balancer.own_running, {})
        self.assertEqual(self.parts.pools.response_memory.total, 0)


def _add_tests():
    for behaviour in endless_targets.BEHAVIOURS.values():

        async def test(self, behaviour=behaviour):
            await self.check(behaviour)

        name = f'test_{behaviour.__name__}'
        test.__name__ = name
        test.__doc__ = behaviour.__doc__
        setattr(EndlessResponseTest, name, test)


_add_tests()


class SharedMemoryTest(edge_case.EdgeCase):
    """Guards against sound responses that fail for an endless one."""

    async def test_a_sound_response_passes_beside_endless_ones(self):
        endless = await self.add_target(*[endless_targets.endless_chunks] * 8)
        self.prefer(endless)
        calls = [
            asyncio.create_task(self.request('/pay/1', b'x')) for _ in range(4)
        ]
        await self.wait_until(lambda: endless.seen)
        await self.add_target(instance='sound')
        self.parts.health.record_fault(
            endless.instance,
            edge_case.handler.FaultKind.ERROR,
            self.clock.now(),
        )
        status, _, body = await self.request('/pay/2', b'x')
        self.assertEqual((status, body), (200, b'done'))
        await asyncio.gather(*calls)

    async def test_a_failed_response_counts_against_its_target(self):
        target = await self.add_target(endless_targets.endless_informational)
        await self.request('/pay/1', b'x')
        self.assertTrue(
            self.parts.health.is_avoided(target.instance, self.clock.now())
        )


class ResponseMemoryTest(unittest.TestCase):
    """Guards against the wrong response being given up."""

    class Connection:
        """A connection that records why it was given up."""

        detail = None

        def give_up(self, detail):
            """Record the reason."""
            self.detail = detail

    def test_the_largest_response_is_given_up(self):
        memory = response_memory.ResponseMemory(limit=100)
        small, large = self.Connection(), self.Connection()
        memory.add(large, 70)
        memory.add(small, 20)
        memory.add(small, 20)
        self.assertEqual(large.detail, 'response memory is exhausted')
        self.assertIsNone(small.detail)
        self.assertEqual(memory.total, 40)

    def test_released_bytes_are_free_again(self):
        memory = response_memory.ResponseMemory(limit=100)
        first = self.Connection()
        memory.add(first, 90)
        memory.release(first)
        memory.add(first, 90)
        self.assertIsNone(first.detail)

    def test_one_response_may_use_its_own_limit(self):
        self.assertGreater(
            response_memory.MAX_BUFFERED_BYTES, http_client.MAX_RESPONSE_BYTES
        )
