"""Bound on the bytes that connections read ahead and have not sent."""

# A connection whose client has read nothing for this long is closed before
# those whose clients read.
STALL_S = 2.0


class HeldBytes:
    """Counts the bytes that each connection holds.

    Above the limit the connection that holds the most is closed. One whose
    client still reads is closed only if there are no others.
    """

    __slots__ = ('_clock', '_limit', '_reports', '_sizes', '_total')

    def __init__(self, clock, limit, reports):
        self._clock = clock
        self._limit = limit
        self._reports = reports
        self._sizes = {}
        self._total = 0

    @property
    def total(self):
        """Bytes held by all connections."""
        return self._total

    def set_size(self, connection, size):
        """Record what a connection holds; close others above the limit."""
        self._total += size - self._sizes.get(connection, 0)
        if size:
            self._sizes[connection] = size
        else:
            self._sizes.pop(connection, None)
        while self._total > self._limit:
            self._close_one()

    def release(self, connection):
        """Forget the bytes of a connection."""
        self._total -= self._sizes.pop(connection, 0)

    def _close_one(self):
        stalled_since = self._clock.now() - STALL_S
        closed = max(
            self._sizes,
            key=lambda connection: (
                connection.progress_at <= stalled_since,
                self._sizes[connection],
            ),
        )
        size = self._sizes[closed]
        self.release(closed)
        self._reports.record('held_bytes', size=size, peer=closed.peer)
        closed.give_up()
