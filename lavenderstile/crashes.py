"""Register of requests that crash the targets that run them."""

import collections

from . import messages

RETENTION_S = 600.0
MAX_DIGESTS = 4096
# Upper bound of the notes sent to a peer each second.
MAX_NOTES = 100
BLOCKING_TARGETS = 2
# In a service with a single target, this many crashes on it block the digest.
BLOCKING_CRASHES = 3


class CrashRecord:
    """Targets on which runs of a digest ended in a crash."""

    __slots__ = ('count', 'last_at', 'targets')

    def __init__(self, target, now):
        self.last_at = now
        self.targets = [target]
        self.count = 1

    @property
    def blocking(self):
        """Whether the crashes are enough to refuse the digest."""
        return (
            len(self.targets) >= BLOCKING_TARGETS
            or self.count >= BLOCKING_CRASHES
        )


class CrashRegister:
    """Digests of requests that are suspected of crashing targets.

    A crash of a target fails every request that runs there, so a first crash
    only makes a digest suspect. Admission runs one request of a suspect
    digest at a time, and no other suspect with it. A crash of such a run on
    a different target blocks the digest. Crashes of runs that were granted
    before the suspicion do not count again: when a rack fails, a popular
    request crashes on several targets at once. A response clears the digest,
    since a poisonous request crashes each target.
    """

    __slots__ = ('_records',)

    def __init__(self):
        self._records = collections.OrderedDict()

    def __len__(self):
        return len(self._records)

    def record(self, digest, target, now, as_suspect=True):
        """Record a crash; return whether the digest is blocked now.

        `as_suspect` is true if the digest was suspect when the run began; if
        it was not, the crash only makes the digest suspect.
        """
        record = self._find(digest, now)
        if record is None:
            self._add(digest, CrashRecord(target, now))
            return False
        if as_suspect:
            record.count += 1
            record.last_at = now
            if target not in record.targets:
                record.targets.append(target)
        return record.blocking

    def clear(self, digest):
        """Remove a digest that got a response, unless it is blocked."""
        record = self._records.get(digest)
        if record is not None and not record.blocking:
            del self._records[digest]

    def is_suspect(self, digest, now):
        """Return whether a run of the digest has crashed a target."""
        return self._find(digest, now) is not None

    def is_blocked(self, digest, now):
        """Return whether requests with the digest are refused."""
        record = self._find(digest, now)
        return record is not None and record.blocking

    def crashed_targets(self, digest, now):
        """Return the targets that the digest is recorded to have crashed."""
        record = self._find(digest, now)
        return () if record is None else tuple(record.targets)

    def merge(self, note, now):
        """Take over another owner's record of a digest."""
        seen_at = now - note.age_s
        if note.age_s >= RETENTION_S or not note.targets:
            return
        record = self._find(note.digest, now)
        if record is None:
            record = CrashRecord(note.targets[0], seen_at)
            self._add(note.digest, record)
        record.last_at = max(record.last_at, seen_at)
        for target in note.targets:
            if target not in record.targets:
                record.targets.append(target)

    def notes(self, service, now):
        """Return the register as notes for peers, blocked digests first.

        A suspect that the next owner misses becomes suspect again at its
        next crash.
        """
        current = [
            (record.blocking, record.last_at, digest, record)
            for digest, record in self._records.items()
            if now - record.last_at < RETENTION_S
        ]
        current.sort(key=lambda item: item[:3], reverse=True)
        return tuple(
            messages.CrashNote(
                service, digest, tuple(record.targets), now - last_at
            )
            for _, last_at, digest, record in current[:MAX_NOTES]
        )

    def _add(self, digest, record):
        while len(self._records) >= MAX_DIGESTS:
            self._records.popitem(last=False)
        self._records[digest] = record

    def _find(self, digest, now):
        record = self._records.get(digest)
        if record is not None and now - record.last_at >= RETENTION_S:
            del self._records[digest]
            return None
        return record
