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
    """Ask for a slot."""

    request: messages.AdmitRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Give up a queued request, or a grant that nobody waits for."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give a slot back."""

    report: messages.ReleaseReport


@dataclasses.dataclass(frozen=True, slots=True)
class Lend:
    """Answer a borrower's request."""

    request: messages.BorrowRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Accept a lender's grant."""

    lender: str
    incarnation: int
    sent_at: float
    grant: messages.LeaseGrant


@dataclasses.dataclass(frozen=True, slots=True)
class TakeBack:
    """Take lent rights back from a borrower."""

    returned: messages.RightsReturn


@dataclasses.dataclass(frozen=True, slots=True)
class ReconcileGrants:
    """Learn of the grants that a host uses."""

    host: str
    running: tuple[messages.RunningGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inherit:
    """Keep a service's summary for the case of succession."""

    summary: messages.ServiceSummary


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """Pass on what a target's endpoints said."""

    hint: messages.TargetHint


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key at this home."""

    request: messages.ClaimRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class EndClaim:
    """End an attempt at this home."""

    end: messages.ClaimEnd


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """The process was stopped for a while."""

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Abandon:
    """Take back a decision whose requester has gone."""

    service: str
    outcome: messages.Grant | verdicts.Refusal
