"""Health of each target, estimated from outcomes seen in a failure domain.

Targets have gray failures: at any time some of them fail most requests for
several seconds while their health checks pass. The probability that a target
is failing is updated by Bayes' rule with each outcome and decays to the prior
with time. Targets with recent successes are therefore preferred to those
without recent requests.
"""

import dataclasses
import enum
import math

# Share of targets that are failing at any time, and the time constant with
# which an estimate decays to it.
PRIOR_PROBABILITY = 0.25
DECAY_TIME_S = 8.0

# Share of requests that fail at a failing target and at a healthy one.
FAILING_ERROR_RATE = 0.85
HEALTHY_ERROR_RATE = 0.015

# Failure probability of a target that has just started, and the bonus that
# makes it get its first request.
NEW_TARGET_PROBABILITY = 0.02
UNTRIED_BONUS_S = 0.1

# A report of another domain that a target is healthy is ignored for this time
# after a fault, because the report may be from before the fault, or the target
# may fail for some callers only.
REPORTED_HEALTH_HOLD_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FailureCosts:
    """Cost of a failed request, as an equivalent wait in seconds.

    A request that is not idempotent is lost, an idempotent one is retried.
    """

    usual_s: float
    idempotent_s: float


SEPARATE_COSTS = FailureCosts(0.8, 0.6)

# If the targets of all domains are one pool, another domain has room for what
# the own one can't take. A request that waits in a queue is still served in
# its time, while a retry uses the budget that all hosts share.
POOLED_COSTS = FailureCosts(2.0, 0.6)

# A host that cannot connect to a target avoids it for this time, with
# exponential backoff.
PATH_BLOCK_S = 1.0
MAX_PATH_BLOCK_S = 6.0

# A target that sheds load is full; it is avoided for this time so that the
# next requests go to other targets.
SHED_BLOCK_S = 0.15

# Penalty for a target that is blocked, as an equivalent wait.
BLOCKED_PENALTY_S = 3.0

# Weights of a new sample in the moving averages of a target's and a service's
# latency. A target's average returns to the service's over the decay time.
LATENCY_WEIGHT = 0.3
LATENCY_DECAY_S = 4.0
SERVICE_LATENCY_WEIGHT = 0.05

# Latency of a service before the first response.
DEFAULT_LATENCY_S = 0.2

# A target is avoided above this failure probability, and the change is logged.
AVOIDED_PROBABILITY = 0.5


class FaultKind(enum.Enum):
    """Kind of a target's fault."""

    ERROR = 'error'
    BROKEN = 'broken'
    SILENT = 'silent'
    REFUSED = 'refused'
    SHED = 'shed'


class TargetHealth:
    """Health of one target."""

    __slots__ = (
        'failure_probability',
        'faulted_at',
        'is_untried',
        'last_fault_at',
        'latency_at',
        'latency_s',
        'path_blocked_until',
        'path_faults',
        'shed_until',
        'updated_at',
    )

    def __init__(self, probability, is_untried, now):
        self.failure_probability = probability
        self.faulted_at = float('-inf')
        self.last_fault_at = float('-inf')
        self.is_untried = is_untried
        self.updated_at = now
        self.path_blocked_until = 0.0
        self.path_faults = 0
        self.shed_until = 0.0
        self.latency_s = None
        self.latency_at = 0.0

    def get_failure_probability(self, now):
        """Return the probability that the target is failing now."""
        age_s = max(0.0, now - self.updated_at)
        weight = math.exp(-age_s / DECAY_TIME_S)
        return (
            PRIOR_PROBABILITY
            + (self.failure_probability - PRIOR_PROBABILITY) * weight
        )

    def update_on_success(self, sent_at, now):
        """Update the failure probability with a success.

        A response to a request that was sent before the latest fault shows
        that the target was healthy before it, not that it has recovered.
        """
        if sent_at > self.faulted_at:
            self._update(False, now)

    def update_on_fault(self, kind, now):
        """Update the failure probability with a fault.

        A slow response is a fault while its request still runs, so the
        success that follows it is evidence as well.
        """
        if kind is not FaultKind.SILENT:
            self.faulted_at = now
        self.last_fault_at = now
        self._update(True, now)

    def _update(self, failed, now):
        probability = self.get_failure_probability(now)
        if failed:
            bad, good = FAILING_ERROR_RATE, HEALTHY_ERROR_RATE
        else:
            bad, good = 1 - FAILING_ERROR_RATE, 1 - HEALTHY_ERROR_RATE
        self.is_untried = False
        bad *= probability
        self.failure_probability = bad / (bad + good * (1 - probability))
        self.updated_at = now


