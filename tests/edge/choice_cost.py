"""Processor time of a choice by the number of targets of a service.

Run `python -m tests.edge.choice_cost`.
"""

import random
import time

from lavenderstile.edge import balancing
from lavenderstile.edge.room import fleet_balancer
from tests.edge import builders

DOMAINS = 'abcd'
CHOICES = 2000
REQUESTS_PER_S = 50
BALANCERS = {
    'domain': balancing.Balancer,
    'fleet': fleet_balancer.FleetBalancer,
}


def measure(make_balancer, count, running, requests_per_s):
    """Return the microseconds of a choice; `running` at each target."""
    targets = [
        builders.make_target(
            f'i-{n}',
            domain=DOMAINS[n % len(DOMAINS)],
            address=f'10.9.{n // 200}.{n % 200}',
        )
        for n in range(count)
    ]
    host = builders.BalancerFixture(
        targets, rng=random.Random(1), make_balancer=make_balancer
    )
    instances = [target.instance for target in targets]
    spent_s = 0.0
    reported_at = -1.0
    for _ in range(CHOICES):
        host.clock.advance(1 / requests_per_s)
        now = host.clock.now()
        if now - reported_at > 0.5:
            reported_at = now
            host.record_successes(*instances)
            for instance in instances:
                host.balancer.record_load(instance, (running, 0), now)
            update = builders.make_update(
                '10.1.0.9', running=dict.fromkeys(instances, running)
            )
            host.fleet.apply_update(update, now)
        began = time.thread_time()
        host.choose()
        spent_s += time.thread_time() - began
    return round(1e6 * spent_s / CHOICES)


def main():
    """Print a line for each scope, load and rate."""
    for rate in (5, REQUESTS_PER_S):
        for running in (1, 9):
            for name, make_balancer in BALANCERS.items():
                costs = {
                    count: measure(make_balancer, count, running, rate)
                    for count in (20, 50, 100, 200, 400)
                }
                print(
                    f'scope {name}, {rate} choices/s, {running} running:',
                    costs,
                )


if __name__ == '__main__':
    main()
