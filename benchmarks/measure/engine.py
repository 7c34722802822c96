"""Event queue with a virtual clock."""

import heapq
import random

from lavenderstile import clocks


class Engine:
    """Runs scheduled functions in the order of their virtual times."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self._clock = clocks.VirtualClock()
        self._start = self._clock.now()
        self._heap = []
        self._number = 0

    @property
    def now(self):
        """The virtual time in seconds."""
        return self._clock.now()

    @property
    def elapsed(self):
        """Seconds since the start of the run."""
        return self.now - self._start

    def after(self, delay_s, step, *args):
        """Schedule `step(*args)` after a delay."""
        self._number += 1
        at = self.now + delay_s
        heapq.heappush(self._heap, (at, self._number, step, args))

    def every(self, interval_s, step):
        """Run `step` immediately and then once per interval."""
        step()
        self.after(interval_s, self.every, interval_s, step)

    def run(self, seconds):
        """Run all steps that are due within `seconds` of the start."""
        until = self._start + seconds
        while self._heap and self._heap[0][0] <= until:
            at, _, step, args = heapq.heappop(self._heap)
            self._clock.advance(max(0.0, at - self.now))
            step(*args)
