"""Detection of hosts that a partition cuts off from a group of targets.

A bad target fails requests of all hosts at random. During a network partition,
some hosts always fail and the others never: after a failure, the same host's
next request fails too.
"""

import collections

# Minimum number of pairs of consecutive requests of one host, the first of
# which failed. With a third of the requests failing at random, 8 pairs with at
# most one successful second request have a probability of 0.3%.
MIN_PAIRS = 8
# Maximum share of successful second requests, relative to the share that
# independent random failures would give.
MAX_RECOVERY_FACTOR = 0.25
# Above this share of failures, the targets are bad for most hosts.
MAX_FAILURE_SHARE = 0.6
# Consecutive failures after which a host counts as cut off.
MIN_CONSECUTIVE_FAILURES = 2
# The failure share is taken from these latest samples only, as older ones may
# be from before the partition.
SHARE_WINDOW_S = 3.0


def find_partitioned_hosts(samples, now):
    """Return the hosts that are cut off from the targets of `samples`.

    The samples are those of all targets in question. The result is empty
    if the failures are spread over the hosts.
    """
    recent = [s.failed for s in samples if now - s.at <= SHARE_WINDOW_S]
    share = sum(recent) / len(recent) if recent else 1.0
    if share > MAX_FAILURE_SHARE:
        return frozenset()
    failure_streaks = collections.Counter()
    pairs = 0
    recoveries = 0
    for sample in sorted(samples, key=lambda sample: sample.at):
        if failure_streaks[sample.host]:
            pairs += 1
            recoveries += not sample.failed
        failure_streaks[sample.host] = (
            failure_streaks[sample.host] + 1 if sample.failed else 0
        )
    if (
        pairs < MIN_PAIRS
        or recoveries > MAX_RECOVERY_FACTOR * (1 - share) * pairs
    ):
        return frozenset()
    return frozenset(
        host
        for host, failures in failure_streaks.items()
        if failures >= MIN_CONSECUTIVE_FAILURES
    )


def find_working_hosts(samples, now):
    """Return the hosts whose latest request on a target was answered."""
    latest = {
        sample.host: sample.failed
        for sample in samples
        if now - sample.at <= SHARE_WINDOW_S
    }
    return {host for host, failed in latest.items() if not failed}
