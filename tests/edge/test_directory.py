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

    def test_a_target_that_says_that_it_leaves_gets_nothing(self):
        """Guards against requests that are lost when the target ends.

        Its entry may stay as it was, as while the registry is down.
        """
        found = builders.make_directory([builders.make_target('i-1')])
        self.assertTrue(found.mark_leaving('i-1', 1))
        self.assertFalse(found.mark_leaving('i-1', 1))
        self.assertEqual(list_instances(found), set())
        apply_events(found, 11, builders.make_target('i-1', sequence=2))
        self.assertEqual(list_instances(found), set())
        self.assertEqual(found.leaving, [('i-1', 1)])

    def test_the_next_run_of_a_target_that_left_gets_requests(self):
        found = builders.make_directory([builders.make_target('i-1')])
        found.mark_leaving('i-1', 1)
        apply_events(found, 11, builders.make_target('i-1', started_ms=2))
        self.assertEqual(list_instances(found), {'i-1'})
        self.assertFalse(found.mark_leaving('i-1', 1))
        self.assertEqual(found.leaving, [])

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

    def test_an_entry_of_an_unknown_service_removes_no_target(self):
        """Guards against a foreign entry that names a sound target's address.

        The target would get no more requests, as it has no reason to write its
        entry again.
        """
        target = builders.make_target('i-1')
        foreign = builders.make_target(
            'i-9', port=target.port, service='elsewhere', started_ms=2
        )
        found = builders.make_directory([target])
        apply_events(found, 11, foreign)
        self.assertEqual(list_instances(found), {'i-1'})
        found = builders.make_directory([target, foreign])
        self.assertEqual(list_instances(found), {'i-1'})
        self.assertEqual(found.list_usable_targets(), [target])

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


class LateWriteTest(unittest.TestCase):
    """Guards against a target that has left and is used again.

    The registry may do one of its writes seconds late, when its entry has been
    removed.
    """

    def setUp(self):
        target = builders.make_target('i-0', sequence=5)
        self.found = builders.make_directory([target])
        apply_events(self.found, 11, directory.TargetRemoved('i-0'), now=95.0)

    def write(self, revision, now, **changes):
        """Apply an entry of the target."""
        target = builders.make_target('i-0', **changes)
        apply_events(self.found, revision, target, now=now)

    def test_an_entry_from_before_its_end_is_not_used(self):
        self.write(12, 96.0, sequence=4)
        self.assertEqual(list_instances(self.found), set())
        apply_events(self.found, 13, directory.TargetRemoved('i-0'), now=100.0)
        self.found.expire(96.0 + directory.LATE_WRITE_HOLD_S)
        self.assertEqual(list_instances(self.found), set())

    def test_it_is_not_used_either_when_all_is_read_anew(self):
        late = builders.make_target('i-0', sequence=5)
        snapshot = directory.Snapshot(20, None, (late,), frozenset())
        self.found.apply_snapshot(snapshot, 96.0)
        self.assertEqual(list_instances(self.found), set())

    def test_a_target_that_stays_listed_is_used_after_a_while(self):
        self.write(12, 96.0, sequence=4)
        self.found.expire(95.9 + directory.LATE_WRITE_HOLD_S)
        self.assertEqual(list_instances(self.found), set())
        self.found.expire(96.0 + directory.LATE_WRITE_HOLD_S)
        self.assertEqual(list_instances(self.found), {'i-0'})

    def test_a_newer_entry_is_used_at_once(self):
        self.write(12, 96.0, sequence=4)
        self.write(13, 96.5, sequence=6)
        self.assertEqual(list_instances(self.found), {'i-0'})

    def test_a_new_start_is_used_at_once(self):
        self.write(12, 96.0, sequence=1, started_ms=2)
        self.assertEqual(list_instances(self.found), {'i-0'})

    def test_a_target_without_a_start_is_used_at_once(self):
        found = builders.make_directory(
            [builders.make_target('i-0', started_ms=0)]
        )
        apply_events(found, 11, directory.TargetRemoved('i-0'))
        apply_events(found, 12, builders.make_target('i-0', started_ms=0))
        self.assertEqual(list_instances(found), {'i-0'})

    def test_a_held_target_does_not_return_to_a_reused_address(self):
        self.write(12, 96.0, sequence=4)
        port = builders.make_target('i-0').port
        newer = builders.make_target('i-9', port=port, started_ms=2)
        apply_events(self.found, 13, newer, now=97.0)
        self.found.expire(96.0 + directory.LATE_WRITE_HOLD_S)
        self.assertEqual(list_instances(self.found), {'i-9'})


