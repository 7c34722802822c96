"""Tests of the order of waiting requests with scope `FLEET`."""

import unittest
from unittest import mock

from lavenderstile import clocks
from lavenderstile.edge.admission import fleet_waiting
from lavenderstile.edge.admission import urgency
from lavenderstile.edge.admission import waiting
from lavenderstile.edge import fleet
from lavenderstile.edge import messages
from tests.edge.admission import shared_service
from tests.edge import builders

FLEET = shared_service.FLEET
READS = shared_service.READS
SERVICE = shared_service.SERVICE

CLOSE_S = 0.1


class QueueCase(unittest.TestCase):
    """A host's queue and its peers."""

    def setUp(self):
        self.clock = clocks.VirtualClock()
        self.fleet = fleet.Fleet('10.1.0.1', 'a', 1)
        self.queue = fleet_waiting.FleetWaitingRequests(self.fleet, self.clock)

    def make_turn(self, start_in_s=1.0, **changes):
        start = self.clock.now() + start_in_s
        fields = {'is_deferrable': False, **changes}
        return urgency.Turn(starts_by=start, close_s=CLOSE_S, **fields)

    def add(self, priority=1, workspace='club', queue=None, **changes):
        return (queue or self.queue).add(
            SERVICE,
            priority,
            workspace,
            self.clock.now(),
            4.0,
            self.make_turn(**changes),
        )

    def add_peer(self, address='10.1.0.2', priority=1, **changes):
        """Add a peer with one waiting request."""
        queue = fleet_waiting.FleetWaitingRequests(self.fleet, self.clock)
        self.add(priority, queue=queue, **changes)
        self.apply_update(address, waiting=queue.counts, starts=queue.starts)

    def apply_update(self, address, **changes):
        update = builders.make_update(address, **changes)
        received = messages.unpack(messages.pack(update))
        self.fleet.apply_update(received, self.clock.now())

    def find_next(self, entries):
        now = self.clock.now()
        return [each for each in entries if self.queue.is_next(each, now)]

    def must_yield(self, priority=1, **changes):
        turn = self.make_turn(**changes)
        return self.queue.must_yield(SERVICE, priority, turn)

    def get_handoff_wait(self, entry):
        return self.queue.get_handoff_wait(entry, self.clock.now())


class OrderTest(QueueCase):
    """Guards against requests that miss their objective behind others."""

    def test_priority_goes_first(self):
        entries = [self.add(2, start_in_s=0.2), self.add(1)]
        self.assertEqual(self.find_next(entries), [entries[1]])

    def test_the_request_that_has_to_start_first_is_next(self):
        entries = [self.add(start_in_s=1.0), self.add(start_in_s=0.5)]
        self.assertEqual(self.find_next(entries), [entries[1]])

    def test_a_new_request_goes_after_one_that_missed_its_objective(self):
        """Guards against an accepted request that later ones overtake."""
        entries = [self.add(start_in_s=0.5), self.add(start_in_s=1.0)]
        self.clock.advance(0.7)
        self.assertEqual(self.find_next(entries), [entries[0]])

    def test_workspaces_take_turns_within_close_starts(self):
        start = self.clock.now() + 1.0
        start += CLOSE_S / 2 - start % CLOSE_S
        left = [
            self.queue.add(
                SERVICE,
                1,
                workspace,
                self.clock.now(),
                4.0,
                urgency.Turn(False, start + number * 0.001, CLOSE_S),
            )
            for number, workspace in enumerate(['large'] * 4 + ['small'])
        ]
        order = []
        while left:
            [entry] = self.find_next(left)
            entry.has_slot = True
            self.queue.remove(entry)
            left.remove(entry)
            order.append(entry.workspace)
        self.assertEqual(order.index('small'), 1)

    def test_a_long_wait_makes_a_request_the_first(self):
        """Guards against a priority that is starved."""
        entry = self.add(2, start_in_s=3.0)
        self.clock.advance(waiting.YIELDING_SHARE * 4.0)
        other = self.add(0)
        self.assertEqual(self.find_next([entry, other]), [entry])


