"""Tests of the connection pool of one target."""

import asyncio
import random

from emulator import serving
from lavenderstile import connections
from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts
from tests import cases


class PoolTest(cases.ForwardingCase):
    """Guards against stale connections and too many of them."""

    async def call_at_once(self, address, count):
        calls = [self.call(address) for _ in range(count)]
        return await asyncio.gather(*calls)

    async def test_a_connection_is_reused(self):
        server, address = await self.start_target()
        for _ in range(5):
            await self.call(address)
        self.assertEqual(server.accepted, 1)

    async def test_the_limit_holds(self):
        server, address = await self.start_target(slots=100, work_s=0.01)
        await self.forwarder.set_limits({address: 2})
        await self.call_at_once(address, 20)
        self.assertEqual(server.peak_connections, 2)
        self.assertEqual(len(server.state.runs), 20)

    async def test_a_grown_limit_frees_waiting_requests(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        async with self.open(address):
            waiting = asyncio.create_task(self.call(address))
            await asyncio.sleep(0)
            await self.forwarder.set_limits({address: 2})
            response, _ = await waiting
        self.assertEqual(response.status, 200)

    async def test_a_cancelled_waiter_wakes_the_next(self):
        _, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        async with self.open(address) as response:
            waiting = [
                asyncio.create_task(self.call(address)) for _ in range(3)
            ]
            await asyncio.sleep(0)
            async for _ in response:
                pass
            waiting[0].cancel()
        waiting[1].cancel()
        response, _ = await waiting[2]
        self.assertEqual(response.status, 200)

    async def test_connections_closed_by_the_target_are_not_used(self):
        server, address = await self.start_target()
        await self.call(address)
        server.close_idle_connections()
        await serving.wait_until(lambda: not server.connections)
        for _ in range(3):
            await self.call(address)
        self.assertEqual(server.accepted, 2)

    async def test_old_connections_are_retired(self):
        server, address = await self.start_target()
        step_s = connections.MAX_IDLE_S / 2
        for _ in range(int(connections.MAX_AGE_S / step_s) + 1):
            await self.call(address)
            self.clock.advance(step_s)
        self.assertEqual(server.accepted, 2)

    async def test_a_request_can_ask_for_a_recently_used_connection(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        await self.call(address)
        self.clock.advance(1.0)
        await self.call(address, max_idle_s=0.5)
        self.assertEqual(server.accepted, 2)
        await self.call(address, max_idle_s=30.0)
        self.assertEqual((server.accepted, server.peak_connections), (2, 1))

    async def test_idle_connections_are_closed(self):
        server, address = await self.start_target()
        await self.call(address)
        self.clock.advance(connections.MAX_IDLE_S)
        runner = asyncio.create_task(self.forwarder.run())
        await serving.wait_until(lambda: not server.connections)
        runner.cancel()
        self.assertEqual(self.forwarder.get_pool(address).open_count, 0)

    async def test_no_connection_is_reused_after_a_fault(self):
        faults = (
            'truncated_share',
            'truncated_chunked_share',
            'crossed_share',
            'stalled_share',
            'stalled_body_share',
        )
        for fault in faults:
            server, address = await self.start_target()
            await self.call(address)
            server.state.change({fault: 1.0})
            with self.assertRaises(errors.TargetError):
                await self.call_short(address)
            server.state.change({fault: 0.0})
            await self.call(address)
            runs = server.state.runs
            self.assertNotEqual(runs[1].connection, runs[2].connection, fault)


class SilenceTest(cases.ForwardingCase):
    """Guards against ejecting a target because of silent connections."""

    async def test_newer_responses_prove_silent_connections(self):
        server, address = await self.start_target()
        await asyncio.gather(*(self.call(address) for _ in range(3)))
        server.silence()
        silent = [
            asyncio.create_task(self.call_short(address)) for _ in range(3)
        ]
        pool = self.forwarder.get_pool(address)
        await serving.wait_until(lambda: not pool.idle_count)
        await self.call(address)
        for call in silent:
            await self.assert_fails(
                messages.Outcome.SILENT_CONNECTION,
                verdicts.Verdict.MAY_HAVE_RUN,
                call,
            )
        await self.call(address)
        self.assertEqual(server.state.probes['health'], 0)

    async def test_a_check_proves_silence_without_other_requests(self):
        server, address = await self.start_target()
        await asyncio.gather(*(self.call(address) for _ in range(3)))
        server.silence()
        await self.assert_fails(
            messages.Outcome.SILENT_CONNECTION,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call_short(address),
        )
        # The other idle connections are older than the checked one.
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)
        self.assertEqual(server.state.probes['health'], 1)

    async def test_a_target_silent_on_new_connections_times_out(self):
        server, address = await self.start_target()
        await asyncio.gather(*(self.call(address) for _ in range(3)))
        server.state.change({'silent_new': True})
        server.silence()
        for _ in range(3):
            await self.assert_fails(
                messages.Outcome.TIMEOUT,
                verdicts.Verdict.MAY_HAVE_RUN,
                self.call_short(address),
            )
        self.assertLessEqual(server.peak_connections, 8)

    async def test_a_target_that_stalls_requests_times_out(self):
        server, address = await self.start_target()
        await self.call(address)
        server.state.change({'stalled_share': 1.0})
        outcomes = []
        for _ in range(4):
            with self.assertRaises(errors.TargetError) as caught:
                await self.call_short(address)
            outcomes.append(caught.exception.outcome)
        self.assertEqual(outcomes[1:], [messages.Outcome.TIMEOUT] * 3)

    async def test_checks_respect_the_connection_limit(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        await self.call(address)
        server.silence()
        await self.assert_fails(
            messages.Outcome.TIMEOUT,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call_short(address),
        )
        self.assertEqual(server.peak_connections, 1)


class CancellationTest(cases.ForwardingCase):
    """Guards against connections that cancelled requests leak or keep."""

    async def test_random_cancellations_leave_nothing_open(self):
        server, address = await self.start_target(slots=100, work_s=0.002)
        await self.forwarder.set_limits({address: 4})
        rng = random.Random(11)

        async def call_and_cancel():
            call = asyncio.create_task(
                self.call(address, b'/', 'POST', cases.iterate(b'a', b'b'))
            )
            for _ in range(rng.randrange(60)):
                await asyncio.sleep(0)
            call.cancel()
            await asyncio.wait([call])
            return call.cancelled()

        calls = [call_and_cancel() for _ in range(200)]
        cancelled = await asyncio.gather(*calls)
        self.assertIn(True, cancelled)
        pool = self.forwarder.get_pool(address)
        self.assertEqual(pool.open_count, pool.idle_count)
        self.assertLessEqual(server.peak_connections, 4)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)
        await self.forwarder.close()
        await serving.wait_until(lambda: not server.connections)
        self.assertEqual(pool.open_count, 0)
