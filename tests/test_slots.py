"""Tests of the table of slot units and grants."""

import unittest

from lavenderstile import messages
from lavenderstile import slots

TARGET = '10.0.0.0:80'
UNIT = messages.SlotUnit('orders', TARGET, 0)


class HolderTest(unittest.TestCase):
    """Guards against a unit that counts as free while a grant holds it."""

    def setUp(self):
        self.table = slots.SlotTable()
        self.table.set_units(frozenset([UNIT]), 0.0)
        self.table.settle(slots.SETTLE_S)

    def _take(self, grant_id, host='h1', now=1.0):
        self.table.add_holder(slots.Holder(grant_id, host, UNIT, now))

    def _reconcile(self, host, now, *grant_ids):
        running = [messages.RunningGrant(g, host, UNIT) for g in grant_ids]
        return self.table.reconcile_grants(host, running, now)

    def test_a_unit_with_two_holders_is_free_after_both(self):
        self._take('own')
        self._reconcile('h2', 2.0, 'foreign')
        self.assertEqual(self.table.running(TARGET), 2)
        self.table.release('own', 3.0)
        self.assertEqual(self.table.free_units(TARGET), [])
        self.table.release('foreign', 3.0)
        self.assertEqual(self.table.free_units(TARGET), [UNIT])

    def test_a_repeated_release_is_reported(self):
        self._take('own')
        holder, repeated = self.table.release('own', 2.0)
        self.assertEqual((holder.grant_id, repeated), ('own', False))
        self.assertEqual(self.table.release('own', 2.0), (None, True))
        self.assertEqual(self.table.release('unknown', 2.0), (None, False))

    def test_reported_grants_end_when_they_are_no_longer_reported(self):
        self._reconcile('h2', 2.0, 'foreign')
        self.assertEqual(self._reconcile('h2', 6.0), [])
        freed = self._reconcile('h2', 7.0)
        self.assertEqual([holder.grant_id for holder in freed], ['foreign'])

    def test_reports_of_other_hosts_end_nothing(self):
        self._take('own', 'h1')
        for now in (6.0, 7.0, 8.0):
            self.assertEqual(self._reconcile('h2', now), [])
        self.assertEqual(self.table.running(TARGET), 1)

    def test_a_grant_shows_that_a_lost_host_is_back(self):
        self._take('first', now=1.0)
        self.table.mark_host_lost('h1', 2.0)
        self._take('second', now=3.0)
        self.assertEqual(self.table.end_lost(60.0), [])

    def test_grants_of_a_lost_host_end_three_seconds_after_contact(self):
        self._take('own', now=1.0)
        self._reconcile('h1', 2.0, 'own')
        self.table.mark_host_lost('h1', 4.5)
        self.table.mark_host_lost('h1', 4.9)
        self.assertEqual(self.table.next_end(), 5.0)
        self.assertEqual(self.table.end_lost(4.9), [])
        self.assertEqual(len(self.table.end_lost(5.0)), 1)
        self.assertEqual(self.table.free_units(TARGET), [UNIT])

    def test_after_a_pause_the_last_contact_of_all_hosts_is_now(self):
        self._take('own', now=1.0)
        self.table.mark_host_lost('h1', 2.0)
        self.table.reset_report_times(60.0)
        self.assertEqual(self.table.end_lost(62.9), [])
        self.assertEqual(len(self.table.end_lost(63.0)), 1)

    def test_memory_of_ended_grants_is_bounded(self):
        for number in range(slots.MAX_ENDED_GRANTS + 10):
            self.table.release(f'g{number}', 1.0)
        self.assertEqual(self.table.release('g0', 1.0), (None, False))


class SettlingTest(unittest.TestCase):
    """Guards against new units granted before their use is reported."""

    def setUp(self):
        self.table = slots.SlotTable()

    def test_a_new_unit_waits_for_one_exchange(self):
        self.table.set_units(frozenset([UNIT]), 5.0)
        self.table.settle(5.9)
        self.assertEqual(self.table.free_units(TARGET), [])
        self.assertEqual(self.table.next_settled(), 6.0)
        self.assertTrue(self.table.settle(6.0))
        self.assertEqual(self.table.free_units(TARGET), [UNIT])

    def test_the_same_set_again_does_not_prolong_it(self):
        for now in (5.0, 5.5):
            self.table.set_units(frozenset([UNIT]), now)
        self.assertEqual(self.table.next_settled(), 6.0)

    def test_a_unit_that_leaves_and_comes_back_waits_again(self):
        self.table.set_units(frozenset([UNIT]), 5.0)
        self.table.settle(6.0)
        self.table.set_units(frozenset(), 7.0)
        self.table.set_units(frozenset([UNIT]), 8.0)
        self.assertEqual(self.table.next_settled(), 9.0)

    def test_units_of_a_complete_handover_need_no_settling(self):
        self.table.skip_settling(5.0)
        self.table.set_units(frozenset([UNIT]), 5.1)
        self.table.settle(5.1)
        self.assertEqual(self.table.free_units(TARGET), [UNIT])
