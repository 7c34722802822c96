"""Refusals by a service's owner; the request has not run in any of them."""

from . import verdicts

# Time within which an owner usually gets slots after a change.
RETRY_AFTER_S = 1.0


def refuse_unknown_service(service):
    """Return the refusal for a service without configuration."""
    return verdicts.Refusal(
        verdicts.Reason.SERVICE_UNKNOWN,
        f'service {service} is not configured here',
    )


def refuse_crashing(targets):
    """Return the refusal of a request that crashed `targets`."""
    return verdicts.Refusal(
        verdicts.Reason.CRASHES_TARGETS,
        f'requests like this one crashed {", ".join(targets)}',
    )


def refuse_retry_budget(service):
    """Return the refusal of a retry that exceeds the budget."""
    return verdicts.Refusal(
        verdicts.Reason.NO_CAPACITY,
        f'the retry budget of service {service} is used up',
    )


def refuse_no_target(service):
    """Return the refusal when no target accepts new requests."""
    return verdicts.Refusal(
        verdicts.Reason.NO_CAPACITY,
        f'no target of service {service} is in service',
        retry_after_s=RETRY_AFTER_S,
    )


def refuse_no_slots(service):
    """Return the refusal of an owner without usable slots."""
    return verdicts.Refusal(
        verdicts.Reason.NO_CAPACITY,
        f'this owner holds no usable slot of service {service}',
        retry_after_s=RETRY_AFTER_S,
    )


def refuse_missed_deadline():
    """Return the refusal of a request whose deadline has passed."""
    return verdicts.Refusal(
        verdicts.Reason.QUEUE_DEADLINE,
        'the wait in the queue left too little time before the deadline',
    )


def refuse_lost_host(host):
    """Return the refusal for a host out of contact with the owner."""
    return verdicts.Refusal(
        verdicts.Reason.OWNER_UNREACHABLE,
        f'the owner has lost contact with host {host}',
    )
