"""Bound on the memory of responses that are still being received."""

# Response bytes that all connections of a host hold together. A host may have
# 200 MB, of which the bodies of callers take up to 96 MB.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class ResponseMemory:
    """Counts the bytes that each connection holds of an incomplete response.

    Above the limit the largest response is given up, so that a target that
    sends without end does not fail the responses of others.
    """

    __slots__ = ('_limit', '_sizes', '_total')

    def __init__(self, limit=MAX_BUFFERED_BYTES):
        self._limit = limit
        self._sizes = {}
        self._total = 0

    @property
    def total(self):
        """Bytes held by all connections."""
        return self._total

    def add(self, connection, count):
        """Count received bytes; give up responses above the limit."""
        self._sizes[connection] = self._sizes.get(connection, 0) + count
        self._total += count
        while self._total > self._limit:
            largest = max(self._sizes, key=self._sizes.get)
            self.release(largest)
            largest.give_up('response memory is exhausted')

    def release(self, connection):
        """Forget the bytes of a connection."""
        self._total -= self._sizes.pop(connection, 0)
