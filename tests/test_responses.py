"""Tests of truncated responses and of those to another request."""

from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts
from tests import cases
from tests.standins import scripted


class TruncationTest(cases.ForwardingCase):
    """Guards against a truncated response that is taken for complete.

    The target closes or resets the connection, or stalls, in the body.
    """

    async def check(self, **behaviour):
        _, address = await self.start_target(**behaviour)
        size = 0
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                async for part in response:
                    size += len(part)
        self.assertEqual(caught.exception.outcome, messages.Outcome.TRUNCATED)
        self.assertEqual(
            caught.exception.verdict, verdicts.Verdict.MAY_HAVE_RUN
        )
        self.assertEqual(self.forwarder.get_pool(address).open_count, 0)
        return size

    async def test_by_length(self):
        self.assertEqual(await self.check(truncated_share=1.0), 10_000)

    async def test_chunked(self):
        size = await self.check(truncated_chunked_share=1.0)
        self.assertEqual(size, 10_000)

    async def test_a_response_without_framing_is_rejected(self):
        self.assertEqual(await self.check(unframed_share=1.0), 0)

    async def test_reset_in_the_body(self):
        server, address = await self.start_target(stalled_body_share=1.0)
        with self.assertRaises(errors.TargetError) as caught:
            async with self.open(address) as response:
                async for _ in response:
                    server.reset_connections()
        self.assertEqual(caught.exception.outcome, messages.Outcome.TRUNCATED)
        self.assertEqual(response.outcome, messages.Outcome.TRUNCATED)

    async def test_stall_in_the_body(self):
        server, address = await self.start_target(stalled_body_share=1.0)
        await self.assert_fails(
            messages.Outcome.TIMEOUT,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call_short(address),
        )


class CrossedTest(cases.ForwardingCase):
    """Guards against a response that reaches the caller of another request.

    A target mixes up its responses, or sends bytes after the end of one
    that a later request on the same connection would read.
    """

    async def test_another_id_is_refused(self):
        _, address = await self.start_target(crossed_share=1.0)
        await self.assert_fails(
            messages.Outcome.CROSSED,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call(address),
        )
        self.assertEqual(self.forwarder.get_pool(address).open_count, 0)

    async def test_a_late_response_never_reaches_the_next_request(self):
        server, address = await self.start_target()
        await self.forwarder.set_limits({address: 1})
        call = self.call_short(address, b'/?work_ms=60000')
        await self.assert_fails(
            messages.Outcome.TIMEOUT, verdicts.Verdict.MAY_HAVE_RUN, call
        )
        response, _ = await self.call(address)
        self.assertEqual(response.status, 200)
        runs = server.state.runs
        self.assertNotEqual(runs[0].connection, runs[1].connection)

    async def test_bytes_after_a_response_never_reach_the_next_request(self):
        def make_response(request_id, body):
            return (
                b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-request-id: '
                + request_id
                + b'\r\n\r\n'
                + body
            )

        extra = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil'
        first = make_response(b'request-1', b'good') + extra
        script = scripted.serve_scripts(
            [first, b''], [make_response(b'request-3', b'good')]
        )
        address = await self.enterAsyncContext(script)
        _, body = await self.call(address)
        self.assertEqual(body, b'good')
        await self.assert_fails(
            messages.Outcome.CROSSED,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call(address),
        )
        _, body = await self.call(address)
        self.assertEqual(body, b'good')

    async def test_a_split_left_over_response_is_detected(self):
        good = (
            b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n'
            b'x-request-id: request-1\r\n\r\ngood'
        )
        extra = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nevil'
        script = scripted.serve_scripts([good + extra[:10], extra[10:]])
        address = await self.enterAsyncContext(script)
        _, body = await self.call(address)
        self.assertEqual(body, b'good')
        await self.assert_fails(
            messages.Outcome.CROSSED,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call(address),
        )

    async def test_left_over_bytes_without_ids_are_detected(self):
        headers = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n'
        script = scripted.serve_scripts(
            [headers + b'good' + headers + b'evil', b''], [headers + b'good']
        )
        address = await self.enterAsyncContext(script)
        _, body = await self.call(address)
        self.assertEqual(body, b'good')
        await self.assert_fails(
            messages.Outcome.CROSSED,
            verdicts.Verdict.MAY_HAVE_RUN,
            self.call(address),
        )
        _, body = await self.call(address)
        self.assertEqual(body, b'good')
