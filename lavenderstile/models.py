"""Objects that operators configure: the state in force."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The addresses that entry hosts may have; M is their number."""

    addresses: tuple[str, ...] = ()
    claim_window_s: float = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """A failure domain."""

    name: str
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with the digests of its keys, its rate and burst.

    The rate is in requests per second, the burst in requests.
    """

    name: str
    key_digests: tuple[str, ...]
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A server of a service, named by its `ip:port` address."""

    address: str
    domain: str
    slots: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its targets.

    `connections` limits the open connections per target over the whole
    fleet; `floor` is the fraction of capacity that ejection must leave.
    """

    name: str
    targets: tuple[Target, ...]
    connections: int = 400
    floor: float = 0.7
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A path prefix and the service that its requests are sent to."""

    name: str
    path: str
    service: str
    methods: tuple[str, ...] = ()
    open: bool = False
    idempotent: bool | None = None
    idempotency_key: str = 'optional'

    def is_idempotent(self, method):
        """Return whether a request with `method` may run twice."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
