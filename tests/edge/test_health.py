"""Tests of the estimated health of targets."""

import unittest

from lavenderstile.edge import health

Kind = health.FaultKind


class FailureProbabilityTest(unittest.TestCase):
    """Load pattern: a third of the targets fail most requests for seconds.

    Guards against a target that gets a request every second while it fails,
    and against a healthy one that is avoided after a single fault.
    """

    def setUp(self):
        self.tracker = health.HealthTracker()
        self.tracker.add('i-1', False, 0.0)

    def succeed(self, *times):
        for now in times:
            self.tracker.record_success('i-1', 'ledger', 0.2, now)

    def test_one_fault_of_an_untried_target_is_enough(self):
        self.tracker.record_fault('i-1', Kind.ERROR, 0.0)
        self.assertTrue(self.tracker.is_avoided('i-1', 0.1))

    def test_a_fault_of_a_proven_target_leaves_doubt(self):
        self.succeed(0.0, 0.1, 0.2, 0.3)
        self.tracker.record_fault('i-1', Kind.ERROR, 0.4)
        doubt = self.tracker.get_failure_probability('i-1', 0.4)
        self.succeed(0.7, 0.8)
        self.assertLess(
            self.tracker.get_failure_probability('i-1', 0.8), doubt / 10
        )

    def test_a_response_sent_before_a_fault_does_not_clear_it(self):
        """Guards against a failing target that keeps its requests.

        Requests that were running when it began to fail still succeed, and
        their responses come after the first errors.
        """
        self.succeed(0.0, 0.1, 0.2, 0.3)
        for now in (0.40, 0.41):
            self.tracker.record_fault('i-1', Kind.ERROR, now)
        self.succeed(0.45, 0.5, 0.55)
        self.assertTrue(self.tracker.is_avoided('i-1', 0.6))
        self.succeed(0.62, 0.63, 0.64)
        self.assertFalse(self.tracker.is_avoided('i-1', 0.65))

    def test_a_slow_request_that_succeeds_clears_its_fault(self):
        self.succeed(0.0, 0.1)
        self.tracker.record_fault('i-1', Kind.SILENT, 0.5)
        doubt = self.tracker.get_failure_probability('i-1', 0.6)
        self.tracker.record_success('i-1', 'ledger', 0.6, 0.6)
        self.assertLess(
            self.tracker.get_failure_probability('i-1', 0.6), doubt / 2
        )

    def test_consecutive_faults_avoid_it_for_seconds(self):
        self.tracker.record_fault('i-1', Kind.ERROR, 0.0)
        self.tracker.record_fault('i-1', Kind.BROKEN, 0.1)
        self.assertTrue(self.tracker.is_avoided('i-1', 5.0))
        self.assertFalse(self.tracker.is_avoided('i-1', 30.0))

    def test_the_estimate_decays_to_the_prior(self):
        self.succeed(0.0, 0.1)
        early = self.tracker.get_penalty('i-1', False, 0.2)
        late = self.tracker.get_penalty('i-1', False, 60.0)
        self.assertLess(early, late)
        self.assertAlmostEqual(
            late,
            health.PRIOR_PROBABILITY * health.SEPARATE_COSTS.usual_s,
            3,
        )

    def test_shedding_does_not_count_as_a_fault(self):
        self.succeed(0.0)
        self.tracker.record_fault('i-1', Kind.SHED, 0.1)
        self.assertEqual(
            self.tracker.get_penalty('i-1', False, 0.2),
            health.BLOCKED_PENALTY_S,
        )
        self.assertFalse(self.tracker.is_avoided('i-1', 0.5))

    def test_a_path_fault_does_not_change_the_probability(self):
        self.succeed(0.0)
        first = self.tracker.record_path_fault('i-1', 0.1)
        second = self.tracker.record_path_fault('i-1', 0.2)
        self.assertGreater(second, first)
        self.assertTrue(self.tracker.is_avoided('i-1', 0.3))
        self.assertLess(self.tracker.get_failure_probability('i-1', 0.3), 0.1)

    def test_a_new_target_gets_a_first_request(self):
        """Guards against new targets that get no requests (quiet-1)."""
        self.tracker.add('i-2', True, 0.0)
        self.assertLess(self.tracker.get_penalty('i-2', False, 9.0), 0.0)
        self.tracker.record_success('i-2', 'ledger', 0.2, 9.0)
        self.assertGreaterEqual(
            self.tracker.get_penalty('i-2', False, 9.0), 0.0
        )


class LatencyTest(unittest.TestCase):
    """Guards against requests that are sent to slow targets."""

    def setUp(self):
        self.tracker = health.HealthTracker()
        for instance in ('i-1', 'i-2'):
            self.tracker.add(instance, False, 0.0)

    def test_a_slow_target_has_a_higher_estimate(self):
        for step in range(10):
            now = step * 0.1
            self.tracker.record_success('i-1', 'ledger', 0.2, now)
            self.tracker.record_success('i-2', 'ledger', 1.0, now)
        slow = self.tracker.estimate_latency('i-2', 'ledger', 1.0)
        fast = self.tracker.estimate_latency('i-1', 'ledger', 1.0)
        self.assertGreater(slow, 2 * fast)

    def test_the_estimate_decays_to_the_service_mean(self):
        for step in range(10):
            self.tracker.record_success('i-2', 'ledger', 1.0, step * 0.1)
        for step in range(100):
            self.tracker.record_success('i-1', 'ledger', 0.2, 1 + step * 0.1)
        self.assertEqual(
            self.tracker.estimate_latency('i-2', 'ledger', 20.0),
            self.tracker.get_mean_latency('ledger'),
        )
