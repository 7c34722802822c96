"""Tests of the choice of targets that hold with both scopes."""

import functools
from unittest import mock

from lavenderstile.edge.room import fleet_balancer
from tests.edge import builders
from tests.edge import test_balancing
from tests.edge import test_pauses
from tests.edge import test_target_limits


class _WithScopeFleet:
    """Runs the tests of a class with the choice of scope fleet."""

    def setUp(self):
        make_fixture_class = functools.partial(
            builders.BalancerFixture,
            make_balancer=fleet_balancer.FleetBalancer,
        )
        patch = mock.patch.object(
            builders, 'BalancerFixture', make_fixture_class
        )
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()


class FleetLoadTest(_WithScopeFleet, test_balancing.LoadTest):
    """The tests of queues hold with scope fleet as well."""


class FleetDoubtTest(_WithScopeFleet, test_balancing.DoubtTest):
    """The tests of failing targets hold with scope fleet as well."""


class FleetDomainTest(_WithScopeFleet, test_balancing.DomainTest):
    """The tests of the own domain hold with scope fleet as well."""


class FleetColdTargetTest(_WithScopeFleet, test_balancing.ColdTargetTest):
    """The test of the cold rate holds with scope fleet as well."""


class FleetPauseTest(_WithScopeFleet, test_pauses.ChoiceTest):
    """The tests of pauses hold with scope fleet as well."""


class FleetLimitTest(_WithScopeFleet, test_target_limits.ChoiceTest):
    """The tests of limited targets hold with scope fleet as well."""


class FleetShareTest(_WithScopeFleet, test_target_limits.ShareTest):
    """The tests of divided limits hold with scope fleet as well."""
