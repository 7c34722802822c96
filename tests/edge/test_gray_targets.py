"""Load pattern: a third of the targets fail most requests for seconds.

The targets answer errors at once, take turns, and pass their health checks,
as on the users' deployments. Most requests may not be sent again.
"""

import unittest

from tests.edge import gray_targets

# While more than a tenth of a service's requests are not served, most of its
# healthy targets have to be in use.
UNSERVED_LIMIT = 0.1

SEEDS = (1, 2)


class GrayTargetsTest(unittest.TestCase):
    """Guards against requests lost at targets that are known to fail."""

    def check(self, load):
        """Play a load with several seeds; return the results."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = gray_targets.Simulation(load, seed).run()
                self.assertLess(result.failed_share, UNSERVED_LIMIT)
                self.assertEqual(result.refused, 0)

    def test_few_targets_with_many_requests_each(self):
        self.check(
            gray_targets.Load(
                targets=11,
                slots=2,
                requests_per_s=39.0,
                idempotent_share=0.34,
                work_s=0.145,
            )
        )

    def test_many_targets_with_few_requests_each(self):
        self.check(
            gray_targets.Load(targets=24, requests_per_s=50.0, work_s=0.39)
        )
