"""Tests of clocks and pause detection."""

import unittest

from lavenderstile import clocks


class PauseDetectorTest(unittest.TestCase):
    """Guards against decisions on stale state after a pause."""

    def test_a_late_tick_is_a_pause(self):
        detector = clocks.PauseDetector(10.0)
        self.assertEqual(detector.check(10.1), 0.0)
        self.assertAlmostEqual(detector.check(15.2), 5.0)
        self.assertEqual(detector.pauses, 1)

    def test_scheduling_jitter_is_not_a_pause(self):
        detector = clocks.PauseDetector(10.0)
        self.assertEqual(detector.check(10.9), 0.0)
        self.assertEqual(detector.pauses, 0)


class VirtualClockTest(unittest.TestCase):
    """Guards against tests that depend on real time."""

    def test_moves_only_when_advanced(self):
        clock = clocks.VirtualClock(5.0)
        self.assertEqual(clock.now(), 5.0)
        clock.advance(1.5)
        self.assertEqual(clock.now(), 6.5)

    def test_cannot_move_backwards(self):
        with self.assertRaises(ValueError):
            clocks.VirtualClock().advance(-1.0)
