"""Short random walks, and weakened variants that they must detect."""

import unittest
from unittest import mock

from lavenderstile.edge import balancing
from lavenderstile.edge import budgets
from lavenderstile.edge import directory
from lavenderstile.edge import rate_limits
from tests.edge import model_check

STEPS = 2_500
SEEDS = range(3)


class WalkTest(unittest.TestCase):
    """Guards against violations when several faults coincide."""

    def run_walks(self, make_walk, seeds=SEEDS):
        """Run walks; raises `InvariantViolation`."""
        for seed in seeds:
            model_check.run_walk(make_walk, seed, STEPS)

    def test_the_fleet_keeps_its_limits(self):
        self.run_walks(model_check.FleetWalk)

    def test_the_directory_follows_the_registry(self):
        self.run_walks(model_check.DirectoryWalk)

    def test_walks_that_exceeded_a_limit(self):
        # In 12, 17 and 20, new processes spent the retry budget once more.
        self.run_walks(model_check.FleetWalk, (12, 17, 20))


class WeakenedTest(WalkTest):
    """Guards against walks that do not detect a missing mechanism."""

    # The tests of the base class run only there.
    test_the_fleet_keeps_its_limits = None
    test_the_directory_follows_the_registry = None
    test_walks_that_exceeded_a_limit = None

    def assert_found(self, make_walk, owner, name, weakened):
        """Fail unless the walks detect a weakened variant."""
        with mock.patch.object(owner, name, weakened):
            with self.assertRaises(model_check.InvariantViolation) as caught:
                self.run_walks(make_walk)
        self.assertIn('seed', str(caught.exception))

    def test_rates_without_counts_of_peers(self):
        self.assert_found(
            model_check.FleetWalk,
            rate_limits.RateLimits,
            'record',
            lambda *_: None,
        )

    def test_budgets_without_counts_of_peers(self):
        self.assert_found(
            model_check.FleetWalk,
            budgets.Budgets,
            'record_peer',
            lambda *_: None,
        )

    def test_cold_targets_without_owners(self):
        self.assert_found(
            model_check.FleetWalk,
            balancing.ColdStartLimiter,
            '_list_hosts',
            lambda self, _: [self._fleet.address],
        )

    def test_cold_targets_without_spacing(self):
        self.assert_found(
            model_check.FleetWalk,
            balancing.ColdStartLimiter,
            'record',
            lambda *_: None,
        )

    def test_versions_that_decrease(self):
        def update(self, configuration):
            self._configuration = configuration or self._configuration

        self.assert_found(
            model_check.DirectoryWalk,
            directory.Directory,
            '_update_configuration',
            update,
        )

    def test_removals_that_are_missed(self):
        self.assert_found(
            model_check.DirectoryWalk,
            directory.Directory,
            '_remove_all',
            lambda *_: None,
        )
