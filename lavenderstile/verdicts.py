"""Verdicts: whether a refused request may have run on a target."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a request has run on a target."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(enum.Enum):
    """Reason codes of refusals; part of the public interface."""

    HEADER_INVALID = 'header_invalid'
    BODY_TOO_LARGE = 'body_too_large'
    HOST_OVERLOADED = 'host_overloaded'
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    ROUTE_UNKNOWN = 'route_unknown'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    SERVICE_UNKNOWN = 'service_unknown'
    RATE_EXCEEDED = 'rate_exceeded'
    QUEUE_DEADLINE = 'queue_deadline'
    NO_CAPACITY = 'no_capacity'
    OWNER_UNREACHABLE = 'owner_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    TARGET_UNREACHABLE = 'target_unreachable'
    TARGET_TIMEOUT = 'target_timeout'
    TARGET_BROKEN = 'target_broken'
    TARGET_SHED = 'target_shed'
    CRASHES_TARGETS = 'crashes_targets'
    IDEMPOTENCY_KEY_REQUIRED = 'idempotency_key_required'
    IDEMPOTENCY_KEY_INVALID = 'idempotency_key_invalid'
    IDEMPOTENCY_KEY_EXPIRED = 'idempotency_key_expired'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    ALREADY_CLAIMED = 'already_claimed'
    CLAIMS_UNREACHABLE = 'claims_unreachable'
    ALONE = 'alone'
    INTERNAL_ERROR = 'internal_error'


STATUS_BY_REASON = {
    Reason.HEADER_INVALID: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HOST_OVERLOADED: 503,
    Reason.KEY_MISSING: 401,
    Reason.KEY_UNKNOWN: 401,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.SERVICE_UNKNOWN: 503,
    Reason.RATE_EXCEEDED: 429,
    Reason.QUEUE_DEADLINE: 503,
    Reason.NO_CAPACITY: 503,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.TARGET_UNREACHABLE: 502,
    Reason.TARGET_TIMEOUT: 504,
    Reason.TARGET_BROKEN: 502,
    Reason.TARGET_SHED: 503,
    Reason.CRASHES_TARGETS: 422,
    Reason.IDEMPOTENCY_KEY_REQUIRED: 400,
    Reason.IDEMPOTENCY_KEY_INVALID: 400,
    Reason.IDEMPOTENCY_KEY_EXPIRED: 409,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.ALREADY_CLAIMED: 409,
    Reason.CLAIMS_UNREACHABLE: 503,
    Reason.ALONE: 503,
    Reason.INTERNAL_ERROR: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request got no response from a target."""

    reason: Reason
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self):
        """HTTP status code of the refusal."""
        return STATUS_BY_REASON[self.reason]
