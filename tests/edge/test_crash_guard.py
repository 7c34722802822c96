"""Tests of the guard against requests that crash their targets."""

import unittest

from lavenderstile.edge import crash_guard


class CrashGuardTest(unittest.TestCase):
    """Guards against a request that crashes one target after the other."""

    def setUp(self):
        self.guard = crash_guard.CrashGuard()
        self.digest = crash_guard.make_digest('GET', '/x', 'club', b'')

    def test_the_third_crash_blocks(self):
        for number in range(3):
            self.assertFalse(self.guard.is_blocked(self.digest, 1.0))
            self.guard.record(self.digest, f'i-{number}', 1.0)
        self.assertTrue(self.guard.is_blocked(self.digest, 1.0))

    def test_crashes_that_peers_saw_count(self):
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0, is_own=False)
        self.assertTrue(self.guard.is_blocked(self.digest, 1.0))
        self.assertEqual(self.guard.take_new_crashes(), [])

    def test_one_target_counts_once(self):
        for _ in range(5):
            self.guard.record(self.digest, 'i-1', 1.0)
        self.assertFalse(self.guard.is_blocked(self.digest, 1.0))
        self.assertEqual(self.guard.take_new_crashes(), [(self.digest, 'i-1')])

    def test_an_answer_clears_the_request(self):
        for number in range(2):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        self.guard.clear(self.digest)
        self.assertEqual(self.guard.count(self.digest, 1.0), 0)

    def test_crashes_are_forgotten(self):
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        later = 1.0 + crash_guard.MEMORY_S
        self.assertFalse(self.guard.is_blocked(self.digest, later))

    def test_callers_and_bodies_differ(self):
        make = crash_guard.make_digest
        self.assertNotEqual(self.digest, make('GET', '/x', 'shop', b''))
        self.assertNotEqual(self.digest, make('GET', '/x', 'club', b'1'))
        self.assertEqual(self.digest, make('GET', '/x', 'club', b''))
