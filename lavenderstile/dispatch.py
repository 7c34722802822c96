"""Sends an admitted request to a target, with retries."""

import asyncio
import dataclasses

import xxhash

from . import errors
from . import gate
from . import headers
from . import messages
from . import retries
from . import verdicts

# An older grant was held by a process that was paused; it is returned.
MAX_GRANT_AGE_S = 1.0
RETRY_DELAY_S = 0.1

REASON_BY_OUTCOME = {
    messages.Outcome.CONNECT_FAILED: verdicts.Reason.TARGET_UNREACHABLE,
    messages.Outcome.NOT_SENT: verdicts.Reason.DEADLINE_EXCEEDED,
    messages.Outcome.SHED: verdicts.Reason.TARGET_SHED,
    # The caller used up the time by sending or reading slowly.
    messages.Outcome.CANCELLED: verdicts.Reason.DEADLINE_EXCEEDED,
    messages.Outcome.TIMEOUT: verdicts.Reason.TARGET_TIMEOUT,
    messages.Outcome.SILENT_CONNECTION: verdicts.Reason.TARGET_TIMEOUT,
}


def digest_request(request, workspace):
    """Return a digest that is the same when the request is sent again."""
    digest = xxhash.xxh3_128()
    for part in (workspace.encode(), request.method.encode()):
        digest.update(part + b'\0')
    digest.update(request.raw_target + b'\0')
    digest.update(request.body.buffered_start)
    return digest.hexdigest()


def make_refusal(error):
    """Return the refusal that reports a target's failure to the caller."""
    reason = REASON_BY_OUTCOME.get(
        error.outcome, verdicts.Reason.TARGET_BROKEN
    )
    retry_after_s = 1.0 if reason is verdicts.Reason.TARGET_SHED else None
    return verdicts.Refusal(reason, str(error), error.verdict, retry_after_s)


def _get_measurements(source):
    """Return the measurements of a response or error for the owner."""
    return {
        'latency_s': source.latency_s,
        'cold': source.cold,
        'instance': source.instance,
    }


class Attempts:
    """State of a request across its attempts."""

    __slots__ = (
        '_claim',
        '_excluded_domains',
        '_excluded_targets',
        '_may_have_run',
        'admission',
        'charged',
        'digest',
        'needs_token',
        'number',
        'release_task',
        'request',
    )

    def __init__(self, request, admission, digest, claim):
        self.request = request
        self.admission = admission
        self.digest = digest
        self.number = 1
        self.charged = True
        self.needs_token = bool(admission.workspace)
        self.release_task = None
        self._claim = claim
        self._may_have_run = False
        self._excluded_targets = []
        self._excluded_domains = []

    def make_admit_request(self, host):
        """Return the request for a slot for the current attempt."""
        return messages.AdmitRequest(
            request_id=self.attempt_id,
            host=host.address,
            service=self.admission.service.name,
            workspace=self.admission.workspace,
            deadline=self.request.deadline,
            digest=self.digest,
            idempotent=self.admission.idempotent,
            attempt=self.number,
            excluded_targets=tuple(self._excluded_targets),
            excluded_domains=tuple(self._excluded_domains),
            charged=self.charged,
        )

    @property
    def attempt_id(self):
        """Id that is sent to the target, which has to echo it."""
        return f'{self.request.request_id}.{self.number}'

    def note(self, sentence):
        """Add a sentence to the explanation of the request."""
        self.request.record.note(sentence)

    def start_send(self):
        """Mark the request as possibly run, from now on."""
        self._claim.may_have_run = True

    def record_response(self, response):
        """Record the status of the target's response."""
        self._claim.status = response.status

    def record_failure(self, error, grant):
        """Record a failed attempt and exclude its target from retries."""
        self.note(f'{grant.unit.target}: {error}')
        if error.verdict is verdicts.Verdict.NOT_RUN:
            self._claim.may_have_run = self._may_have_run
        else:
            self._may_have_run = True
        self._excluded_targets.append(grant.unit.target)
        self._excluded_domains.append(grant.domain)
        self.number += 1

    def adjust_verdict(self, refusal):
        """Return the refusal with a verdict that covers all attempts."""
        if not self._may_have_run:
            return refusal
        if refusal.verdict is not verdicts.Verdict.NOT_RUN:
            return refusal
        return dataclasses.replace(
            refusal, verdict=verdicts.Verdict.MAY_HAVE_RUN
        )


