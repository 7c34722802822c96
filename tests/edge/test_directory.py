"""Tests of the configuration and the targets in use."""

import unittest

from lavenderstile.edge import directory
from tests.edge import builders


def apply_events(found, revision, *events, now=0.0):
    """Apply events at one revision."""
    pairs = tuple((revision, event) for event in events)
    found.apply_changes(directory.Changes(revision, pairs), now)


def list_instances(found, service='ledger'):
    """Return the instances that may get requests."""
    return {known.target.instance for known in found.list_targets(service)}


class ConfigurationTest(unittest.TestCase):
    """Guards against a return to an older configuration."""

    def test_an_older_version_changes_nothing(self):
        found = builders.make_directory([])
        apply_events(found, 11, builders.make_configuration(7))
        apply_events(found, 12, builders.make_configuration(5))
        self.assertEqual(found.configuration.version, 7)

    def test_a_snapshot_with_an_older_version_changes_nothing(self):
        found = builders.make_directory(
            [], configuration=builders.make_configuration(7)
        )
        older = builders.make_configuration(6)
        found.apply_snapshot(
            directory.Snapshot(20, older, (), frozenset()), 0.0
        )
        self.assertEqual(found.configuration.version, 7)

    def test_old_changes_are_not_applied_again(self):
        """Guards against late changes from a peer that undo newer ones."""
        target = builders.make_target('i-1')
        found = builders.make_directory([target])
        apply_events(found, 12, directory.TargetRemoved('i-1'))
        apply_events(found, 11, target)
        self.assertEqual(list_instances(found), set())
        self.assertEqual(found.revision, 12)


class TargetTest(unittest.TestCase):
    """Guards against requests to targets that are draining or have left."""

    def test_a_draining_target_gets_nothing(self):
        found = builders.make_directory([builders.make_target('i-1')])
        apply_events(found, 11, builders.make_target('i-1', is_draining=True))
        self.assertEqual(list_instances(found), set())

    def test_a_target_of_an_evacuated_domain_gets_nothing(self):
        found = builders.make_directory(
            [
                builders.make_target('i-1'),
                builders.make_target('j', domain='b'),
            ]
        )
        apply_events(found, 11, directory.DomainEvacuated('a'))
        self.assertEqual(list_instances(found), {'j'})
        apply_events(found, 12, directory.DomainRestored('a'))
        self.assertEqual(list_instances(found), {'i-1', 'j'})

    def test_a_reused_address_removes_its_former_target(self):
        """Guards against requests to a target of another service."""
        found = builders.make_directory(
            [builders.make_target('i-1', port=7000)]
        )
        apply_events(
            found,
            11,
            builders.make_target(
                'i-2', port=7000, service='archive', started_ms=2
            ),
        )
        self.assertEqual(list_instances(found), set())
        self.assertEqual(list_instances(found, 'archive'), {'i-2'})

    def test_an_entry_of_an_earlier_start_is_ignored(self):
        found = builders.make_directory(
            [builders.make_target('i-1', started_ms=5)]
        )
        apply_events(
            found, 11, builders.make_target('i-1', started_ms=4, slots=9)
        )
        self.assertEqual(found.targets['i-1'].target.slots, 3)

    def test_cold_start_begins_when_the_entry_is_read(self):
        found = builders.make_directory([])
        apply_events(
            found, 11, builders.make_target('i-1', cold_left_s=3.0), now=50.0
        )
        self.assertEqual(found.targets['i-1'].cold_until, 53.0)


class LapseTest(unittest.TestCase):
    """Guards against a service without targets after a registry outage.

    Also against requests to targets that left during it (scale-2, DRAIN).
    """

    def setUp(self):
        self.targets = [builders.make_target(f'i-{n}') for n in range(6)]
        self.found = builders.make_directory(self.targets)
        self.found.begin_grace(100.0)

    def reload(self, targets, now=100.0):
        """Apply a snapshot that was read after the outage."""
        snapshot = directory.Snapshot(30, None, tuple(targets), frozenset())
        self.found.apply_snapshot(snapshot, now)

    def test_lapsed_entries_stay_for_two_seconds(self):
        self.reload(self.targets[:1])
        self.assertEqual(len(list_instances(self.found)), 6)
        self.found.expire(101.9)
        self.assertEqual(len(list_instances(self.found)), 6)
        self.found.expire(102.1)
        self.assertEqual(len(list_instances(self.found)), 1)

    def test_an_entry_that_returns_stays(self):
        self.reload([])
        apply_events(self.found, 31, *self.targets[:4], now=101.0)
        self.found.expire(102.1)
        self.assertEqual(len(list_instances(self.found)), 4)

    def test_a_few_missing_targets_have_left(self):
        self.reload(self.targets[1:])
        self.assertNotIn('i-0', list_instances(self.found))

    def test_removals_without_an_outage_apply_at_once(self):
        self.found = builders.make_directory(self.targets)
        removed = [directory.TargetRemoved(f'i-{n}') for n in range(6)]
        apply_events(self.found, 11, *removed, now=50.0)
        self.assertEqual(list_instances(self.found), set())