class HealthTracker:
    """Health of all targets, from outcomes of this host and its peers."""

    __slots__ = ('_failure_costs', '_service_latency_s', '_targets')

    def __init__(self, failure_costs=SEPARATE_COSTS):
        self._failure_costs = failure_costs
        self._targets = {}
        self._service_latency_s = {}

    def add(self, instance, is_new, now):
        """Start to track a target."""
        if instance not in self._targets:
            probability = (
                NEW_TARGET_PROBABILITY if is_new else PRIOR_PROBABILITY
            )
            self._targets[instance] = TargetHealth(probability, is_new, now)

    def keep(self, instances):
        """Stop tracking the targets that are not in `instances`."""
        for instance in self._targets.keys() - instances:
            del self._targets[instance]

    def get_mean_latency(self, service):
        """Return the mean latency of a service in seconds."""
        return self._service_latency_s.get(service, DEFAULT_LATENCY_S)

    def get_failure_probability(self, instance, now):
        """Return the probability that a target is failing."""
        health = self._targets.get(instance)
        return (
            PRIOR_PROBABILITY
            if health is None
            else health.get_failure_probability(now)
        )

    def is_avoided(self, instance, now):
        """Return whether a target is used only if no other is available."""
        health = self._targets.get(instance)
        if health is None:
            return False
        return (
            health.path_blocked_until > now
            or health.get_failure_probability(now) > AVOIDED_PROBABILITY
        )

    def is_path_blocked(self, instance, now):
        """Return whether this host could not connect to a target lately."""
        health = self._targets.get(instance)
        return health is not None and health.path_blocked_until > now

    def record_fault(self, instance, kind, now):
        """Record a fault of a target, seen by any host of the domain.

        Returns whether this fault makes the target avoided.
        """
        health = self._targets.get(instance)
        if health is None:
            return False
        if kind is FaultKind.SHED:
            health.shed_until = now + SHED_BLOCK_S
            return False
        before = health.get_failure_probability(now)
        health.update_on_fault(kind, now)
        return before <= AVOIDED_PROBABILITY < health.failure_probability

    def get_fault_age(self, instance, now):
        """Return the seconds since the last fault of a target was seen."""
        health = self._targets.get(instance)
        return math.inf if health is None else now - health.last_fault_at

    def record_reported_health(self, instance, probability, now):
        """Record that another domain finds a target healthy.

        Faults that this domain has seen since the last report count more.
        """
        health = self._targets.get(instance)
        if (
            health is not None
            and now - health.last_fault_at > REPORTED_HEALTH_HOLD_S
            and health.get_failure_probability(now) > probability
        ):
            health.is_untried = False
            health.failure_probability = probability
            health.updated_at = now

    def record_path_fault(self, instance, now):
        """Record that this host cannot connect to a target.

        Returns the seconds for which this host avoids it.
        """
        health = self._targets.get(instance)
        if health is None:
            return 0.0
        block_s = min(PATH_BLOCK_S * 2**health.path_faults, MAX_PATH_BLOCK_S)
        health.path_faults = min(health.path_faults + 1, 8)
        health.path_blocked_until = now + block_s
        return block_s

    def clear_path_faults(self):
        """Stop avoiding the targets that this host could not connect to."""
        for health in self._targets.values():
            health.path_faults = 0
            health.path_blocked_until = 0.0

    def record_success(self, instance, service, latency_s, now, is_own=True):
        """Record a successful response of a target and its latency."""
        health = self._targets.get(instance)
        if health is None:
            return
        health.update_on_success(now - latency_s, now)
        if is_own:
            health.path_faults = 0
        self.record_latency(instance, service, latency_s, now)

    def record_latency(self, instance, service, latency_s, now):
        """Record a latency, or its lower bound while a request is running."""
        service_latency_s = self._service_latency_s.get(service, latency_s)
        change_s = SERVICE_LATENCY_WEIGHT * (latency_s - service_latency_s)
        self._service_latency_s[service] = service_latency_s + change_s
        health = self._targets.get(instance)
        if health is not None:
            mean_s = self.estimate_latency(instance, service, now)
            change_s = LATENCY_WEIGHT * (latency_s - mean_s)
            health.latency_s = mean_s + change_s
            health.latency_at = now

    def estimate_latency(self, instance, service, now):
        """Return the expected latency of a request at a target."""
        service_latency_s = self.get_mean_latency(service)
        health = self._targets.get(instance)
        if health is None or health.latency_s is None:
            return service_latency_s
        age = (now - health.latency_at) / LATENCY_DECAY_S
        if age >= 1.0:
            return service_latency_s
        return health.latency_s + age * (service_latency_s - health.latency_s)

    def get_penalty(self, instance, is_idempotent, now):
        """Return the penalty for a target's health, as an equivalent wait."""
        health = self._targets.get(instance)
        if health is None:
            return PRIOR_PROBABILITY * self._failure_costs.usual_s
        if health.path_blocked_until > now or health.shed_until > now:
            return BLOCKED_PENALTY_S
        if health.is_untried:
            return -UNTRIED_BONUS_S
        cost_s = (
            self._failure_costs.idempotent_s
            if is_idempotent
            else self._failure_costs.usual_s
        )
        return health.get_failure_probability(now) * cost_s
