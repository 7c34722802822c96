"""Settings of a host whose targets register themselves."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits that hold over all hosts together.

    The retry budget of a service allows `retry_ratio` of its requests plus
    `retry_slack` retries in each `retry_window_s`. At least `floor_share` of a
    service's healthy targets stay in use while its requests fail.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    floor_share: float = 0.7


class Scope(enum.Enum):
    """Which targets hosts treat as one pool.

    With `DOMAIN` each failure domain balances by itself. With `FLEET` the
    domains share what they know of failures, free slots and queues.
    """

    DOMAIN = 'domain'
    FLEET = 'fleet'


@dataclasses.dataclass(frozen=True, slots=True)
class BalancingSettings:
    """How hosts spread requests over targets."""

    scope: Scope = Scope.DOMAIN


def derive_balancing(scope, tolerated_losses):
    """Return the `BalancingSettings` for texts; raises `ValueError`.

    Without an explicit scope, domains are kept apart unless the deployment
    does not have to tolerate the loss of one.
    """
    if scope is None:
        is_shared = tolerated_losses and int(tolerated_losses) == 0
        return BalancingSettings(Scope.FLEET if is_shared else Scope.DOMAIN)
    try:
        return BalancingSettings(Scope(scope))
    except ValueError:
        raise ValueError(
            f'balancing.scope: {scope!r} is neither "domain" nor "fleet"'
        ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings of one host.

    Listeners and the registry are `(ip, port)`; `address` and `seeds` are IP
    addresses of hosts. `stop_s` is the time from SIGTERM until the platform
    kills the process. `max_connections` limits the connections that all
    listeners together have; without it the limit of descriptors decides.
    """

    name: str
    address: str
    domain: str
    caller_listen: tuple[str, int]
    ready_listen: tuple[str, int]
    admin_listen: tuple[str, int] | None
    peer_port: int
    seeds: tuple[str, ...]
    registry: tuple[str, int]
    stop_s: float
    limits: FleetLimits
    balancing: BalancingSettings = BalancingSettings()
    max_connections: int | None = None

    def __post_init__(self):
        count = self.max_connections
        if count is not None and (type(count) is not int or count < 1):
            raise ValueError(
                f'listeners.max_connections: {count!r} is not a whole number '
                'of 1 or more'
            )
