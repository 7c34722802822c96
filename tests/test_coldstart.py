"""Tests of the ramp-up of cold targets."""

import unittest

from lavenderstile import coldstart


class RampTest(unittest.TestCase):
    """Guards against more load on a cold target than it can handle."""

    def setUp(self):
        self.ramp = coldstart.ColdStart(3)

    def _succeed(self, count):
        for _ in range(count):
            self.ramp.record_success(self.ramp.step)

    def test_a_warm_target_has_no_limit(self):
        self.assertIsNone(self.ramp.limit())

    def test_rises_by_one_after_eight_good_responses(self):
        self.ramp.restart('test')
        limits = [self.ramp.limit()]
        for _ in range(3):
            self._succeed(7)
            limits.append(self.ramp.limit())
            self._succeed(1)
            limits.append(self.ramp.limit())
        self.assertEqual(limits, [1, 1, 2, 2, 3, 3, None])

    def test_responses_to_requests_of_an_earlier_step_do_not_count(self):
        self.ramp.restart('test')
        first_step = self.ramp.step
        self._succeed(8)
        for _ in range(20):
            self.ramp.record_success(first_step)
        self.assertEqual(self.ramp.limit(), 2)

    def test_falls_to_one_when_load_is_shed(self):
        self.ramp.restart('test')
        self._succeed(16)
        self.assertEqual(self.ramp.limit(), 3)
        self.ramp.restart('shed load')
        self.assertEqual(self.ramp.limit(), 1)
        self.assertTrue(self.ramp.first_step)

    def test_a_failure_delays_the_next_step(self):
        self.ramp.restart('test')
        self._succeed(7)
        self.ramp.record_failure()
        self._succeed(7)
        self.assertEqual(self.ramp.limit(), 1)

    def test_an_announcement_begins_one_ramp(self):
        self.assertTrue(self.ramp.record_announcement(True))
        self._succeed(8)
        self.assertFalse(self.ramp.record_announcement(True))
        self.assertEqual(self.ramp.limit(), 2)

    def test_stays_limited_while_the_target_announces_cold(self):
        self.ramp.record_announcement(True)
        self._succeed(80)
        self.assertEqual(self.ramp.limit(), 3)
        self.ramp.record_announcement(False)
        self._succeed(8)
        self.assertIsNone(self.ramp.limit())

    def test_resumes_a_ramp_of_another_owner(self):
        self.ramp.resume(2, 'test')
        self.assertEqual(self.ramp.limit(), 2)
        self.assertFalse(self.ramp.first_step)

    def test_progress_from_before_a_pause_does_not_count(self):
        self.ramp.restart('test')
        self._succeed(7)
        self.ramp.reset_progress()
        self._succeed(1)
        self.assertEqual(self.ramp.limit(), 1)
