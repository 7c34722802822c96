"""Tests of the register of crashing requests."""

import unittest

from lavenderstile import crashes
from lavenderstile import messages


class CrashRegisterTest(unittest.TestCase):
    """Guards against a request that crashes target after target."""

    def setUp(self):
        self.register = crashes.CrashRegister()

    def test_blocks_after_two_targets(self):
        self.assertFalse(self.register.record('bad', 't1', 0.0))
        self.assertFalse(self.register.is_blocked('bad', 1.0))
        self.assertTrue(self.register.record('bad', 't2', 1.0))
        self.assertTrue(self.register.is_blocked('bad', 600.0))

    def test_a_record_expires_after_ten_minutes(self):
        self.register.record('bad', 't1', 0.0)
        self.register.record('bad', 't2', 1.0)
        self.assertFalse(self.register.is_blocked('bad', 601.0))

    def test_another_digest_is_not_blocked(self):
        self.register.record('bad', 't1', 0.0)
        self.register.record('bad', 't2', 1.0)
        self.assertFalse(self.register.is_blocked('good', 1.0))

    def test_runs_from_before_the_suspicion_do_not_count_again(self):
        # A rack fails with a popular request on four of its targets.
        for number in range(4):
            self.register.record('popular', f't{number}', 10.0, False)
        self.assertTrue(self.register.is_suspect('popular', 10.0))
        self.assertFalse(self.register.is_blocked('popular', 10.0))
        self.register.record('popular', 't9', 11.0, True)
        self.assertTrue(self.register.is_blocked('popular', 11.0))

    def test_a_response_clears_a_suspect_but_not_a_blocked_digest(self):
        self.register.record('seen', 't1', 0.0)
        self.register.clear('seen')
        self.assertFalse(self.register.record('seen', 't2', 1.0))
        self.register.record('seen', 't3', 2.0)
        self.register.clear('seen')
        self.assertTrue(self.register.is_blocked('seen', 3.0))

    def test_repeated_crashes_of_the_only_target_block(self):
        for number in range(crashes.BLOCKING_CRASHES):
            self.assertFalse(self.register.is_blocked('bad', 1.0))
            self.register.record('bad', 't1', float(number))
        self.assertTrue(self.register.is_blocked('bad', 3.0))

    def test_memory_is_bounded(self):
        for number in range(crashes.MAX_DIGESTS + 100):
            self.register.record(f'd{number}', 't1', 0.0)
        self.assertEqual(len(self.register), crashes.MAX_DIGESTS)


class MergeTest(unittest.TestCase):
    """Guards against a new owner that lets a poisonous request run."""

    def test_a_successor_blocks_what_its_predecessor_blocked(self):
        first = crashes.CrashRegister()
        first.record('bad', 't1', 0.0)
        first.record('bad', 't2', 1.0)
        second = crashes.CrashRegister()
        for note in first.notes('orders', 2.0):
            second.merge(note, 2.0)
        self.assertTrue(second.is_blocked('bad', 2.0))
        self.assertFalse(second.is_blocked('bad', 601.0))

    def test_records_of_two_owners_add_up(self):
        register = crashes.CrashRegister()
        register.record('bad', 't1', 0.0)
        register.merge(messages.CrashNote('orders', 'bad', ('t2',), 1.0), 5.0)
        self.assertTrue(register.is_blocked('bad', 5.0))

    def test_notes_are_limited_and_begin_with_blocked_digests(self):
        register = crashes.CrashRegister()
        register.record('bad', 't1', 0.0)
        register.record('bad', 't2', 1.0)
        for number in range(500):
            register.record(f'd{number}', 't1', 2.0)
        notes = register.notes('orders', 3.0)
        self.assertEqual(len(notes), crashes.MAX_NOTES)
        self.assertEqual(notes[0].digest, 'bad')

    def test_old_notes_are_ignored(self):
        register = crashes.CrashRegister()
        register.merge(
            messages.CrashNote('orders', 'bad', ('t1', 't2'), 600.0), 700.0
        )
        self.assertFalse(register.is_suspect('bad', 700.0))
