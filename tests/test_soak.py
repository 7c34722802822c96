"""A short soak with a fixed seed, and the seeds that ever failed."""

import asyncio
import unittest

from emulator import soak
from tests import fleet_slots

# Length of a run in CI; runs by hand take longer and more seeds.
DURATION_S = 6.0

# Seeds that have failed stay here, with a line on the cause.
REGRESSION_SEEDS = ()


class SoakTest(unittest.TestCase):
    """Guards the promises of real hosts under faults that overlap."""

    def run_seed(self, seed):
        """Run a seed; fail on a broken promise."""
        with fleet_slots.hold_fleet_slot():
            run = asyncio.run(soak.run_seed(seed, DURATION_S))
        self.assertEqual(run.problems, [])
        served = sum(outcome.status == 200 for outcome in run.outcomes)
        self.assertGreater(served, 20)

    def test_a_short_run(self):
        self.run_seed(20261204)

    def test_seeds_that_failed(self):
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)
