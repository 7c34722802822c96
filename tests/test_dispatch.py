"""Tests of the attempts of a request."""

import asyncio
import unittest

from lavenderstile import dispatch
from lavenderstile import entry
from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts
from tests import fakes

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
REFUSED = fakes.make_target_error(messages.Outcome.CONNECT_FAILED, NOT_RUN)
SHED = fakes.make_target_error(messages.Outcome.SHED, NOT_RUN)
TIMEOUT = fakes.make_target_error(messages.Outcome.TIMEOUT, MAY_HAVE_RUN)
CRASHED = fakes.make_target_error(messages.Outcome.CRASHED, MAY_HAVE_RUN)


def make_refused(reason):
    """Return an error that refuses a request as not run."""
    return errors.RefusedError(verdicts.Refusal(reason, 'detail'))


class FakeGate:
    """Gives the results of the check before the send."""

    def __init__(self):
        self.results = []

    def recheck(self, admission, unit):
        """Return or raise the next result; the default allows the send."""
        result = self.results.pop(0) if self.results else True
        if isinstance(result, Exception):
            raise result
        return result


class DispatchTestCase(unittest.IsolatedAsyncioTestCase):
    """Builds a dispatcher whose collaborators are fakes."""

    def setUp(self):
        self.host = fakes.FakeHost()
        self.slots_class = fakes.FakeSlots
        self.gate = FakeGate()
        self.tokens = fakes.FakeTokens()
        self.claims = fakes.FakeClaims()
        self.caller = fakes.Caller(*fakes.make_body())

    async def run_request(self, slots, forwarder, method='GET', **options):
        """Run a request; return its refusal, or None on success."""
        self.slots = self.slots_class(*slots)
        self.forwarder = forwarder
        dispatcher = dispatch.Dispatcher(
            self.host,
            self.gate,
            self.slots,
            self.tokens,
            self.claims,
            forwarder,
        )
        headers = options.pop('headers', ())
        request = fakes.make_request(self.caller, method, headers)
        caller_response = entry.CallerResponse(self.caller.send, 'id', False)
        try:
            await dispatcher.run(
                request, fakes.make_admission(**options), caller_response
            )
        except errors.RefusedError as error:
            return error.refusal
        return None


class VerdictTest(DispatchTestCase):
    """Guards against the verdict "not run" for a request that has run."""

    async def test_a_timeout_may_have_run(self):
        forwarder = fakes.FakeForwarder(TIMEOUT)
        refusal = await self.run_request(
            ['t1'], forwarder, 'POST', idempotent=False
        )
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)
        self.assertIs(refusal.reason, verdicts.Reason.TARGET_TIMEOUT)

    async def test_a_refused_connection_has_not_run(self):
        forwarder = fakes.FakeForwarder(REFUSED, REFUSED, REFUSED)
        refusal = await self.run_request(['t1', 't2', 't3'], forwarder)
        self.assertIs(refusal.verdict, NOT_RUN)

    async def test_a_later_proof_does_not_cover_an_earlier_attempt(self):
        """A timeout, then a refused connection: the request may have run."""
        forwarder = fakes.FakeForwarder(TIMEOUT, REFUSED, REFUSED)
        refusal = await self.run_request(['t1', 't2', 't3'], forwarder)
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)

    async def test_a_refusal_in_the_queue_after_an_attempt_may_have_run(self):
        forwarder = fakes.FakeForwarder(TIMEOUT)
        full = make_refused(verdicts.Reason.QUEUE_DEADLINE)
        refusal = await self.run_request(['t1', full], forwarder)
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)

    async def test_a_refusal_before_any_send_has_not_run(self):
        full = make_refused(verdicts.Reason.QUEUE_DEADLINE)
        refusal = await self.run_request([full], fakes.FakeForwarder())
        self.assertIs(refusal.verdict, NOT_RUN)


