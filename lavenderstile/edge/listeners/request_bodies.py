"""Bound on the request bodies and large heads that a host holds."""


class RequestBodies:
    """Counts the bytes of the requests of all connections.

    Above the limit the largest incomplete request is refused, so that bodies
    that never end do not keep the requests of others out.
    """

    __slots__ = ('_limit', '_receiving', '_reports', '_sizes', '_total')

    def __init__(self, limit, reports):
        self._limit = limit
        self._reports = reports
        self._sizes = {}
        self._receiving = set()
        self._total = 0

    @property
    def size(self):
        """Bytes of all requests."""
        return self._total

    def add(self, connection, count):
        """Count received bytes; refuse requests above the limit."""
        self._sizes[connection] = self._sizes.get(connection, 0) + count
        self._receiving.add(connection)
        self._total += count
        while self._total > self._limit and self._receiving:
            largest = max(self._receiving, key=self._sizes.get)
            size = self._sizes[largest]
            self.release(largest)
            self._reports.record(
                'request_bodies', size=size, peer=largest.peer
            )
            largest.refuse_request()

    def complete(self, connection):
        """Record that the request of a connection is complete."""
        self._receiving.discard(connection)

    def release(self, connection):
        """Forget the request of a connection."""
        self._receiving.discard(connection)
        self._total -= self._sizes.pop(connection, 0)
