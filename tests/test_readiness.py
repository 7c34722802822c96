"""Tests of a host's readiness."""

import types
import unittest

from lavenderstile import clocks
from lavenderstile import membership
from lavenderstile import readiness

PEER = '127.0.0.2'
ENDPOINT = f'{PEER}:7001'


class ReadinessTestCase(unittest.TestCase):
    """Common set-up: a host that knows one peer from the platform's list."""

    def setUp(self):
        self.clock = clocks.VirtualClock()
        self.membership = membership.Membership('127.0.0.1', 'north', 1)
        self.configuration = types.SimpleNamespace(newest=0)
        self.reader = types.SimpleNamespace(succeeded_at=None)
        self.readiness = readiness.Readiness(
            self.clock, self.membership, self.configuration, self.reader
        )

    def contact_peer(self, ready=True):
        """Record a successful exchange with the peer."""
        now = self.clock.now()
        self.membership.record_listing({PEER: (ENDPOINT, False)}, now)
        report = membership.PeerReport(PEER, ENDPOINT, 'north', 1, ready=ready)
        self.membership.record_success(report, now)
        self.readiness.update()

    def read_service(self):
        """Record a successful read from the configuration service."""
        self.reader.succeeded_at = self.clock.now()
        self.readiness.update()

    def pass_time(self, seconds):
        """Advance the clock and update readiness."""
        self.clock.advance(seconds)
        self.readiness.update()


class StartTest(ReadinessTestCase):
    """Guards against a host that serves with an outdated configuration.

    A host that starts may read an older configuration than its peers have.
    """

    def setUp(self):
        super().setUp()
        self.configuration.newest = 3

    def test_not_ready_without_a_configuration(self):
        self.configuration.newest = 0
        self.contact_peer()
        self.readiness.record_synchronized()
        self.pass_time(60.0)
        self.assertFalse(self.readiness.ready)

    def test_ready_once_it_has_what_a_ready_peer_has(self):
        self.contact_peer()
        self.assertFalse(self.readiness.ready)
        self.readiness.record_synchronized()
        self.readiness.update()
        self.assertTrue(self.readiness.ready)

    def test_a_stale_service_is_not_enough_beside_a_ready_peer(self):
        """The service is read first and has an older state than the peer."""
        self.read_service()
        self.assertFalse(self.readiness.ready)
        for _ in range(5):
            self.contact_peer()
            self.pass_time(1.0)
            self.read_service()
            self.assertFalse(self.readiness.ready)

    def test_a_ready_peer_that_only_others_reach_counts_too(self):
        self.contact_peer()
        other = membership.PeerReport(
            '127.0.0.3',
            '127.0.0.3:7001',
            'north',
            1,
            ready=False,
            contacted=(PEER,),
        )
        for _ in range(6):
            self.pass_time(1.0)
            self.membership.record_success(other, self.clock.now())
            self.read_service()
        self.assertFalse(self.readiness.ready)

    def test_the_first_hosts_of_a_fleet_begin_after_a_wait(self):
        """Otherwise all hosts of a new fleet would wait for each other."""
        self.contact_peer(ready=False)
        self.assertFalse(self.readiness.ready)
        self.pass_time(readiness.START_WAIT_S)
        self.contact_peer(ready=False)
        self.assertTrue(self.readiness.ready)

    def test_the_service_is_enough_for_the_only_host(self):
        self.pass_time(readiness.START_WAIT_S)
        self.assertFalse(self.readiness.ready)
        self.read_service()
        self.assertTrue(self.readiness.ready)


class ContactTest(ReadinessTestCase):
    """Guards against hosts that miss changes and fleets that stop serving.

    A host without any contact would not learn of a withdrawn key. Hosts
    that only lose the configuration service have to go on serving.
    """

    def setUp(self):
        super().setUp()
        self.configuration.newest = 3
        self.readiness.record_synchronized()
        self.contact_peer()

    def test_loss_of_the_service_changes_nothing(self):
        for _ in range(60):
            self.pass_time(60.0)
            self.contact_peer()
        self.assertTrue(self.readiness.ready)

    def test_alone_after_ten_seconds_without_any_contact(self):
        self.pass_time(10.0)
        self.assertFalse(self.readiness.alone)
        self.pass_time(4.0)
        self.assertTrue(self.readiness.alone)
        self.assertFalse(self.readiness.ready)

    def test_isolated_hosts_leave_the_balancer_but_serve(self):
        for _ in range(15):
            self.pass_time(1.0)
            self.read_service()
        self.assertFalse(self.readiness.alone)
        self.assertFalse(self.readiness.ready)
        self.assertIn('isolated', self.readiness.reasons()[0])

    def test_ready_again_after_contact(self):
        self.pass_time(20.0)
        self.contact_peer()
        self.assertTrue(self.readiness.ready)

    def test_a_long_pause_counts_as_no_contact(self):
        """After a pause the process may have missed changes."""
        self.clock.advance(20.0)
        self.assertTrue(self.readiness.alone)

    def test_draining_hosts_are_not_ready_and_own_nothing(self):
        self.readiness.start_draining()
        self.assertFalse(self.readiness.ready)
        self.assertFalse(self.readiness.may_own)
