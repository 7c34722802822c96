"""Tests of the probes of health and load endpoints."""

import asyncio
import unittest

from emulator import serving
from emulator import target
from emulator import target_state
from lavenderstile import messages
from lavenderstile import probes
from tests.standins import scripted


async def start_target(test, **behaviour):
    """Start a stand-in target for a test; return it and its address."""
    state = target_state.TargetState(
        behaviour=target_state.Behaviour(**behaviour)
    )
    server = target.Target(state)
    address = await test.enterAsyncContext(target.serve_target(server))
    return server, address


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against hints that differ from what the target reported."""

    async def test_reports_state_instance_and_load(self):
        server, address = await start_target(self)
        server.state.set_cold(True)
        server.state.change({'running_lie': 7})
        self.assertEqual(
            await probes.probe_target(address),
            {
                'healthy': True,
                'draining': False,
                'cold': True,
                'instance': 'target-1',
                'running': 7,
            },
        )
        self.assertEqual(server.accepted, 1)

    async def test_reports_draining(self):
        _, address = await start_target(self, draining=True)
        hint = await probes.probe_target(address)
        self.assertTrue(hint['draining'] and hint['healthy'])

    async def test_a_failing_target_is_not_healthy(self):
        _, address = await start_target(self, health_lie='failing')
        self.assertFalse((await probes.probe_target(address))['healthy'])

    async def test_an_unreachable_target_is_not_healthy(self):
        free = serving.bind_socket()
        self.addCleanup(free.close)
        address = f'127.0.0.1:{free.getsockname()[1]}'
        hint = await probes.probe_target(address)
        self.assertEqual(hint, {'healthy': False})

    async def test_a_silent_target_is_not_healthy(self):
        listener = serving.bind_socket()
        self.addCleanup(listener.close)
        listener.listen(5)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        hint = await probes.probe_target(address, timeout_s=0.2)
        self.assertEqual(hint, {'healthy': False})

    async def test_an_oversized_response_is_not_read(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n'
        script = scripted.serve_scripts([head + bytes(1_000_000)])
        address = await self.enterAsyncContext(script)
        hint = await probes.probe_target(address)
        self.assertEqual(hint, {'healthy': False})

    def test_an_invalid_load_response_is_ignored(self):
        self.assertIsNone(probes.parse_running(b'busy'))
        self.assertIsNone(probes.parse_running(b'{"running": "x"}'))
        self.assertEqual(probes.parse_running(b'{"running": 3}'), 3)


class ProberTest(unittest.IsolatedAsyncioTestCase):
    """Guards against probes that overload targets, or that stop."""

    def start(self, **options):
        hints = asyncio.Queue()
        prober = probes.Prober(hints, **options)
        task = asyncio.create_task(prober.run())
        self.addCleanup(task.cancel)
        return prober, hints

    async def test_queues_a_hint_for_each_service_of_a_target(self):
        _, address = await start_target(self)
        prober, hints = self.start(interval_s=0.01)
        prober.set_targets([('ledger', address), ('orders', address)])
        received = [await hints.get() for _ in range(2)]
        self.assertIsInstance(received[0], messages.TargetHint)
        self.assertEqual(
            [(hint.service, hint.target, hint.healthy) for hint in received],
            [('ledger', address, True), ('orders', address, True)],
        )

    async def test_continues_while_one_target_is_silent(self):
        listener = serving.bind_socket()
        self.addCleanup(listener.close)
        listener.listen(5)
        silent = f'127.0.0.1:{listener.getsockname()[1]}'
        _, address = await start_target(self)
        prober, hints = self.start(interval_s=0.01, timeout_s=3600)
        prober.set_targets([('ledger', silent), ('ledger', address)])
        received = [await hints.get() for _ in range(3)]
        self.assertEqual({hint.target for hint in received}, {address})

    async def test_targets_can_change(self):
        _, first = await start_target(self)
        _, second = await start_target(self)
        prober, hints = self.start(interval_s=0.01)
        prober.set_targets([('ledger', first)])
        await hints.get()
        prober.set_targets([('ledger', second)])
        while (await hints.get()).target != second:
            pass

    async def test_the_probe_rate_is_limited(self):
        prober, _ = self.start(interval_s=5.0, rate=20.0)
        prober.set_targets([('s', f'target-{n}') for n in range(10)])
        self.assertEqual(prober.get_start_interval_s(), 0.5)
        prober.set_targets([('s', f'target-{n}') for n in range(1000)])
        self.assertEqual(prober.get_start_interval_s(), 1 / 20)
