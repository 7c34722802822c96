"""Register of requests that crash the targets that run them."""

import collections

from . import messages

RETENTION_S = 600.0
MAX_DIGESTS = 4096
# Notes go to a peer each second.
MAX_NOTES = 100
BLOCKING_TARGETS = 2
# A service with a single target gives no second target to crash.
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
    """Digests under suspicion of crashing targets.

    A crash of a target is seen by every request that runs there, so a
    first crash only makes a digest suspect. Admission runs one request of
    a suspect digest at a time, and no other suspect with it. A crash of
    such a run on a different target blocks the digest. Crashes of runs
    that were granted before the suspicion do not count again: when a rack
    fails, a popular request crashes on several targets at once. An answer
    clears the digest, since a poisonous one crashes each target.
    """

    __slots__ = ('_records',)

    def __init__(self):
        self._records = collections.OrderedDict()

    def __len__(self):
        return len(self._records)

    def record(self, digest, target, now, as_suspect=True):
        """Record a crash; return whether the digest is blocked now.

        `as_suspect` says whether the run began under suspicion; if not,
        a crash only makes a digest suspect.
        """
        known = self._find(digest, now)
        if known is None:
            self._add(digest, CrashRecord(target, now))
            return False
        if as_suspect:
            known.count += 1
            known.last_at = now
            if target not in known.targets:
                known.targets.append(target)
        return known.blocking

    def clear(self, digest):
        """Forget a digest that was answered and is not blocked yet."""
        known = self._records.get(digest)
        if known is not None and not known.blocking:
            del self._records[digest]

    def is_suspect(self, digest, now):
        """Return whether a run of the digest has crashed a target."""
        return self._find(digest, now) is not None

    def is_blocked(self, digest, now):
        """Return whether requests with the digest are refused."""
        known = self._find(digest, now)
        return known is not None and known.blocking

    def crashed_targets(self, digest, now):
        """Return the targets that count against the digest."""
        known = self._find(digest, now)
        return () if known is None else tuple(known.targets)

    def merge(self, note, now):
        """Take over another owner's record of a digest."""
        seen_at = now - note.age_s
        if note.age_s >= RETENTION_S or not note.targets:
            return
        known = self._find(note.digest, now)
        if known is None:
            known = CrashRecord(note.targets[0], seen_at)
            self._add(note.digest, known)
        known.last_at = max(known.last_at, seen_at)
        for target in note.targets:
            if target not in known.targets:
                known.targets.append(target)

    def notes(self, service, now):
        """Return the register as notes for peers, refused digests first.

        A successor that misses a suspect only starts to suspect it anew.
        """
        live = [
            (known.blocking, known.last_at, digest, known)
            for digest, known in self._records.items()
            if now - known.last_at < RETENTION_S
        ]
        live.sort(key=lambda item: item[:3], reverse=True)
        return tuple(
            messages.CrashNote(
                service, digest, tuple(known.targets), now - last_at
            )
            for _, last_at, digest, known in live[:MAX_NOTES]
        )

    def _add(self, digest, record):
        while len(self._records) >= MAX_DIGESTS:
            self._records.popitem(last=False)
        self._records[digest] = record

    def _find(self, digest, now):
        known = self._records.get(digest)
        if known is not None and now - known.last_at >= RETENTION_S:
            del self._records[digest]
            return None
        return known
