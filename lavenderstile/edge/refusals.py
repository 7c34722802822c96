"""Answers of the host itself to requests that no target answered."""

import random

import msgspec

from .. import verdicts
from . import callers

Reason = verdicts.Reason
Verdict = verdicts.Verdict

# Refusals that say "not run" use these statuses, because callers repeat
# what they refuse; the others leave open whether the request has run.
_STATUS_NOT_RUN = {
    Reason.TARGET_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 503,
    Reason.CRASHES_TARGETS: 503,
    Reason.TARGET_TIMEOUT: 503,
    Reason.TARGET_BROKEN: 503,
}

# Callers come back over this spread, so that they do not meet again.
RETRY_SPREAD = 0.5


def get_status(refusal):
    """Return the HTTP status of a refusal."""
    if refusal.verdict is Verdict.NOT_RUN:
        return _STATUS_NOT_RUN.get(refusal.reason, refusal.status)
    return 504 if refusal.status == 504 else 502


def make_answer(refusal):
    """Return a refusal as the answer to the caller."""
    body = msgspec.json.encode(
        {
            'reason': refusal.reason.value,
            'verdict': refusal.verdict.value,
            'detail': refusal.detail,
        }
    )
    headers = [(b'content-type', b'application/json')]
    if refusal.retry_after_s is not None:
        wait_s = refusal.retry_after_s * (1 + RETRY_SPREAD * random.random())
        headers.append((b'retry-after', f'{wait_s:.2f}'.encode()))
    return callers.CallerResponse(get_status(refusal), headers, body)
