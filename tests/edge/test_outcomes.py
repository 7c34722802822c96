"""Tests of the counts of requests and failures."""

import unittest

from lavenderstile.edge import outcomes


class FailingTest(unittest.TestCase):
    """Guards against a service whose failures are not noticed."""

    def test_failures_count_within_the_window(self):
        counts = outcomes.Outcomes()
        counts.record('ledger', 20, 0, 0.0)
        self.assertFalse(counts.is_failing('ledger', 0.0))
        counts.record('ledger', 20, 4, 1.0)
        self.assertTrue(counts.is_failing('ledger', 1.0))
        self.assertFalse(counts.is_failing('ledger', 10.0))

    def test_failures_of_other_domains_are_not_reported(self):
        counts = outcomes.Outcomes()
        counts.record('ledger', 10, 5, 0.0, is_own_domain=False)
        self.assertTrue(counts.is_failing('ledger', 0.0))
        self.assertEqual(counts.totals, {})
