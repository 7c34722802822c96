"""Tests of the selection of registry watchers."""

import unittest

from lavenderstile.edge import fleet
from lavenderstile.edge import models
from lavenderstile.edge import watcher_selection
from tests.edge import builders

HOSTS = [f'10.1.0.{n}' for n in range(1, 17)]


def make_selections(ages):
    """Return the watcher selection of each host.

    `ages` are the seconds since the last registry contact, by host.
    """
    found = {}
    for address in HOSTS:
        view = fleet.Fleet(address, 'a', 1)
        for other in HOSTS:
            if other != address:
                update = builders.make_update(
                    other, contact_age_s=ages.get(other, 0.0)
                )
                view.apply_update(update, 0.0)
                view.apply_update(update, 0.0)
        found[address] = watcher_selection.WatcherSelection(view)
    return found


class WatcherTest(unittest.TestCase):
    """Guards against calls by all hosts and against missed changes."""

    def list_watchers(self, ages, now=0.0):
        """Return the hosts that watch the registry."""
        found = make_selections(ages)
        return {
            address
            for address, selection in found.items()
            if selection.should_watch(now)
        }

    def test_two_hosts_watch(self):
        self.assertEqual(len(self.list_watchers({})), 2)

    def test_a_watcher_without_contact_is_replaced(self):
        first = self.list_watchers({})
        cut = dict.fromkeys(first, 5.0)
        watching = self.list_watchers(cut)
        self.assertEqual(len(watching - first), 2)

    def test_all_watch_when_none_has_contact(self):
        self.assertEqual(
            self.list_watchers(dict.fromkeys(HOSTS, 9.0)), set(HOSTS)
        )

    def test_contact_times_out(self):
        limit = watcher_selection.CONTACT_TIMEOUT_S
        self.assertEqual(self.list_watchers({}, limit + 0.1), set(HOSTS))


class StartTest(unittest.TestCase):
    """Load pattern: all hosts of a fleet start at once.

    Guards against calls to the registry by each host that does not know yet
    who watches: 450 on a day with 293 hosts.
    """

    def test_a_new_host_waits_for_its_peers(self):
        view = fleet.Fleet(HOSTS[0], 'a', 1)
        selection = watcher_selection.WatcherSelection(view)
        selection.record_contact(5.0)
        self.assertFalse(selection.should_watch(5.0))
        settled_at = 5.0 + watcher_selection.SETTLE_S
        self.assertFalse(selection.should_watch(settled_at - 0.1))
        self.assertTrue(selection.should_watch(settled_at))

    def test_a_host_alone_goes_on_watching(self):
        view = fleet.Fleet(HOSTS[0], 'a', 1)
        selection = watcher_selection.WatcherSelection(view)
        selection.record_contact(5.0)
        for moment in (8.0, 8.1, 9.0):
            selection.record_contact(moment)
            self.assertTrue(selection.should_watch(moment))

    def test_the_wait_is_shorter_than_a_lost_contact(self):
        self.assertLess(
            watcher_selection.SETTLE_S, watcher_selection.CONTACT_TIMEOUT_S
        )


class BehindTest(unittest.TestCase):
    """Guards against a host that misses a change known to its peers."""

    def test_a_newer_revision_is_requested(self):
        found = watcher_selection.WatcherSelection(
            fleet.Fleet('10.1.0.1', 'a', 1)
        )
        found.record_peer_position(models.Position(0, 7))
        self.assertFalse(found.is_behind(models.Position(0, 6), 1.0))
        self.assertTrue(
            found.is_behind(
                models.Position(0, 6), 1.0 + watcher_selection.BEHIND_LIMIT_S
            )
        )

    def test_changes_that_arrive_end_the_wait(self):
        found = watcher_selection.WatcherSelection(
            fleet.Fleet('10.1.0.1', 'a', 1)
        )
        found.record_peer_position(models.Position(0, 7))
        found.is_behind(models.Position(0, 6), 1.0)
        self.assertFalse(found.is_behind(models.Position(0, 7), 1.2))
        found.record_peer_position(models.Position(0, 8))
        self.assertFalse(found.is_behind(models.Position(0, 7), 2.0))

    def test_a_lower_revision_of_a_newer_era_is_missed(self):
        """Guards against hosts that never learn of a restored registry."""
        found = watcher_selection.WatcherSelection(
            fleet.Fleet('10.1.0.1', 'a', 1)
        )
        found.record_peer_position(models.Position(1, 30))
        found.record_peer_position(models.Position(2, 7))
        known = models.Position(1, 30)
        found.is_behind(known, 1.0)
        late = 1.0 + watcher_selection.BEHIND_LIMIT_S
        self.assertTrue(found.is_behind(known, late))
        self.assertFalse(found.is_behind(models.Position(2, 7), late))