class AtMostOnceTest(DispatchTestCase):
    """Guards against a second run of a non-idempotent request."""

    async def test_no_retry_when_it_may_have_run(self):
        for failure in (TIMEOUT, CRASHED):
            self.caller = fakes.Caller(*fakes.make_body())
            forwarder = fakes.FakeForwarder(failure)
            await self.run_request(
                ['t1', 't2'], forwarder, 'POST', idempotent=False
            )
            self.assertEqual(len(forwarder.sends), 1)

    async def test_a_retry_after_proof_that_nothing_ran(self):
        forwarder = fakes.FakeForwarder(SHED, fakes.FakeResponse())
        refusal = await self.run_request(
            ['t1', 't2'], forwarder, 'POST', idempotent=False
        )
        self.assertIsNone(refusal)
        self.assertEqual([s.address for s in forwarder.sends], ['t1', 't2'])

    async def test_the_claim_stays_when_it_may_have_run(self):
        await self.run_request(
            ['t1'], fakes.FakeForwarder(TIMEOUT), 'POST', idempotent=False
        )
        self.assertTrue(self.claims.held[0].may_have_run)

    async def test_the_claim_is_freed_when_nothing_ran(self):
        await self.run_request(
            ['t1'] * 3,
            fakes.FakeForwarder(REFUSED, REFUSED, REFUSED),
            'POST',
            idempotent=False,
        )
        self.assertFalse(self.claims.held[0].may_have_run)

    async def test_the_claim_records_the_status(self):
        await self.run_request(
            ['t1'],
            fakes.FakeForwarder(fakes.FakeResponse(201)),
            'POST',
            idempotent=False,
        )
        self.assertEqual(self.claims.held[0].status, 201)


class RetryTest(DispatchTestCase):
    """Guards against retries on the target that has just failed."""

    async def test_a_retry_excludes_target_and_domain(self):
        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        self.assertIsNone(await self.run_request(['t1', 't2'], forwarder))
        second = self.slots.requests[1]
        self.assertEqual(second.excluded_targets, ('t1',))
        self.assertEqual(second.excluded_domains, ('d-t1',))
        self.assertEqual(second.attempt, 2)

    async def test_a_refused_connection_is_not_charged_to_the_budget(self):
        """When a domain is lost, the budget would refuse good retries."""
        for failure, charged in ((REFUSED, False), (CRASHED, True)):
            self.caller = fakes.Caller(*fakes.make_body())
            forwarder = fakes.FakeForwarder(failure, fakes.FakeResponse())
            await self.run_request(['t1', 't2'], forwarder)
            self.assertIs(self.slots.requests[1].charged, charged)

    async def test_each_attempt_has_its_own_id(self):
        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        await self.run_request(['t1', 't2'], forwarder)
        ids = {send.request_id for send in forwarder.sends}
        self.assertEqual(len(ids), 2)

    async def test_a_retry_sends_the_whole_body_again(self):
        self.caller = fakes.Caller(*fakes.make_body(b'one', b'two'))
        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        await self.run_request(
            ['t1', 't2'],
            forwarder,
            'PUT',
            headers=[(b'content-length', b'6')],
        )
        bodies = [send.body for send in forwarder.sends]
        self.assertEqual(bodies, [b'onetwo', b'onetwo'])

    async def test_a_body_that_is_not_buffered_is_not_sent_again(self):
        """A second send would lack the chunks streamed in the first."""
        chunk = b'x' * 64 * 1024
        self.caller = fakes.Caller(*fakes.make_body(chunk, b'tail'))
        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        refusal = await self.run_request(
            ['t1', 't2'],
            forwarder,
            'PUT',
            headers=[(b'content-length', b'65540')],
        )
        self.assertIs(refusal.verdict, MAY_HAVE_RUN)
        self.assertEqual(len(forwarder.sends), 1)

    async def test_the_owner_knows_of_a_crash_before_the_next_attempt(self):
        """Otherwise a request that crashes targets reaches another target."""
        log = []

        async def notify_owner():
            await asyncio.sleep(0.01)
            log.append('notified')

        class SlowSlots(fakes.FakeSlots):
            async def acquire(self, request):
                log.append('requested')
                return await super().acquire(request)

            def release(self, *arguments, **measured):
                return asyncio.ensure_future(notify_owner())

        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        self.slots_class = SlowSlots
        await self.run_request(['t1', 't2'], forwarder)
        self.assertEqual(log[:3], ['requested', 'notified', 'requested'])

    async def test_all_attempts_use_one_token(self):
        forwarder = fakes.FakeForwarder(CRASHED, fakes.FakeResponse())
        await self.run_request(['t1', 't2'], forwarder)
        self.assertEqual(self.tokens.taken, 1)


