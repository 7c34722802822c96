"""Retry budget of a service and the decision whether to retry."""

import dataclasses

from . import messages
from . import verdicts

MAX_ATTEMPTS = 3
# Retries as a share of first attempts: a failing service gets at most 10%
# more load from retries.
BUDGET_RATIO = 0.1
# Retries that are possible after a quiet time, for example when a target
# with several running requests crashes.
BUDGET_BURST = 10.0
# A retry with less time left would only use up a slot.
MIN_REMAINING_S = 0.005

# Outcomes that prove that nothing ran.
_NOT_RUN = frozenset(
    (messages.Outcome.CONNECT_FAILED, messages.Outcome.NOT_SENT)
)
# Outcomes after which a second attempt makes no sense.
_FINAL = frozenset((messages.Outcome.ANSWERED, messages.Outcome.CANCELLED))


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    __slots__ = ('_tokens',)

    def __init__(self):
        self._tokens = BUDGET_BURST

    @property
    def tokens(self):
        """Retries that are allowed now."""
        return self._tokens

    def record_request(self):
        """Count a first attempt."""
        self._tokens = min(BUDGET_BURST, self._tokens + BUDGET_RATIO)

    def take(self):
        """Use one retry; return whether the budget allows it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """The request is admitted again, apart from the failed targets.

    A retry after a refused connection is not charged to the budget: it adds
    no load, as no target has done any work for the request yet.
    """

    attempt: int
    excluded_targets: tuple[str, ...]
    excluded_domains: tuple[str, ...]
    charged: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """The attempt's failure is the result of the request."""

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
    """Decide what follows a failed attempt.

    `verdict` says whether the attempt may have run on `target`;
    `response_started` whether the caller has already got a part of it.
    The exclusions are those of the failed attempt. The service's owner
    charges the retry to its budget when it is admitted.
    """
    if outcome in _FINAL:
        return NoRetry('the attempt is final')
    if response_started:
        return NoRetry('the caller has a part of the response')
    proved_not_run = outcome in _NOT_RUN or verdict is verdicts.Verdict.NOT_RUN
    if not idempotent and not proved_not_run:
        return NoRetry('the request is not idempotent and may have run')
    if attempt >= MAX_ATTEMPTS:
        return NoRetry(f'{attempt} attempts were made')
    if remaining_s < MIN_REMAINING_S:
        return NoRetry('the deadline leaves no time')
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
