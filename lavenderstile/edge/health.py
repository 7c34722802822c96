"""How well each target serves, by what the hosts of a domain see."""

import enum

# A target that fails one request is avoided for this long; targets fail
# about one request in a hundred while they are well and most of them while
# they are not, so that one fault already speaks for the latter.
FIRST_BLOCK_S = 1.0
MAX_BLOCK_S = 6.0

# Faults of a target that is idle for this long count as the first again.
FORGIVE_S = 10.0

# A target that sheds load is full; it is avoided until others have had the
# next requests.
SHED_BLOCK_S = 0.15

# Expected extra time, in seconds, of a request to a target that is avoided:
# others are used first, but a queue longer than this is worse.
BLOCKED_PENALTY_S = 3.0

# After a block the penalty falls to nothing in this time, so that a target
# in doubt gets a trial only when it is the better choice by little.
TRIAL_PENALTY_S = 0.4
TRIAL_FADE_S = 1.5

# Weight of a new latency, and the time after which a target's mean is the
# service's again.
LATENCY_WEIGHT = 0.3
LATENCY_MEMORY_S = 4.0

# Work of a service before the first answer, in seconds.
DEFAULT_WORK_S = 0.2


class FaultKind(enum.Enum):
    """What went wrong at a target."""

    ERROR = 'error'
    BROKEN = 'broken'
    SILENT = 'silent'
    REFUSED = 'refused'
    SHED = 'shed'


class TargetHealth:
    """Evidence about one target."""

    __slots__ = (
        'blocked_until',
        'fault_at',
        'faults',
        'latency_at',
        'latency_s',
        'path_blocked_until',
        'path_faults',
    )

    def __init__(self):
        self.blocked_until = 0.0
        self.path_blocked_until = 0.0
        self.path_faults = 0
        self.fault_at = 0.0
        self.faults = 0
        self.latency_s = None
        self.latency_at = 0.0


class HealthBook:
    """Evidence about all targets, from this host and from its peers."""

    __slots__ = ('_targets', '_work_s')

    def __init__(self):
        self._targets = {}
        self._work_s = {}

    def _get(self, instance):
        health = self._targets.get(instance)
        if health is None:
            health = self._targets[instance] = TargetHealth()
        return health

    def keep(self, instances):
        """Forget the targets that are not among `instances`."""
        for instance in self._targets.keys() - instances:
            del self._targets[instance]

    def get_work(self, service):
        """Return the mean time of a request of a service in seconds."""
        return self._work_s.get(service, DEFAULT_WORK_S)

    def is_blocked(self, instance, now):
        """Return whether a target is avoided now."""
        health = self._targets.get(instance)
        return health is not None and (
            max(health.blocked_until, health.path_blocked_until) > now
        )

    def is_doubted(self, instance):
        """Return whether an answer of a target is news for the peers."""
        health = self._targets.get(instance)
        return health is not None and health.faults > 0

    def record_fault(self, instance, kind, now):
        """Record a fault of a target, seen by any host of the domain.

        Returns for how long it is avoided, 0 if nothing changed.
        """
        health = self._get(instance)
        if kind is FaultKind.SHED:
            health.blocked_until = max(
                health.blocked_until, now + SHED_BLOCK_S
            )
            return 0.0
        if now - health.fault_at > FORGIVE_S:
            health.faults = 0
        if health.blocked_until > now and health.faults:
            # Requests that were under way when the block began.
            return 0.0
        block_s = min(FIRST_BLOCK_S * 2**health.faults, MAX_BLOCK_S)
        health.faults += 1
        health.fault_at = now
        health.blocked_until = now + block_s
        return block_s

    def record_path_fault(self, instance, now):
        """Record that this host does not reach a target."""
        health = self._get(instance)
        block_s = min(FIRST_BLOCK_S * 2**health.path_faults, MAX_BLOCK_S)
        health.path_faults += 1
        health.path_blocked_until = now + block_s
        return block_s

    def record_success(self, instance, now):
        """Record an answer of a target."""
        health = self._get(instance)
        if health.blocked_until <= now:
            health.faults = 0
        health.path_faults = 0

    def record_latency(self, instance, service, latency_s, now):
        """Record how long a target took for a request."""
        work_s = self._work_s.get(service)
        if work_s is None:
            self._work_s[service] = latency_s
        else:
            self._work_s[service] = work_s + 0.05 * (latency_s - work_s)
        health = self._get(instance)
        mean_s = self.estimate_latency(instance, service, now)
        health.latency_s = mean_s + LATENCY_WEIGHT * (latency_s - mean_s)
        health.latency_at = now

    def estimate_latency(self, instance, service, now):
        """Return the time that a target takes for a request."""
        work_s = self.get_work(service)
        health = self._targets.get(instance)
        if health is None or health.latency_s is None:
            return work_s
        age = (now - health.latency_at) / LATENCY_MEMORY_S
        if age >= 1.0:
            return work_s
        return health.latency_s + age * (work_s - health.latency_s)

    def get_penalty(self, instance, now):
        """Return the extra seconds that doubt about a target costs."""
        health = self._targets.get(instance)
        if health is None:
            return 0.0
        until = max(health.blocked_until, health.path_blocked_until)
        if until > now:
            return BLOCKED_PENALTY_S
        if not health.faults and not health.path_faults:
            return 0.0
        left = 1.0 - (now - until) / TRIAL_FADE_S
        return max(0.0, left) * TRIAL_PENALTY_S