class CostTest(QueueCase):
    """Load pattern: 400 requests that wait at one host and poll.

    Guards against polls that each look through the whole queue.
    """

    def test_a_round_of_polls_costs_as_much_as_the_queue_is_long(self):
        entries = [self.add(start_in_s=number) for number in range(400)]
        with mock.patch.object(
            fleet_waiting.FleetWaitingRequests,
            '_get_key',
            autospec=True,
            side_effect=fleet_waiting.FleetWaitingRequests._get_key,
        ) as get_key:
            self.assertEqual(self.find_next(entries), entries[:1])
        self.assertLessEqual(get_key.call_count, len(entries))


class DeferrableTest(QueueCase):
    """Guards against urgent requests behind others that need a free slot.

    The deferrable ones cannot use the places that are left at targets.
    """

    def test_urgent_kinds_do_not_wait_for_deferrable_requests(self):
        deferrable = self.add(0, is_deferrable=True)
        self.assertFalse(self.must_yield())
        self.assertTrue(self.must_yield(is_deferrable=True))
        entries = [deferrable, self.add(1)]
        self.assertEqual(self.find_next(entries), entries)

    def test_deferrable_requests_wait_for_urgent_ones(self):
        entries = [self.add(is_deferrable=True, start_in_s=0.5), self.add()]
        self.assertEqual(self.find_next(entries), [entries[1]])

    def test_those_of_a_peer_hold_only_their_kind_back(self):
        self.add_peer(priority=0, is_deferrable=True, start_in_s=0.5)
        for priority in (-(2**31), 0, 1, 2**31):
            with self.subTest(priority=priority):
                is_held = self.must_yield(priority, is_deferrable=True)
                self.assertEqual(is_held, priority >= 0)
                self.assertFalse(self.must_yield(priority))

    def test_an_event_wakes_the_first_of_each(self):
        entries = [
            self.add(0, is_deferrable=True),
            self.add(0, is_deferrable=True),
            self.add(1),
        ]
        self.queue.wake()
        woken = [entry.wakeup.is_set() for entry in entries]
        self.assertEqual(woken, [True, False, True])


class SurplusTest(QueueCase):
    """Guards against a workspace that takes the slots of others.

    It sends many times its usual; what is beyond its share goes last.
    """

    def test_other_requests_of_the_kind_go_first(self):
        for is_deferrable in (False, True):
            with self.subTest(is_deferrable=is_deferrable):
                self.setUp()
                surplus = self.add(
                    start_in_s=0.5,
                    is_surplus=True,
                    is_deferrable=is_deferrable,
                )
                self.assertFalse(self.must_yield(is_deferrable=is_deferrable))
                other = self.add(is_deferrable=is_deferrable)
                self.assertEqual(self.find_next([surplus, other]), [other])

    def test_an_urgent_kind_stays_more_urgent(self):
        """Guards against writes that wait for the reads of a peak."""
        surplus = self.add(is_surplus=True)
        other = self.add(is_deferrable=True, start_in_s=0.5)
        self.assertEqual(self.find_next([surplus, other]), [surplus])
        self.assertTrue(self.must_yield(is_deferrable=True))

    def test_a_surplus_request_waits_for_its_objective_at_most(self):
        """Guards against requests that are starved."""
        surplus = self.add(start_in_s=3.0, is_surplus=True)
        self.clock.advance(waiting.YIELDING_SHARE * 4.0)
        other = self.add()
        self.assertEqual(self.find_next([surplus, other]), [surplus])

    def test_peers_learn_of_it(self):
        self.add_peer(start_in_s=0.5, is_surplus=True, is_deferrable=True)
        self.assertFalse(self.must_yield(is_deferrable=True))
        turn = self.make_turn(is_deferrable=True, is_surplus=True)
        self.assertEqual(self.queue.count_before(SERVICE, 1, turn), 1)
        turn = self.make_turn(is_deferrable=True)
        self.assertEqual(self.queue.count_before(SERVICE, 1, turn), 0)


