"""Tests of the avoidance of bad paths."""

import unittest

from lavenderstile import avoidance
from lavenderstile import evidence

TARGETS = ['t0', 't1', 't2', 't3', 't4', 't5', 't6', 't7']


class AvoidanceTest(unittest.TestCase):
    """Guards against requests that keep failing on one bad path."""

    def setUp(self):
        self.paths = avoidance.PathAvoidance()
        self.window = evidence.EvidenceWindow()

    def _record(self, host, target, failed, now, count=1):
        for _ in range(count):
            self.paths.record(host, target, failed, now)
            self.window.record(target, host, failed, 0.01, now)

    def _review(self, now):
        return self.paths.review(self.window, TARGETS, now)

    def test_avoids_a_path_that_fails_for_one_host_alone(self):
        self._record('h1', 't0', True, 1.0, 3)
        self._record('h2', 't0', False, 1.0, 5)
        self.assertEqual(self._review(1.0), [('h1', 't0')])
        self.assertTrue(self.paths.is_avoided('h1', 't0', 1.0))
        self.assertFalse(self.paths.is_avoided('h2', 't0', 1.0))
        self.assertFalse(self.paths.is_avoided('h1', 't1', 1.0))

    def test_a_target_that_fails_for_others_is_no_path_fault(self):
        self._record('h1', 't0', True, 1.0, 3)
        self._record('h2', 't0', True, 1.0, 3)
        self.assertEqual(self._review(1.0), [])

    def test_avoids_a_failing_target_that_no_other_host_has_tried(self):
        """Ejection needs failures on two hosts, so only avoidance helps."""
        self._record('h1', 't0', True, 1.0, 3)
        self.assertEqual(self._review(1.0), [('h1', 't0')])

    def test_too_few_requests_of_others_are_inconclusive(self):
        self._record('h1', 't0', True, 1.0, 3)
        self._record('h2', 't0', True, 1.0, 1)
        self.assertEqual(self._review(1.0), [])
        self._record('h2', 't0', False, 1.0, 1)
        self.assertEqual(self._review(1.0), [])

    def test_a_success_between_the_failures_counts(self):
        self._record('h2', 't0', False, 1.0, 5)
        self._record('h1', 't0', True, 1.0, 2)
        self._record('h1', 't0', False, 1.0)
        self._record('h1', 't0', True, 1.0, 2)
        self.assertEqual(self._review(1.0), [])

    def test_a_host_with_a_bad_link_keeps_all_its_targets(self):
        for target in TARGETS:
            self._record('h1', target, True, 1.0, 3)
            self._record('h2', target, False, 1.0, 5)
        self.assertEqual(self._review(1.0), [])

    def test_tries_again_after_a_time_that_doubles(self):
        now = 1.0
        ends = []
        self._record('h1', 't0', True, now, 3)
        self._record('h2', 't0', False, now, 3)
        self.assertEqual(self._review(now), [('h1', 't0')])
        for _ in range(6):
            self.assertTrue(self.paths.is_avoided('h1', 't0', now))
            start = now
            while self.paths.is_avoided('h1', 't0', now):
                now += 1.0
            ends.append(now - start)
            self._record('h1', 't0', True, now)
        self.assertEqual(ends, [5.0, 10.0, 20.0, 40.0, 60.0, 60.0])

    def test_a_group_is_avoided_again_by_one_failure(self):
        self.paths.avoid('h1', ['t0', 't1', 't2'], 1.0)
        self.paths.record('h1', 't2', False, 7.0)
        self.assertTrue(self.paths.record('h1', 't0', True, 7.0))
        avoided = [t for t in TARGETS if self.paths.is_avoided('h1', t, 7.1)]
        self.assertEqual(avoided, ['t0', 't1'])

    def test_a_success_after_the_avoidance_ends_it(self):
        self._record('h1', 't0', True, 1.0, 3)
        self._record('h2', 't0', False, 1.0, 3)
        self.assertEqual(self._review(1.0), [('h1', 't0')])
        self._record('h1', 't0', False, 7.0)
        self._record('h1', 't0', True, 8.0)
        self.assertEqual(self._review(8.0), [])

    def test_memory_is_bounded(self):
        for number in range(avoidance.MAX_PATHS + 5):
            self.paths.record(f'h{number}', 't0', True, 1.0)
        found = self.paths.review(self.window, TARGETS, 1.0)
        self.assertEqual(found, [])
        self.assertEqual(len(self.paths), avoidance.MAX_PATHS)
