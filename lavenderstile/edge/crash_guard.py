"""Requests that crash the targets that run them, over the whole fleet."""

import collections

import xxhash

# Different targets that ended while they ran the same request.
BLOCKING_CRASHES = 3
MEMORY_S = 60.0
MAX_DIGESTS = 2048


def make_digest(method, path, workspace, body):
    """Return the digest that recognizes a request that is sent again."""
    digest = xxhash.xxh3_64(f'{method}\0{path}\0{workspace}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


class CrashGuard:
    """Counts the crashes by digest; an answer clears a digest."""

    __slots__ = ('_news', '_records')

    def __init__(self):
        self._records = collections.OrderedDict()
        self._news = []

    def record(self, digest, instance, now, is_own=True):
        """Record that a target ended while it ran a request."""
        targets, _ = self._records.pop(digest, (frozenset(), 0.0))
        if instance not in targets and is_own:
            self._news.append((digest, instance))
        self._records[digest] = (targets | {instance}, now)
        while len(self._records) > MAX_DIGESTS:
            self._records.popitem(last=False)

    def clear(self, digest):
        """A target answered the request, so it does not crash targets."""
        self._records.pop(digest, None)

    def count(self, digest, now):
        """Return how many targets a request has crashed lately."""
        targets, at = self._records.get(digest, (frozenset(), now))
        return len(targets) if now - at < MEMORY_S else 0

    def is_blocked(self, digest, now):
        """Return whether a request may not reach another target."""
        return self.count(digest, now) >= BLOCKING_CRASHES

    def take_new_crashes(self):
        """Return the crashes seen by this host since the last call."""
        news, self._news = self._news, []
        return news
