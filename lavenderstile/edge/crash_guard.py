"""Detection of requests that crash targets, over the whole fleet."""

import collections

import xxhash

from . import messages

# Number of targets that have to crash on a request before it is blocked.
BLOCKING_CRASHES = 3
RETENTION_S = 60.0
MAX_DIGESTS = 2048


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


class CrashRecord:
    """Crashes of the targets that ran one request, and its last answer.

    `crashes` has the time of the crash by instance.
    """

    __slots__ = ('answered_at', 'crashes')

    def __init__(self):
        self.crashes = {}
        self.answered_at = float('-inf')

    def count(self, now):
        """Return the number of recent crashes without an answer since."""
        oldest = max(self.answered_at, now - RETENTION_S)
        return sum(at > oldest for at in self.crashes.values())


class CrashGuard:
    """Counts crashed targets by request digest.

    A connection that ends without a response is also seen when a target
    closes it for another reason, or crashes because of another request. An
    answer of any target shows that the request is not the cause, so hosts
    tell each other of the answers to suspected requests as well.
    """

    __slots__ = ('_new_answers', '_new_crashes', '_records')

    def __init__(self):
        self._records = collections.OrderedDict()
        self._new_crashes = {}
        self._new_answers = {}

    def record(self, digest, instance, seen_at, is_own=True):
        """Record that a target crashed while it ran a request.

        Returns whether this was not known.
        """
        record = self._get_record(digest)
        if instance in record.crashes or seen_at <= record.answered_at:
            return False
        record.crashes[instance] = seen_at
        if is_own:
            self._new_crashes[digest, instance] = seen_at
        return True

    def record_answer(self, digest, seen_at, is_own=True):
        """Record that a target answered a request, if it is suspected."""
        if digest not in self._records:
            return
        record = self._records[digest]
        if seen_at <= record.answered_at:
            return
        if is_own and record.count(seen_at):
            self._new_answers[digest] = seen_at
        record.answered_at = seen_at

    def _get_record(self, digest):
        record = self._records.get(digest)
        if record is None:
            record = self._records[digest] = CrashRecord()
            if len(self._records) > MAX_DIGESTS:
                self._records.popitem(last=False)
        self._records.move_to_end(digest)
        return record

    def count(self, digest, now):
        """Return the number of targets that a request crashed recently."""
        record = self._records.get(digest)
        return 0 if record is None else record.count(now)

    def is_blocked(self, digest, now):
        """Return whether a request must not be sent to another target."""
        return self.count(digest, now) >= BLOCKING_CRASHES

    def take_new_reports(self, now):
        """Return what this host has seen since the last call."""
        crashes = [
            messages.Crash(digest, instance, _get_age(at, now))
            for (digest, instance), at in self._new_crashes.items()
        ]
        answers = {
            digest: _get_age(at, now)
            for digest, at in self._new_answers.items()
        }
        self._new_crashes, self._new_answers = {}, {}
        return CrashReports(crashes, answers)


def _get_age(seen_at, now):
    return round(now - seen_at, 3)