class Dispatcher:
    """Acquires a slot and a token for a request and sends it."""

    def __init__(
        self, host, request_gate, slots, tokens, claim_client, forwarder
    ):
        self._host = host
        self._gate = request_gate
        self._slots = slots
        self._tokens = tokens
        self._claims = claim_client
        self._forwarder = forwarder

    async def run(self, request, admission, caller_response):
        """Send the request, with retries; raise RefusedError if it fails."""
        await request.body.prefetch()
        digest = digest_request(request, admission.workspace)
        async with self._claims.hold(request, admission, digest) as claim:
            attempts = Attempts(request, admission, digest, claim)
            try:
                await self._run_attempts(attempts, caller_response)
            except errors.RefusedError as error:
                refusal = attempts.adjust_verdict(error.refusal)
                raise errors.RefusedError(refusal) from error

    async def _run_attempts(self, attempts, caller_response):
        while True:
            grant = await self._acquire(attempts)
            try:
                await self._send(attempts, grant, caller_response)
                return
            except errors.TargetError as error:
                attempts.record_failure(error, grant)
                if caller_response.started:
                    raise
                if attempts.request.body.failure is not None:
                    raise attempts.request.body.failure from error
                self._check_retry(attempts, error)
                # The owner has to know of a crash before it chooses the
                # next target, or the request could crash another target.
                if attempts.release_task is not None:
                    await asyncio.wait((attempts.release_task,))

    async def _acquire(self, attempts):
        """Return a grant for which the request may be sent now."""
        while True:
            admit = attempts.make_admit_request(self._host)
            started = self._host.clock.now()
            grant = await self._slots.acquire(admit)
            granted_at = self._host.clock.now()
            self._host.metrics.queue_seconds.add(
                {'service': grant.unit.service}, granted_at - started
            )
            attempts.note(
                f'slot {grant.unit.index} of {grant.unit.target} granted '
                f'after {(granted_at - started) * 1000:.1f} ms'
            )
            try:
                may_send = await self._check_send(attempts, grant, granted_at)
            except BaseException:
                self._return_grant(grant, attempts)
                raise
            if may_send:
                return grant
            self._return_grant(grant, attempts)
            await asyncio.sleep(RETRY_DELAY_S)
            self._check_deadline(attempts)

    def _return_grant(self, grant, attempts):
        self._slots.release(grant, attempts.digest, messages.Outcome.NOT_SENT)

    def _check_deadline(self, attempts):
        now = self._host.clock.now()
        if attempts.request.remaining_s(now) <= 0:
            gate.refuse(
                verdicts.Reason.DEADLINE_EXCEEDED,
                'the deadline passed before the request could be sent',
            )

    async def _check_send(self, attempts, grant, granted_at):
        """Take a token, then repeat all checks before the send."""
        if attempts.needs_token:
            match await self._tokens.take(attempts.admission.workspace):
                case messages.Denied(retry_after_s):
                    gate.refuse_rate(retry_after_s)
                case messages.NoRights():
                    attempts.note(
                        'no host holds rate rights of the workspace; waiting'
                    )
                    return False
            attempts.needs_token = False
        self._check_deadline(attempts)
        is_recent = self._host.clock.now() - granted_at <= MAX_GRANT_AGE_S
        return self._gate.recheck(attempts.admission, grant.unit) and is_recent

    async def _send(self, attempts, grant, caller_response):
        """Send the request once and forward the response to the caller."""
        outcome, measured = messages.Outcome.CANCELLED, {}
        attempts.start_send()
        # A target need not respond while the caller still sends its body.
        if attempts.request.body.complete:
            self._slots.note_sent(grant)
        try:
            async with self._open(attempts, grant) as response:
                self._slots.note_response(grant)
                measured = _get_measurements(response)
                attempts.note(
                    f'{grant.unit.target} answered {response.status}'
                )
                await caller_response.send(response)
                outcome = response.outcome
                attempts.record_response(response)
        except errors.TargetError as error:
            outcome, measured = error.outcome, _get_measurements(error)
            raise
        finally:
            self._host.metrics.attempts.inc(
                {'service': grant.unit.service, 'outcome': outcome.value}
            )
            attempts.release_task = self._slots.release(
                grant, attempts.digest, outcome, **measured
            )

    def _open(self, attempts, grant):
        request = attempts.request
        return self._forwarder.open(
            grant.unit.target,
            request.method,
            request.raw_target,
            headers.prepare_for_target(request.headers),
            request.body.stream() if request.has_body else None,
            request_id=attempts.attempt_id,
            deadline=request.deadline,
        )

    def _check_retry(self, attempts, error):
        """Return if the request may be retried, else raise RefusedError."""
        request = attempts.request
        decision = retries.decide_retry(
            error.outcome,
            verdict=error.verdict,
            idempotent=attempts.admission.idempotent,
            attempt=attempts.number - 1,
            remaining_s=request.remaining_s(self._host.clock.now()),
        )
        match decision:
            case retries.Retry(charged=charged) if request.body.replayable:
                attempts.charged = charged
                attempts.note('retrying the request on another target')
            case _:
                raise errors.RefusedError(make_refusal(error)) from error
