"""Tests of the expected wait and of refusals that follow from it."""

import dataclasses
import unittest

from lavenderstile import clocks
from lavenderstile.edge.admission import expected_wait
from lavenderstile.edge.admission import fleet_waiting
from lavenderstile.edge.admission import urgency
from lavenderstile.edge import fleet
from lavenderstile.edge import health
from tests.edge.admission import shared_service
from tests.edge import builders

DOMAIN = shared_service.DOMAIN
FLEET = shared_service.FLEET
READS = shared_service.READS
SERVICE = shared_service.SERVICE
WRITES = shared_service.WRITES

# Two targets of four slots and a work of 0.8 s: a start every 0.1 s.
INTERVAL_S = 0.1


class WaitCase(unittest.TestCase):
    """A host with a queue, peers and two targets."""

    SCOPE = FLEET

    def setUp(self):
        self.clock = clocks.VirtualClock()
        targets = [
            builders.make_target(f'i-{number}', slots=4) for number in range(2)
        ]
        self.fleet = fleet.Fleet('10.1.0.1', 'a', 1)
        self.health = health.HealthTracker()
        for target in targets:
            self.health.add(target.instance, False, self.clock.now())
        self.health.record_latency('i-9', SERVICE, 0.8, self.clock.now())
        self.queue = fleet_waiting.FleetWaitingRequests(self.fleet, self.clock)
        self.waits = expected_wait.ExpectedWaits(
            builders.make_directory(targets),
            self.fleet,
            self.health,
            self.queue,
            self.SCOPE,
        )

    def make_turn(self, is_deferrable=False):
        return urgency.Turn(is_deferrable, self.clock.now() + 3.0, 0.1)

    def add(self, count, priority=1, is_deferrable=False):
        for _ in range(count):
            self.queue.add(
                SERVICE,
                priority,
                'club',
                self.clock.now(),
                4.0,
                self.make_turn(is_deferrable),
            )

    def add_peer(self, address='10.1.0.2', **changes):
        update = builders.make_update(address, **changes)
        self.fleet.apply_update(update, self.clock.now())

    def check(self, longest_wait_s=4.0, priority=1, is_deferrable=False):
        return self.waits.check(
            SERVICE,
            priority,
            self.make_turn(is_deferrable),
            longest_wait_s,
            self.clock.now(),
        )

    def assert_expected(self, requests, **changes):
        """Check the expected wait, given in requests that start before."""
        outcome = self.check(**changes)
        self.assertAlmostEqual(outcome.expected_s, (requests + 1) * INTERVAL_S)


class EstimateTest(WaitCase):
    """Guards against waits that are known too late or wrongly."""

    def test_own_requests_count(self):
        self.add(7)
        self.assert_expected(7)

    def test_requests_of_peers_count(self):
        self.add_peer(waiting={SERVICE: {1: 5}, 'other': {1: 9}})
        self.assert_expected(5)

    def test_less_urgent_requests_do_not_count(self):
        self.add(3, priority=2)
        self.add(2, is_deferrable=True)
        deferrable = 1 + fleet_waiting.DEFERRABLE_OFFSET
        self.add_peer(waiting={SERVICE: {2: 4, 0: 1, deferrable: 6}})
        self.assert_expected(1)
        self.assert_expected(1 + 2 + 6, is_deferrable=True)

    def test_a_lost_peer_does_not_count(self):
        self.add_peer(waiting={SERVICE: {1: 50}})
        self.clock.advance(fleet.PEER_TIMEOUT_S + 0.1)
        self.fleet.expire(self.clock.now())
        self.assert_expected(0)

    def test_other_domains_use_their_share_of_the_slots(self):
        digest = builders.make_digest(size=3)
        self.fleet.apply_digest(digest, self.clock.now())
        self.assertAlmostEqual(self.check().expected_s, 4 * INTERVAL_S)

    def test_failing_targets_serve_nothing(self):
        for _ in range(5):
            self.health.record_fault(
                'i-0', health.FaultKind.ERROR, self.clock.now()
            )
        self.assertAlmostEqual(self.check().expected_s, 2 * INTERVAL_S)

    def test_without_a_usable_target_the_wait_is_not_known(self):
        for instance in ('i-0', 'i-1'):
            for _ in range(5):
                self.health.record_fault(
                    instance, health.FaultKind.ERROR, self.clock.now()
                )
        self.add(500)
        self.assertEqual(self.check(), expected_wait.Accepted(None))


class RefusalTest(WaitCase):
    """Guards against requests that wait in vain, and against early refusals.

    They took a place and were refused at the end of their longest wait.
    """

    def test_a_request_without_time_is_refused(self):
        self.add(40)
        self.assertIsInstance(self.check(), expected_wait.Refused)

    def test_a_request_that_may_be_served_is_accepted(self):
        self.add(30)
        self.assertIsInstance(self.check(), expected_wait.Accepted)

    def test_a_short_longest_wait_keeps_most_of_its_time(self):
        self.add(3)
        outcome = self.check(longest_wait_s=0.6)
        self.assertIsInstance(outcome, expected_wait.Accepted)

    def test_callers_come_back_one_after_the_other(self):
        """Guards against callers who all come back at the same time."""
        self.add_peer()
        self.add(60)
        retries = [self.check().retry_after_s for _ in range(5)]
        # The backlog has to shrink by 6.1 s - 3.2 s first.
        self.assertAlmostEqual(retries[0], 2.9)
        for earlier, later in zip(retries, retries[1:], strict=False):
            # Both hosts of the domain send callers back.
            self.assertAlmostEqual(later - earlier, 2 * INTERVAL_S)

    def test_reserved_room_expires(self):
        self.add(60)
        for _ in range(5):
            self.check()
        self.clock.advance(60.0)
        self.assertAlmostEqual(self.check().retry_after_s, 2.9)

    def test_no_caller_is_sent_back_for_longer_than_it_waits(self):
        self.assertAlmostEqual(
            expected_wait.limit_retry_after(9.0, 6.0) * 1.5, 2.0
        )
        self.assertEqual(expected_wait.limit_retry_after(0.3, 6.0), 0.3)


class DomainScopeTest(WaitCase):
    """Guards against a change of deployments with scope `DOMAIN`."""

    SCOPE = DOMAIN

    def test_every_request_is_accepted(self):
        self.add(500)
        self.assertEqual(self.check(), expected_wait.Accepted(None))


class OverloadTest(unittest.TestCase):
    """Load pattern: reads for 1.6 times the slots, and a tenth of writes.

    Guards against refusals that come late and against refused requests that
    could have been served.
    """

    def test_most_refusals_are_made_on_arrival(self):
        reads = dataclasses.replace(READS, load=1.6)
        for seed in (1, 2):
            with self.subTest(seed=seed):
                load = shared_service.SharedServiceLoad(
                    seed, FLEET, (reads, WRITES)
                ).run()
                self.assertLess(
                    load.late_refusals[reads], 0.05 * load.lost[reads]
                )
                self.assertEqual(load.lost[WRITES], 0)

    def test_a_short_overload_refuses_nothing(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                load = shared_service.SharedServiceLoad(seed, FLEET).run()
                self.assertGreater(load.get_served_share(READS), 0.98)
