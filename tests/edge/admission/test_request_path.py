"""Tests of admission in the request path, with sockets on the loopback."""

import asyncio
import contextlib
import math
from unittest import mock

import eliot
import msgspec

from emulator import registry_store
from lavenderstile.edge import settings
from tests.edge import builders
from tests.edge import edge_case

SERVICE = registry_store.SERVICE


class FullServiceCase(edge_case.EdgeCase):
    """A host with one target, all slots and places of which are taken."""

    SETTINGS = {'balancing': settings.BalancingSettings(settings.Scope.FLEET)}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target = await self.add_target()
        self.known = self.parts.directory.targets[self.target.instance]

    @contextlib.contextmanager
    def fill(self, per_slot):
        """Take slots and places of the target during the block."""
        count = math.ceil(per_slot * self.known.target.slots)
        for _ in range(count):
            self.parts.balancer.begin(self.known, self.clock.now())
        yield
        for _ in range(count):
            self.parts.balancer.end(self.known)
        self.parts.waiting.wake()

    def add_peer_queue(self, count):
        update = builders.make_update(
            '10.1.0.2', domain='zone-a', waiting={SERVICE: {0: count}}
        )
        self.parts.fleet.apply_update(update, self.clock.now())

    async def request_with_log(self, path):
        """Return the response and the fields of the request's log line."""
        with mock.patch.object(eliot, 'log_message', autospec=True) as log:
            response = await self.request(path, b'x')
        [fields] = [
            call.kwargs
            for call in log.call_args_list
            if call.args == ('request',)
        ]
        return response, fields

    def get_metrics(self):
        return self.parts.metrics.render()[0].decode()


class RefusalTest(FullServiceCase):
    """Guards against a request that waits in vain for its whole time."""

    async def test_a_long_queue_refuses_a_request_on_arrival(self):
        self.add_peer_queue(5000)
        with self.fill(3.0):
            response, fields = await self.request_with_log('/pay/1')
        status, headers, body = response
        self.assertEqual(status, 503)
        refusal = msgspec.json.decode(body)
        self.assertEqual(refusal['reason'], 'no_capacity')
        self.assertEqual(refusal['verdict'], 'not-run')
        self.assertEqual(self.target.seen, [])
        self.assertGreater(float(headers['retry-after']), 0.0)
        self.assertEqual(fields['waited_ms'], 0)
        self.assertEqual(fields['ahead'], 5000)
        self.assertEqual(fields['wait_cause'], 'no free slot')
        self.assertGreater(fields['expected_wait_ms'], 1000)
        self.assertIn('outcome="refused on arrival"', self.get_metrics())


class WaitTest(FullServiceCase):
    """Guards against refusals of requests that may still be served."""

    async def test_a_request_waits_for_a_slot(self):
        with self.fill(3.0):
            task = asyncio.create_task(self.request('/pay/1', b'x'))
            await self.wait_until(lambda: self.parts.waiting.counts)
            self.assertEqual(
                self.parts.waiting.describe(), {SERVICE: {'urgent': {0: 1}}}
            )
        async with asyncio.timeout(edge_case.LIMIT_S):
            status, _, _ = await task
        self.assertEqual(status, 200)
        self.assertIn('outcome="got a slot"', self.get_metrics())


class KindTest(FullServiceCase):
    """Guards against urgent requests that wait behind deferrable ones."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        data = registry_store.describe_configuration(2)
        [read, _] = data['listeners'][0]['rules']
        read['targetLatencyS'] = 8.0
        self.configure(data)
        # A mean latency with which no place is left to deferrable requests.
        for _ in range(200):
            self.parts.health.record_latency(
                'i-9', SERVICE, 1.0, self.clock.now()
            )

    async def test_only_the_urgent_kind_uses_the_queue_of_a_target(self):
        with self.fill(1.0):
            reading = asyncio.create_task(self.request('/read/1'))
            await self.wait_until(lambda: self.parts.waiting.counts)
            status, _, _ = await self.request('/pay/1', b'x')
            self.assertEqual(status, 200)
            self.assertFalse(reading.done())
        async with asyncio.timeout(edge_case.LIMIT_S):
            status, _, _ = await reading
        self.assertEqual(status, 200)
