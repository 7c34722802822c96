"""Faults and health of targets, for the hosts of other failure domains.

Inside a domain hosts tell each other of every outcome. Between domains bytes
are expensive, so a domain only learns that a target has begun to fail, at
once, and which targets of the other domain are healthy, with its digests.
"""

from .. import health as health_module

# Below this failure probability a target counts as healthy for other domains.
HEALTHY_PROBABILITY = 0.1


class AppliedNotice:
    """Targets that a notice made this host avoid, and unknown kinds in it."""

    __slots__ = ('avoided', 'unknown')

    def __init__(self, avoided, unknown):
        self.avoided = avoided
        self.unknown = unknown


class FaultNotices:
    """Faults that the hosts of other domains have to be told of."""

    __slots__ = ('_faults', '_is_enabled', '_number')

    def __init__(self, is_enabled):
        self._is_enabled = is_enabled
        self._faults = {}
        self._number = 0

    def add(self, instance, kind):
        """Tell of a target that has begun to fail with a fault of a kind."""
        if self._is_enabled:
            self._faults[instance] = kind.value

    def take(self):
        """Return the number of the next notice and its faults; clear them.

        `faults` has the kinds by instance; it is empty if there is nothing
        to tell.
        """
        faults, self._faults = self._faults, {}
        if faults:
            self._number += 1
        return self._number, faults


class HealthExchange:
    """Reads and applies what domains tell each other of their targets."""

    __slots__ = ('_directory', '_domain', '_health', '_is_enabled', '_seen')

    def __init__(self, directory, domain, health, is_enabled):
        self._directory = directory
        self._domain = domain
        self._health = health
        self._is_enabled = is_enabled
        self._seen = {}

    def list_healthy(self, now):
        """Return the healthy targets of the own domain for its digest."""
        if not self._is_enabled:
            return []
        return [
            instance
            for instance, known in self._directory.targets.items()
            if known.target.domain == self._domain
            and known.takes_requests
            and self._health.get_failure_probability(instance, now)
            < HEALTHY_PROBABILITY
        ]

    def apply_healthy(self, instances, now):
        """Apply the healthy targets in the digest of another domain."""
        if not self._is_enabled:
            return
        for instance in instances:
            self._health.record_reported_health(
                instance, HEALTHY_PROBABILITY, now
            )

    def apply_notice(self, notice, now):
        """Apply faults that a host of another domain has seen.

        Returns an `AppliedNotice`, or None for a copy: each host gets a notice
        from several others, and would take the copies for further faults.
        """
        number = notice.started_ms, notice.number
        if number <= self._seen.get(notice.origin, (0, 0)):
            return None
        self._seen[notice.origin] = number
        avoided, unknown = [], []
        for instance, name in notice.faults.items():
            try:
                kind = health_module.FaultKind(name)
            except ValueError:
                unknown.append(name)
                continue
            if self._health.record_fault(instance, kind, now):
                avoided.append(instance)
        return AppliedNotice(avoided, unknown)
