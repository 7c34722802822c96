"""Pools of keep-alive connections to targets."""

from . import http_client
from . import response_memory

# After this time without a connection, another target is tried. Within a
# region a connect takes about a millisecond.
CONNECT_TIMEOUT_S = 0.4

# A target may close an idle connection just as a request is sent on it, and it
# is then unknown whether the request has run. Connections are therefore not
# used in the last part of their idle time.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_LIMIT_S = 4.0

# A request that is not idempotent is not sent on a connection that was idle
# for longer, because the target may have dropped the connection.
FRESH_IDLE_LIMIT_S = 3.0


class TargetPools:
    """Idle connections of this host, by instance of the target."""

    __slots__ = ('_clock', '_idle', '_memory', 'opened')

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self._memory = response_memory.ResponseMemory()
        self.opened = 0

    @property
    def response_memory(self):
        """Memory of the responses that are being received."""
        return self._memory

    def has_idle(self, instance, needs_fresh=False):
        """Return whether an idle connection can be used."""
        idle = self._idle.get(instance)
        if not idle:
            return False
        return self._is_usable(idle[-1], needs_fresh)

    def _is_usable(self, connection, needs_fresh):
        limit_s = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
        if needs_fresh:
            limit_s = min(limit_s, FRESH_IDLE_LIMIT_S)
        idle_s = self._clock.now() - connection.idle_since
        return connection.is_open and idle_s < limit_s

    async def acquire(self, target, timeout_s, needs_fresh):
        """Return an idle or a new connection.

        `needs_fresh` limits the idle time of a reused connection. Raises
        `http_client.ConnectError`.
        """
        idle = self._idle.get(target.instance, [])
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, needs_fresh):
                return connection
            connection.close()
        return await self.connect(target, timeout_s)

    async def connect(self, target, timeout_s=CONNECT_TIMEOUT_S):
        """Return a new connection; raises `http_client.ConnectError`."""
        self.opened += 1
        return await http_client.open_connection(
            target.address,
            target.port,
            self._clock.now(),
            min(timeout_s, CONNECT_TIMEOUT_S),
            self._memory,
        )

    def release(self, target, connection, keep_alive_s):
        """Return a connection to the pool if it is still open."""
        if not connection.is_open:
            return
        connection.idle_since = self._clock.now()
        if keep_alive_s is not None:
            connection.idle_limit_s = max(0.0, keep_alive_s - IDLE_MARGIN_S)
        self._idle.setdefault(target.instance, []).append(connection)

    def drop(self, instance):
        """Close the idle connections to a target."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def clear(self):
        """Close the idle connections to all targets."""
        for instance in list(self._idle):
            self.drop(instance)

    def sweep(self, instances):
        """Close stale connections and those to targets not in `instances`."""
        for instance in list(self._idle):
            if instance not in instances:
                self.drop(instance)
                continue
            kept = []
            for connection in self._idle[instance]:
                if self._is_usable(connection, False):
                    kept.append(connection)
                else:
                    connection.close()
            self._idle[instance] = kept
