"""State of a request that is forwarded, and the outcomes of its attempts."""

import dataclasses

from . import health
from . import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A target's own response, to be forwarded unchanged."""

    response: http_client.HttpResponse


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A target rejected the request without running it."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The request was not sent."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt failed, and the request may have run.

    `response` is the target's error response, if there is one.
    """

    kind: health.FaultKind
    detail: str
    response: http_client.HttpResponse | None = None


class Call:
    """A request that is forwarded, with its attempts so far.

    `relayed` is the `RelayedRequest` if another host sent it, which may have
    made some of the attempts. `excluded` has the instances that were tried,
    `unreachable` those of them to which this host could not connect.
    `queue_fields` are the log fields of its last wait for a slot, if the
    expected wait is estimated.
    """

    __slots__ = (
        'attempts',
        'connect_failures',
        'deadline',
        'digest',
        'excluded',
        'failure',
        'is_surplus',
        'key',
        'may_have_run',
        'may_relay',
        'priority',
        'queue_fields',
        'relayed',
        'request',
        'request_id',
        'retry_after_s',
        'route',
        'sends',
        'service',
        'unreachable',
        'wait_deadline',
        'waited_s',
        'workspace',
    )

    def __init__(
        self, request, parsed, route, workspace, deadline, relayed=None
    ):
        self.request = request
        self.request_id = parsed.request_id
        self.key = parsed.key
        self.route = route
        self.workspace = workspace
        self.deadline = deadline
        self.priority = _find_priority(route, workspace)
        self.wait_deadline = None
        self.waited_s = 0.0
        self.queue_fields = {}
        self.is_surplus = False
        self.retry_after_s = None
        self.service = None
        self.digest = None
        self.relayed = relayed
        self.may_relay = relayed is None
        self.excluded = set(relayed.excluded if relayed else ())
        self.unreachable = set()
        self.sends = []
        self.attempts = relayed.attempts if relayed else 0
        self.connect_failures = 0
        self.may_have_run = False
        self.failure = None


def _find_priority(route, workspace):
    """Return a request's priority; that of a workspace goes first."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def describe(outcome):
    """Return a short description of an outcome, for logs."""
    match outcome:
        case Answered(response):
            return str(response.status)
        case Failed(kind, _, _):
            return kind.value
        case Rejected(_):
            return 'rejected'
        case Unreachable(_):
            return 'not sent'
