"""Detection of requests that crash targets, over the whole fleet."""

import collections
import dataclasses
import random

import xxhash

from . import messages

# Number of targets that have to crash on a request, within the retention,
# before it is blocked.
BLOCKING_CRASHES = 3
RETENTION_S = 60.0
MAX_DIGESTS = 2048
MAX_CRASHES_PER_DIGEST = 16

# A request is blocked for this time after the last crash, and twice as long
# after each further one. When the time is over it is tried once.
BLOCK_S = 60.0
MAX_BLOCK_S = 600.0

# Time for which a report is repeated, so that one lost datagram does not
# matter. Those of a blocked request are repeated while it is blocked.
REPEAT_S = 1.2
MAX_REPEATED = 100


def make_digest(method, path, workspace, body):
    """Return a digest that is equal for repetitions of a request."""
    digest = xxhash.xxh3_64(f'{method}\0{path}\0{workspace}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


class CrashReports:
    """Crashes, and the ages in seconds of answers by digest, for peers."""

    __slots__ = ('answers', 'crashes')

    def __init__(self, crashes, answers):
        self.crashes = crashes
        self.answers = answers


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A crash of a run, or an answer if there is none.

    It is reported until `repeat_until`.
    """

    digest: str
    run: str | None
    seen_at: float
    repeat_until: float


def identify_run(target):
    """Return a name for one run of a target, which may keep its instance."""
    return f'{target.instance}/{target.started_ms}'


class CrashRecord:
    """Crashes of the targets that ran one request, and its last answer.

    `crashes` has the time of the crash by run of a target, without those
    before the last answer. `is_blocking` is set when there are too many.
    """

    __slots__ = ('answered_at', 'crashes', 'is_blocking')

    def __init__(self):
        self.crashes = {}
        self.answered_at = float('-inf')
        self.is_blocking = False

    @property
    def last_at(self):
        """Time of the last crash."""
        return max(self.crashes.values(), default=float('-inf'))

    def add(self, run, seen_at):
        """Add a crash."""
        self.crashes[run] = seen_at
        if len(self.crashes) > MAX_CRASHES_PER_DIGEST:
            del self.crashes[min(self.crashes, key=self.crashes.get)]
        if self._count_since(self.last_at - RETENTION_S) >= BLOCKING_CRASHES:
            self.is_blocking = True

    def set_answered(self, seen_at):
        """Remove the crashes before an answer."""
        self.answered_at = seen_at
        self.crashes = {
            run: at for run, at in self.crashes.items() if at > seen_at
        }
        self.is_blocking = False

    def count(self, now):
        """Return the number of recent crashes, or all of a blocked request."""
        since = now - (MAX_BLOCK_S if self.is_blocking else RETENTION_S)
        return self._count_since(since)

    def _count_since(self, since):
        return sum(at > since for at in self.crashes.values())

    def is_blocked(self, now):
        """Return whether the request must not be sent now."""
        if not self.is_blocking:
            return False
        excess = len(self.crashes) - BLOCKING_CRASHES
        return now - self.last_at < min(BLOCK_S * 2**excess, MAX_BLOCK_S)


class CrashGuard:
    """Counts crashed targets by request digest.

    A connection that ends without a response is also seen when a target
    closes it for another reason, or crashes because of another request. An
    answer of any target shows that the request is not the cause, so hosts
    tell each other of the answers to suspected requests as well.
    """

    __slots__ = ('_blocked', '_new', '_records', '_repeated')

    def __init__(self):
        self._records = collections.OrderedDict()
        self._blocked = set()
        self._new = []
        self._repeated = collections.deque(maxlen=MAX_REPEATED)

    def record(self, digest, run, seen_at, is_own=True, is_own_domain=True):
        """Record that a target crashed while it ran a request.

        Returns whether this was not known.
        """
        record = self._get_record(digest)
        if run in record.crashes or seen_at <= record.answered_at:
            return False
        record.add(run, seen_at)
        if record.is_blocking:
            self._blocked.add(digest)
        if is_own_domain:
            self._add_report(digest, run, seen_at, is_own)
        return True

    def record_answer(self, digest, seen_at, is_own=True, is_own_domain=True):
        """Record that a target answered a request, if it is suspected."""
        if digest not in self._records:
            return
        record = self._records[digest]
        if seen_at <= record.answered_at:
            return
        if is_own_domain and record.count(seen_at):
            self._add_report(digest, None, seen_at, is_own)
        record.set_answered(seen_at)

    def _add_report(self, digest, run, seen_at, is_own):
        observation = Observation(digest, run, seen_at, seen_at + REPEAT_S)
        self._repeated.append(observation)
        if is_own:
            self._new.append(observation)

    def _get_record(self, digest):
        record = self._records.get(digest)
        if record is None:
            record = self._records[digest] = CrashRecord()
            if len(self._records) > MAX_DIGESTS:
                self._drop_oldest()
        self._records.move_to_end(digest)
        return record

    def _drop_oldest(self):
        """Drop the oldest record, of a request that is not blocked if any."""
        oldest = next(
            (
                digest
                for digest, record in self._records.items()
                if not record.is_blocking
            ),
            next(iter(self._records)),
        )
        del self._records[oldest]

    def count(self, digest, now):
        """Return the number of targets that a request crashed recently."""
        record = self._records.get(digest)
        return 0 if record is None else record.count(now)

    def is_blocked(self, digest, now):
        """Return whether a request must not be sent to another target."""
        record = self._records.get(digest)
        return record is not None and record.is_blocked(now)

    def take_new_reports(self, now):
        """Return what this host has seen since the last call."""
        reports, self._new = _make_reports(self._new, now), []
        return reports

    def get_reports(self, now):
        """Return the reports of the own domain to repeat.

        These are the recent ones, and the crashes of blocked requests; if
        there are too many of these for a message, another part each time.
        """
        reports = _make_reports(
            [seen for seen in self._repeated if seen.repeat_until > now], now
        )
        known = {(crash.digest, crash.run) for crash in reports.crashes}
        self._blocked = {
            digest
            for digest in self._blocked
            if self.count(digest, now) >= BLOCKING_CRASHES
        }
        for digest in random.sample(sorted(self._blocked), len(self._blocked)):
            crashes = [
                _make_crash(digest, run, seen_at, now)
                for run, seen_at in self._records[digest].crashes.items()
                if (digest, run) not in known
            ]
            if len(reports.crashes) + len(crashes) > MAX_REPEATED:
                break
            reports.crashes.extend(crashes)
        return reports


def _make_reports(observations, now):
    crashes, answers = [], {}
    for seen in observations:
        if seen.run is None:
            answers[seen.digest] = _get_age(seen.seen_at, now)
        else:
            crashes.append(
                _make_crash(seen.digest, seen.run, seen.seen_at, now)
            )
    return CrashReports(crashes, answers)


def _make_crash(digest, run, seen_at, now):
    return messages.Crash(digest, run, _get_age(seen_at, now))


def _get_age(seen_at, now):
    return round(now - seen_at, 3)
