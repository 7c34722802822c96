"""Server side of HTTP: listeners for callers, and their responses."""

import asyncio
import socket

from . import models
from .listeners import connection as connection_module
from .listeners import limits as limits_module
from .listeners import resources as resources_module

# Connections that the kernel keeps until they are accepted.
LISTEN_BACKLOG = 1024


class CallerResponse:
    """A response to a caller; `headers` are pairs of bytes.

    `refusal` is the `verdicts.Refusal` behind a response of the host itself.
    """

    __slots__ = ('body', 'headers', 'refusal', 'status')

    def __init__(self, status, headers=(), body=b'', refusal=None):
        self.status = status
        self.headers = headers
        self.body = body
        self.refusal = refusal


class CallerServer:
    """A listener for callers and its connections.

    Listeners with the same `resources` share the limits of a host.
    """

    def __init__(self, clock, handler, resources=None):
        self._clock = clock
        self._handler = handler
        self._connections = set()
        self._server = None
        self._resources = resources or resources_module.ListenerResources(
            clock
        )
        # A read copies from it at once, so that connections can share it.
        self.read_buffer = memoryview(
            bytearray(limits_module.READ_BUFFER_BYTES)
        )
        self.limits = models.CallerLimits()
        self.is_stopping = False

    @property
    def bodies(self):
        """Count of the host's request bodies."""
        return self._resources.bodies

    @property
    def held(self):
        """Count of the bytes that connections read ahead or have not sent."""
        return self._resources.held

    @property
    def reports(self):
        """Reports of limits that were reached."""
        return self._resources.reports

    @property
    def active_count(self):
        """Number of connections with a request in flight."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def open_count(self):
        """Number of open connections."""
        return len(self._connections)

    @property
    def address(self):
        """Address and port of the listener."""
        return self._server.sockets[0].getsockname()[:2]

    def now(self):
        """Return the clock's time."""
        return self._clock.now()

    def add(self, connection):
        """Register a new connection."""
        self._connections.add(connection)
        self._resources.connections.add(connection)

    def discard(self, connection):
        """Unregister a closed connection."""
        self._connections.discard(connection)
        self._resources.connections.discard(connection)
        self._resources.held.release(connection)

    async def start(self, address, port):
        """Start to listen."""
        family = socket.AF_INET6 if ':' in address else socket.AF_INET
        listener = socket.create_server((address, port), family=family)
        loop = asyncio.get_running_loop()
        # The event loop takes its `backlog` as the number of connections that
        # it accepts at once, too.
        self._server = await loop.create_server(
            lambda: connection_module.CallerConnection(self),
            sock=listener,
            backlog=limits_module.ACCEPTS_PER_STEP,
        )
        listener.listen(LISTEN_BACKLOG)

    async def handle(self, request):
        """Return the response to a request."""
        return await self._handler.handle(request)

    def make_refusal(self, status, detail):
        """Return the response to a malformed or oversized request."""
        return self._handler.make_refusal(status, detail)

    def record_fault(self, status, detail):
        """Record a malformed or oversized request."""
        self._handler.record_fault(status, detail)

    def get_body_timeout(self, request):
        """Return the time limit for receiving a request's body, in seconds."""
        return self._handler.get_body_timeout(request)

    def sweep(self):
        """Apply the time limits of all connections."""
        now = self._clock.now()
        for connection in list(self._connections):
            connection.enforce_timeouts(now, self.limits)

    def stop_listening(self):
        """Accept no new connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self, idle_s=0.0):
        """Close the connections that have been idle for `idle_s`."""
        before = self._clock.now() - idle_s
        for connection in list(self._connections):
            connection.close_if_idle(before)
