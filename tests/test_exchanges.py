"""Tests of the outcomes of attempts on targets."""

import hashlib
import json
import random
import socket

from emulator import serving
from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts
from tests import cases
from tests.standins import scripted


class ResponseTest(cases.ForwardingCase):
    """Guards against changed or lost bytes in either direction."""

    async def test_request_and_response_pass_unchanged(self):
        server, address = await self.start_target()
        response, body = await self.call(
            address,
            b'/a%2Fb/../c?x=%20&x',
            'POST',
            cases.iterate(b'one', b'two'),
            headers=[(b'x-extra', b'1'), (b'content-length', b'6')],
        )
        self.assertEqual(response.status, 200)
        self.assertEqual(response.outcome, messages.Outcome.ANSWERED)
        self.assertEqual(response.verdict, verdicts.Verdict.RAN)
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
        async with self.open(
            address, path, 'PUT', cases.iterate(*chunks)
        ) as response:
            parts = [part async for part in response]
        self.assertEqual(sum(map(len, parts)), 3_000_000)
        self.assertLessEqual(max(map(len, parts)), 64 * 1024)
        run = server.state.runs[0]
        self.assertEqual((run.size, run.sha256), (270_004, digest))

    async def test_remaining_time_is_passed_on(self):
        server, address = await self.start_target()
        await self.call(address, deadline=self.clock.now() + 20.0)
        timeout_ms = server.state.runs[0].timeout_ms
        self.assertTrue(0 < timeout_ms <= 20_000)

    async def test_an_error_status_is_a_response(self):
        _, address = await self.start_target(error_share=1.0)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 500)
        self.assertEqual(response.outcome, messages.Outcome.ERROR_STATUS)
        self.assertEqual(response.verdict, verdicts.Verdict.RAN)

    async def test_cold_start_is_read_from_the_response(self):
        server, address = await self.start_target()
        server.state.set_cold(True)
        response, _ = await self.call(address)
        self.assertTrue(response.cold)

    async def test_redirects_and_cookies_are_left_to_the_caller(self):
        raw_response = (
            b'HTTP/1.1 302 Found\r\nlocation: /other\r\n'
            b'set-cookie: a=b\r\ncontent-length: 0\r\n\r\n'
        )
        echo = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
        script = scripted.serve_scripts([raw_response, echo])
        address = await self.enterAsyncContext(script)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 302)
        self.assertIn((b'set-cookie', b'a=b'), response.headers)
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)

    async def test_interim_responses_are_skipped(self):
        raw_response = (
            b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
            b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
        )
        script = scripted.serve_scripts([raw_response])
        address = await self.enterAsyncContext(script)
        response, body = await self.call(address)
        self.assertEqual((response.status, body), (200, b'ok'))

    async def test_a_change_of_protocol_is_refused_before_its_head(self):
        raw_response = (
            b'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n'
            b'content-length: 0\r\n\r\n'
        )
        script = scripted.serve_scripts([raw_response])
        address = await self.enterAsyncContext(script)
        statuses = []
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                statuses.append(response.status)
        self.assertEqual(statuses, [])
        self.assertEqual(caught.exception.outcome, messages.Outcome.TRUNCATED)

    async def test_head_and_empty_responses_need_no_length(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n'
        empty = b'HTTP/1.1 204 No Content\r\n\r\n'
        script = scripted.serve_scripts([head, empty])
        address = await self.enterAsyncContext(script)
        response, body = await self.call(address, method='HEAD')
        self.assertEqual((response.status, body), (200, b''))
        response, body = await self.call(address)
        self.assertEqual((response.status, body), (204, b''))


class FailureTest(cases.ForwardingCase):
    """Guards against wrong verdicts on failed attempts.

    A wrong "not run" would let a request run twice; a wrong "may have run"
    would prevent a retry.
    """

    async def test_refused_connection(self):
        free = serving.bind_socket()
        self.addCleanup(free.close)
        address = f'127.0.0.1:{free.getsockname()[1]}'
        await self.assert_fails(
            messages.Outcome.CONNECT_FAILED,
            verdicts.Verdict.NOT_RUN,
            self.call(address),
        )

    async def test_connection_that_is_never_accepted(self):
        # The kernel drops connects once the backlog of length 0 is full.
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
        await self.assert_fails(
            messages.Outcome.CONNECT_FAILED, verdicts.Verdict.NOT_RUN, call
        )

    async def test_deadline_over_before_the_send(self):
        server, address = await self.start_target()
        call = self.call(address, deadline=self.clock.now())
        await self.assert_fails(
            messages.Outcome.NOT_SENT, verdicts.Verdict.NOT_RUN, call
        )
        self.assertEqual(server.accepted, 0)

    async def test_no_free_connection(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        async with self.open(address):
            await self.assert_fails(
                messages.Outcome.NOT_SENT,
                verdicts.Verdict.NOT_RUN,
                self.call_short(address),
            )
        self.assertEqual(len(server.state.runs), 1)
        await self.call(address)

    async def test_timeout(self):
        server, address = await self.start_target(stalled_share=1.0)
        await self.assert_fails(
            messages.Outcome.TIMEOUT,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call_short(address),
        )
        await server.state.wait_for(lambda state: state.running == 0)
        self.assertEqual(server.state.runs[0].end, 'stalled')

    async def test_crash(self):
        server, address = await self.start_target(crash_marker='poison')
        call = self.call(address, b'/', 'POST', cases.iterate(b'poison'))
        await self.assert_fails(
            messages.Outcome.CRASHED, verdicts.Verdict.MAY_HAVE_RUN, call
        )

    async def test_crash_on_a_reused_connection(self):
        server, address = await self.start_target(crash_marker='poison')
        await self.call(address)
        call = self.call(address, b'/', 'POST', cases.iterate(b'poison'))
        await self.assert_fails(
            messages.Outcome.CRASHED, verdicts.Verdict.MAY_HAVE_RUN, call
        )
        self.assertEqual(server.accepted, 1)

    async def test_shed(self):
        server, address = await self.start_target(slots=0)
        error = await self.assert_fails(
            messages.Outcome.SHED, verdicts.Verdict.NOT_RUN, self.call(address)
        )
        self.assertEqual(error.instance, 'target-1')
        server.state.change({'slots': 1})
        await self.call(address)
        self.assertEqual(server.accepted, 1)

    async def test_a_503_without_proof_is_a_response(self):
        raw_response = (
            b'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n'
        )
        script = scripted.serve_scripts([raw_response])
        address = await self.enterAsyncContext(script)
        response, _ = await self.call(address)
        self.assertEqual(response.outcome, messages.Outcome.ERROR_STATUS)

    async def test_malformed_responses(self):
        for raw_response in (
            b'SSH-2.0-server\r\n\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
            b'content-length: 2\r\n\r\nab',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nab',
        ):
            async with scripted.serve_scripts([raw_response]) as address:
                await self.assert_fails(
                    messages.Outcome.TRUNCATED,
                    verdicts.Verdict.MAY_HAVE_RUN,
                    self.call(address),
                )

    async def test_a_request_that_is_not_valid_http_is_not_sent(self):
        server, address = await self.start_target()
        call = self.call(address, b'/a b')
        await self.assert_fails(
            messages.Outcome.NOT_SENT, verdicts.Verdict.NOT_RUN, call
        )
        self.assertEqual(len(server.state.runs), 0)
