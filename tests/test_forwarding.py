"""Tests of the connections to targets."""

import asyncio
import contextlib
import hashlib
import json
import random
import socket
import unittest

from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import forwarding
from lavenderstile import headers
from lavenderstile import messages
from lavenderstile import pools
from lavenderstile import verdicts
from tests.standins import scripted
from tests.standins import serving
from tests.standins import target
from tests.standins import target_state

# Overall limit of one request; not a bound on what a test measures.
LIMIT_S = 30.0

# Deadline of requests that are meant to time out.
SHORT_S = 0.3

Outcome = messages.Outcome
Verdict = verdicts.Verdict


class MovableClock(clocks.Clock):
    """The machine's clock, which a test can move forward."""

    __slots__ = ('_ahead_s',)

    def __init__(self):
        self._ahead_s = 0.0

    def now(self):
        return super().now() + self._ahead_s

    def advance(self, seconds):
        self._ahead_s += seconds


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Common set-up: a forwarder and stand-in targets."""

    async def asyncSetUp(self):
        self.clock = MovableClock()
        self.forwarder = forwarding.Forwarder(self.clock)
        self.addAsyncCleanup(self.forwarder.close)
        self.sent = 0

    async def start_target(self, host='127.0.0.1', **behaviour):
        state = target_state.TargetState(
            behaviour=target_state.Behaviour(**behaviour)
        )
        server = target.Target(state)
        address = await self.enterAsyncContext(
            target.serve_target(server, host)
        )
        return server, address

    def open(self, address, path=b'/', method='GET', body=None, **options):
        self.sent += 1
        options = {
            'headers': [],
            'request_id': f'request-{self.sent}',
            'deadline': self.clock.now() + LIMIT_S,
        } | options
        return self.forwarder.open(address, method, path, body=body, **options)

    async def call(self, address, *args, **options):
        """Send a request; return the response and its whole body."""
        async with self.open(address, *args, **options) as response:
            parts = [part async for part in response]
        return response, b''.join(parts)

    async def call_short(self, address, *args, **options):
        deadline = self.clock.now() + SHORT_S
        return await self.call(address, *args, deadline=deadline, **options)

    async def assert_fails(self, outcome, verdict, call):
        """Await a call that must fail in this way; return its error."""
        with self.assertRaises(errors.TargetError) as caught:
            await call
        error = caught.exception
        self.assertEqual((error.outcome, error.verdict), (outcome, verdict))
        return error


async def iterate(*chunks):
    """Iterate over chunks as a caller's body does."""
    for chunk in chunks:
        yield chunk


