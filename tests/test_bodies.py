"""Tests of uploads and downloads, and of whose fault a failure is."""

import asyncio
import random

from emulator import serving
from lavenderstile import bodies
from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts
from tests import cases

CHUNK = bytes(64 * 1024)


class CallerTest(cases.ForwardingCase):
    """Guards against counting a caller's failure against the target.

    The caller disconnects, stalls, sends another length than announced or
    reads too slowly, so the request fails or meets its deadline.
    """

    async def test_a_body_that_fails_half_way_stays_incomplete(self):
        server, address = await self.start_target()

        async def fail_half_way():
            yield b'half'
            raise ConnectionError('caller disconnected')

        for extra in ([], [(b'content-length', b'8')]):
            call = self.call(
                address, b'/', 'POST', fail_half_way(), headers=extra
            )
            await self.assert_fails(
                messages.Outcome.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN, call
            )
        await server.state.wait_for(
            lambda state: len(state.runs) == 2 and state.running == 0
        )
        for run in server.state.runs:
            self.assertEqual(run.end, 'broken_request')
            self.assertFalse(run.executed)

    async def test_a_body_that_stalls_is_the_callers_fault(self):
        server, address = await self.start_target()

        async def stall_half_way():
            yield b'half'
            await asyncio.Event().wait()

        call = self.call_short(address, b'/', 'POST', stall_half_way())
        await self.assert_fails(
            messages.Outcome.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN, call
        )
        await server.state.wait_for(lambda state: state.runs[0].end)
        self.assertEqual(server.state.runs[0].end, 'broken_request')

    async def test_a_short_stall_at_the_deadline_is_the_callers_fault(self):
        _, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})

        async def stall_half_way():
            yield b'half'
            await asyncio.Event().wait()

        # Most of the time passes while the request waits for a connection.
        waited_s = 20.0
        async with self.open(address) as response:
            call = asyncio.create_task(
                self.call(
                    address,
                    b'/',
                    'POST',
                    stall_half_way(),
                    deadline=self.clock.now()
                    + waited_s
                    + cases.SHORT_TIMEOUT_S,
                )
            )
            await asyncio.sleep(0)
            self.clock.advance(waited_s)
            async for _ in response:
                pass
        await self.assert_fails(
            messages.Outcome.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN, call
        )

    async def test_a_body_of_another_length_is_broken(self):
        server, address = await self.start_target()
        for length in (b'3', b'9'):
            call = self.call(
                address,
                b'/',
                'POST',
                cases.iterate(b'four'),
                headers=[(b'content-length', length)],
            )
            await self.assert_fails(
                messages.Outcome.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN, call
            )
        await server.state.wait_for(
            lambda state: len(state.runs) == 2 and state.running == 0
        )
        self.assertFalse(any(run.executed for run in server.state.runs))

    async def test_a_caller_that_reads_late_is_at_fault(self):
        _, address = await self.start_target(stalled_body_share=1.0)
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                async for _ in response:
                    self.clock.advance(cases.REQUEST_TIMEOUT_S)
        self.assertEqual(caught.exception.outcome, messages.Outcome.CANCELLED)

    async def test_a_caller_that_is_late_at_the_deadline_is_at_fault(self):
        server, address = await self.start_target(stalled_body_share=1.0)
        path = b'/?work_ms=50'
        opening = asyncio.create_task(self.read_late(address, path))
        await server.state.wait_for(lambda state: state.running == 1)
        # Most of the time passes while the target works.
        self.clock.advance(cases.REQUEST_TIMEOUT_S * 0.9)
        await self.assert_fails(
            messages.Outcome.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN, opening
        )

    async def read_late(self, address, path):
        async with self.open(address, path) as response:
            async for _ in response:
                self.clock.advance(cases.REQUEST_TIMEOUT_S * 0.1)

    async def test_a_reset_half_way_is_the_targets_fault(self):
        server, address = await self.start_target()

        async def reset_half_way():
            yield b'half'
            await server.state.wait_for(lambda state: state.running == 1)
            server.reset_connections()
            for _ in range(1000):
                yield bytes(64 * 1024)

        call = self.call(address, b'/', 'POST', reset_half_way())
        await self.assert_fails(
            messages.Outcome.CRASHED, verdicts.Verdict.MAY_HAVE_RUN, call
        )
        self.assertFalse(server.state.runs[0].executed)

    async def test_a_slow_body_is_not_in_the_latency(self):
        _, address = await self.start_target()

        async def wait_half_way():
            yield b'half'
            self.clock.advance(20.0)
            yield b'half'

        response, _ = await self.call(address, b'/', 'POST', wait_half_way())
        self.assertLess(response.latency_s, 20.0)

    async def test_a_cancelled_request_is_cancelled_at_the_target(self):
        server, address = await self.start_target()
        call = asyncio.create_task(self.call(address, b'/?work_ms=60000'))
        await server.state.wait_for(lambda state: state.running == 1)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        await server.state.wait_for(lambda state: state.running == 0)
        self.assertEqual(server.state.runs[0].end, 'cancelled')
        self.assertEqual(self.forwarder.get_pool(address).open_count, 0)

    async def test_an_unread_response_closes_the_connection(self):
        _, address = await self.start_target()
        path = b'/?answer_bytes=3000000'
        async with self.open(address, path) as response:
            pass
        self.assertEqual(response.outcome, messages.Outcome.CANCELLED)
        self.assertEqual(self.forwarder.get_pool(address).open_count, 0)


class FlowTest(cases.ForwardingCase):
    """Guards against bodies that are buffered whole in this process.

    Without back-pressure, a receiver that does not read makes the proxy
    hold all that the sender sends.
    """

    async def test_large_chunks_are_sent_in_pieces(self):
        chunk = random.Random(3).randbytes(200_000)
        body = bodies.RequestBody(self.clock, cases.iterate(chunk), None)
        sent_chunks = [sent_chunk async for sent_chunk in body]
        self.assertEqual(b''.join(sent_chunks), chunk)
        self.assertLessEqual(max(map(len, sent_chunks)), 64 * 1024)

    async def test_an_upload_waits_for_a_target_that_does_not_read(self):
        listener = serving.bind_socket()
        self.addCleanup(listener.close)
        listener.listen(1)
        host, port = listener.getsockname()
        read_bytes = 0

        async def read_endlessly():
            nonlocal read_bytes
            while True:
                read_bytes += len(CHUNK)
                yield CHUNK

        call = self.call_short(
            f'{host}:{port}', b'/', 'POST', read_endlessly()
        )
        await self.assert_fails(
            messages.Outcome.TIMEOUT, verdicts.Verdict.MAY_HAVE_RUN, call
        )
        # The kernel's socket buffers hold a few megabytes at most.
        self.assertLess(read_bytes, 32 * 1024 * 1024)

    async def test_a_download_waits_for_a_caller_that_does_not_read(self):
        server, address = await self.start_target()
        path = b'/?answer_bytes=100000000'
        async with self.open(address, path) as response:
            await anext(aiter(response))
            (connection,) = server.connections.values()
            await serving.wait_until(lambda: connection.flow.write_paused)
        await server.state.wait_for(lambda state: state.running == 0)
