"""Kinds of requests of a service by urgency, and the places they may take."""

import dataclasses
import math

from .. import balancing
from .. import settings as settings_module

# Less urgent requests may wait at a target only as long as they delay an
# urgent one behind them by this share of its objective. The rest is for the
# request's own work and for the slot that comes free next.
DELAY_SHARE = 0.25

# Share of its remaining time that a request may wait at the host in any case.
MAX_WAIT_SHARE = 0.3

# With scope `FLEET` a request may wait until this multiple of the service's
# usual time is left: its own work, the wait in a target's queue for those that
# may use all of it, and a quarter for work that takes longer than usual.
DEFERRABLE_START_FACTOR = 1.25
START_FACTOR = DEFERRABLE_START_FACTOR + balancing.QUEUE_PER_SLOT

# Waiting requests are as urgent as each other if their latest starts differ by
# less than this share of their objective. A refusal within it is at once.
CLOSE_SHARE = 1 / 8
MIN_CLOSE_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """What decides when a request gets a slot, beside its priority.

    A request that `is_deferrable` may use fewer places at targets than others
    of its service. `starts_by` is its latest start for meeting its objective.
    Latest starts that differ by less than `close_s` count as equal. A request
    that `is_surplus` is beyond the share of its workspace.
    """

    is_deferrable: bool
    starts_by: float
    close_s: float
    is_surplus: bool = False


class KindUrgency:
    """Tells which requests leave the queues of targets to more urgent ones.

    The queues of targets have no order. With scope `FLEET`, where routes with
    different objectives lead to the same service, requests of a longer
    objective are deferrable: they wait at the host instead.
    """

    __slots__ = (
        '_configuration',
        '_directory',
        '_health',
        '_is_enabled',
        '_objectives',
    )

    def __init__(self, directory, health, scope):
        self._directory = directory
        self._health = health
        self._is_enabled = scope is settings_module.Scope.FLEET
        self._configuration = None
        self._objectives = {}

    def is_deferrable(self, service, route):
        """Return whether a more urgent kind of request uses the service."""
        if not self._is_enabled:
            return False
        shortest_s = self._get_shortest_objective(service)
        return get_objective(route) > shortest_s

    def get_queue_per_slot(self, service, route):
        """Return how many requests may wait at a target, per slot."""
        if not self.is_deferrable(service, route):
            return balancing.QUEUE_PER_SLOT
        delay_s = DELAY_SHARE * self._get_shortest_objective(service)
        work_s = self._health.get_mean_latency(service)
        return min(balancing.QUEUE_PER_SLOT, delay_s / work_s)

    def make_turn(
        self, service, route, arrived_at, deadline, is_surplus=False
    ):
        """Return the `Turn` of a request."""
        time_s = min(get_objective(route), deadline - arrived_at)
        work_s = self._health.get_mean_latency(service)
        return Turn(
            self.is_deferrable(service, route),
            arrived_at + time_s - work_s,
            max(CLOSE_SHARE * time_s, MIN_CLOSE_S),
            is_surplus,
        )

    def get_longest_wait(self, service, route, remaining_s):
        """Return how long a request may wait at the host, in seconds."""
        share_s = MAX_WAIT_SHARE * remaining_s
        if not self._is_enabled:
            return share_s
        factor = (
            DEFERRABLE_START_FACTOR
            if self.is_deferrable(service, route)
            else START_FACTOR
        )
        work_s = self._health.get_mean_latency(service)
        return max(share_s, remaining_s - factor * work_s)

    def _get_shortest_objective(self, service):
        configuration = self._directory.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._objectives = _find_shortest_objectives(configuration.routes)
        return self._objectives.get(service, math.inf)


def get_objective(route):
    """Return the objective of a route; without one it is the least urgent."""
    return math.inf if route.objective_s is None else route.objective_s


def _find_shortest_objectives(routes):
    objectives = {}
    for route in routes:
        for part in route.weighted_services:
            if part.weight > 0:
                objectives[part.service] = min(
                    get_objective(route),
                    objectives.get(part.service, math.inf),
                )
    return objectives
