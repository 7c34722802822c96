"""Tests of whether a host reaches the targets."""

import unittest

from lavenderstile.edge import paths


class PathsTest(unittest.TestCase):
    """Guards against a host that does not notice that it is cut off."""

    def setUp(self):
        self.paths = paths.Paths()

    def fail(self, instance, now):
        return self.paths.record_failure(instance, 'refused', 6, now)

    def test_one_target_is_no_evidence(self):
        for now in range(5):
            self.assertFalse(self.fail('i-1', float(now)))
        self.assertFalse(self.paths.is_cut)

    def test_the_only_target_is(self):
        self.assertTrue(self.paths.record_failure('i-1', 'refused', 1, 1.0))

    def test_two_targets_without_a_success_between_them_are(self):
        self.fail('i-1', 1.0)
        self.assertTrue(self.fail('i-2', 2.0))
        self.assertFalse(self.fail('i-3', 3.0))
        self.assertEqual(self.paths.get_cut_duration(5.0), 3.0)

    def test_a_success_between_them_rules_a_cut_out(self):
        self.fail('i-1', 1.0)
        self.assertFalse(self.paths.record_success('i-3', 1.5))
        self.fail('i-2', 2.0)
        self.assertFalse(self.paths.is_cut)

    def test_one_success_ends_a_cut(self):
        self.fail('i-1', 1.0)
        self.fail('i-2', 1.0)
        self.assertTrue(self.paths.is_confirmed(4.0))
        self.assertTrue(self.paths.record_success('i-1', 4.0))
        self.assertFalse(self.paths.is_cut)
        self.assertEqual(self.paths.get_cut_duration(5.0), 0.0)

    def test_a_success_at_once_shows_that_there_was_no_cut(self):
        self.fail('i-1', 1.0)
        self.fail('i-2', 1.0)
        self.assertFalse(self.paths.is_confirmed(1.1))
        self.assertFalse(self.paths.record_success('i-3', 1.1))
        self.assertFalse(self.paths.is_cut)

    def test_old_failures_do_not_count(self):
        """Guards against a host with few requests that meets one crash."""
        self.fail('i-1', 1.0)
        self.fail('i-2', 1.0 + paths.EVIDENCE_S)
        self.assertFalse(self.paths.is_cut)
