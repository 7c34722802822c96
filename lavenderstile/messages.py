"""Typed messages between tasks, decision objects and hosts."""

import dataclasses
import enum

from . import verdicts

# Tokens are counted in millionths, so that shares of a rate are exact.
MICRO = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class SlotUnit:
    """One slot of a target: the right to run one request there."""

    service: str
    target: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateItem:
    """A workspace's rate right within a lease.

    `tokens_micro` are tokens that move to the borrower with this item.
    """

    workspace: str
    rate_micro: int
    burst_micro: int
    tokens_micro: int


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowRequest:
    """A borrower asks a lender for the rights to the items that it owns.

    `returned` are the unspent tokens of rights that the known version
    withdrew from the borrower.
    """

    borrower: str
    incarnation: int
    known_lease: int = 0
    known_version: int = 0
    returned: tuple[RateItem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lender's reply; `items` is None when nothing changed.

    Otherwise it is the complete list of the lease's rate items and slot
    units.
    """

    lease_id: int
    version: int
    duration_s: float
    items: tuple[RateItem | SlotUnit, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class RightsReturn:
    """A borrower ends a lease early and hands unspent tokens back."""

    borrower: str
    incarnation: int
    lease_id: int
    tokens: tuple[RateItem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """A token was taken; the request may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """No token is left; the next one comes after `retry_after_s`."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoRights:
    """The asked host holds no right for this workspace."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """An entry host asks the owner of a service for a slot.

    `deadline` is on the receiving host's clock; messages between hosts
    carry the remaining time.
    """

    request_id: str
    host: str
    service: str
    workspace: str
    deadline: float
    digest: str
    idempotent: bool
    attempt: int = 1
    excluded_targets: tuple[str, ...] = ()
    excluded_domains: tuple[str, ...] = ()
    # Whether a retry counts against the service's retry budget.
    charged: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slot on a target was granted to a request."""

    grant_id: str
    request_id: str
    unit: SlotUnit
    domain: str
    trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits for a slot; a later poll decides it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The end of a queued request: a grant or a refusal."""

    request_id: str
    outcome: Grant | verdicts.Refusal


class Outcome(enum.Enum):
    """The outcome of one attempt on a target."""

    ANSWERED = 'answered'
    ERROR_STATUS = 'error_status'
    SHED = 'shed'
    CONNECT_FAILED = 'connect_failed'
    TIMEOUT = 'timeout'
    TRUNCATED = 'truncated'
    CROSSED = 'crossed'
    CRASHED = 'crashed'
    SILENT_CONNECTION = 'silent_connection'
    CANCELLED = 'cancelled'
    NOT_SENT = 'not_sent'


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseReport:
    """An entry host returns a slot and reports the attempt's outcome.

    `latency_s` is the time from the last byte of the request sent to the
    first byte of the response received; it excludes the time spent waiting
    for the caller.
    """

    grant_id: str
    host: str
    unit: SlotUnit
    digest: str
    outcome: Outcome
    latency_s: float | None = None
    cold: bool = False
    instance: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RunningGrant:
    """A grant that a host still uses, as listed in its exchanges.

    `waiting_s` is the time since the whole request was sent, or None when
    it is still being sent or its response has begun.
    """

    grant_id: str
    host: str
    unit: SlotUnit
    waiting_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHint:
    """The last report of a target's health and load endpoints."""

    service: str
    target: str
    healthy: bool
    draining: bool = False
    cold: bool = False
    instance: str = ''
    running: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EjectionNote:
    """A target's ejection as replicated to peers.

    `remaining_s` is the time until its trial starts.
    """

    service: str
    target: str
    state: str
    remaining_s: float
    returns: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNote:
    """The digest of a request that crashed targets, as replicated to peers."""

    service: str
    digest: str
    targets: tuple[str, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSummary:
    """The part of a service owner's state that its successor needs."""

    service: str
    ejections: tuple[EjectionNote, ...]
    crashes: tuple[CrashNote, ...]


class ClaimState(enum.Enum):
    """A replica's answer to a claim."""

    GRANTED = 'granted'
    CLAIMED = 'claimed'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'
    WRONG_FLEET = 'wrong_fleet'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """An attempt claims an idempotency key at one of the key's replicas."""

    workspace: str
    key: str
    attempt_id: str
    digest: str
    created_unix: float
    fleet_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """A replica's answer; `status` is the HTTP status of a finished run."""

    state: ClaimState
    status: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEnd:
    """The end of an attempt: `status` of its run, or not run at all."""

    workspace: str
    key: str
    attempt_id: str
    ran: bool
    status: int | None = None
