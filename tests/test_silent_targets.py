"""Tests of the detection of targets that never respond."""

import unittest

from lavenderstile import evidence
from lavenderstile import messages
from lavenderstile import silent_targets
from lavenderstile import slots

TARGET = '10.0.0.0:80'


class SilentTargetTest(unittest.TestCase):
    """Guards against targets that accept requests and hang."""

    def setUp(self):
        self.detector = silent_targets.SilentTargetDetector()
        self.table = slots.SlotTable()
        for index in range(2):
            unit = messages.SlotUnit('orders', TARGET, index)
            self.table.add_holder(
                slots.Holder(f'g{index}', f'h{index}', unit, 1.0)
            )

    def _judge(self):
        return self.detector.judge(evidence.Judgement(TARGET, 0, 0))

    def _review(self, now):
        return self.detector.review([TARGET], self.table, now)

    def test_a_target_without_answers_is_silent_but_not_bad(self):
        self.assertEqual(self._review(2.9), frozenset())
        self.assertEqual(self._review(3.0), {TARGET})
        self.assertFalse(self._judge().bad)

    def test_failures_on_two_hosts_confirm_the_silence(self):
        self._review(3.0)
        for number, host in enumerate(('h0', 'h0', 'h0')):
            self.detector.record(TARGET, host, True, 11.0 + number)
        self.assertFalse(self._judge().bad)
        self.detector.record(TARGET, 'h1', True, 14.0)
        self.assertTrue(self._judge().bad)

    def _report_waiting(self, since, count=2):
        for index in range(count):
            unit = messages.SlotUnit('orders', TARGET, index)
            holder = slots.Holder(f'w{index}', f'h{index}', unit, since)
            holder.waiting_since = since
            self.table.add_holder(holder)

    def test_overdue_requests_confirm_the_silence_before_they_fail(self):
        """Deadlines of 5 s would delay the ejection by several seconds."""
        self._report_waiting(1.5)
        self._review(3.4)
        self.assertFalse(self._judge().bad)
        self._review(3.5)
        self.assertTrue(self._judge().bad)

    def test_overdue_requests_of_one_host_confirm_nothing(self):
        self._report_waiting(1.0, count=1)
        self._review(9.0)
        self.assertFalse(self._judge().bad)

    def test_a_service_with_slow_responses_has_a_higher_limit(self):
        self.detector.record('10.0.0.1:80', 'h9', False, 0.5, 8.0)
        self._report_waiting(1.0)
        self._review(12.9)
        self.assertFalse(self._judge().bad)
        self._review(13.0)
        self.assertTrue(self._judge().bad)

    def test_slow_uploads_and_downloads_confirm_nothing(self):
        """Their hosts report no waiting time."""
        self._review(60.0)
        self.assertFalse(self._judge().bad)

    def test_a_response_ends_the_silence(self):
        self._review(3.0)
        for host in ('h0', 'h1', 'h2'):
            self.detector.record(TARGET, host, True, 11.0)
        self.detector.record(TARGET, 'h3', False, 11.1)
        self.assertFalse(self._judge().bad)
        self.assertEqual(self._review(11.2), frozenset())

    def test_a_target_that_answers_others_is_not_silent(self):
        # Two callers read slowly; the third slot works.
        self.detector.record(TARGET, 'h2', False, 2.0)
        self.assertEqual(self._review(60.0), frozenset())

    def test_failures_without_silence_are_not_judged_here(self):
        for host in ('h0', 'h1', 'h2'):
            self.detector.record(TARGET, host, True, 2.0)
        self.assertFalse(self._judge().bad)

    def test_a_target_out_of_service_is_removed(self):
        self._review(3.0)
        self.detector.review([], self.table, 3.2)
        for host in ('h0', 'h1', 'h2'):
            self.detector.record(TARGET, host, True, 11.0)
        self.assertFalse(self._judge().bad)
