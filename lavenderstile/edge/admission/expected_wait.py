"""Expected wait of a new request, and its refusal if that is too long."""

import dataclasses

from .. import settings as settings_module

# Retry-After of a request that would find room at once.
MIN_RETRY_AFTER_S = 0.3

# Callers wait for a Retry-After only up to a third of their remaining time.
# The response adds half of it at most, which spreads the callers.
MAX_RETRY_AFTER_SHARE = 1 / 3 / 1.5

# The estimate of the wait may be wrong by about the service's usual time, and
# by no more than this share of the longest wait. A request whose wait would
# end within this margin is refused at once; without it, most refusals would
# come at the end of the longest wait.
MARGIN_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request that cannot be served in its time; `ahead` go before it."""

    expected_s: float
    ahead: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A request that may wait; `expected_s` is None if not known."""

    expected_s: float | None
    ahead: int = 0


class ExpectedWaits:
    """Estimates waits from the queues of the domain's hosts.

    With scope `DOMAIN` it accepts every request.
    """

    __slots__ = (
        '_directory',
        '_fleet',
        '_health',
        '_is_enabled',
        '_room_at',
        '_waiting',
    )

    def __init__(self, directory, fleet, health, waiting, scope):
        self._directory = directory
        self._fleet = fleet
        self._health = health
        self._waiting = waiting
        self._is_enabled = scope is settings_module.Scope.FLEET
        self._room_at = {}

    def check(self, service, priority, turn, longest_wait_s, now):
        """Return `Accepted` or `Refused` for a request that has to wait.

        It may wait for `longest_wait_s` at most.
        """
        interval_s = self._estimate_start_interval(service, now)
        if interval_s is None:
            return Accepted(None)
        ahead = self._waiting.count_before(service, priority, turn)
        expected_s = (ahead + 1) * interval_s
        margin_s = min(
            MARGIN_SHARE * longest_wait_s,
            self._health.get_mean_latency(service),
        )
        excess_s = expected_s - (longest_wait_s - margin_s)
        if excess_s <= 0:
            return Accepted(expected_s, ahead)
        return Refused(
            expected_s,
            ahead,
            self._reserve_room(service, excess_s, interval_s, now),
        )

    def _estimate_start_interval(self, service, now):
        """Return the mean time between starts of the domain's requests."""
        if not self._is_enabled:
            return None
        slots = sum(
            known.target.slots
            for known in self._directory.list_targets(service)
            if not self._health.is_avoided(known.target.instance, now)
        )
        if not slots:
            return None
        slots *= self._fleet.get_domain_share(now)
        return self._health.get_mean_latency(service) / slots

    def _reserve_room(self, service, excess_s, interval_s, now):
        """Return when the caller finds room, in seconds from now.

        Each caller gets a later time, since each host of the domain tells its
        own callers to come back.
        """
        hosts = len(self._fleet.members)
        room_at = max(now + excess_s, self._room_at.get(service, now))
        self._room_at[service] = room_at + hosts * interval_s
        return max(MIN_RETRY_AFTER_S, room_at - now)


def limit_retry_after(retry_after_s, remaining_s):
    """Return a Retry-After for which a caller still waits."""
    return min(retry_after_s, MAX_RETRY_AFTER_SHARE * remaining_s)
