"""Tests of the detection of silent connections."""

import unittest

from lavenderstile import silent_connections


class SilenceJudgeTest(unittest.TestCase):
    """Guards against both wrong conclusions from a request that times out.

    A healthy target must not be blamed for a silent connection, and a target
    that stalls requests must not pass as a silent connection.
    """

    def setUp(self):
        self.detector = silent_connections.SilentConnectionDetector()

    def test_a_newer_working_connection_proves_silence(self):
        self.detector.record_response(5, 11.0)
        self.assertTrue(self.detector.judge_timeout(3, True, 10.0, 12.0))
        self.assertEqual(self.detector.first_working, 5)

    def test_responses_before_the_send_or_on_older_ones_prove_nothing(self):
        self.detector.record_response(5, 9.0)
        self.detector.record_response(2, 11.0)
        self.assertFalse(self.detector.judge_timeout(3, True, 10.0, 12.0))

    def test_a_new_connection_is_never_silent(self):
        self.detector.record_response(5, 11.0)
        self.assertFalse(self.detector.judge_timeout(3, False, 10.0, 12.0))

    def test_one_event_covers_older_connections_only(self):
        self.detector.record_response(5, 11.0)
        self.detector.judge_timeout(3, True, 10.0, 12.0)
        self.assertTrue(self.detector.judge_timeout(4, True, 10.0, 13.0))
        self.detector.record_response(9, 14.0)
        self.assertFalse(self.detector.judge_timeout(6, True, 13.0, 15.0))
        later = 12.0 + silent_connections.EVENT_PERIOD_S
        self.detector.record_response(9, later)
        self.assertTrue(self.detector.judge_timeout(6, True, 14.0, later))

    def test_no_event_after_a_timeout_on_a_new_connection(self):
        self.detector.judge_timeout(4, False, 1.0, 2.0)
        self.detector.record_response(5, 11.0)
        self.assertFalse(self.detector.judge_timeout(3, True, 10.0, 12.0))
        later = 2.0 + silent_connections.EVENT_PERIOD_S
        self.detector.record_response(5, later)
        self.assertTrue(self.detector.judge_timeout(3, True, 10.0, later))

    def test_memory_is_bounded(self):
        for number in range(10 * silent_connections.MAX_TRACKED_CONNECTIONS):
            self.detector.record_response(number, float(number))
        newest = 10 * silent_connections.MAX_TRACKED_CONNECTIONS - 1
        self.assertTrue(
            self.detector.has_newer_working(newest - 1, float(newest))
        )
        self.assertLessEqual(
            len(self.detector._responded_at),
            silent_connections.MAX_TRACKED_CONNECTIONS,
        )
