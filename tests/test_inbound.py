"""Tests of callers' requests and their bodies."""

import unittest

from lavenderstile import errors
from lavenderstile import inbound
from lavenderstile import verdicts
from tests import fakes

PREFETCH = inbound.PREFETCH_BYTES


async def read_all(body):
    """Return the whole streamed body."""
    return b''.join([chunk async for chunk in body.stream()])


class RequestBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that are lost, duplicated or buffered whole."""

    def make(self, *chunks, max_bytes=None):
        """Return a request body and the fake caller that sends it."""
        caller = fakes.Caller(*fakes.make_body(*chunks))
        return inbound.RequestBody(caller.receive, max_bytes), caller

    async def test_a_small_body_is_buffered_and_can_be_sent_twice(self):
        body, _ = self.make(b'one', b'two')
        await body.prefetch()
        self.assertEqual(await read_all(body), b'onetwo')
        self.assertTrue(body.replayable)
        self.assertEqual(await read_all(body), b'onetwo')

    async def test_only_the_start_of_a_large_body_is_prefetched(self):
        body, caller = self.make(b'a' * PREFETCH, b'b', b'c')
        await body.prefetch()
        self.assertEqual(len(caller.incoming), 2)
        self.assertEqual(len(body.buffered_start), PREFETCH)

    async def test_a_large_body_is_streamed_whole_and_only_once(self):
        body, _ = self.make(b'a' * PREFETCH, b'b', b'c')
        await body.prefetch()
        self.assertTrue(body.replayable)
        self.assertEqual(await read_all(body), b'a' * PREFETCH + b'bc')
        self.assertFalse(body.replayable)

    async def test_a_disconnect_in_the_body_is_an_error(self):
        body = inbound.RequestBody(
            fakes.Caller(
                {'type': 'http.request', 'body': b'a', 'more_body': True},
                {'type': 'http.disconnect'},
            ).receive
        )
        with self.assertRaises(inbound.CallerDisconnectedError):
            await body.prefetch()
        self.assertIsInstance(body.failure, inbound.CallerDisconnectedError)

    async def test_a_body_over_the_limit_is_refused_as_not_run(self):
        body, _ = self.make(b'abc', b'def', max_bytes=5)
        with self.assertRaises(errors.RefusedError) as caught:
            await body.prefetch()
        refusal = caught.exception.refusal
        self.assertIs(refusal.reason, verdicts.Reason.BODY_TOO_LARGE)
        self.assertIs(refusal.verdict, verdicts.Verdict.NOT_RUN)

    async def test_a_limit_passed_in_the_stream_may_have_run(self):
        body, _ = self.make(b'a' * PREFETCH, b'bc', max_bytes=PREFETCH + 1)
        await body.prefetch()
        with self.assertRaises(errors.RefusedError) as caught:
            await read_all(body)
        verdict = caught.exception.refusal.verdict
        self.assertIs(verdict, verdicts.Verdict.MAY_HAVE_RUN)


class DeadlineTest(unittest.TestCase):
    """Guards against requests that run past the caller's time-out."""

    def deadline(self, *headers):
        """Return the seconds from a request's arrival to its deadline."""
        request = fakes.make_request(fakes.Caller(), headers=headers)
        request.set_deadline(10_000)
        return request.deadline - request.arrived_at

    def test_the_service_limits_the_time(self):
        self.assertEqual(self.deadline(), 10.0)

    def test_the_caller_may_ask_for_less(self):
        header = (b'x-request-timeout-ms', b'250')
        self.assertEqual(self.deadline(header), 0.25)

    def test_the_caller_may_not_ask_for_more(self):
        header = (b'x-request-timeout-ms', b'60000')
        self.assertEqual(self.deadline(header), 10.0)

    def test_a_bad_value_is_refused_as_not_run(self):
        for value in (b'', b'soon', b'-5', b'0', b'1.5', b'9' * 12):
            with self.assertRaises(errors.RefusedError) as caught:
                self.deadline((b'x-request-timeout-ms', value))
            refusal = caught.exception.refusal
            self.assertIs(refusal.reason, verdicts.Reason.HEADER_INVALID)


class TargetTest(unittest.TestCase):
    """Guards against paths that are decoded on the way to the target."""

    def test_an_encoded_path_stays_as_sent(self):
        scope = fakes.make_scope(path='/heats/a/b')
        scope['raw_path'] = b'/heats/a%2Fb'
        scope['query_string'] = b'q=%20'
        request = fakes.make_request(fakes.Caller())
        request = inbound.InboundRequest(
            scope, None, 0.0, fakes.explain.RequestJournal()
        )
        self.assertEqual(request.raw_target, b'/heats/a%2Fb?q=%20')
