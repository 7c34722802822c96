"""Fake targets with slots, gray failures and cold starts."""

import collections
import dataclasses
import math

from lavenderstile import messages

Outcome = messages.Outcome
# Response times have a log-normal distribution.
MEDIAN_S = 0.05
LOGNORMAL_SIGMA = 0.5
MEAN_S = MEDIAN_S * math.exp(LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2)
# Successful responses per step of the warm-up, as section 4.7 of the design
# assumes.
SUCCESSES_PER_STEP = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How a target handles a request."""

    error_share: float = 0.01
    slow_factor: float = 1.0
    hangs: bool = False
    refuses: bool = False


HEALTHY = Behaviour()
GRAY = {
    'errors 30%': Behaviour(error_share=0.3),
    'errors 50%': Behaviour(error_share=0.5),
    'slow x10': Behaviour(slow_factor=10.0),
    'hang': Behaviour(hangs=True),
}


class FakeTarget:
    """Runs at most `slots` requests at once and queues the others.

    `choose_behaviour(target, host)` returns the current Behaviour. A cold
    target sheds requests above its limit, which starts at 1. A shed request
    counts as an overrun only if the cold start had been reported to the
    owner before it granted the request.
    """

    def __init__(self, engine, configured, delay_s, choose_behaviour):
        self.address = configured.address
        self.domain = configured.domain
        self.overruns = 0
        self._engine = engine
        self._slots = configured.slots
        self._delay_s = delay_s
        self._choose_behaviour = choose_behaviour
        self._running = 0
        self._queue = collections.deque()
        self._cold_limit = None
        self._successes = 0
        self._owner_informed_at = math.inf

    def start_cold(self):
        """Enter cold start without notice to the owner."""
        self._cold_limit = 1
        self._successes = 0
        self._owner_informed_at = math.inf

    def start(self, host, granted_at, deadline, done):
        """Run a request; `done(outcome, cold)` is called at its end."""
        if self._choose_behaviour(self, host).refuses:
            self._engine.after(0.001, done, Outcome.CONNECT_FAILED, False)
        elif (
            self._cold_limit is not None and self._running >= self._cold_limit
        ):
            self.overruns += granted_at >= self._owner_informed_at
            self._engine.after(0.001, self._respond, Outcome.SHED, done)
        else:
            self._queue.append((host, deadline, done))
            self._serve_next()

    def _serve_next(self):
        while self._queue and self._running < self._slots:
            host, deadline, done = self._queue.popleft()
            self._running += 1
            outcome, duration_s = self._draw_result(host)
            remaining_s = max(0.0, deadline - self._engine.now)
            if duration_s >= remaining_s:
                outcome, duration_s = Outcome.TIMEOUT, remaining_s
            self._engine.after(duration_s, self._finish, outcome, done)

    def _draw_result(self, host):
        behaviour = self._choose_behaviour(self, host)
        if behaviour.hangs:
            return Outcome.TIMEOUT, math.inf
        rng = self._engine.rng
        duration_s = MEDIAN_S * rng.lognormvariate(0.0, LOGNORMAL_SIGMA)
        duration_s *= behaviour.slow_factor
        if rng.random() < behaviour.error_share:
            return Outcome.ERROR_STATUS, duration_s
        return Outcome.ANSWERED, duration_s

    def _finish(self, outcome, done):
        self._running -= 1
        if self._cold_limit is not None and outcome is Outcome.ANSWERED:
            self._warm_up()
        self._respond(outcome, done)
        self._serve_next()

    def _respond(self, outcome, done):
        cold = self._cold_limit is not None and outcome is not Outcome.TIMEOUT
        if cold:
            # The response takes one delay, the report to the owner another.
            informed_at = self._engine.now + 2 * self._delay_s
            self._owner_informed_at = min(self._owner_informed_at, informed_at)
        done(outcome, cold)

    def _warm_up(self):
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP:
            self._successes = 0
            self._cold_limit += 1
            if self._cold_limit > self._slots:
                self._cold_limit = None
