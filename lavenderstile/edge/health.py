"""Belief about each target, from what the hosts of a domain see.

Targets fail grayly: at any time some of them fail most requests for several
seconds while their health checks pass. The belief that a target is failing is
updated by Bayes' rule with each outcome and returns to the prior with time, so
that proven targets are preferred to those that nobody has tried lately.
"""

import enum
import math

# Share of targets that are failing at any time, and the time in which a
# target's state is forgotten.
PRIOR = 0.25
MEMORY_S = 8.0

# Share of requests that fail at a failing and at a sound target.
FAILING_RATE = 0.85
SOUND_RATE = 0.015

# Belief about a target that has just started, and the wait that is taken for
# its first request, so that it is put to use.
NEW_BELIEF = 0.02
UNTRIED_S = 0.1

# Expected seconds of wait that a failed request is worth. A request that may
# run only once is lost; another one is sent again.
LOSS_S = 0.8
REPEATABLE_LOSS_S = 0.6

# A host that does not reach a target avoids it for this long, twice as long
# after each further time.
PATH_BLOCK_S = 1.0
MAX_PATH_BLOCK_S = 6.0

# A target that sheds load is full; it is avoided until others have had the
# next requests.
SHED_BLOCK_S = 0.15

# Waiting time that is preferred to a target that is avoided.
BLOCKED_S = 3.0

# Weight of a new latency, and the time after which a target's mean is the
# service's again.
LATENCY_WEIGHT = 0.3
LATENCY_MEMORY_S = 4.0
SERVICE_WEIGHT = 0.05

# Work of a service before the first answer, in seconds.
DEFAULT_WORK_S = 0.2

# Beliefs above this are logged as a change of what the host holds true.
AVOIDED_BELIEF = 0.5


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
        'belief',
        'believed_at',
        'is_untried',
        'latency_at',
        'latency_s',
        'path_blocked_until',
        'path_faults',
        'shed_until',
    )

    def __init__(self, belief, is_untried, now):
        self.belief = belief
        self.is_untried = is_untried
        self.believed_at = now
        self.path_blocked_until = 0.0
        self.path_faults = 0
        self.shed_until = 0.0
        self.latency_s = None
        self.latency_at = 0.0

    def get_failure_probability(self, now):
        """Return the belief that the target is failing now."""
        age_s = max(0.0, now - self.believed_at)
        left = math.exp(-age_s / MEMORY_S)
        return PRIOR + (self.belief - PRIOR) * left

    def update(self, failed, now):
        """Take one outcome into the belief."""
        belief = self.get_failure_probability(now)
        if failed:
            bad, good = FAILING_RATE, SOUND_RATE
        else:
            bad, good = 1 - FAILING_RATE, 1 - SOUND_RATE
        self.is_untried = False
        bad *= belief
        self.belief = bad / (bad + good * (1 - belief))
        self.believed_at = now


class HealthTracker:
    """Evidence about all targets, from this host and from its peers."""

    __slots__ = ('_targets', '_work_s')

    def __init__(self):
        self._targets = {}
        self._work_s = {}

    def add(self, instance, is_new, now):
        """Begin to keep evidence about a target."""
        if instance not in self._targets:
            belief = NEW_BELIEF if is_new else PRIOR
            self._targets[instance] = TargetHealth(belief, is_new, now)

    def keep(self, instances):
        """Forget the targets that are not among `instances`."""
        for instance in self._targets.keys() - instances:
            del self._targets[instance]

    def get_mean_latency(self, service):
        """Return the mean time of a request of a service in seconds."""
        return self._work_s.get(service, DEFAULT_WORK_S)

    def get_failure_probability(self, instance, now):
        """Return the belief that a target is failing."""
        health = self._targets.get(instance)
        return PRIOR if health is None else health.get_failure_probability(now)

    def is_avoided(self, instance, now):
        """Return whether a target gets requests only for want of others."""
        health = self._targets.get(instance)
        if health is None:
            return False
        return (
            health.path_blocked_until > now
            or health.get_failure_probability(now) > AVOIDED_BELIEF
        )

    def record_fault(self, instance, kind, now):
        """Record a fault of a target, seen by any host of the domain.

        Returns whether the target is avoided from now on.
        """
        health = self._targets.get(instance)
        if health is None:
            return False
        if kind is FaultKind.SHED:
            health.shed_until = now + SHED_BLOCK_S
            return False
        before = health.get_failure_probability(now)
        health.update(True, now)
        return before <= AVOIDED_BELIEF < health.belief

    def record_path_fault(self, instance, now):
        """Record that this host does not reach a target.

        Returns for how long it is avoided.
        """
        health = self._targets.get(instance)
        if health is None:
            return 0.0
        block_s = min(PATH_BLOCK_S * 2**health.path_faults, MAX_PATH_BLOCK_S)
        health.path_faults = min(health.path_faults + 1, 8)
        health.path_blocked_until = now + block_s
        return block_s

    def record_success(self, instance, service, latency_s, now, is_own=True):
        """Record an answer of a target and how long it took."""
        health = self._targets.get(instance)
        if health is None:
            return
        health.update(False, now)
        if is_own:
            health.path_faults = 0
        self.record_latency(instance, service, latency_s, now)

    def record_latency(self, instance, service, latency_s, now):
        """Record how long a target took, or takes at least."""
        work_s = self._work_s.get(service, latency_s)
        change_s = SERVICE_WEIGHT * (latency_s - work_s)
        self._work_s[service] = work_s + change_s
        health = self._targets.get(instance)
        if health is not None:
            mean_s = self.estimate_latency(instance, service, now)
            change_s = LATENCY_WEIGHT * (latency_s - mean_s)
            health.latency_s = mean_s + change_s
            health.latency_at = now

    def estimate_latency(self, instance, service, now):
        """Return the time that a target takes for a request."""
        work_s = self.get_mean_latency(service)
        health = self._targets.get(instance)
        if health is None or health.latency_s is None:
            return work_s
        age = (now - health.latency_at) / LATENCY_MEMORY_S
        if age >= 1.0:
            return work_s
        return health.latency_s + age * (work_s - health.latency_s)

    def get_penalty(self, instance, is_repeatable, now):
        """Return the seconds of wait that doubt about a target is worth."""
        health = self._targets.get(instance)
        if health is None:
            return PRIOR * LOSS_S
        if health.path_blocked_until > now or health.shed_until > now:
            return BLOCKED_S
        if health.is_untried:
            return -UNTRIED_S
        loss_s = REPEATABLE_LOSS_S if is_repeatable else LOSS_S
        return health.get_failure_probability(now) * loss_s
