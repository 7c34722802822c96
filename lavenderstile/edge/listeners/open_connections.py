"""Bound on the number of connections of a host."""

import heapq

# At the limit one connection of so many is closed at once, because the search
# looks at all of them.
CLOSED_PART = 64


class OpenConnections:
    """The connections of all listeners of a host.

    At the limit a new connection replaces first those that have sent as much
    ahead as they may, then those without a running request, in the order of
    their last progress. If there are none, the new connection is closed.
    """

    __slots__ = ('_connections', '_limit', '_reports')

    def __init__(self, limit, reports):
        self._limit = limit
        self._reports = reports
        self._connections = set()

    @property
    def count(self):
        """Number of open connections."""
        return len(self._connections)

    def add(self, connection):
        """Register a new connection; close others at the limit."""
        if len(self._connections) < self._limit:
            self._connections.add(connection)
            return
        candidates = (
            other
            for other in self._connections
            if other.is_far_ahead or not other.is_running
        )
        closed = heapq.nsmallest(
            max(1, self._limit // CLOSED_PART),
            candidates,
            key=lambda other: (not other.is_far_ahead, other.progress_at),
        )
        if closed:
            self._connections.add(connection)
        else:
            closed = [connection]
        for other in closed:
            self._connections.discard(other)
            self._reports.record(
                'connections', count=self.count, peer=other.peer
            )
            other.give_up()

    def discard(self, connection):
        """Unregister a closed connection."""
        self._connections.discard(connection)
