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

# While many requests of a service fail, most of its healthy targets have to
# get one in each two seconds. A single fault may then be by chance.
FAILING_HOLD_S = 1.5

# Share of requests that are not served above which this holds. The floor
# counts from a tenth on, and hosts do not see all failures. A lower share
# would be reached by the tests themselves, which then go on for ever.
FAILING_SHARE = 0.09

# Idempotent requests test a target this much earlier than others, because
# they can be sent again.
IDEMPOTENT_LEAD_S = 0.5


def is_due(health, instance, is_idempotent, now):
    """Return whether a target may get a request that tests it."""
    if not is_idempotent:
        now -= IDEMPOTENT_LEAD_S
    return (
        health.get_fault_age(instance, now) >= FAULT_HOLD_S
        and health.get_failure_probability(instance, now) < RETEST_PROBABILITY
        and not health.is_path_blocked(instance, now)
    )


def list_floor(health, instances, floor_share, now):
    """Return the targets to test while many requests of their service fail.

    These are the floor's share of the targets, those without recent faults
    first. It is slower than `is_due`, because it sorts them.
    """
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
