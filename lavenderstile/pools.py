"""Connections to one target: limit, age, reuse and retirement.

Each connection is an httpx transport that holds at most one connection, so
that its age and its earlier uses are known and it can be closed alone.
"""

import asyncio
import collections
import contextlib
import select
import socket
import ssl

import httpx

from . import silence

# Connections are retired at this age, because an open connection can go
# silent for ever while new ones work.
MAX_AGE_S = 60.0

# Idle connections are closed before common servers close them (after 5 s),
# because a request that meets such a close cannot be proven not to have run.
MAX_IDLE_S = 4.0

# Limits the bytes that a read can deliver at once, and so the memory that a
# response body takes; the kernel doubles this value.
RECEIVE_BUFFER_BYTES = 32 * 1024

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)

# Targets are reached in clear text, so this context is never used; it is
# shared because loading certificates takes milliseconds per transport.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

_LIMITS = httpx.Limits(
    max_connections=1, max_keepalive_connections=1, keepalive_expiry=None
)


def make_transport():
    """Return a transport for at most one connection."""
    return httpx.AsyncHTTPTransport(
        verify=_TLS_CONTEXT,
        trust_env=False,
        limits=_LIMITS,
        socket_options=_SOCKET_OPTIONS,
    )


class Connection:
    """One connection to a target, opened by its first request."""

    __slots__ = (
        'created',
        'is_connected',
        'last_used',
        'number',
        'uses',
        '_socket',
        '_transport',
    )

    def __init__(self, now, number):
        self.created = now
        self.number = number
        self.last_used = now
        self.is_connected = False
        self.uses = 0
        self._socket = None
        self._transport = make_transport()

    @property
    def is_reused(self):
        """Whether an earlier request was answered on it."""
        return self.uses > 0

    def is_usable(self, now):
        """Return whether an idle connection may carry a request.

        A readable idle connection was closed by the target or carries
        bytes that belong to no request.
        """
        return (
            now - self.created < MAX_AGE_S
            and now - self.last_used < MAX_IDLE_S
            and self._is_quiet()
        )

    def _is_quiet(self):
        if self._socket is None or self._socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    async def send(self, request):
        """Send a request and return the response, its body unread."""
        if not self.is_connected:
            request.extensions['trace'] = self._trace
        return await self._transport.handle_async_request(request)

    async def _trace(self, name, info):
        if name == 'connection.connect_tcp.complete':
            stream = info['return_value']
            self._socket = stream.get_extra_info('socket')
            self.is_connected = True

    async def close(self):
        """Close the connection."""
        await self._transport.aclose()


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
        self._echoes = False
        self._silence = silence.SilenceJudge()

    @property
    def connections(self):
        """Number of open connections, idle ones included."""
        return len(self._connections)

    @property
    def idle(self):
        """Number of idle connections."""
        return len(self._idle)

    def set_limit(self, limit):
        """Change the limit; connections over it close after their use."""
        grown = limit - self.limit
        self.limit = limit
        for _ in range(grown):
            self._wake()

    def retire(self):
        """Let no present connection carry another request."""
        self._first_usable = self._next_number

    def check_echo(self, echo, request_id):
        """Return whether an answer's X-Request-Id fits its request.

        A target that has echoed ids before has to do so in each answer,
        because bytes left over from an earlier answer may carry no id.
        """
        if echo is None:
            return not self._echoes
        self._echoes = True
        return echo == request_id

    def record_answer(self, connection):
        """Record that an answer began on a connection."""
        self._silence.record_answer(connection.number, self._clock.now())

    def record_timeout(self, connection, sent_at):
        """Record a timeout; return whether only the connection is silent.

        After a timeout on a reused connection all older ones are suspect,
        and the next requests use new ones.
        """
        is_silent = self._silence.judge_timeout(
            connection.number,
            connection.is_reused,
            sent_at,
            self._clock.now(),
        )
        if is_silent:
            self._first_usable = max(
                self._first_usable, self._silence.first_good
            )
        elif connection.is_reused:
            self.retire()
        return is_silent

    async def acquire(self):
        """Return a connection for one request, waiting for a free one."""
        while True:
            await self._wait_until_free()
            if not self._idle:
                return self._open()
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            await self._close(connection)

    def _is_usable(self, connection):
        return (
            connection.number >= self._first_usable
            and connection.is_usable(self._clock.now())
        )

    async def _wait_until_free(self):
        if not self._waiters and self._is_free():
            return
        while True:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake()
                raise
            if self._is_free():
                return

    def _is_free(self):
        return bool(self._idle) or len(self._connections) < self.limit

    def _wake(self):
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _open(self):
        connection = Connection(self._clock.now(), self._next_number)
        self._next_number += 1
        self._connections.add(connection)
        return connection

    async def release(self, connection, is_clean):
        """Give a connection back; unless `is_clean`, it is closed."""
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
        self._wake()

    async def _close(self, connection):
        try:
            await connection.close()
        finally:
            self._connections.discard(connection)
            self._wake()

    async def sweep(self):
        """Close idle connections that may not be used again."""
        stale = [each for each in self._idle if not self._is_usable(each)]
        for connection in stale:
            # A request may have taken it while another one was closed.
            with contextlib.suppress(ValueError):
                self._idle.remove(connection)
                await self._close(connection)

    async def close(self):
        """Retire everything and close idle connections."""
        self.retire()
        await self.sweep()
