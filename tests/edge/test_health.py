"""Tests of the belief about targets."""

import unittest

from lavenderstile.edge import health

Kind = health.FaultKind


class BeliefTest(unittest.TestCase):
    """Load pattern: a third of the targets fail most requests for seconds.

    Guards against a target that is tried every second while it fails, and
    against a sound one that is left out after a single fault.
    """

    def setUp(self):
        self.book = health.HealthTracker()
        self.book.add('i-1', False, 0.0)

    def succeed(self, *times):
        for now in times:
            self.book.record_success('i-1', 'ledger', 0.2, now)

    def test_one_fault_of_an_untried_target_is_enough(self):
        self.book.record_fault('i-1', Kind.ERROR, 0.0)
        self.assertTrue(self.book.is_avoided('i-1', 0.1))

    def test_a_fault_of_a_proven_target_leaves_doubt(self):
        self.succeed(0.0, 0.1, 0.2, 0.3)
        self.book.record_fault('i-1', Kind.ERROR, 0.4)
        doubt = self.book.get_failure_probability('i-1', 0.4)
        self.succeed(0.5, 0.6)
        self.assertLess(
            self.book.get_failure_probability('i-1', 0.6), doubt / 10
        )

    def test_faults_in_a_row_avoid_it_for_seconds(self):
        self.book.record_fault('i-1', Kind.ERROR, 0.0)
        self.book.record_fault('i-1', Kind.BROKEN, 0.1)
        self.assertTrue(self.book.is_avoided('i-1', 5.0))
        self.assertFalse(self.book.is_avoided('i-1', 30.0))

    def test_it_becomes_unknown_with_time(self):
        self.succeed(0.0, 0.1)
        early = self.book.get_penalty('i-1', False, 0.2)
        late = self.book.get_penalty('i-1', False, 60.0)
        self.assertLess(early, late)
        self.assertAlmostEqual(late, health.PRIOR * health.LOSS_S, 3)

    def test_shedding_is_no_fault(self):
        self.succeed(0.0)
        self.book.record_fault('i-1', Kind.SHED, 0.1)
        self.assertEqual(
            self.book.get_penalty('i-1', False, 0.2), health.BLOCKED_S
        )
        self.assertFalse(self.book.is_avoided('i-1', 0.5))

    def test_a_path_fault_is_this_hosts_alone(self):
        self.succeed(0.0)
        first = self.book.record_path_fault('i-1', 0.1)
        second = self.book.record_path_fault('i-1', 0.2)
        self.assertGreater(second, first)
        self.assertTrue(self.book.is_avoided('i-1', 0.3))
        self.assertLess(self.book.get_failure_probability('i-1', 0.3), 0.1)

    def test_a_new_target_is_put_to_use(self):
        """Guards against targets that join and get nothing (quiet-1)."""
        self.book.add('i-2', True, 0.0)
        self.assertLess(self.book.get_penalty('i-2', False, 9.0), 0.0)
        self.book.record_success('i-2', 'ledger', 0.2, 9.0)
        self.assertGreaterEqual(self.book.get_penalty('i-2', False, 9.0), 0.0)


class LatencyTest(unittest.TestCase):
    """Guards against requests that go to slow targets."""

    def setUp(self):
        self.book = health.HealthTracker()
        for instance in ('i-1', 'i-2'):
            self.book.add(instance, False, 0.0)

    def test_a_slow_target_is_known_as_slow(self):
        for step in range(10):
            now = step * 0.1
            self.book.record_success('i-1', 'ledger', 0.2, now)
            self.book.record_success('i-2', 'ledger', 1.0, now)
        slow = self.book.estimate_latency('i-2', 'ledger', 1.0)
        fast = self.book.estimate_latency('i-1', 'ledger', 1.0)
        self.assertGreater(slow, 2 * fast)

    def test_slowness_is_forgotten(self):
        for step in range(10):
            self.book.record_success('i-2', 'ledger', 1.0, step * 0.1)
        for step in range(100):
            self.book.record_success('i-1', 'ledger', 0.2, 1 + step * 0.1)
        self.assertEqual(
            self.book.estimate_latency('i-2', 'ledger', 20.0),
            self.book.get_mean_latency('ledger'),
        )
