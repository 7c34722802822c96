"""Server side of HTTP: connections of callers, requests and responses."""

import asyncio
import socket
import traceback

import eliot
import h11

from . import http_client
from . import models

# TCP_USER_TIMEOUT: a connection whose bytes stay unacknowledged for this long
# is closed.
UNACKNOWLEDGED_LIMIT_MS = 8000

# After an early error response the remaining request bytes are discarded for
# this long, because closing with unread bytes would reset the connection
# before the caller reads the response.
LINGER_S = 1.0

# Limit for the request bodies of all connections together.
MAX_BUFFERED_BYTES = 96 * 1024 * 1024

# Up to this size the head and the body of a response are written together.
_JOINED_BYTES = 64 * 1024

# Colon, space and line end of a header line.
_HEADER_EXTRA_BYTES = 4

_PHRASES = {
    400: b'Bad Request',
    401: b'Unauthorized',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    429: b'Too Many Requests',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class CallerRequest:
    """A complete request of a caller."""

    __slots__ = ('arrived_at', 'body', 'headers', 'host', 'method', 'path')

    def __init__(self, method, host, path, headers, arrived_at):
        self.method = method
        self.host = host
        self.path = path
        self.headers = headers
        self.body = b''
        self.arrived_at = arrived_at


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


class RequestError(Exception):
    """A request is malformed or over a limit; `status` is the response's."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


def _split_target(target, host):
    """Return host and path of a request target in origin or absolute form."""
    if target.startswith('/'):
        return host, target
    scheme, separator, remainder = target.partition('://')
    if separator and scheme.lower() == 'http':
        authority, slash, path = remainder.partition('/')
        return authority, slash + path if slash else '/'
    raise RequestError(400, 'request target is neither a path nor an http URL')


def _strip_port(host):
    name = host.lower()
    if name.endswith(']'):
        return name
    head, colon, port = name.rpartition(':')
    return head if colon and port.isdigit() else name


def read_head(event, now, max_bytes):
    """Return the `CallerRequest` of an h11 request event."""
    headers = list(event.headers)
    # The parser enforces its own limit only on heads that arrive in pieces.
    size = len(event.target) + sum(
        len(name) + len(value) + _HEADER_EXTRA_BYTES for name, value in headers
    )
    if size > max_bytes:
        raise RequestError(431, 'request header is too large')
    names = [name for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise RequestError(400, 'both Content-Length and Transfer-Encoding')
    hosts = [value for name, value in headers if name == b'host']
    host = hosts[0].decode('latin-1') if hosts else ''
    target = event.target.decode('latin-1')
    host, path = _split_target(target, host)
    method = event.method.decode('latin-1')
    return CallerRequest(method, _strip_port(host), path, headers, now)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its requests run one at a time, in order."""

    __slots__ = (
        '_body',
        '_is_refused',
        '_linger_until',
        '_parser',
        '_request',
        '_server',
        '_task',
        '_transport',
        'request_started_at',
        'idle_since',
    )

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._parser = None
        self._request = None
        self._task = None
        self._body = bytearray()
        self._is_refused = False
        self._linger_until = None
        self.request_started_at = None
        self.idle_since = None

    @property
    def is_idle(self):
        """Whether no request is being received or served."""
        return self.request_started_at is None and self._task is None

    def connection_made(self, transport):
        """Set up the parser for a new connection."""
        self._transport = transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_LIMIT_MS,
        )
        limits = self._server.limits
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.idle_since = self._server.now()
        self._server.add(self)

    def connection_lost(self, error):
        """Cancel the running request of a caller that has disconnected."""
        self._server.discard(self)
        self._release_body()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data):
        """Parse bytes of the caller."""
        if self._is_refused:
            return
        if self.request_started_at is None:
            self.request_started_at = self._server.now()
        self._parser.receive_data(data)
        if self._task is None:
            self._process_events()

    def eof_received(self):
        """Close the connection; a half-close counts as a disconnect."""
        return False

    def _process_events(self):
        """Parse some of the received bytes; let other tasks run in between."""
        try:
            for _ in range(http_client.EVENTS_PER_STEP):
                if not self._handle_event(self._parser.next_event()):
                    self._transport.resume_reading()
                    return
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._process_more_events)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
        except RequestError as error:
            self._refuse(error.status, str(error))

    def _process_more_events(self):
        if not (self._is_refused or self._transport.is_closing()):
            self._process_events()

    def _handle_event(self, event):
        match event:
            case h11.Request():
                self._request = read_head(
                    event,
                    self._server.now(),
                    self._server.limits.header_bytes,
                )
                if self._parser.they_are_waiting_for_100_continue:
                    self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            case h11.Data():
                self._append_body(event.data)
            case h11.EndOfMessage():
                self._request.body = self._body
                loop = asyncio.get_running_loop()
                self._task = loop.create_task(self._run(self._request))
                return False
            case h11.ConnectionClosed():
                self._transport.close()
                return False
            case _:
                return False
        return True

    def _append_body(self, data):
        self._body += data
        self._server.buffer.size += len(data)
        if len(self._body) > self._server.limits.body_bytes:
            raise RequestError(413, 'request body is too large')
        if self._server.buffer.size > MAX_BUFFERED_BYTES:
            raise RequestError(
                503, 'request bodies exceed the buffer of the host'
            )

    def _release_body(self):
        self._server.buffer.size -= len(self._body)
        self._body = bytearray()

    async def _run(self, request):
        try:
            response = await self._server.handle(request)
            self._send_response(response, request)
        except asyncio.CancelledError:
            return
        except Exception as error:
            # Without a response the caller would wait for its deadline.
            eliot.log_message(
                'connection_error',
                path=request.path,
                error=repr(error),
                traceback=traceback.format_exc(),
            )
            self._transport.abort()

    def _send_response(self, response, request):
        self._release_body()
        headers = list(response.headers)
        if self._server.is_stopping:
            headers.append((b'connection', b'close'))
        if request.method == 'HEAD' or response.status in (204, 304):
            body = b''
        else:
            body = response.body
            headers.append((b'content-length', str(len(body)).encode()))
        self._send(
            h11.Response(
                status_code=response.status,
                reason=_PHRASES.get(response.status, b''),
                headers=headers,
            ),
            body,
            h11.EndOfMessage(),
        )
        self._task = None
        self._request = None
        self.request_started_at = None
        self.idle_since = self._server.now()
        if self._parser.our_state is not h11.DONE or (
            self._parser.their_state is not h11.DONE
        ):
            self._transport.close()
            return
        self._parser.start_next_cycle()
        if self._parser.trailing_data[0]:
            self.request_started_at = self.idle_since
        self._process_events()

    def _send(self, *events):
        data = []
        for event in events:
            if isinstance(event, bytes):
                if not event:
                    continue
                event = h11.Data(data=event)
            data.append(self._parser.send(event))
        if sum(map(len, data)) <= _JOINED_BYTES:
            self._transport.write(b''.join(data))
            return
        for piece in data:
            # The transport copies the unsent rest of bytes twice.
            self._transport.write(memoryview(piece))

    def _refuse(self, status, detail):
        """Send an error response before the request is complete, and close."""
        self._is_refused = True
        # Parsing may have been between two steps.
        self._transport.resume_reading()
        self._server.record_fault(status, detail)
        response = self._server.make_refusal(status, detail)
        headers = [
            *response.headers,
            (b'content-length', str(len(response.body)).encode()),
            (b'connection', b'close'),
        ]
        if self._parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._send(
                h11.Response(
                    status_code=status,
                    reason=_PHRASES.get(status, b''),
                    headers=headers,
                ),
                response.body,
                h11.EndOfMessage(),
            )
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger_until = self._server.now() + LINGER_S

    def enforce_timeouts(self, now, limits):
        """Close or refuse if a time limit of the connection has passed."""
        if self._linger_until is not None:
            if now >= self._linger_until:
                self._transport.abort()
        elif self._task is not None:
            return
        elif self.request_started_at is not None:
            limit_s = limits.header_timeout_s
            if self._request is not None:
                limit_s = self._server.get_body_timeout(self._request)
            if now - self.request_started_at > limit_s:
                self._refuse(408, 'request was not received in time')
        elif now - self.idle_since > limits.idle_timeout_s:
            self._transport.close()

    def close_if_idle(self, before):
        """Close the connection if it is idle since `before` or longer."""
        if self.is_idle and self.idle_since <= before:
            self._transport.close()


class BodyBuffer:
    """Size of the request bodies that listeners hold together, in bytes."""

    __slots__ = ('size',)

    def __init__(self):
        self.size = 0


class CallerServer:
    """A listener for callers and its connections.

    Listeners with the same `buffer` share the limit of their request bodies.
    """

    def __init__(self, clock, handler, buffer=None):
        self._clock = clock
        self._handler = handler
        self._connections = set()
        self._server = None
        self.limits = models.CallerLimits()
        self.buffer = buffer or BodyBuffer()
        self.is_stopping = False

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

    def discard(self, connection):
        """Unregister a closed connection."""
        self._connections.discard(connection)

    async def start(self, address, port):
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), address, port, backlog=1024
        )

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
