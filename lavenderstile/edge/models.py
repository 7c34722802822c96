"""What a host knows of routes, services, workspaces and targets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host name and path prefix go.

    `idempotent` requests may run more than once. `max_targets` limits the
    targets that one request is sent to. `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    is_upload: bool
    traffic_split: tuple[WeightedService, ...]
    timeout_s: float | None
    max_targets: int
    objective_s: float | None
    priority: int
    is_public: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of targets; `cold_rate` is what a cold one bears a second."""

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; `rate` 0 means that nothing limits its requests."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One life of a server, as it registered itself.

    `cold_left_s` is how long it stayed cold when the entry was written,
    `started_ms` the Unix time of its start.
    """

    instance: str
    service: str
    address: str
    port: int
    domain: str
    slots: int
    is_draining: bool
    cold_left_s: float
    started_ms: int


class Configuration:
    """One version of the operators' configuration, ready for look-ups."""

    __slots__ = (
        '_keys',
        '_routes',
        'limits',
        'services',
        'version',
        'workspaces',
    )

    def __init__(self, version, limits, routes, services, workspaces):
        self.version = version
        self.limits = limits
        self.services = {service.name: service for service in services}
        self.workspaces = {space.name: space for space in workspaces}
        self._keys = {key: space for space in workspaces for key in space.keys}
        self._routes = {(route.host, route.prefix): route for route in routes}

    @property
    def routes(self):
        """All routes."""
        return self._routes.values()

    def find_workspace(self, key):
        """Return the workspace that holds a key, or None."""
        return self._keys.get(key)

    def find_route(self, host, path):
        """Return the route with the longest prefix of a raw path, or None.

        Prefixes end with a slash, so only the path's own slashes count.
        """
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
