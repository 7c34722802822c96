"""Routes, services, workspaces and targets as a host knows them."""

import dataclasses
import typing


class Position(typing.NamedTuple):
    """A place in the history of the registry.

    The `era` rises each time the registry is restored from an older copy;
    revisions are given out again in the new era.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Route for the requests with a host name and a path prefix.

    `idempotent` requests may run more than once. `max_targets` limits the
    attempts of a request. `priority` 0 is the most urgent. The requests of
    an `is_public` route need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    is_upload: bool
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float | None
    max_targets: int
    objective_s: float | None
    priority: int
    is_public: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of targets.

    `cold_rate` is the number of requests per second that a target in cold
    start can serve.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; `rate` 0 means that its requests are not limited."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and time-outs of connections from callers."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One run of a server, as it registered itself.

    `cold_left_s` is the rest of its cold start at the time of the entry,
    `started_ms` the Unix time of its start. `sequence` counts what it has
    written since then.
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
    sequence: int = 0

    @property
    def age_order(self):
        """Key that orders the entries of one instance by their time.

        A target that does not say when it started may count anew.
        """
        return self.started_ms, self.sequence if self.started_ms else 0


class Configuration:
    """One version of the configuration, indexed for look-ups."""

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
        self.workspaces = {
            workspace.name: workspace for workspace in workspaces
        }
        self._keys = {
            key: workspace
            for workspace in workspaces
            for key in workspace.keys
        }
        self._routes = {(route.host, route.prefix): route for route in routes}

    @property
    def routes(self):
        """All routes."""
        return self._routes.values()

    def find_workspace(self, key):
        """Return the workspace of a key, or None."""
        return self._keys.get(key)

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        `path` is the raw path. Prefixes end with a slash, so only the
        parts of the path up to a slash are looked up.
        """
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
