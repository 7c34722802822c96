"""Tests of the places that kinds of requests may take at targets."""

import unittest

from lavenderstile.edge.admission import urgency
from lavenderstile.edge import balancing
from lavenderstile.edge import health
from lavenderstile.edge import models
from tests.edge.admission import shared_service
from tests.edge import builders

DOMAIN = shared_service.DOMAIN
FLEET = shared_service.FLEET
READS = shared_service.READS
SERVICE = shared_service.SERVICE
WRITES = shared_service.WRITES


def make_urgency(routes, scope=FLEET, work_s=0.8):
    """Return the urgency of the routes' kinds, with a service's latency."""
    directory = builders.make_directory(
        (), configuration=builders.make_configuration(routes=routes)
    )
    tracker = health.HealthTracker()
    for service in ('ledger', 'archive'):
        tracker.record_latency('i-0', service, work_s, 0.0)
    return urgency.KindUrgency(directory, tracker, scope), directory


class KindTest(unittest.TestCase):
    """Guards against less room for requests that delay no urgent ones."""

    def setUp(self):
        self.routes = shared_service.make_split_routes()

    def get_places(self, name, service=SERVICE, **changes):
        kinds, _ = make_urgency(self.routes.values(), **changes)
        return kinds.get_queue_per_slot(service, self.routes[name])

    def test_the_urgent_kind_uses_the_whole_queue(self):
        self.assertEqual(self.get_places('writes'), balancing.QUEUE_PER_SLOT)

    def test_the_other_kind_delays_it_by_a_part_of_its_objective(self):
        places = self.get_places('reads')
        self.assertLess(places, balancing.QUEUE_PER_SLOT)
        self.assertAlmostEqual(places * READS.work_s, 0.25)

    def test_short_work_may_use_more_places(self):
        self.assertEqual(
            self.get_places('reads', work_s=0.01), balancing.QUEUE_PER_SLOT
        )

    def test_a_service_with_one_kind_stays_as_it_is(self):
        self.assertEqual(
            self.get_places('scans', 'archive'), balancing.QUEUE_PER_SLOT
        )

    def test_the_scope_of_a_domain_stays_as_it_is(self):
        self.assertEqual(
            self.get_places('reads', scope=DOMAIN), balancing.QUEUE_PER_SLOT
        )

    def test_a_route_without_an_objective_is_the_least_urgent(self):
        routes = [
            READS.make_route(),
            builders.make_route('bulk', objective_s=None),
        ]
        kinds, _ = make_urgency(routes)
        self.assertFalse(kinds.is_deferrable(SERVICE, routes[0]))
        self.assertTrue(kinds.is_deferrable(SERVICE, routes[1]))

    def test_routes_without_objectives_are_one_kind(self):
        route = builders.make_route(objective_s=None)
        kinds, _ = make_urgency([route])
        self.assertFalse(kinds.is_deferrable(SERVICE, route))

    def test_a_route_that_sends_nothing_to_a_service_is_no_kind_of_it(self):
        parts = (
            models.WeightedService('archive', 1.0),
            models.WeightedService('ledger', 0.0),
        )
        routes = [
            READS.make_route(),
            builders.make_route(objective_s=0.5, weighted_services=parts),
        ]
        kinds, _ = make_urgency(routes)
        self.assertFalse(kinds.is_deferrable(SERVICE, routes[0]))

    def test_a_new_configuration_takes_effect(self):
        reads = self.routes['reads']
        kinds, directory = make_urgency([reads])
        self.assertFalse(kinds.is_deferrable(SERVICE, reads))
        configuration = builders.make_configuration(
            version=2, routes=list(self.routes.values())
        )
        directory.apply_snapshot(
            builders.directory.Snapshot(11, configuration, (), frozenset()),
            1.0,
        )
        self.assertTrue(kinds.is_deferrable(SERVICE, reads))


class LongestWaitTest(unittest.TestCase):
    """Guards against refusals of requests that could still be served."""

    def get_longest_wait(self, name, timeout_s, **changes):
        routes = shared_service.make_split_routes()
        kinds, _ = make_urgency(routes.values(), **changes)
        return kinds.get_longest_wait(SERVICE, routes[name], timeout_s)

    def test_a_deferrable_request_waits_until_its_latest_start(self):
        wait_s = self.get_longest_wait('reads', 6.0, work_s=0.8)
        self.assertAlmostEqual(wait_s, 5.0)

    def test_others_leave_time_for_the_queue_of_a_target(self):
        wait_s = self.get_longest_wait('writes', 2.0, work_s=0.2)
        self.assertAlmostEqual(wait_s, 1.45)

    def test_slow_work_leaves_a_share_of_the_time(self):
        wait_s = self.get_longest_wait('writes', 2.0, work_s=0.8)
        self.assertAlmostEqual(wait_s, 0.6)

    def test_the_scope_of_a_domain_stays_as_it_is(self):
        for name in ('reads', 'writes'):
            wait_s = self.get_longest_wait(name, 6.0, scope=DOMAIN)
            self.assertAlmostEqual(wait_s, 1.8)


class SharedServiceTest(unittest.TestCase):
    """Load pattern: two kinds of requests on one service, 20 % too many.

    Reads with an objective of 4 s need 1.1 times the slots, writes with an
    objective of 1 s a tenth of them; they have the same priority. Guards
    against writes that miss their objective behind reads that have time.
    """

    def test_the_urgent_kind_meets_its_objective(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                load = shared_service.SharedServiceLoad(seed, FLEET).run()
                self.assertGreater(
                    load.get_served_share(WRITES),
                    load.get_served_share(READS) - 0.05,
                )
                self.assertGreater(
                    load.get_timely_share(WRITES),
                    load.get_timely_share(READS) - 0.15,
                )

    def test_the_queue_at_hosts_costs_no_capacity(self):
        """Guards against slots that stay free while reads wait at hosts."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                fleet = shared_service.SharedServiceLoad(seed, FLEET).run()
                domain = shared_service.SharedServiceLoad(seed, DOMAIN).run()
                self.assertGreater(
                    fleet.get_served_share(READS),
                    domain.get_served_share(READS) - 0.02,
                )
