"""Kept connections to targets."""

from . import http_client

# A connect that takes longer than this goes to another target; within a
# region it takes about a millisecond.
CONNECT_TIMEOUT_S = 0.4

# A target that closes an idle connection may cross a request on it, which
# then may have run. Connections are not used in the last part of their
# idle time.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0

# A request that may run once only is not sent on a connection that was idle
# for longer, because the target may have forgotten the connection.
CAUTIOUS_IDLE_S = 3.0


class TargetPools:
    """The connections of this host, by instance of the target."""

    __slots__ = ('_clock', '_idle', 'opened')

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self.opened = 0

    def has_idle(self, instance, is_cautious=False):
        """Return whether a request needs no new connection."""
        idle = self._idle.get(instance)
        if not idle:
            return False
        return self._is_usable(idle[-1], is_cautious)

    def _is_usable(self, connection, is_cautious):
        limit_s = connection.idle_limit_s or DEFAULT_IDLE_S
        if is_cautious:
            limit_s = min(limit_s, CAUTIOUS_IDLE_S)
        idle_s = self._clock.now() - connection.idle_since
        return connection.is_open and idle_s < limit_s

    async def acquire(self, target, timeout_s, is_cautious):
        """Return a connection; raises `http_client.ConnectError`."""
        idle = self._idle.get(target.instance, [])
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, is_cautious):
                return connection
            connection.close()
        self.opened += 1
        return await http_client.open_connection(
            target.address,
            target.port,
            self._clock.now(),
            min(timeout_s, CONNECT_TIMEOUT_S),
        )

    def release(self, target, connection, keep_alive_s):
        """Keep a connection for the next request if it can go on."""
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

    def sweep(self, instances):
        """Close what is stale, or leads to a target that is gone."""
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
