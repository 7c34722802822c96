"""Tests of the descriptions of outcomes."""

import unittest

from lavenderstile.edge import calls
from lavenderstile.edge import health


class DescribeTest(unittest.TestCase):
    """Guards against log lines without the outcome."""

    def test_each_outcome_has_a_description(self):
        kind = health.FaultKind.ERROR
        outcomes = (
            calls.Failed(kind, 'x'),
            calls.Rejected('x'),
            calls.Unreachable('x'),
        )
        descriptions = [calls.describe(outcome) for outcome in outcomes]
        self.assertEqual(descriptions, ['error', 'rejected', 'not sent'])
