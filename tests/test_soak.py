"""A short soak with a fixed seed, and the seeds that failed before."""

import asyncio
import unittest

from emulator import soak
from tests import fleet_slots

# Length of a run in CI; manual runs take longer and use more seeds.
DURATION_S = 6.0

# Seeds of earlier failures, each with a comment on the cause.
REGRESSION_SEEDS = ()


class SoakTest(unittest.TestCase):
    """Guards the invariants of host processes under overlapping faults."""

    def run_seed(self, seed):
        """Run a seed; fail on a violated invariant."""
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
