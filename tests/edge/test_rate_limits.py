"""Tests of the rate limits of workspaces."""

import random
import unittest

from lavenderstile.edge import models
from lavenderstile.edge import rate_limits

WINDOW_S = 5.0


def make_workspace(rate=20.0, burst=20.0):
    """Return a workspace with a limit."""
    return models.Workspace('club', ('key',), 0, rate, burst)


class SimulatedFleet:
    """Hosts that learn of each other's admitted requests with a delay."""

    def __init__(self, hosts, delay_s, rate=20.0, burst=20.0):
        self.now = 0.0
        self.delay_s = delay_s
        self.admitted = []
        self.refused = 0
        self._reports = []
        self.hosts = [rate_limits.RateLimits() for _ in range(hosts)]
        for host in self.hosts:
            host.configure([make_workspace(rate, burst)], 0.0)

    def send(self, number):
        """Send one request to a host."""
        if self.hosts[number].take('club', self.now):
            self.refused += 1
            return
        self.admitted.append(self.now)
        self._reports.append((self.now + self.delay_s, number))

    def advance(self, seconds):
        """Advance the clock and deliver the reports that are due."""
        self.now += seconds
        while self._reports and self._reports[0][0] <= self.now:
            _, sender = self._reports.pop(0)
            for number, host in enumerate(self.hosts):
                if number != sender:
                    host.record({'club': 1}, self.now)

    def run(self, per_s, duration_s, rng):
        """Send requests to random hosts at a rate."""
        for _ in range(int(per_s * duration_s)):
            self.send(rng.randrange(len(self.hosts)))
            self.advance(1 / per_s)

    def find_largest_window(self):
        """Return the largest number of requests admitted in a window."""
        return max(
            sum(start <= at < start + WINDOW_S for at in self.admitted)
            for start in self.admitted
        )


class HotWorkspaceTest(unittest.TestCase):
    """Load pattern: one workspace sends eight times its usual rate.

    Guards against more admitted requests than its limit in any 5 s, and
    against refusals of a workspace within its rate.
    """

    def test_the_limit_holds_with_late_reports(self):
        for seed in range(5):
            fleet = SimulatedFleet(48, delay_s=0.5)
            rng = random.Random(seed)
            fleet.run(12.5, 10.0, rng)
            fleet.run(100.0, 20.0, rng)
            bound = (20.0 * WINDOW_S + 20.0) * 1.25 + 20
            self.assertLessEqual(fleet.find_largest_window(), bound)
            # The fleet admits the full rate.
            self.assertGreaterEqual(len(fleet.admitted), 20.0 * 25)

    def test_a_workspace_within_its_rate_is_not_refused(self):
        fleet = SimulatedFleet(48, delay_s=0.5)
        fleet.run(12.5, 60.0, random.Random(1))
        self.assertEqual(fleet.refused, 0)

    def test_an_isolated_host_keeps_to_its_share(self):
        host = rate_limits.RateLimits()
        host.configure([make_workspace()], 0.0)
        host.set_share(1, 48)
        taken = sum(
            not host.take('club', index * 0.01) for index in range(500)
        )
        self.assertLessEqual(taken, 5)

    def test_a_lowered_limit_applies_at_once(self):
        host = rate_limits.RateLimits()
        host.configure([make_workspace()], 0.0)
        host.configure([make_workspace(2.0, 2.0)], 0.0)
        taken = sum(not host.take('club', 0.0) for _ in range(50))
        self.assertLessEqual(taken, 2)


class AllowanceTest(unittest.TestCase):
    """Guards against a wrong Retry-After and endless refusals."""

    def test_the_wait_is_returned(self):
        bucket = rate_limits.TokenBucket(10.0, 1.0, 0.0)
        self.assertEqual(bucket.take(0.0, 1.0), 0.0)
        self.assertAlmostEqual(bucket.take(0.0, 1.0), 0.1, delta=0.02)

    def test_late_reports_refuse_for_a_limited_time(self):
        bucket = rate_limits.TokenBucket(10.0, 10.0, 0.0)
        bucket.record(10_000, 0.0, 1.0)
        self.assertGreater(bucket.take(0.1, 1.0), 0.0)
        self.assertEqual(bucket.take(2.5, 1.0), 0.0)

    def test_a_workspace_without_limit_is_not_counted(self):
        host = rate_limits.RateLimits()
        host.configure([make_workspace(0.0, 0.0)], 0.0)
        self.assertEqual(host.take('club', 0.0), 0.0)
        self.assertEqual(host.admitted, {})
