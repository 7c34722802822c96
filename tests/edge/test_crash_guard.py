"""Tests of the detection of requests that crash targets."""

import unittest

from lavenderstile.edge import crash_guard


class CrashGuardTest(unittest.TestCase):
    """Guards against a request that crashes one target after another."""

    def setUp(self):
        self.guard = crash_guard.CrashGuard()
        self.digest = crash_guard.make_digest('GET', '/x', 'club', b'')

    def test_the_third_crash_blocks(self):
        for number in range(3):
            self.assertFalse(self.guard.is_blocked(self.digest, 1.0))
            self.guard.record(self.digest, f'i-{number}', 1.0)
        self.assertTrue(self.guard.is_blocked(self.digest, 1.0))

    def test_crashes_reported_by_peers_count(self):
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

    def test_crashes_expire(self):
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        later = 1.0 + crash_guard.RETENTION_S
        self.assertFalse(self.guard.is_blocked(self.digest, later))

    def test_workspace_and_body_change_the_digest(self):
        make = crash_guard.make_digest
        self.assertNotEqual(self.digest, make('GET', '/x', 'shop', b''))
        self.assertNotEqual(self.digest, make('GET', '/x', 'club', b'1'))
        self.assertEqual(self.digest, make('GET', '/x', 'club', b''))