class LastCheckTest(DispatchTestCase):
    """Guards against a send that is based on outdated state."""

    async def test_a_withdrawn_key_is_refused_after_the_queue(self):
        self.gate.results = [make_refused(verdicts.Reason.KEY_UNKNOWN)]
        forwarder = fakes.FakeForwarder()
        refusal = await self.run_request(['t1'], forwarder)
        self.assertIs(refusal.reason, verdicts.Reason.KEY_UNKNOWN)
        self.assertEqual(forwarder.sends, [])
        self.assertEqual(
            self.slots.reports, [('t1', messages.Outcome.NOT_SENT)]
        )

    async def test_a_target_taken_out_gets_nothing(self):
        self.gate.results = [False]
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        self.assertIsNone(await self.run_request(['t1', 't2'], forwarder))
        self.assertEqual([s.address for s in forwarder.sends], ['t2'])

    async def test_a_grant_held_across_a_pause_is_given_back(self):
        tokens = self.tokens

        async def take_late(workspace):
            tokens.take = type(tokens).take.__get__(tokens)
            self.host.clock.advance(1.5)
            return messages.Taken()

        tokens.take = take_late
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        self.assertIsNone(await self.run_request(['t1', 't2'], forwarder))
        self.assertEqual([s.address for s in forwarder.sends], ['t2'])

    async def test_a_passed_deadline_sends_nothing(self):
        async def take_too_late(workspace):
            self.host.clock.advance(11.0)
            return messages.Taken()

        self.tokens.take = take_too_late
        forwarder = fakes.FakeForwarder()
        refusal = await self.run_request(['t1'], forwarder)
        self.assertIs(refusal.reason, verdicts.Reason.DEADLINE_EXCEEDED)
        self.assertIs(refusal.verdict, NOT_RUN)
        self.assertEqual(forwarder.sends, [])


class RateTest(DispatchTestCase):
    """Guards against requests over the rate and against lost slots."""

    async def test_a_denied_token_refuses_and_frees_the_slot(self):
        self.tokens = fakes.FakeTokens(messages.Denied(0.5))
        forwarder = fakes.FakeForwarder()
        refusal = await self.run_request(['t1'], forwarder)
        self.assertIs(refusal.reason, verdicts.Reason.RATE_EXCEEDED)
        self.assertEqual(refusal.retry_after_s, 0.5)
        self.assertEqual(forwarder.sends, [])
        self.assertEqual(len(self.slots.reports), 1)

    async def test_without_an_owner_the_request_waits_without_a_slot(self):
        self.tokens = fakes.FakeTokens(messages.NoRights())
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        self.assertIsNone(await self.run_request(['t1', 't2'], forwarder))
        self.assertEqual(
            self.slots.reports[0], ('t1', messages.Outcome.NOT_SENT)
        )

    async def test_open_routes_take_no_token(self):
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        await self.run_request(['t1'], forwarder, workspace='')
        self.assertEqual(self.tokens.taken, 0)


class ResponseTest(DispatchTestCase):
    """Guards against a truncated response that looks complete."""

    async def test_a_truncated_response_is_not_completed(self):
        truncated = fakes.make_target_error(
            messages.Outcome.TRUNCATED, MAY_HAVE_RUN
        )
        forwarder = fakes.FakeForwarder(
            fakes.FakeResponse(chunks=(b'do',), error=truncated)
        )
        with self.assertRaises(errors.TargetError):
            await self.run_request(['t1', 't2'], forwarder)
        self.assertFalse(self.caller.complete)
        self.assertEqual(len(forwarder.sends), 1)
        self.assertEqual(
            self.slots.reports, [('t1', messages.Outcome.TRUNCATED)]
        )

    async def test_a_whole_response_is_completed(self):
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        await self.run_request(['t1'], forwarder)
        self.assertTrue(self.caller.complete)
        self.assertEqual(self.caller.body, b'done')

    async def test_the_key_is_not_forwarded_to_the_target(self):
        forwarder = fakes.FakeForwarder(fakes.FakeResponse())
        await self.run_request(
            ['t1'],
            forwarder,
            headers=[(b'authorization', b'Bearer secret')],
        )
        self.assertNotIn(b'authorization', forwarder.sends[0].headers)


class DigestTest(unittest.TestCase):
    """Guards against different requests with the same digest."""

    def digest(self, method='GET', headers=(), workspace='club'):
        """Return the digest of a request."""
        request = fakes.make_request(fakes.Caller(), method, headers)
        return dispatch.digest_request(request, workspace)

    def test_a_resent_request_has_the_same_digest(self):
        self.assertEqual(self.digest(), self.digest())

    def test_headers_such_as_the_key_are_not_part_of_it(self):
        headers = [(b'authorization', b'Bearer secret')]
        self.assertEqual(self.digest(), self.digest(headers=headers))

    def test_workspace_and_method_are_part_of_it(self):
        digests = {
            self.digest(),
            self.digest(method='PUT'),
            self.digest(workspace='other'),
        }
        self.assertEqual(len(digests), 3)
