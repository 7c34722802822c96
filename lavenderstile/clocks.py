"""Clocks that count suspended time, and detection of pauses."""

import time

# A tick that is later than planned by more than this counts as a pause.
PAUSE_THRESHOLD_S = 1.0


class Clock:
    """The machine's clocks.

    Leases and deadlines use the boot clock, which unlike the monotonic
    clock also advances while the machine is suspended.
    """

    __slots__ = ()

    def now(self):
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self):
        """Return seconds since the epoch."""
        return time.time()


class VirtualClock:
    """A simulated clock that moves only when `advance` is called."""

    __slots__ = ('_epoch', '_now')

    def __init__(self, now=1000.0, epoch=1_700_000_000.0):
        self._now = now
        self._epoch = epoch

    def now(self):
        """Return the current virtual time in seconds."""
        return self._now

    def unix(self):
        """Return the virtual time as seconds since the epoch."""
        return self._epoch + self._now

    def advance(self, seconds):
        """Move the clock forward and return the new time."""
        if seconds < 0:
            raise ValueError('a clock cannot move backwards')
        self._now += seconds
        return self._now


class PauseDetector:
    """Detects from late ticks that the process was stopped for a while."""

    __slots__ = ('_interval_s', '_last_tick', '_pauses')

    def __init__(self, now, interval_s=0.1):
        self._interval_s = interval_s
        self._last_tick = now
        self._pauses = 0

    @property
    def pauses(self):
        """Number of pauses detected so far."""
        return self._pauses

    def check(self, now):
        """Record a tick; return the length of the pause before it, or 0."""
        delay_s = now - self._last_tick - self._interval_s
        self._last_tick = now
        if delay_s <= PAUSE_THRESHOLD_S:
            return 0.0
        self._pauses += 1
        return delay_s
