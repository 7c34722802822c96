"""One HTTP/1.1 connection to a target or to the registry."""

import asyncio
import socket

import h11

# A connection whose bytes stay unacknowledged for this long is dead; also
# recognizes connections that went silent while new ones work.
UNACKNOWLEDGED_LIMIT_MS = 1000

# Larger answers are refused instead of filling the host's memory.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

# Answers left over from earlier requests that are skipped on one wait.
MAX_SKIPPED_RESPONSES = 4

_READ_BYTES = 64 * 1024


class ConnectError(Exception):
    """No connection came about, so nothing was sent."""


class ConnectionBroken(Exception):
    """The connection ended before the whole answer; it may have run."""

    def __init__(self, detail, began):
        super().__init__(detail)
        self.response_started = began


class HttpResponse:
    """A whole answer. `is_clean` says that the connection can go on."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class HttpConnection(asyncio.Protocol):
    """Carries one request at a time.

    `accepts(answer)` tells the request's own answer from one that was left
    over from an earlier request on the connection.
    """

    __slots__ = (
        '_accepts',
        '_response_head',
        '_closed',
        '_loop',
        '_parser',
        '_body_parts',
        '_request',
        '_body_size',
        '_skipped',
        '_transport',
        '_waiter',
        'created_at',
        'idle_limit_s',
        'idle_since',
        'uses',
    )

    def __init__(self, loop, now):
        self._loop = loop
        self._transport = None
        self._parser = None
        self._waiter = None
        self._closed = False
        self._accepts = None
        self._request = None
        self._response_head = None
        self._body_parts = []
        self._body_size = 0
        self._skipped = 0
        self.created_at = now
        self.idle_since = now
        self.idle_limit_s = None
        self.uses = 0

    @property
    def is_open(self):
        """Whether the connection can carry another request."""
        return not self._closed

    @property
    def is_reused(self):
        """Whether it has carried an earlier request."""
        return self.uses > 1

    def connection_made(self, transport):
        """Set the socket's limits."""
        self._transport = transport
        self.get_socket().setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_LIMIT_MS,
        )

    def get_socket(self):
        """Return the socket, to set further options."""
        return self._transport.get_extra_info('socket')

    async def exchange(self, request, body, accepts=None):
        """Send an h11 request and return the whole `HttpResponse`.

        Raises `ConnectionBroken`. Cancelling closes the connection.
        """
        self.uses += 1
        self._accepts = accepts
        self._request = request
        self._skipped = 0
        self._waiter = self._loop.create_future()
        self._start_parser()
        data = [self._parser.send(request)]
        if body:
            data.append(self._parser.send(h11.Data(data=body)))
        data.append(self._parser.send(h11.EndOfMessage()))
        if self._closed:
            raise ConnectionBroken('closed before the request', False)
        self._transport.writelines(data)
        try:
            return await self._waiter
        except BaseException:
            self.close()
            raise
        finally:
            self._waiter = None

    def _start_parser(self):
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_READ_BYTES
        )
        self._response_head = None
        self._body_parts = []
        self._body_size = 0

    def data_received(self, data):
        """Take bytes; outside of a request they end the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._feed(data)

    def eof_received(self):
        """The target ended its side; that may end an answer."""
        if self._waiter is not None and not self._waiter.done():
            self._feed(b'')
        return False

    def connection_lost(self, error):
        """Fail the request that waits."""
        self._closed = True
        if self._waiter is not None and not self._waiter.done():
            self._fail(f'connection lost: {error!r}')

    def _feed(self, data):
        try:
            self._parser.receive_data(data)
            while self._handle_event(self._parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(f'answer is malformed or cut: {error}')

    def _handle_event(self, event):
        match event:
            case h11.Response():
                self._response_head = event
            case h11.Data():
                self._body_parts.append(bytes(event.data))
                self._body_size += len(event.data)
                if self._body_size > MAX_RESPONSE_BYTES:
                    self._fail('answer is too long')
                    return False
            case h11.EndOfMessage():
                self._complete_response()
                return False
            case h11.InformationalResponse():
                pass
            case h11.ConnectionClosed():
                self._fail('closed before the answer')
                return False
            case _:
                return False
        return True

    def _complete_response(self):
        answer = HttpResponse(
            self._response_head.status_code,
            list(self._response_head.headers),
            b''.join(self._body_parts),
        )
        rest, at_end = self._parser.trailing_data
        if self._accepts is not None and not self._accepts(answer):
            self._skip_response(rest, at_end)
            return
        is_clean = (
            not rest
            and not at_end
            and self._parser.their_state is h11.DONE
            and self._transport.get_write_buffer_size() == 0
        )
        if not is_clean:
            self.close()
        self._waiter.set_result(answer)

    def _skip_response(self, rest, at_end):
        """Wait for the next answer after one of an earlier request."""
        self._skipped += 1
        if (
            at_end
            or self._skipped > MAX_SKIPPED_RESPONSES
            or not self.is_reused
        ):
            self._fail('answer belongs to another request')
            return
        keeps_open = self._parser.their_state is h11.DONE
        if not keeps_open:
            self._fail('connection ended with a foreign answer')
            return
        self._start_parser()
        self._parser.send(self._request)
        if rest:
            self._feed(rest)

    def _fail(self, detail):
        began = self._response_head is not None
        self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(ConnectionBroken(detail, began))

    def close(self):
        """Close at once; a target cancels what it runs."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()


async def open_connection(address, port, now, timeout_s):
    """Return a new `HttpConnection`; raises `ConnectError`."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(loop, now), address, port
            )
    except (TimeoutError, OSError) as error:
        raise ConnectError(f'{address}:{port}: {error!r}') from error
    return connection