class RestoredRegistryTest(unittest.TestCase):
    """Guards against a return to the state of an older copy.

    A registry that was restored lists targets that have left and lacks what
    was written since the copy was made, until it is written again.
    """

    ERA = 1

    def setUp(self):
        self.targets = [
            builders.make_target(f'i-{n}', sequence=5) for n in range(3)
        ]
        self.found = builders.make_directory(self.targets)

    def restore(self, *targets, evacuated=(), revision=4, now=100.0):
        """Apply a snapshot of a new era."""
        snapshot = directory.Snapshot(
            revision, None, targets, frozenset(evacuated), self.ERA
        )
        self.found.apply_snapshot(snapshot, now)

    def apply(self, revision, *events, now=100.5):
        """Apply events of the new era."""
        pairs = tuple((revision, event) for event in events)
        changes = directory.Changes(revision, pairs, era=self.ERA)
        self.found.apply_changes(changes, now)

    def test_revisions_start_again(self):
        self.restore(*self.targets)
        self.assertEqual(self.found.position, (self.ERA, 4))
        self.apply(5, builders.make_configuration(9))
        self.assertEqual(self.found.configuration.version, 9)

    def test_changes_of_the_former_era_are_ignored(self):
        self.restore(*self.targets)
        apply_events(self.found, 50, directory.TargetRemoved('i-0'))
        self.assertIn('i-0', list_instances(self.found))
        self.assertEqual(self.found.revision, 4)

    def test_a_draining_target_stays_so(self):
        draining = builders.make_target('i-0', is_draining=True, sequence=7)
        apply_events(self.found, 11, draining)
        self.restore(*self.targets)
        self.assertEqual(list_instances(self.found), {'i-1', 'i-2'})

    def test_a_target_that_left_gets_nothing(self):
        apply_events(self.found, 11, directory.TargetRemoved('i-0'), now=95.0)
        self.restore(*self.targets)
        self.assertEqual(list_instances(self.found), {'i-1', 'i-2'})
        self.apply(5, directory.TargetRemoved('i-0'))
        self.found.expire(100.0 + directory.RESTORE_GRACE_S)
        self.assertEqual(list_instances(self.found), {'i-1', 'i-2'})

    def test_a_target_that_writes_again_is_used_at_once(self):
        apply_events(self.found, 11, directory.TargetRemoved('i-0'), now=95.0)
        self.restore(*self.targets)
        self.apply(5, builders.make_target('i-0', sequence=6))
        self.assertIn('i-0', list_instances(self.found))

    def test_a_target_that_stays_listed_is_used_after_a_while(self):
        """Guards against a live target that is left out for good.

        The registry reports no change when a target only repeats its entry.
        """
        apply_events(self.found, 11, directory.TargetRemoved('i-0'), now=95.0)
        self.restore(*self.targets)
        self.found.expire(99.9 + directory.RESTORE_GRACE_S)
        self.assertNotIn('i-0', list_instances(self.found))
        self.found.expire(100.0 + directory.RESTORE_GRACE_S)
        self.assertIn('i-0', list_instances(self.found))

    def test_targets_without_an_entry_stay_until_they_register_again(self):
        self.restore(self.targets[0], self.targets[1])
        self.assertEqual(len(list_instances(self.found)), 3)
        self.apply(5, self.targets[2])
        self.found.expire(100.1 + directory.LAPSE_GRACE_S)
        self.assertEqual(len(list_instances(self.found)), 3)

    def test_targets_that_do_not_register_again_have_left(self):
        self.restore(self.targets[0], self.targets[1])
        self.found.expire(100.1 + directory.LAPSE_GRACE_S)
        self.assertEqual(list_instances(self.found), {'i-0', 'i-1'})

    def test_an_evacuation_lasts_until_the_operator_has_written_again(self):
        apply_events(self.found, 11, directory.DomainEvacuated('a'))
        self.restore(*self.targets)
        self.assertEqual(list_instances(self.found), set())
        self.found.expire(100.0 + directory.RESTORE_GRACE_S)
        self.assertEqual(len(list_instances(self.found)), 3)

    def test_an_evacuation_that_is_written_again_stays(self):
        apply_events(self.found, 11, directory.DomainEvacuated('a'))
        self.restore(*self.targets)
        self.apply(5, directory.DomainEvacuated('a'))
        self.found.expire(100.0 + directory.RESTORE_GRACE_S)
        self.assertEqual(list_instances(self.found), set())

    def test_an_evacuation_that_the_operator_ends_is_over_at_once(self):
        apply_events(self.found, 11, directory.DomainEvacuated('a'))
        self.restore(*self.targets, evacuated=('a',))
        self.apply(5, directory.DomainRestored('a'))
        self.assertEqual(len(list_instances(self.found)), 3)

    def test_the_configuration_does_not_go_back(self):
        apply_events(self.found, 11, builders.make_configuration(7))
        snapshot = directory.Snapshot(
            4, builders.make_configuration(5), (), frozenset(), self.ERA
        )
        self.found.apply_snapshot(snapshot, 100.0)
        self.assertEqual(self.found.configuration.version, 7)

    def test_the_former_target_of_a_reused_address_gets_nothing(self):
        """Guards against two targets at one address, one of them gone."""
        former = self.targets[0]
        newer = builders.make_target(
            'i-9', port=former.port, service='archive', started_ms=2
        )
        apply_events(self.found, 11, newer, now=95.0)
        self.restore(*self.targets)
        self.assertEqual(list_instances(self.found), {'i-1', 'i-2'})

    def test_an_older_entry_still_shows_that_a_target_is_listed(self):
        """Guards against a live target that is dropped with its grace."""
        newer = builders.make_target('i-0', slots=4, sequence=7)
        apply_events(self.found, 11, newer)
        self.restore(*self.targets[1:])
        self.restore(*self.targets, revision=5, now=100.5)
        self.found.expire(100.1 + directory.LAPSE_GRACE_S)
        self.assertEqual(self.found.targets['i-0'].target.slots, 4)

    def test_a_second_read_keeps_what_is_held(self):
        """Guards against a read in the grace period that ends it."""
        apply_events(self.found, 11, directory.TargetRemoved('i-0'), now=95.0)
        self.restore(*self.targets)
        self.restore(*self.targets, revision=6, now=101.0)
        self.assertEqual(list_instances(self.found), {'i-1', 'i-2'})


class EntryOrderTest(unittest.TestCase):
    """Guards against an entry that was written late and undoes a newer one."""

    def test_an_earlier_entry_of_the_same_start_is_ignored(self):
        found = builders.make_directory(
            [builders.make_target('i-1', is_draining=True, sequence=9)]
        )
        apply_events(found, 11, builders.make_target('i-1', sequence=8))
        self.assertEqual(list_instances(found), set())

    def test_targets_without_a_start_time_may_count_anew(self):
        found = builders.make_directory(
            [
                builders.make_target(
                    'i-1', is_draining=True, sequence=9, started_ms=0
                )
            ]
        )
        apply_events(
            found, 11, builders.make_target('i-1', sequence=1, started_ms=0)
        )
        self.assertEqual(list_instances(found), {'i-1'})
