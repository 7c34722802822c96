"""Tests of the load that a target may get."""

import unittest

from lavenderstile import messages
from lavenderstile import models
from lavenderstile import slots
from lavenderstile import targets

ADDRESS = '10.0.0.0:80'


def make_unit(index):
    return messages.SlotUnit('orders', ADDRESS, index)


class UsableUnitsTest(unittest.TestCase):
    """Guards against units that the configuration or the ramp forbids."""

    def _make(self, indexes, slot_count=3):
        target = models.Target(ADDRESS, 'north', slot_count)
        table = slots.SlotTable()
        table.set_units(frozenset(map(make_unit, indexes)), 0.0)
        table.settle(slots.SETTLE_S)
        return targets.TargetState(target, True), table

    def _indexes(self, state, table, now):
        return [unit.index for unit in state.usable_units(table, now)]

    def test_a_warm_target_uses_all_held_units(self):
        state, table = self._make([0, 2])
        self.assertEqual(self._indexes(state, table, 1.0), [0, 2])

    def test_units_over_the_configured_slots_are_not_used(self):
        state, table = self._make([0, 1, 2], 2)
        self.assertEqual(self._indexes(state, table, 1.0), [0, 1])

    def test_the_first_step_uses_the_first_unit_only(self):
        state, table = self._make([0, 1, 2])
        state.cold.restart('test')
        self.assertEqual(self._indexes(state, table, 1.0), [0])

    def test_two_owners_give_one_request_in_the_first_step(self):
        first, first_table = self._make([0, 1])
        second, second_table = self._make([2])
        for state in (first, second):
            state.cold.restart('test')
        together = self._indexes(first, first_table, 1.0) + self._indexes(
            second, second_table, 1.0
        )
        self.assertEqual(together, [0])

    def test_an_owner_without_the_first_unit_starts_later(self):
        state, table = self._make([1, 2])
        state.cold.restart('test')
        self.assertEqual(self._indexes(state, table, 1.0), [])
        start = 1.0 + targets.FIRST_UNIT_WAIT_S
        self.assertEqual(self._indexes(state, table, start - 0.1), [])
        self.assertEqual(self._indexes(state, table, start), [1])

    def test_running_requests_count_against_the_ramp(self):
        state, table = self._make([0, 1, 2])
        state.cold.restart('test')
        state.cold.resume(2, 'test')
        # A grant of another owner on a unit that is not held here.
        table.add_holder(slots.Holder('old', 'h1', make_unit(3), 1.0))
        self.assertEqual(self._indexes(state, table, 1.0), [0])
        table.add_holder(slots.Holder('new', 'h1', make_unit(0), 1.0))
        self.assertEqual(self._indexes(state, table, 1.0), [])
