"""A request on its way to targets, and what became of each send."""

import dataclasses

from . import health
from . import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A target's own answer, to be passed on as it is."""

    answer: http_client.HttpResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A target says that it has not run the request."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """Nothing was sent."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request may have run; `answer` is the target's failure, if any."""

    kind: health.FaultKind
    detail: str
    answer: http_client.HttpResponse | None = None


class Call:
    """One request on its way."""

    __slots__ = (
        'connect_failures',
        'deadline',
        'digest',
        'failure',
        'key',
        'may_have_run',
        'excluded',
        'request',
        'request_id',
        'route',
        'sends',
        'service',
        'tries',
        'workspace',
    )

    def __init__(self, request, facts, route, workspace, deadline):
        self.request = request
        self.request_id = facts.request_id
        self.key = facts.key
        self.route = route
        self.workspace = workspace
        self.deadline = deadline
        self.service = None
        self.digest = None
        self.excluded = set()
        self.sends = []
        self.tries = 0
        self.connect_failures = 0
        self.may_have_run = False
        self.failure = None


def describe(outcome):
    """Return an outcome in a few words, for logs."""
    match outcome:
        case Answered(answer):
            return str(answer.status)
        case Failed(kind, _, _):
            return kind.value
        case Rejected(_):
            return 'rejected'
        case Unreachable(_):
            return 'not sent'
