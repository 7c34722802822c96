"""Tests of the detection of requests that crash targets."""

import unittest

from lavenderstile.edge import crash_guard
from lavenderstile.edge import messages
from tests.edge import builders


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
        self.assertEqual(self.guard.take_new_reports(1.0).crashes, [])

    def test_one_target_counts_once(self):
        for _ in range(5):
            self.guard.record(self.digest, 'i-1', 1.0)
        self.assertFalse(self.guard.is_blocked(self.digest, 1.0))
        crashes = self.guard.take_new_reports(1.5).crashes
        self.assertEqual(
            crashes, [messages.Crash(self.digest, 'i-1', age_s=0.5)]
        )

    def test_an_answer_clears_the_request(self):
        for number in range(2):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        self.guard.record_answer(self.digest, 2.0)
        self.assertEqual(self.guard.count(self.digest, 2.0), 0)

    def test_an_answer_at_a_peer_clears_the_request(self):
        """Guards against a sound request that is refused.

        Targets that reset connections for other reasons break it at several
        hosts, while others serve it.
        """
        peer = crash_guard.CrashGuard()
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        for crash in self.guard.take_new_reports(1.0).crashes:
            peer.record(crash.digest, crash.run, 1.0, is_own=False)
        peer.record_answer(self.digest, 2.0)
        answers = peer.take_new_reports(2.5).answers
        self.assertEqual(answers, {self.digest: 0.5})
        self.guard.record_answer(self.digest, 2.0, is_own=False)
        self.assertFalse(self.guard.is_blocked(self.digest, 2.5))

    def test_a_late_report_of_a_crash_before_an_answer_does_not_count(self):
        self.guard.record(self.digest, 'i-1', 1.0)
        self.guard.record_answer(self.digest, 3.0)
        for number in range(2, 6):
            self.guard.record(self.digest, f'i-{number}', 2.5, is_own=False)
        self.assertEqual(self.guard.count(self.digest, 4.0), 0)

    def test_answers_to_requests_without_a_crash_are_not_reported(self):
        self.guard.record_answer(self.digest, 1.0)
        self.assertEqual(self.guard.take_new_reports(1.0).answers, {})

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

    def test_runs_of_one_target_count_separately(self):
        """Guards against a service with one target that is never protected.

        The target comes back under the same name after each crash.
        """
        for started_ms in range(3):
            run = crash_guard.identify_run(
                builders.make_target('i-1', started_ms=started_ms)
            )
            self.guard.record(self.digest, run, 1.0 + started_ms)
        self.assertTrue(self.guard.is_blocked(self.digest, 4.0))

    def test_a_crash_after_the_time_blocks_again(self):
        """Guards against three more crashes each time that a block ends."""
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        end = 1.0 + crash_guard.BLOCK_S
        self.assertTrue(self.guard.is_blocked(self.digest, end - 0.1))
        self.assertFalse(self.guard.is_blocked(self.digest, end + 0.1))
        self.assertEqual(self.guard.count(self.digest, end + 0.1), 3)
        self.guard.record(self.digest, 'i-4', end + 0.2)
        later = end + 1.5 * crash_guard.BLOCK_S
        self.assertTrue(self.guard.is_blocked(self.digest, later))

    def test_a_peer_blocks_as_long(self):
        peer = crash_guard.CrashGuard()
        for number in range(4):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        now = 1.5 * crash_guard.BLOCK_S
        for crash in self.guard.get_reports(now).crashes:
            peer.record(crash.digest, crash.run, now - crash.age_s)
        self.assertTrue(peer.is_blocked(self.digest, now))

    def test_a_blocked_request_is_not_displaced_by_suspected_ones(self):
        for number in range(3):
            self.guard.record(self.digest, f'i-{number}', 1.0)
        for number in range(crash_guard.MAX_DIGESTS + 10):
            self.guard.record(f'd-{number}', 'i-1', 1.0)
        self.assertTrue(self.guard.is_blocked(self.digest, 2.0))

    def test_reports_of_many_blocked_requests_fit_a_datagram(self):
        """Guards against digests that are too large to be sent at all."""
        for number in range(300):
            for run in range(5):
                self.guard.record(f'{number:016}', f'i-{run}', 1.0)
        reported = set()
        # Each message has a random part, 20 of 300 requests.
        for _ in range(1000):
            crashes = self.guard.get_reports(10.0).crashes
            self.assertLessEqual(len(crashes), crash_guard.MAX_REPEATED)
            reported |= {crash.digest for crash in crashes}
        self.assertEqual(len(reported), 300)
