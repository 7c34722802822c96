"""Tests of the words for what became of a send."""

import unittest

from lavenderstile.edge import calls
from lavenderstile.edge import health


class DescribeTest(unittest.TestCase):
    """Guards against log lines without the outcome."""

    def test_each_outcome_has_words(self):
        kind = health.FaultKind.ERROR
        outcomes = (
            calls.Failed(kind, 'x'),
            calls.Rejected('x'),
            calls.Unreachable('x'),
        )
        words = [calls.describe(outcome) for outcome in outcomes]
        self.assertEqual(words, ['error', 'rejected', 'not sent'])