class PeerTest(QueueCase):
    """Guards against a host without running requests that gets no slot.

    A host sees the ends of its own requests first and took every such slot.
    """

    def test_a_slot_is_left_to_a_request_that_has_to_start_sooner(self):
        entry = self.add(start_in_s=1.0)
        self.add_peer(start_in_s=0.5)
        self.assertGreater(self.get_handoff_wait(entry), 0.0)
        self.assertTrue(self.must_yield(start_in_s=1.0))

    def test_a_slot_is_not_left_to_a_close_one(self):
        """Guards against slots that stay free during a useless handoff."""
        entry = self.add(start_in_s=1.0)
        self.add_peer(start_in_s=0.95)
        self.assertEqual(self.get_handoff_wait(entry), 0.0)

    def test_the_wait_for_peers_is_bounded(self):
        """Guards against slots left to peers that cannot use them."""
        entry = self.add(start_in_s=1.0)
        for number in range(2, 40):
            self.add_peer(f'10.1.0.{number}', start_in_s=0.5)
        bound_s = fleet_waiting.MAX_HANDOFFS * fleet_waiting.HANDOFF_S
        self.assertAlmostEqual(self.get_handoff_wait(entry), bound_s)
        self.clock.advance(bound_s + 0.001)
        self.assertEqual(self.get_handoff_wait(entry), 0.0)

    def test_a_lost_peer_does_not_hold_requests_back(self):
        self.add_peer(start_in_s=0.5)
        self.clock.advance(fleet.PEER_TIMEOUT_S + 0.1)
        self.fleet.expire(self.clock.now())
        self.assertFalse(self.must_yield(start_in_s=1.0))

    def test_a_report_that_is_late_moves_the_start_by_its_delay(self):
        entry = self.add(start_in_s=1.0)
        self.add_peer(start_in_s=0.85)
        self.assertGreater(self.get_handoff_wait(entry), 0.0)
        self.fleet.apply_update(
            builders.make_update(
                '10.1.0.2',
                waiting={SERVICE: {1: 1}},
                starts={SERVICE: {1: [850]}},
            ),
            self.clock.advance(0.1),
        )
        entry.offered_at = None
        self.assertEqual(self.get_handoff_wait(entry), 0.0)

    def test_a_peer_of_an_older_build_goes_by_priority(self):
        entry = self.add(1)
        self.apply_update('10.1.0.2', waiting={SERVICE: {1: 3}})
        self.assertEqual(self.get_handoff_wait(entry), 0.0)
        self.apply_update('10.1.0.2', waiting={SERVICE: {0: 1}})
        self.assertGreater(self.get_handoff_wait(entry), 0.0)

    def test_operators_see_kinds_and_priorities(self):
        self.add(0)
        self.add(2, is_deferrable=True)
        self.assertEqual(
            self.queue.describe(),
            {SERVICE: {'urgent': {0: 1}, 'deferrable': {2: 1}}},
        )

    def test_only_the_first_starts_are_reported(self):
        for number in range(9):
            self.add(start_in_s=1.0 - number / 10)
        starts = self.queue.starts[SERVICE][1]
        self.assertEqual(starts, [200, 300, 400, 500])


class ManyHostsLoad(shared_service.SharedServiceLoad):
    """Few running requests per host, so many hosts have none."""

    HOSTS = 24
    TARGETS = 8


class ManyHostsTest(unittest.TestCase):
    """Load pattern: 20 % too many requests, 1.3 slots for each host.

    Guards against reads that wait at a host without running requests until
    their time is over, while later ones of other hosts get slots.
    """

    def test_hosts_without_running_requests_get_slots(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                load = ManyHostsLoad(seed, FLEET).run()
                self.assertGreater(load.get_served_share(READS), 0.995)
                self.assertGreater(load.get_timely_share(READS), 0.96)
