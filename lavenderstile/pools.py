"""Connection pool of one target: limit, reuse and retirement."""

import asyncio
import collections
import contextlib

import httpx

from . import connections
from . import silent_connections

# A reused connection is suspect when a request on it has got no response
# within this time and within this multiple of the mean latency.
MIN_SUSPECT_TIMEOUT_S = 1.0
SUSPECT_TIMEOUT_FACTOR = 4.0

# Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT = 0.1

# Suspect connections cause at most one check of a new connection in this
# time. A check costs a target 25 ms.
CHECK_PERIOD_S = 10.0

# Time-out of a check, including the time to connect.
CHECK_TIMEOUT_S = 1.0


class TargetPool:
    """The connections of this host to one target."""

    def __init__(self, clock, address, limit):
        self.address = address
        self.limit = limit
        self.url = httpx.URL(f'http://{address}')
        self._clock = clock
        self._next_number = 0
        self._first_usable = 0
        self._idle = []
        self._connections = set()
        self._waiters = collections.deque()
        self._target_echoes_ids = False
        self._mean_latency_s = 0.0
        self._checked_at = float('-inf')
        self._check_tasks = set()
        self._silent_connections = (
            silent_connections.SilentConnectionDetector()
        )

    @property
    def open_count(self):
        """Number of open connections, idle ones included."""
        return len(self._connections)

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self._idle)

    def set_limit(self, limit):
        """Change the limit; excess connections close after their use."""
        grown = limit - self.limit
        self.limit = limit
        for _ in range(grown):
            self._wake_waiter()

    def retire(self):
        """Send no further requests on the present connections."""
        self._first_usable = self._next_number

    def check_echo(self, echo, request_id):
        """Return whether a response's X-Request-Id matches its request.

        A target that has echoed ids before has to do so in each response,
        because bytes left over from an earlier response may carry no id.
        """
        if echo is None:
            return not self._target_echoes_ids
        self._target_echoes_ids = True
        return echo == request_id

    def record_response(self, connection, latency_s=None):
        """Record that a response began on a connection."""
        self._silent_connections.record_response(
            connection.number, self._clock.now()
        )
        if latency_s is not None:
            change_s = latency_s - self._mean_latency_s
            self._mean_latency_s += LATENCY_WEIGHT * change_s

    def get_suspect_timeout(self):
        """Return the time after which a silent connection is suspect."""
        return max(
            MIN_SUSPECT_TIMEOUT_S,
            SUSPECT_TIMEOUT_FACTOR * self._mean_latency_s,
        )

    def check_new_connection(self, connection, sent_at):
        """Check whether a newer connection than this one works.

        The result is used if the request on `connection` times out. No
        check is made shortly after another one, after a response on a newer
        connection, or when it would exceed the connection limit.
        """
        now = self._clock.now()
        if (
            now - self._checked_at < CHECK_PERIOD_S
            or len(self._connections) >= self.limit
            or self._silent_connections.has_newer_working(
                connection.number, sent_at
            )
        ):
            return
        self._checked_at = now
        check = asyncio.create_task(self._check(self._open()))
        self._check_tasks.add(check)
        check.add_done_callback(self._check_tasks.discard)

    async def _check(self, connection):
        is_clean = False
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                await connections.read_small(
                    connection.send, self.url, b'/health'
                )
            self.record_response(connection)
            is_clean = True
        except (TimeoutError, httpx.HTTPError):
            # The target does not respond on a new connection either.
            pass
        finally:
            await self.release(connection, is_clean)

    def record_timeout(self, connection, sent_at):
        """Record a timeout; return whether only the connection is silent.

        After a timeout on a reused connection all older ones are suspect,
        and the next requests use new ones.
        """
        is_silent = self._silent_connections.judge_timeout(
            connection.number,
            connection.is_reused,
            sent_at,
            self._clock.now(),
        )
        if is_silent:
            self._first_usable = max(
                self._first_usable, self._silent_connections.first_working
            )
        elif connection.is_reused:
            self.retire()
        return is_silent

    def try_acquire(self, max_idle_s=connections.MAX_IDLE_S):
        """Return a connection if one is free without waiting, else None."""
        if self._waiters or not self._is_free():
            return None
        if not self._idle:
            return self._open()
        if self._is_usable(self._idle[-1], max_idle_s):
            return self._idle.pop()
        return None

    async def acquire(self, max_idle_s=connections.MAX_IDLE_S):
        """Return a connection for one request, waiting for a free one.

        A connection that was idle for longer than `max_idle_s` is not
        used.
        """
        while True:
            await self._wait_until_free()
            if not self._idle:
                return self._open()
            connection = self._idle.pop()
            if self._is_usable(connection, max_idle_s):
                return connection
            await self._close(connection)

    def _is_usable(self, connection, max_idle_s=connections.MAX_IDLE_S):
        return (
            connection.number >= self._first_usable
            and connection.is_usable(self._clock.now(), max_idle_s)
        )

    async def _wait_until_free(self):
        if not self._waiters and self._is_free():
            return
        enqueue = self._waiters.append
        while True:
            waiter = asyncio.get_running_loop().create_future()
            enqueue(waiter)
            # If another request takes the connection first, this one goes back
            # to the head of the queue.
            enqueue = self._waiters.appendleft
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise
            if self._is_free():
                return

    def _is_free(self):
        return bool(self._idle) or len(self._connections) < self.limit

    def _wake_waiter(self):
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _open(self):
        connection = connections.Connection(
            self._clock.now(), self._next_number
        )
        self._next_number += 1
        self._connections.add(connection)
        return connection

    async def release(self, connection, is_clean):
        """Return a connection to the pool; close it unless `is_clean`."""
        connection.last_used = self._clock.now()
        connection.uses += 1
        keep = (
            is_clean
            and connection.number >= self._first_usable
            and len(self._connections) <= self.limit
        )
        if not keep:
            await self._close(connection)
            return
        self._idle.append(connection)
        self._wake_waiter()

    async def _close(self, connection):
        try:
            await connection.close()
        finally:
            self._connections.discard(connection)
            self._wake_waiter()

    async def sweep(self):
        """Close idle connections that may not be used again."""
        stale = [idle for idle in self._idle if not self._is_usable(idle)]
        for connection in stale:
            # A request may have taken it while another one was closed.
            with contextlib.suppress(ValueError):
                self._idle.remove(connection)
                await self._close(connection)

    async def close(self):
        """Retire all connections and close the idle ones."""
        self.retire()
        checks = list(self._check_tasks)
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)
        await self.sweep()
