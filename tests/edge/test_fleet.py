"""Tests of the view of the other hosts."""

import unittest

from lavenderstile.edge import fleet
from tests.edge import builders


class PeerTest(unittest.TestCase):
    """Guards against load and counts that are added twice or not at all."""

    def setUp(self):
        self.fleet = fleet.Fleet('10.1.0.2', 'a', 1)

    def apply_update(self, address, now=0.0, **changes):
        """Apply an update; return the newly admitted requests."""
        update = builders.make_update(address, **changes)
        return self.fleet.apply_update(update, now)[0]

    def test_running_requests_are_the_sum_of_the_last_updates(self):
        self.apply_update('10.1.0.3', running={'i-1': 2})
        self.apply_update('10.1.0.4', running={'i-1': 1, 'i-2': 1})
        self.apply_update('10.1.0.3', running={'i-1': 1})
        self.assertEqual(self.fleet.get_running('i-1'), 2)
        self.assertEqual(self.fleet.get_running('i-2'), 1)

    def test_a_lost_peer_has_no_load(self):
        self.apply_update('10.1.0.3', running={'i-1': 2})
        limit = fleet.PEER_TIMEOUT_S
        self.assertEqual(self.fleet.expire(limit + 0.1), ['10.1.0.3'])
        self.assertEqual(self.fleet.get_running('i-1'), 0)

    def test_a_leaving_peer_has_no_load(self):
        self.apply_update('10.1.0.3', running={'i-1': 2})
        self.apply_update('10.1.0.3', is_leaving=True)
        self.assertEqual(self.fleet.members, ['10.1.0.2'])
        self.assertEqual(self.fleet.get_running('i-1'), 0)

    def test_only_the_difference_of_counts_is_new(self):
        self.assertEqual(
            self.apply_update('10.1.0.3', admitted={'club': 5}), {}
        )
        added = self.apply_update('10.1.0.3', admitted={'club': 8, 'shop': 1})
        self.assertEqual(added, {'club': 3, 'shop': 1})

    def test_counts_of_a_restarted_peer_start_again(self):
        self.apply_update('10.1.0.3', admitted={'club': 100})
        self.apply_update('10.1.0.3', started_ms=2, admitted={'club': 2})
        added = self.apply_update(
            '10.1.0.3', started_ms=2, admitted={'club': 3}
        )
        self.assertEqual(added, {'club': 1})

    def test_omitted_counts_have_not_changed(self):
        self.apply_update('10.1.0.3', admitted={'club': 5, 'shop': 7})
        added = self.apply_update(
            '10.1.0.3', admitted={'club': 6}, is_full=False
        )
        self.assertEqual(added, {'club': 1})
        added = self.apply_update('10.1.0.3', admitted={'club': 6, 'shop': 9})
        self.assertEqual(added, {'shop': 2})

    def test_counts_before_the_first_whole_update_are_not_new(self):
        """Guards against old requests that are taken from a rate again."""
        self.apply_update('10.1.0.3', admitted={'club': 5}, is_full=False)
        added = self.apply_update(
            '10.1.0.3', admitted={'shop': 70}, is_full=False
        )
        self.assertEqual(added, {})
        added = self.apply_update('10.1.0.3', admitted={'club': 5, 'shop': 70})
        self.assertEqual(added, {})
        added = self.apply_update(
            '10.1.0.3', admitted={'new': 1}, is_full=False
        )
        self.assertEqual(added, {'new': 1})

    def test_a_late_update_from_before_a_restart_is_ignored(self):
        self.apply_update('10.1.0.3', started_ms=2, running={'i-1': 1})
        self.apply_update('10.1.0.3', started_ms=1, running={'i-1': 3})
        self.assertEqual(self.fleet.get_running('i-1'), 1)

    def test_a_host_whose_clock_went_back_is_accepted_again(self):
        """Guards against a host that is ignored after a clock step.

        Its start time after a restart is then before the known one.
        """
        self.apply_update(
            '10.1.0.3', 0.0, started_ms=9_000, running={'i-1': 2}
        )
        self.apply_update('10.1.0.3', 0.1, started_ms=500, running={'i-2': 1})
        self.assertEqual(self.fleet.get_running('i-1'), 2)
        now = fleet.PEER_TIMEOUT_S + 0.1
        self.assertEqual(self.fleet.expire(now), ['10.1.0.3'])
        self.apply_update('10.1.0.3', now, started_ms=500, running={'i-2': 1})
        self.assertEqual(self.fleet.get_running('i-1'), 0)
        self.assertEqual(self.fleet.get_running('i-2'), 1)


class DomainTest(unittest.TestCase):
    """Guards against wrong totals of other domains."""

    def setUp(self):
        self.fleet = fleet.Fleet('10.1.0.2', 'a', 1)

    def test_repeated_digests_add_nothing(self):
        digest = builders.make_digest(admitted={'club': 4})
        self.fleet.apply_digest(digest, 0.0)
        later = builders.make_digest(admitted={'club': 9})
        self.assertEqual(self.fleet.apply_digest(later, 0.5)[0], {'club': 5})
        self.assertEqual(self.fleet.apply_digest(later, 0.6)[0], {})

    def test_counts_of_another_origin_start_again(self):
        self.fleet.apply_digest(
            builders.make_digest(admitted={'club': 4}), 0.0
        )
        other = builders.make_digest('10.2.0.7', admitted={'club': 90})
        self.assertEqual(self.fleet.apply_digest(other, 0.5)[0], {})

    def test_the_size_of_the_fleet_outlasts_a_partition(self):
        self.fleet.apply_digest(builders.make_digest(), 0.0)
        self.assertEqual(self.fleet.get_size(0.1), 17)
        self.assertEqual(self.fleet.count_reachable(10.0), 1)
        self.assertEqual(self.fleet.get_size(10.0), 17)
        self.assertEqual(self.fleet.get_size(60.0), 1)

    def test_the_lowest_address_is_the_primary(self):
        self.assertEqual(self.fleet.primary, '10.1.0.2')
        self.fleet.apply_update(builders.make_update('10.1.0.1'), 0.0)
        self.assertEqual(self.fleet.primary, '10.1.0.1')
