"""Settings of a host whose targets register themselves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits that all hosts keep together.

    A retry budget is `retry_ratio` of the requests plus `retry_slack` in
    each `retry_window_s`. `floor_share` of a service's sound targets stay in
    use while its requests fail.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    floor_share: float = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Addresses are `(ip, port)`; `seeds` are IP addresses of hosts.

    `stop_s` is the time from the signal to stop until the process is
    killed.
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