class AnswerTest(ForwardingTest):
    """Guards against wrong or lost bytes in either direction."""

    async def test_request_and_answer_pass_unchanged(self):
        server, address = await self.start_target()
        response, body = await self.call(
            address,
            b'/a%2Fb/../c?x=%20&x',
            'POST',
            iterate(b'one', b'two'),
            headers=[(b'x-extra', b'1'), (b'content-length', b'6')],
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(response.outcome, Outcome.ANSWERED)
        self.assertEqual(response.verdict, Verdict.RAN)
        self.assertEqual(response.instance, 'target-1')
        self.assertIsNotNone(response.latency_s)
        self.assertEqual(
            json.loads(body)['sha256'], hashlib.sha256(b'onetwo').hexdigest()
        )
        run = server.state.runs[0]
        self.assertEqual(run.path, '/a%2Fb/../c?x=%20&x')
        self.assertEqual(run.request_id, 'request-1')
        self.assertIn(('x-extra', '1'), run.headers)
        self.assertIn(('content-length', '6'), run.headers)

    async def test_large_bodies_arrive_whole_in_small_pieces(self):
        server, address = await self.start_target()
        random_bytes = random.Random(5).randbytes
        chunks = [random_bytes(size) for size in (1, 70_000, 200_000, 3)]
        digest = hashlib.sha256(b''.join(chunks)).hexdigest()
        path = b'/?answer_bytes=3000000'
        async with self.open(address, path, 'PUT', iterate(*chunks)) as answer:
            parts = [part async for part in answer]
        self.assertEqual(sum(map(len, parts)), 3_000_000)
        self.assertLessEqual(max(map(len, parts)), 64 * 1024)
        run = server.state.runs[0]
        self.assertEqual((run.size, run.sha256), (270_004, digest))

    async def test_remaining_time_is_passed_on(self):
        server, address = await self.start_target()
        await self.call(address, deadline=self.clock.now() + 20.0)
        timeout_ms = server.state.runs[0].timeout_ms
        self.assertTrue(0 < timeout_ms <= 20_000)

    async def test_an_error_status_is_an_answer(self):
        _, address = await self.start_target(error_share=1.0)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 500)
        self.assertEqual(response.outcome, Outcome.ERROR_STATUS)
        self.assertEqual(response.verdict, Verdict.RAN)

    async def test_cold_start_is_seen_in_the_answer(self):
        server, address = await self.start_target()
        server.state.set_cold(True)
        response, _ = await self.call(address)
        self.assertTrue(response.cold)

    async def test_redirects_and_cookies_are_left_to_the_caller(self):
        answer = (
            b'HTTP/1.1 302 Found\r\nlocation: /other\r\n'
            b'set-cookie: a=b\r\ncontent-length: 0\r\n\r\n'
        )
        echo = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
        script = scripted.serve_scripts([answer, echo])
        address = await self.enterAsyncContext(script)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 302)
        self.assertIn((b'set-cookie', b'a=b'), response.headers)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)

    async def test_head_and_empty_answers_need_no_length(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n'
        empty = b'HTTP/1.1 204 No Content\r\n\r\n'
        script = scripted.serve_scripts([head, empty])
        address = await self.enterAsyncContext(script)
        response, body = await self.call(address, method='HEAD')
        self.assertEqual((response.status, body), (200, b''))
        response, body = await self.call(address)
        self.assertEqual((response.status, body), (204, b''))


class HeadersTest(unittest.TestCase):
    """Guards against headers that belong to one hop or to the key."""

    def test_removes_the_key_and_the_hop_by_hop_headers(self):
        kept = [(b'Accept', b'*/*'), (b'X-Custom', b'1'), (b'cookie', b'c')]
        removed = [
            (b'Authorization', b'Bearer secret'),
            (b'Connection', b'keep-alive, X-Hop'),
            (b'x-hop', b'1'),
            (b'Transfer-Encoding', b'chunked'),
            (b'Upgrade', b'h2c'),
            (b'Proxy-Authorization', b'secret'),
            (b'Expect', b'100-continue'),
            (b'X-Request-Id', b'other'),
        ]
        prepared = headers.prepare_for_target(removed[:3] + kept + removed[3:])
        self.assertEqual(prepared, kept)


class FailureTest(ForwardingTest):
    """Guards against wrong verdicts about failed attempts."""

    async def test_refused_connection(self):
        free = serving.bind_socket()
        self.addCleanup(free.close)
        address = f'127.0.0.1:{free.getsockname()[1]}'
        await self.assert_fails(
            Outcome.CONNECT_FAILED, Verdict.NOT_RUN, self.call(address)
        )

    async def test_connection_that_is_never_accepted(self):
        # The kernel drops connects beyond a full backlog of length 0.
        listener = serving.bind_socket()
        self.addCleanup(listener.close)
        listener.listen(0)
        name = listener.getsockname()
        for _ in range(2):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(name)
        call = self.call(f'{name[0]}:{name[1]}')
        await self.assert_fails(Outcome.CONNECT_FAILED, Verdict.NOT_RUN, call)

    async def test_deadline_over_before_the_send(self):
        server, address = await self.start_target()
        call = self.call(address, deadline=self.clock.now())
        await self.assert_fails(Outcome.NOT_SENT, Verdict.NOT_RUN, call)
        self.assertEqual(server.accepted, 0)

    async def test_no_free_connection(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        async with self.open(address):
            await self.assert_fails(
                Outcome.NOT_SENT, Verdict.NOT_RUN, self.call_short(address)
            )
        self.assertEqual(len(server.state.runs), 1)
        await self.call(address)

    async def test_timeout(self):
        server, address = await self.start_target(stalled_share=1.0)
        await self.assert_fails(
            Outcome.TIMEOUT, Verdict.MAY_HAVE_RUN, self.call_short(address)
        )
        await server.state.wait_for(lambda state: state.running == 0)
        self.assertEqual(server.state.runs[0].end, 'stalled')

    async def test_crash(self):
        server, address = await self.start_target(crash_marker='poison')
        call = self.call(address, b'/', 'POST', iterate(b'poison'))
        await self.assert_fails(Outcome.CRASHED, Verdict.MAY_HAVE_RUN, call)

    async def test_crash_on_a_reused_connection(self):
        server, address = await self.start_target(crash_marker='poison')
        await self.call(address)
        call = self.call(address, b'/', 'POST', iterate(b'poison'))
        await self.assert_fails(Outcome.CRASHED, Verdict.MAY_HAVE_RUN, call)
        self.assertEqual(server.accepted, 1)

    async def test_shed(self):
        server, address = await self.start_target(slots=0)
        error = await self.assert_fails(
            Outcome.SHED, Verdict.NOT_RUN, self.call(address)
        )
        self.assertEqual(error.instance, 'target-1')
        server.state.change({'slots': 1})
        await self.call(address)
        self.assertEqual(server.accepted, 1)

    async def test_a_503_without_proof_is_an_answer(self):
        answer = (
            b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
        )
        script = scripted.serve_scripts([answer])
        address = await self.enterAsyncContext(script)
        response, _ = await self.call(address)
        self.assertEqual(response.outcome, Outcome.ERROR_STATUS)

    async def test_malformed_answers(self):
        for answer in (
            b'SSH-2.0-server\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
            b'content-length: 2\r\n\r\nab',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nab',
        ):
            async with scripted.serve_scripts([answer]) as address:
                await self.assert_fails(
                    Outcome.TRUNCATED, Verdict.MAY_HAVE_RUN, self.call(address)
                )

    async def test_a_request_that_is_no_http_is_not_sent(self):
        server, address = await self.start_target()
        call = self.call(address, b'/a b')
        await self.assert_fails(Outcome.NOT_SENT, Verdict.NOT_RUN, call)
        self.assertEqual(len(server.state.runs), 0)


class TruncationTest(ForwardingTest):
    """Guards against a cut answer that passes for a complete one."""

    async def check(self, **behaviour):
        _, address = await self.start_target(**behaviour)
        size = 0
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                async for part in response:
                    size += len(part)
        self.assertEqual(caught.exception.outcome, Outcome.TRUNCATED)
        self.assertEqual(caught.exception.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(self.forwarder.get_pool(address).connections, 0)
        return size

    async def test_by_length(self):
        self.assertEqual(await self.check(truncated_share=1.0), 10_000)

    async def test_chunked(self):
        size = await self.check(truncated_chunked_share=1.0)
        self.assertEqual(size, 10_000)

    async def test_an_answer_without_framing_is_not_trusted(self):
        self.assertEqual(await self.check(unframed_share=1.0), 0)

    async def test_reset_in_the_body(self):
        server, address = await self.start_target(stalled_body_share=1.0)
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                async for _ in response:
                    server.reset_connections()
        self.assertEqual(caught.exception.outcome, Outcome.TRUNCATED)
        self.assertEqual(response.outcome, Outcome.TRUNCATED)

    async def test_stall_in_the_body(self):
        server, address = await self.start_target(stalled_body_share=1.0)
        await self.assert_fails(
            Outcome.TIMEOUT, Verdict.MAY_HAVE_RUN, self.call_short(address)
        )


class CrossedTest(ForwardingTest):
    """Guards against an answer that belongs to another request."""

    async def test_another_id_is_refused(self):
        _, address = await self.start_target(crossed_share=1.0)
        await self.assert_fails(
            Outcome.CROSSED, Verdict.MAY_HAVE_RUN, self.call(address)
        )
        self.assertEqual(self.forwarder.get_pool(address).connections, 0)

    async def test_a_late_answer_never_meets_the_next_request(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        call = self.call_short(address, b'/?work_ms=60000')
        await self.assert_fails(Outcome.TIMEOUT, Verdict.MAY_HAVE_RUN, call)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)
        runs = server.state.runs
        self.assertNotEqual(runs[0].connection, runs[1].connection)

    async def test_bytes_after_an_answer_never_meet_the_next_request(self):
        def make_answer(request_id, body):
            return (
                b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-request-id: '
                + request_id
                + b'\r\n\r\n'
                + body
            )

        extra = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil'
        first = make_answer(b'request-1', b'good') + extra
        script = scripted.serve_scripts(
            [first, b''], [make_answer(b'request-3', b'good')]
        )
        address = await self.enterAsyncContext(script)
        _, body = await self.call(address)
        self.assertEqual(body, b'good')
        await self.assert_fails(
            Outcome.CROSSED, Verdict.MAY_HAVE_RUN, self.call(address)
        )
        _, body = await self.call(address)
        self.assertEqual(body, b'good')


class CallerTest(ForwardingTest):
    """Guards against blaming a target for its caller."""

    async def test_a_body_that_fails_half_way_reaches_no_end(self):
        server, address = await self.start_target()

        async def fail_half_way():
            yield b'half'
            raise ConnectionError('caller went away')

        for extra in ([], [(b'content-length', b'8')]):
            call = self.call(
                address, b'/', 'POST', fail_half_way(), headers=extra
            )
            await self.assert_fails(
                Outcome.CANCELLED, Verdict.MAY_HAVE_RUN, call
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
        await self.assert_fails(Outcome.CANCELLED, Verdict.MAY_HAVE_RUN, call)
        await server.state.wait_for(lambda state: state.runs[0].end)
        self.assertEqual(server.state.runs[0].end, 'broken_request')

    async def test_a_body_of_another_length_is_broken(self):
        server, address = await self.start_target()
        for length in (b'3', b'9'):
            call = self.call(
                address,
                b'/',
                'POST',
                iterate(b'four'),
                headers=[(b'content-length', length)],
            )
            await self.assert_fails(
                Outcome.CANCELLED, Verdict.MAY_HAVE_RUN, call
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
                    self.clock.advance(LIMIT_S)
        self.assertEqual(caught.exception.outcome, Outcome.CANCELLED)

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
        self.assertEqual(self.forwarder.get_pool(address).connections, 0)

    async def test_an_answer_left_unread_closes_the_connection(self):
        _, address = await self.start_target()
        path = b'/?answer_bytes=3000000'
        async with self.open(address, path) as response:
            pass
        self.assertEqual(response.outcome, Outcome.CANCELLED)
        self.assertEqual(self.forwarder.get_pool(address).connections, 0)


class PoolTest(ForwardingTest):
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

    async def test_a_cancelled_waiter_passes_its_turn_on(self):
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
        while server.connections:
            await asyncio.sleep(0)
        for _ in range(3):
            await self.call(address)
        self.assertEqual(server.accepted, 2)

    async def test_old_connections_are_retired(self):
        server, address = await self.start_target()
        step_s = pools.MAX_IDLE_S / 2
        for _ in range(int(pools.MAX_AGE_S / step_s) + 1):
            await self.call(address)
            self.clock.advance(step_s)
        self.assertEqual(server.accepted, 2)

    async def test_idle_connections_are_closed(self):
        server, address = await self.start_target()
        await self.call(address)
        self.clock.advance(pools.MAX_IDLE_S)
        runner = asyncio.create_task(self.forwarder.run())
        while server.connections:
            await asyncio.sleep(0.01)
        runner.cancel()
        self.assertEqual(self.forwarder.get_pool(address).connections, 0)

    async def test_connections_to_a_removed_target_are_closed(self):
        server, address = await self.start_target()
        await self.call(address)
        async with self.open(address) as response:
            await self.forwarder.set_limits({})
            async for _ in response:
                pass
        while server.connections:
            await asyncio.sleep(0.01)
        self.assertIsNone(self.forwarder.get_pool(address))

    async def test_no_connection_outlives_a_fault(self):
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

    def test_a_hosts_share_of_the_limit(self):
        self.assertEqual(forwarding.compute_limit(400, 48), 8)
        self.assertEqual(forwarding.compute_limit(350, 48), 7)
        self.assertEqual(forwarding.compute_limit(3, 48), 1)


class SilenceTest(ForwardingTest):
    """Guards against ejecting a target for its silent connections."""

    async def test_a_silent_connection_is_told_from_a_silent_target(self):
        server, address = await self.start_target()
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(3):
                await stack.enter_async_context(self.open(address))
        await asyncio.gather(*(self.call(address) for _ in range(3)))
        server.silence()
        silent = [
            asyncio.create_task(self.call_short(address)) for _ in range(3)
        ]
        while self.forwarder.get_pool(address).idle:
            await asyncio.sleep(0)
        await self.call(address)
        for call in silent:
            await self.assert_fails(
                Outcome.SILENT_CONNECTION, Verdict.MAY_HAVE_RUN, call
            )
        await self.call(address)

    async def test_idle_connections_are_not_used_after_a_timeout(self):
        server, address = await self.start_target()
        await asyncio.gather(*(self.call(address) for _ in range(3)))
        server.silence()
        await self.assert_fails(
            Outcome.TIMEOUT, Verdict.MAY_HAVE_RUN, self.call_short(address)
        )
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)
