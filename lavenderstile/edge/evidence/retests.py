"""When a target that has failed gets requests again."""

# A target gets no request just to stay in use for this time after a fault. A
# gray failure lasts for seconds, and the floor counts the targets that have
# been well for two seconds.
FAULT_HOLD_S = 3.0

# It is also left alone above this failure probability, which one that was in
# doubt before its fault falls below after six seconds, and one that had proved
# itself within the hold. Healthy targets must not be left out for longer: the
# floor holds at any moment, also just before many requests fail at once.
RETEST_PROBABILITY = 0.6

# Idempotent requests test a target this much earlier than others, because
# they can be sent again.
IDEMPOTENT_LEAD_S = 0.5


def is_due(health, instance, is_idempotent, is_service_failing, now):
    """Return whether a target may get a request that tests it.

    While many requests of its service fail, a healthy target must not be left
    out for two seconds, and only the hold counts.
    """
    if health.is_path_blocked(instance, now):
        return False
    if is_service_failing:
        return health.get_fault_age(instance, now) >= FAULT_HOLD_S
    if not is_idempotent:
        now -= IDEMPOTENT_LEAD_S
    return (
        health.get_fault_age(instance, now) >= FAULT_HOLD_S
        and health.get_failure_probability(instance, now) < RETEST_PROBABILITY
    )


def is_failing(health, instance, now):
    """Return whether a target has very likely not recovered yet.

    A request that is not idempotent then waits for another one: it would be
    lost, while a refusal lets its caller send it again.
    """
    return health.get_fault_age(
        instance, now
    ) < FAULT_HOLD_S and health.is_avoided(instance, now)
