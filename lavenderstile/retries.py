"""Retry budget of a service and the decision whether to retry."""

import dataclasses

from . import messages
from . import verdicts

MAX_ATTEMPTS = 3
# Retries per first attempt: retries add at most 10% to the load of a failing
# service.
BUDGET_RATIO = 0.1
# Retries available at once after a quiet time, for example when a target
# with several running requests crashes.
BUDGET_BURST = 10.0
# With less time left, a retry would occupy a slot without a chance to finish.
MIN_REMAINING_S = 0.005

# Outcomes that prove that the request did not run.
_NOT_RUN = frozenset(
    (messages.Outcome.CONNECT_FAILED, messages.Outcome.NOT_SENT)
)
# Outcomes that are never retried.
_FINAL = frozenset((messages.Outcome.ANSWERED, messages.Outcome.CANCELLED))


class RetryBudget:
    """Token bucket filled by first attempts and drained by retries."""

    __slots__ = ('_tokens',)

    def __init__(self):
        self._tokens = BUDGET_BURST

    @property
    def tokens(self):
        """Number of retries that are allowed now."""
        return self._tokens

    def record_request(self):
        """Count a first attempt."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_RATIO)

    def take(self):
        """Take one token; return whether the budget allows the retry."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is admitted again, avoiding the failed targets.

    A retry after a refused connection is not charged to the budget: it adds
    no load, as no target has done any work for the request yet.
    """

    attempt: int
    excluded_targets: tuple[str, ...]
    excluded_domains: tuple[str, ...]
    charged: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """The request fails with the error of this attempt."""

    reason: str


def decide_retry(
    outcome,
    idempotent,
    attempt,
    remaining_s,
    verdict=verdicts.Verdict.MAY_HAVE_RUN,
    *,
    target=None,
    domain=None,
    excluded_targets=(),
    excluded_domains=(),
    response_started=False,
):
    """Decide whether to retry after a failed attempt.

    `verdict` says whether the attempt may have run on `target`;
    `response_started` whether the caller has already received part of the
    response. The exclusions are those of the failed attempt. The service's
    owner charges the retry to its budget when it is admitted.
    """
    if outcome in _FINAL:
        return NoRetry('the outcome is never retried')
    if response_started:
        return NoRetry('the caller has received part of the response')
    proved_not_run = outcome in _NOT_RUN or verdict is verdicts.Verdict.NOT_RUN
    if not idempotent and not proved_not_run:
        return NoRetry('the request is not idempotent and may have run')
    if attempt >= MAX_ATTEMPTS:
        return NoRetry(f'{attempt} attempts were made')
    if remaining_s < MIN_REMAINING_S:
        return NoRetry('not enough time is left before the deadline')
    return Retry(
        attempt + 1,
        _append_new(excluded_targets, target),
        _append_new(excluded_domains, domain),
        outcome is not messages.Outcome.CONNECT_FAILED,
    )


def _append_new(names, name):
    if name is None or name in names:
        return tuple(names)
    return (*names, name)
