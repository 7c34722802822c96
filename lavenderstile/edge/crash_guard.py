"""Detection of requests that crash targets, over the whole fleet."""

import collections

import xxhash

# Number of targets that have to crash on a request before it is blocked.
BLOCKING_CRASHES = 3
RETENTION_S = 60.0
MAX_DIGESTS = 2048


def make_digest(method, path, workspace, body):
    """Return a digest that is equal for repetitions of a request."""
    digest = xxhash.xxh3_64(f'{method}\0{path}\0{workspace}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


class CrashGuard:
    """Counts crashed targets by request digest."""

    __slots__ = ('_new_crashes', '_records')

    def __init__(self):
        self._records = collections.OrderedDict()
        self._new_crashes = []

    def record(self, digest, instance, now, is_own=True):
        """Record that a target crashed while it ran a request."""
        targets, _ = self._records.pop(digest, (frozenset(), 0.0))
        if instance not in targets and is_own:
            self._new_crashes.append((digest, instance))
        self._records[digest] = (targets | {instance}, now)
        while len(self._records) > MAX_DIGESTS:
            self._records.popitem(last=False)

    def clear(self, digest):
        """Clear the crashes of a request that a target has answered."""
        self._records.pop(digest, None)

    def count(self, digest, now):
        """Return the number of targets that a request crashed recently."""
        targets, at = self._records.get(digest, (frozenset(), now))
        return len(targets) if now - at < RETENTION_S else 0

    def is_blocked(self, digest, now):
        """Return whether a request must not be sent to another target."""
        return self.count(digest, now) >= BLOCKING_CRASHES

    def take_new_crashes(self):
        """Return the crashes seen by this host since the last call."""
        crashes, self._new_crashes = self._new_crashes, []
        return crashes
