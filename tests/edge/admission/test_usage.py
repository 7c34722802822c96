"""Tests of the usual rates of workspaces."""

import random
import unittest

from lavenderstile.edge.admission import usage
from lavenderstile.edge import models
from lavenderstile.edge import rate_limits

STEP_S = 0.01


class Sender:
    """A workspace that sends at changing rates, with random arrivals."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self.usage = usage.WorkspaceUsage()
        self.now = 0.0

    def send(self, rate, duration_s):
        """Return the share of surplus requests."""
        surplus = count = 0
        end = self.now + duration_s
        while self.now < end:
            self.now += STEP_S
            if self._rng.random() < rate * STEP_S:
                self.usage.record('club', 1, self.now)
                surplus += self.usage.is_surplus('club', self.now)
                count += 1
        return surplus / max(count, 1)


class SurplusTest(unittest.TestCase):
    """Load pattern: 10 requests a second, then five times as many for 6 s.

    Guards against a workspace that takes the slots of others, and against
    requests of a usual load that go after others.
    """

    def test_most_of_a_sudden_load_is_surplus(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                sender = Sender(seed)
                sender.send(10.0, 20.0)
                # 1.5 times the usual rate and two deviations are its share.
                self.assertGreater(sender.send(50.0, 6.0), 0.3)

    def test_a_usual_load_is_no_surplus(self):
        for rate in (0.5, 5.0, 50.0):
            with self.subTest(rate=rate):
                self.assertLess(Sender(1).send(rate, 1200.0), 0.01)

    def test_the_first_load_is_no_surplus(self):
        """Guards against a new process that knows no usual rate."""
        self.assertEqual(Sender(1).send(50.0, usage.WARMUP_S), 0.0)

    def test_a_load_that_stays_becomes_usual(self):
        sender = Sender(1)
        sender.send(10.0, 20.0)
        sender.send(50.0, 120.0)
        self.assertLess(sender.send(50.0, 10.0), 0.01)

    def test_requests_of_all_hosts_count(self):
        """Guards against a surplus that is spread over many hosts."""
        found = usage.WorkspaceUsage()
        limits = rate_limits.RateLimits(found)
        limits.configure([models.Workspace('club', (), 0, 50.0, 100.0)], 0.0)
        for now in range(20):
            limits.take('club', now)
        self.assertFalse(found.is_surplus('club', 20.0))
        limits.record({'club': 60}, 20.0)
        self.assertTrue(found.is_surplus('club', 20.0))

    def test_workspaces_of_former_configurations_are_removed(self):
        sender = Sender(1)
        sender.send(10.0, 20.0)
        sender.usage.keep(set())
        for _ in range(100):
            sender.usage.record('club', 1, sender.now)
        self.assertFalse(sender.usage.is_surplus('club', sender.now))
