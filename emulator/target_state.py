"""Capacity, behaviour and records of a stand-in target."""

import asyncio
import collections
import random
import time

import msgspec

from . import serving

# Number of the latest runs that are kept for tests.
RUNS_LIMIT = 100_000


class Behaviour(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Behaviour of the target; every field can be changed at run time.

    Shares are probabilities per request, drawn from the seeded generator.
    """

    slots: int = 3
    connections: int = 400
    silent_new: bool = False
    work_s: float = 0.0
    cold_answers: int = 20
    cold_s: float = 30.0
    falls_over: bool = False
    draining: bool = False
    error_share: float = 0.0
    slow_share: float = 0.0
    slow_s: float = 1.0
    truncated_share: float = 0.0
    truncated_chunked_share: float = 0.0
    unframed_share: float = 0.0
    crossed_share: float = 0.0
    stalled_share: float = 0.0
    stalled_body_share: float = 0.0
    crash_marker: str = ''
    hint_lag_s: float = 0.0
    health_lie: str = ''
    running_lie: int | None = None


class Run(msgspec.Struct, kw_only=True):
    """One request that the target accepted for work.

    `end` is empty until the run ends; then it is one of `answered`,
    `error`, `broken_request`, `cancelled`, `deadline`, `crashed`,
    `truncated`, `crossed` or `stalled`. `executed` means that the request
    was received completely and its execution began.
    """

    number: int
    method: str
    path: str
    request_id: str
    idempotency_key: str
    timeout_ms: int | None
    has_authorization: bool
    headers: list[tuple[str, str]]
    connection: int
    started: float
    running: int
    cold: bool
    size: int = 0
    sha256: str = ''
    executed: bool = False
    end: str = ''
    ended: float | None = None


class TargetState:
    """Slots, cold start, counters and records of one target."""

    def __init__(self, name='target', seed=1, cold=False, behaviour=None):
        self.behaviour = behaviour or Behaviour()
        self.runs = collections.deque(maxlen=RUNS_LIMIT)
        self.random = random.Random(seed)
        self.running = 0
        self.peak_running = 0
        self.shed = 0
        self.probes = collections.Counter()
        self.changed = asyncio.Event()
        self._name = name
        self._start_count = 0
        self._answered_count = 0
        self._cold_since = None
        self._hints = collections.deque()
        self.restart(cold=cold)

    @property
    def instance(self):
        """Instance id, new after each restart."""
        return f'{self._name}-{self._start_count}'

    @property
    def is_cold(self):
        """Whether the target is in cold start."""
        return self._cold_since is not None

    @property
    def state_name(self):
        """Value of the X-Target-State header."""
        if self.behaviour.draining:
            return 'draining'
        return 'cold' if self.is_cold else 'warm'

    @property
    def concurrency_limit(self):
        """Maximum number of requests in flight."""
        if not self.is_cold:
            return self.behaviour.slots
        if self._answered_count < self.behaviour.cold_answers:
            return 1
        return self.behaviour.slots

    def restart(self, cold=True):
        """Begin a new instance, as after a crash or a restart."""
        self._start_count += 1
        self.set_cold(cold)

    def set_cold(self, cold):
        """Begin a cold start, or end it."""
        self._answered_count = 0
        self._cold_since = time.monotonic() if cold else None
        self.record_hints()

    def begin(self, fields):
        """Record a run, or return None when the request is to be shed."""
        self._check_warm()
        if self.running >= self.concurrency_limit:
            self.shed += 1
            return None
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        run = Run(
            number=len(self.runs),
            started=time.monotonic(),
            running=self.running,
            cold=self.is_cold,
            **fields,
        )
        self.runs.append(run)
        self.record_hints()
        self._notify()
        return run

    def end(self, run, end):
        """Record the end of a run and free its slot."""
        run.end = end
        run.ended = time.monotonic()
        self.running -= 1
        if end == 'answered':
            self._answered_count += 1
        self._check_warm()
        self.record_hints()
        self._notify()

    def _check_warm(self):
        if not self.is_cold:
            return
        age_s = time.monotonic() - self._cold_since
        enough = self._answered_count >= self.behaviour.cold_answers
        if enough or age_s >= self.behaviour.cold_s:
            self._cold_since = None

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_for(self, predicate):
        """Wait until `predicate(self)` is true; checked after each change."""
        async with asyncio.timeout(serving.WAIT_LIMIT_S):
            while not predicate(self):
                await self.changed.wait()

    def draw(self, share):
        """Return True with the given probability."""
        return share > 0 and self.random.random() < share

    def record_hints(self):
        """Record the present values of the health and load endpoints."""
        hints = {
            'state': self.state_name,
            'instance': self.instance,
            'running': self.running,
            'slots': self.behaviour.slots,
        }
        self._hints.append((time.monotonic(), hints))
        while len(self._hints) > 10_000:
            self._hints.popleft()

    def get_hints(self):
        """Return the newest hints that are older than the lag."""
        limit = time.monotonic() - self.behaviour.hint_lag_s
        visible_hints = self._hints[0][1]
        for recorded_at, hints in reversed(self._hints):
            if recorded_at <= limit:
                visible_hints = hints
                break
        visible_hints = dict(visible_hints)
        if self.behaviour.health_lie:
            visible_hints['state'] = self.behaviour.health_lie
        if self.behaviour.running_lie is not None:
            visible_hints['running'] = self.behaviour.running_lie
        return visible_hints

    def change(self, changes):
        """Change fields of the behaviour; unknown fields are an error."""
        merged = msgspec.structs.asdict(self.behaviour) | changes
        self.behaviour = msgspec.convert(merged, Behaviour)
        self.record_hints()
