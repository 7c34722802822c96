"""Tests of who follows the registry."""

import unittest

from lavenderstile.edge import fleet
from lavenderstile.edge import watcher_selection
from tests.edge import builders

HOSTS = [f'10.1.0.{n}' for n in range(1, 17)]


def make_coverages(ages):
    """Return the coverage of each host; `ages` are contact ages by host."""
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


class FollowerTest(unittest.TestCase):
    """Guards against calls by all hosts, and against missed changes."""

    def list_followers(self, ages, now=0.0):
        """Return the hosts that follow the registry."""
        found = make_coverages(ages)
        return {
            address
            for address, each in found.items()
            if each.should_watch(now)
        }

    def test_two_hosts_follow(self):
        self.assertEqual(len(self.list_followers({})), 2)

    def test_a_follower_that_is_cut_off_is_replaced(self):
        first = self.list_followers({})
        cut = dict.fromkeys(first, 5.0)
        following = self.list_followers(cut)
        self.assertEqual(len(following - first), 2)

    def test_all_ask_when_nobody_has_an_answer(self):
        self.assertEqual(
            self.list_followers(dict.fromkeys(HOSTS, 9.0)), set(HOSTS)
        )

    def test_answers_grow_old(self):
        limit = watcher_selection.CONTACT_TIMEOUT_S
        self.assertEqual(self.list_followers({}, limit + 0.1), set(HOSTS))


class BehindTest(unittest.TestCase):
    """Guards against a host that misses a change that peers have."""

    def test_a_newer_revision_is_asked_for(self):
        found = watcher_selection.WatcherSelection(
            fleet.Fleet('10.1.0.1', 'a', 1)
        )
        found.record_peer_revision(7)
        self.assertFalse(found.is_behind(6, 1.0))
        self.assertTrue(
            found.is_behind(6, 1.0 + watcher_selection.BEHIND_LIMIT_S)
        )

    def test_changes_that_arrive_meanwhile_end_the_wait(self):
        found = watcher_selection.WatcherSelection(
            fleet.Fleet('10.1.0.1', 'a', 1)
        )
        found.record_peer_revision(7)
        found.is_behind(6, 1.0)
        self.assertFalse(found.is_behind(7, 1.2))
        found.record_peer_revision(8)
        self.assertFalse(found.is_behind(7, 2.0))
