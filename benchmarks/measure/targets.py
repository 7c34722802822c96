"""Fake targets: slots, gray behaviours and cold starts."""

import collections
import dataclasses
import math

from lavenderstile import messages

Outcome = messages.Outcome
MEDIAN_S = 0.05
SIGMA = 0.5
MEAN_S = MEDIAN_S * math.exp(SIGMA * SIGMA / 2)
# The fake warms up by the steps that section 4.7 of the design assumes.
GOOD_PER_STEP = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How a target answers one request."""

    errors: float = 0.01
    slowness: float = 1.0
    hangs: bool = False
    refuses: bool = False


HEALTHY = Behaviour()
GRAY = {
    'errors 30%': Behaviour(errors=0.3),
    'errors 50%': Behaviour(errors=0.5),
    'slow x10': Behaviour(slowness=10.0),
    'hang': Behaviour(hangs=True),
}


class FakeTarget:
    """Runs at most `slots` requests at once; others wait in order.

    `behave(target, host)` returns the present Behaviour. A cold target
    sheds what exceeds its limit, which starts at 1. An overrun counts only
    if the one who chose the target had been told of the cold start.
    """

    def __init__(self, engine, configured, delay_s, behave):
        self.address = configured.address
        self.domain = configured.domain
        self.overruns = 0
        self._engine = engine
        self._slots = configured.slots
        self._delay_s = delay_s
        self._behave = behave
        self._running = 0
        self._waiting = collections.deque()
        self._limit = None
        self._good = 0
        self._told_at = math.inf

    def fall_cold(self):
        """Fall back into cold start without warning."""
        self._limit = 1
        self._good = 0
        self._told_at = math.inf

    def start(self, host, granted_at, deadline, done):
        """Run a request; `done(outcome, cold)` is called at its end."""
        if self._behave(self, host).refuses:
            self._engine.after(0.001, done, Outcome.CONNECT_FAILED, False)
        elif self._limit is not None and self._running >= self._limit:
            self.overruns += granted_at >= self._told_at
            self._engine.after(0.001, self._answer, Outcome.SHED, done)
        else:
            self._waiting.append((host, deadline, done))
            self._serve_next()

    def _serve_next(self):
        while self._waiting and self._running < self._slots:
            host, deadline, done = self._waiting.popleft()
            self._running += 1
            outcome, duration_s = self._draw(host)
            left_s = max(0.0, deadline - self._engine.now)
            if duration_s >= left_s:
                outcome, duration_s = Outcome.TIMEOUT, left_s
            self._engine.after(duration_s, self._finish, outcome, done)

    def _draw(self, host):
        behaviour = self._behave(self, host)
        if behaviour.hangs:
            return Outcome.TIMEOUT, math.inf
        rng = self._engine.rng
        duration_s = MEDIAN_S * rng.lognormvariate(0.0, SIGMA)
        duration_s *= behaviour.slowness
        if rng.random() < behaviour.errors:
            return Outcome.ERROR_STATUS, duration_s
        return Outcome.ANSWERED, duration_s

    def _finish(self, outcome, done):
        self._running -= 1
        if self._limit is not None and outcome is Outcome.ANSWERED:
            self._warm_up()
        self._answer(outcome, done)
        self._serve_next()

    def _answer(self, outcome, done):
        cold = self._limit is not None and outcome is not Outcome.TIMEOUT
        if cold:
            # The answer takes one delay, the report to the owner another.
            told_at = self._engine.now + 2 * self._delay_s
            self._told_at = min(self._told_at, told_at)
        done(outcome, cold)

    def _warm_up(self):
        self._good += 1
        if self._good >= GOOD_PER_STEP:
            self._good = 0
            self._limit += 1
            if self._limit > self._slots:
                self._limit = None
