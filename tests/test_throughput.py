"""Tests of the throughput estimate of a service."""

import unittest

from lavenderstile import slots
from lavenderstile import targets
from lavenderstile import throughput

from . import fleets


class ThroughputTest(unittest.TestCase):
    """Guards against wrong estimates of the wait in the queue."""

    def setUp(self):
        service = fleets.make_service(4, 3)
        self.table = slots.SlotTable()
        self.units = fleets.all_units(service)
        self.table.set_units(self.units, 0.0)
        self.states = {
            target.address: targets.TargetState(target, True)
            for target in service.targets
        }
        self.throughput = throughput.ThroughputEstimate(
            self.states, self.table
        )

    def test_follows_a_change_of_the_service_time(self):
        for _ in range(100):
            self.throughput.record_hold(0.1)
        for _ in range(100):
            self.throughput.record_hold(0.5)
        self.assertAlmostEqual(self.throughput.hold_s, 0.5, delta=0.01)

    def test_ejected_and_cold_targets_have_less_capacity(self):
        self.throughput.record_hold(1.2)
        self.assertAlmostEqual(self.throughput.interval_s, 1.2 / 12)
        first, second, *_ = self.states.values()
        first.ejected = True
        second.cold.restart('test')
        self.assertEqual(self.throughput.capacity, 7)
        self.assertAlmostEqual(self.throughput.interval_s, 1.2 / 7)

    def test_is_unknown_before_the_first_release_or_without_units(self):
        self.assertIsNone(self.throughput.interval_s)
        self.throughput.record_hold(0.1)
        self.table.set_units(frozenset(), 1.0)
        self.assertIsNone(self.throughput.interval_s)

    def test_the_time_without_slots_counts_from_its_beginning(self):
        self.assertFalse(self.throughput.lacks_capacity(0.0))
        self.table.set_units(frozenset(), 10.0)
        self.assertFalse(self.throughput.lacks_capacity(10.0))
        end = 10.0 + throughput.NO_CAPACITY_WAIT_S
        self.assertFalse(self.throughput.lacks_capacity(end - 0.1))
        self.assertTrue(self.throughput.lacks_capacity(end))
        self.table.set_units(self.units, end)
        self.assertFalse(self.throughput.lacks_capacity(end))

    def test_the_first_request_at_a_host_without_slots_may_wait(self):
        """The previous owner has failed, and the units arrive soon."""
        self.table.set_units(frozenset(), 0.0)
        self.throughput.lacks_capacity(0.0)
        end = 100.0 + throughput.NO_CAPACITY_WAIT_S
        now = 100.0
        while now < end:
            self.throughput.record_demand(now)
            self.assertFalse(self.throughput.lacks_capacity(now))
            now += 1.0
        self.throughput.record_demand(end)
        self.assertTrue(self.throughput.lacks_capacity(end))

    def test_the_time_without_slots_is_reset_while_no_requests_arrive(self):
        """Guards against early refusals after a change of owner.

        A host that had no slots while the fleet started counted that time
        when it became the owner 5 s later, and refused requests after 3 s.
        """
        self.table.set_units(frozenset(), 0.0)
        self.throughput.record_demand(0.0)
        self.assertFalse(self.throughput.lacks_capacity(0.0))
        end = 5.0 + throughput.NO_CAPACITY_WAIT_S
        now = 5.0
        while now < end:
            self.throughput.record_demand(now)
            self.assertFalse(self.throughput.lacks_capacity(now))
            now += 1.0
