"""Error responses of the host to requests that no target answered."""

import random

import msgspec

from .. import errors
from .. import verdicts
from . import callers

Reason = verdicts.Reason
Verdict = verdicts.Verdict

# Refusals with the verdict "not run" use these statuses, which callers retry.
# Other statuses leave open whether the request has run.
_STATUS_NOT_RUN = {
    Reason.TARGET_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 503,
    Reason.CRASHES_TARGETS: 503,
    Reason.TARGET_TIMEOUT: 503,
    Reason.TARGET_BROKEN: 503,
    Reason.INTERNAL_ERROR: 503,
}

# Statuses that promise the caller that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

# Jitter of Retry-After, as a share of it, so that callers do not all retry at
# the same time.
RETRY_AFTER_JITTER = 0.5


def refuse(reason, detail, retry_after_s=None, verdict=Verdict.NOT_RUN):
    """Raise a `RefusedError` for a request."""
    raise errors.RefusedError(
        verdicts.Refusal(reason, detail, verdict, retry_after_s)
    )


def get_status(refusal):
    """Return the HTTP status of a refusal."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _STATUS_NOT_RUN.get(refusal.reason, refusal.status)
    return 504 if refusal.status == 504 else 502


def make_response(refusal):
    """Return the response to the caller for a refusal."""
    body = msgspec.json.encode(
        {
            'reason': refusal.reason.value,
            'verdict': refusal.verdict.value,
            'detail': refusal.detail,
        }
    )
    headers = [(b'content-type', b'application/json')]
    if refusal.retry_after_s is not None:
        wait_s = refusal.retry_after_s * (
            1 + RETRY_AFTER_JITTER * random.random()
        )
        headers.append((b'retry-after', f'{wait_s:.2f}'.encode()))
    return callers.CallerResponse(get_status(refusal), headers, body, refusal)
