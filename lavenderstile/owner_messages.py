"""Messages to the task that owns a host's rights, slots and claims."""

import asyncio
import dataclasses

from . import messages
from . import verdicts


@dataclasses.dataclass(frozen=True, slots=True)
class TakeToken:
    """Take one token of a workspace."""

    workspace: str
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Request a slot."""

    request: messages.AdmitRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Remove a request from the queue."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Release a slot."""

    report: messages.ReleaseReport


@dataclasses.dataclass(frozen=True, slots=True)
class Lend:
    """Lend rights to a borrower."""

    request: messages.BorrowRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Accept the lease that a lender granted."""

    lender: str
    incarnation: int
    sent_at: float
    grant: messages.LeaseGrant


@dataclasses.dataclass(frozen=True, slots=True)
class TakeBack:
    """Take back the rights that a borrower returns."""

    returned: messages.RightsReturn


@dataclasses.dataclass(frozen=True, slots=True)
class ReconcileGrants:
    """Update the slot tables from a host's list of running grants."""

    host: str
    running: tuple[messages.RunningGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inherit:
    """Store a service's summary, in case this host becomes its owner."""

    summary: messages.ServiceSummary


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """Apply what a target's health and load endpoints report."""

    hint: messages.TargetHint


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key at this replica."""

    request: messages.ClaimRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class EndClaim:
    """End an attempt at this replica."""

    end: messages.ClaimEnd


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """The process was paused."""

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Undo a decision whose requester was cancelled."""

    service: str
    outcome: messages.Grant | verdicts.Refusal
