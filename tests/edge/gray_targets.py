"""Seeded simulation of a failure domain whose targets fail by turns.

It runs the real balancer and health estimate against targets that each fail
most requests for a phase of every cycle, as in a gray failure. There is no
network and no delay between hosts; one balancer stands for all hosts.
"""

import dataclasses
import heapq
import itertools
import random

from lavenderstile.edge import balancing
from lavenderstile.edge import health as health_module
from tests.edge import builders

# Window of the rule on targets that are left out while requests fail.
FLOOR_WINDOW_S = 2.0
RETRY_LIMIT = 2
FAILURE_S = 0.003


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Targets, requests and gray phases of a failure domain.

    `failing_share` of each `cycle_s` is a phase in which a target fails
    `failing_rate` of its requests; otherwise it fails `error_rate`.
    """

    targets: int = 12
    slots: int = 3
    requests_per_s: float = 40.0
    idempotent_share: float = 0.0
    work_s: float = 0.25
    cycle_s: float = 30.0
    failing_share: float = 0.3
    failing_rate: float = 0.9
    error_rate: float = 0.012
    duration_s: float = 120.0


@dataclasses.dataclass(slots=True)
class Result:
    """What the callers and the targets saw."""

    requests: int = 0
    failed: int = 0
    refused: int = 0
    sends: int = 0
    floor_windows: int = 0
    used: int = 0

    @property
    def failed_share(self):
        """Share of the requests that failed."""
        return self.failed / max(1, self.requests)


class GrayTargets:
    """Phases of all targets, drawn in advance."""

    def __init__(self, load, rng):
        self._load = load
        self._rng = rng
        self._phases = [self._draw(rng) for _ in range(load.targets)]

    def _draw(self, rng):
        phases, start = [], -rng.random() * self._load.cycle_s
        length_s = self._load.cycle_s * self._load.failing_share
        while start < self._load.duration_s:
            gap_s = (self._load.cycle_s - length_s) * rng.uniform(0.5, 1.5)
            begin = start + gap_s
            end = begin + length_s * rng.uniform(0.5, 1.5)
            phases.append((begin, end))
            start = end
        return phases

    def is_gray(self, number, now):
        """Return whether a target is in a failing phase."""
        return any(begin <= now < end for begin, end in self._phases[number])

    def fails(self, number, now):
        """Return whether a request that starts now fails."""
        load = self._load
        rate = (
            load.failing_rate if self.is_gray(number, now) else load.error_rate
        )
        return self._rng.random() < rate


class Simulation:
    """Plays one load with one balancer."""

    def __init__(self, load, seed):
        self._load = load
        self._rng = random.Random(seed)
        self._gray = GrayTargets(load, self._rng)
        self._numbers = {
            f't{number}': number for number in range(load.targets)
        }
        self._fixture = builders.BalancerFixture(
            [
                builders.make_target(instance, slots=load.slots)
                for instance in self._numbers
            ],
            rng=random.Random(seed + 1),
        )
        self._start = self._fixture.clock.now()
        self._order = itertools.count()
        self._events = []
        self._uses = []
        self._ends = []
        self.result = Result()

    def run(self):
        """Play all requests; return the result."""
        self._schedule_arrivals()
        while self._events:
            at, _, action = heapq.heappop(self._events)
            clock = self._fixture.clock
            clock.advance(max(0.0, self._start + at - clock.now()))
            action(at)
        self._count_floor_windows()
        return self.result

    def _push(self, at, action):
        heapq.heappush(self._events, (at, next(self._order), action))

    def _schedule_arrivals(self):
        at = 0.0
        while at < self._load.duration_s:
            at += self._rng.expovariate(self._load.requests_per_s)
            is_idempotent = self._rng.random() < self._load.idempotent_share
            self._push(
                at,
                lambda now, is_idempotent=is_idempotent: self._begin(
                    now, is_idempotent, set(), now
                ),
            )

    def _begin(self, now, is_idempotent, excluded, arrived_at):
        fixture = self._fixture
        choice = fixture.choose(excluded, 1.0, is_idempotent)
        if not isinstance(choice, balancing.Chosen):
            if now - arrived_at > 0.5:
                self._finish(now, is_refused=True)
                return
            self._push(
                now + 0.03,
                lambda at: self._begin(
                    at, is_idempotent, excluded, arrived_at
                ),
            )
            return
        known = choice.known
        fixture.balancer.begin(known, fixture.clock.now())
        self.result.sends += 1
        number = self._numbers[known.target.instance]
        self._uses.append((now, number))
        failed = self._gray.fails(number, now)
        work_s = self._load.work_s * self._rng.uniform(0.6, 1.4)
        took_s = FAILURE_S if failed else work_s + choice.wait_s
        self._push(
            now + took_s,
            lambda at: self._end(
                at, known, failed, took_s, is_idempotent, excluded, arrived_at
            ),
        )

    def _end(
        self, now, known, failed, took_s, is_idempotent, excluded, arrived_at
    ):
        fixture, instance = self._fixture, known.target.instance
        at = fixture.clock.now()
        fixture.balancer.end(known)
        if not failed:
            fixture.health.record_success(instance, 'ledger', took_s, at)
            self._finish(now)
            return
        fixture.health.record_fault(
            instance, health_module.FaultKind.ERROR, at
        )
        excluded = excluded | {instance}
        if is_idempotent and len(excluded) < RETRY_LIMIT:
            self._begin(now, is_idempotent, excluded, arrived_at)
            return
        self._finish(now, is_failed=True)

    def _finish(self, now, is_failed=False, is_refused=False):
        self.result.requests += 1
        self.result.failed += is_failed
        self.result.refused += is_refused
        is_unserved = is_failed or is_refused
        self._ends.append((now, is_unserved))
        fixture = self._fixture
        fixture.outcomes.record(
            'ledger', 1, int(is_unserved), fixture.clock.now()
        )

    def _count_floor_windows(self):
        """Count windows in which sound targets were left out."""
        at, step_s = FLOOR_WINDOW_S, 0.25
        windows = 0
        used_sum = 0
        while at < self._load.duration_s:
            begin = at - FLOOR_WINDOW_S
            used = {n for t, n in self._uses if begin <= t < at}
            ends = [bad for t, bad in self._ends if begin <= t < at]
            sound = {
                number
                for number in self._numbers.values()
                if not any(
                    self._gray.is_gray(number, begin + offset_s)
                    for offset_s in (0.0, 0.5, 1.0, 1.5, 2.0)
                )
            }
            unserved_share = sum(ends) / max(1, len(ends))
            is_unserved = 0.1 < unserved_share < 0.5
            if is_unserved and len(used & sound) < 0.7 * len(sound):
                self.result.floor_windows += 1
            used_sum += len(used)
            windows += 1
            at += step_s
        self.result.used = used_sum / windows
