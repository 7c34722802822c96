"""When a target that has failed gets requests again."""

import math

# A target gets no request just to stay in use for this time after a fault. A
# gray failure lasts for seconds, and the floor counts the targets that have
# been well for two seconds.
FAULT_HOLD_S = 3.0

# It is also left alone above this failure probability, which one that was in
# doubt before its fault falls below after six seconds, and one that had proved
# itself within the hold. Healthy targets must not be left out for longer: the
# floor holds at any moment, also just before many requests fail at once.
RETEST_PROBABILITY = 0.6

# The hold while many requests of a service fail: a target whose failure ended
# with its last fault counts as healthy two seconds later.
FAILING_HOLD_S = 2.0

# Share of requests that are not served above which this holds. The floor
# counts from a tenth on in two seconds, of which hosts know a part by then. A
# lower share can be kept up by the failures of the tests themselves.
FAILING_SHARE = 0.05

# Idempotent requests test a target this much earlier than others, because
# they can be sent again.
IDEMPOTENT_LEAD_S = 0.5


def list_due(health, instances, is_idempotent, now):
    """Return the targets that may get a request that tests them."""
    if not is_idempotent:
        now -= IDEMPOTENT_LEAD_S
    return [
        instance
        for instance in instances
        if health.get_fault_age(instance, now) >= FAULT_HOLD_S
        and health.get_failure_probability(instance, now) < RETEST_PROBABILITY
        and not health.is_path_blocked(instance, now)
    ]


def list_floor(health, instances, is_idempotent, floor_share, now):
    """Return the targets to test while many requests of their service fail.

    Of the floor's share of the targets, those without recent faults first,
    none must be left out for two seconds once it counts as healthy.
    """
    if not is_idempotent:
        now -= IDEMPOTENT_LEAD_S
    ages = sorted(
        ((health.get_fault_age(name, now), name) for name in instances),
        reverse=True,
    )
    return [
        name
        for age_s, name in ages[: math.ceil(floor_share * len(ages))]
        if age_s >= FAILING_HOLD_S and not health.is_path_blocked(name, now)
    ]


def is_failing(health, instance, now):
    """Return whether a target has very likely not recovered yet.

    A request that is not idempotent then waits for another one: it would be
    lost, while a refusal lets its caller send it again.
    """
    return health.get_fault_age(
        instance, now
    ) < FAULT_HOLD_S and health.is_avoided(instance, now)
