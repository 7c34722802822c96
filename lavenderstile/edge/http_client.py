"""HTTP/1.1 client connections to targets and to the registry."""

import asyncio
import fcntl
import socket
import struct
import termios

import eliot
import h11

from . import response_memory

# TCP_USER_TIMEOUT: a connection whose bytes stay unacknowledged for this long
# is closed. Also detects a silent connection while new ones still work.
UNACKNOWLEDGED_LIMIT_MS = 1000

# A target may pause its reading while it works, and bytes that it has no room
# for stay unacknowledged as well. Smaller bodies fit into its receive buffer;
# larger ones get the time of the whole exchange.
SMALL_BODY_BYTES = 8 * 1024

# Larger responses fail the request, to bound the host's memory use.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024

# Stale responses to earlier requests that are skipped during one request.
MAX_SKIPPED_RESPONSES = 4

# Informational (1xx) responses before the response itself. A target that sends
# them without end would otherwise keep the event loop busy.
MAX_INFORMATIONAL_RESPONSES = 8

# A body may have so many chunks, and one more for each of these bytes. A
# target that sends tiny ones without end would take most of the processor.
MAX_SMALL_CHUNKS = 4096
MEAN_CHUNK_BYTES = 16

# Largest status code of a response (RFC 9110, section 15). The parser accepts
# codes up to 999.
MAX_STATUS = 599

# Interval at which a request's unacknowledged bytes are looked up. The kernel
# gives no notice when they have become none.
ACKNOWLEDGEMENT_POLL_S = 0.005

# Events of the parser in one step of the event loop. One read can hold tens of
# thousands of chunks, and many targets may send such bodies at once.
EVENTS_PER_STEP = 32

_READ_BYTES = 64 * 1024

# A longer body is written in pieces of this size, as the target reads them.
_PIECE_BYTES = 64 * 1024

# After a stall of the event loop a connect that has timed out may be complete;
# it gets this time to be noticed.
STALL_GRACE_S = 0.02


class ConnectError(Exception):
    """No connection was established, so nothing was sent."""


class ConnectionBroken(Exception):
    """The connection failed before the end of the response.

    The request may have run. `response_started` is true if the header of a
    response was received, `peer_closed` if the other side ended or reset the
    connection while it had the request.
    """

    def __init__(self, detail, response_started, peer_closed=False):
        super().__init__(detail)
        self.response_started = response_started
        self.peer_closed = peer_closed


class HttpResponse:
    """A complete response; `headers` are pairs of bytes."""

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def _ignore():
    """Do nothing."""


def _has_ignored_body(head):
    """Return whether a response announces a body that its status excludes.

    If the target sends it nevertheless, it must not be read as the response
    to the next request.
    """
    return head.status_code in (204, 304) and any(
        name == b'transfer-encoding'
        or (name == b'content-length' and int(value) > 0)
        for name, value in head.headers
    )


class HttpConnection(asyncio.Protocol):
    """Carries one request at a time.

    `accepts(response)` returns whether a response belongs to the request, and
    not to an earlier one on the connection.
    """

    __slots__ = (
        '_accepts',
        '_response_head',
        '_closed',
        '_informational',
        '_is_ending',
        '_is_sent',
        '_loop',
        '_memory',
        '_on_progress',
        '_parser',
        '_body_parts',
        '_chunks',
        '_is_at_end',
        '_request',
        '_body_size',
        '_resumed',
        '_skipped',
        '_transport',
        '_waiter',
        'created_at',
        'idle_limit_s',
        'idle_since',
        'uses',
    )

    def __init__(self, loop, now, memory):
        self._loop = loop
        self._memory = memory
        self._transport = None
        self._parser = None
        self._waiter = None
        self._closed = False
        self._accepts = None
        self._on_progress = _ignore
        self._request = None
        self._response_head = None
        self._body_parts = []
        self._body_size = 0
        self._chunks = 0
        self._informational = 0
        self._is_at_end = False
        self._is_ending = False
        self._is_sent = True
        self._resumed = None
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
        """Whether the connection has carried an earlier request."""
        return self.uses > 1

    def connection_made(self, transport):
        """Set the time-out for unacknowledged bytes."""
        self._transport = transport
        self._limit_unacknowledged(UNACKNOWLEDGED_LIMIT_MS)

    def _limit_unacknowledged(self, limit_ms):
        self.get_socket().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms
        )

    def get_socket(self):
        """Return the socket, for further options."""
        return self._transport.get_extra_info('socket')

    async def exchange(
        self, request, body, accepts=None, limit_s=0.0, on_progress=None
    ):
        """Send an h11 request and return the complete `HttpResponse`.

        `limit_s` is the time that the caller of this method allows for it.
        `on_progress()` is called when bytes of the response arrive. Raises
        `ConnectionBroken`. Cancelling closes the connection.
        """
        self.uses += 1
        self._accepts = accepts
        self._on_progress = on_progress or _ignore
        self._request = request
        self._skipped = 0
        self._waiter = self._loop.create_future()
        self._start_parser()
        head = self._parser.send(request)
        if self._closed:
            raise ConnectionBroken(
                'connection closed before the request', False
            )
        is_large = len(body) > SMALL_BODY_BYTES
        try:
            if is_large:
                self._limit_unacknowledged(
                    max(UNACKNOWLEDGED_LIMIT_MS, int(limit_s * 1000))
                )
            await self._send(head, body)
            response = await self._waiter
            if is_large and not self._closed:
                self._limit_unacknowledged(UNACKNOWLEDGED_LIMIT_MS)
            return response
        except BaseException:
            self.close()
            raise
        finally:
            self._waiter = None

    async def _send(self, head, body):
        """Write a request; return early if its response is complete.

        A body that the target reads slowly would otherwise be held several
        times: the transport copies what it can't send.
        """
        if len(body) <= _PIECE_BYTES:
            self._transport.write(head + body)
            return
        self._is_sent = False
        self._transport.write(head)
        rest = memoryview(body)
        while rest and not self._waiter.done():
            if self._resumed is None:
                self._transport.write(rest[:_PIECE_BYTES])
                rest = rest[_PIECE_BYTES:]
            else:
                await asyncio.wait(
                    (self._waiter, self._resumed),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        self._is_sent = not rest

    def pause_writing(self):
        """Hold back the rest of a body until the transport has room."""
        self._resumed = self._loop.create_future()

    def resume_writing(self):
        """Send the rest of a body."""
        self._resumed.set_result(None)
        self._resumed = None

    def _start_parser(self):
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_READ_BYTES
        )
        self._response_head = None
        self._informational = 0
        self._clear_body()

    def _clear_body(self):
        self._body_parts = []
        self._chunks = 0
        self._body_size = 0
        self._memory.release(self)

    def data_received(self, data):
        """Parse bytes; without a request in flight, close the connection."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._on_progress()
        self._feed(data)

    def eof_received(self):
        """Parse the end of the stream, which may end a response."""
        self._is_at_end = True
        if self._waiter is not None and not self._waiter.done():
            self._feed(b'')
        return self._is_ending

    def connection_lost(self, error):
        """Fail the request in flight."""
        self._closed = True
        self._clear_body()
        if self._waiter is not None and not self._waiter.done():
            # Without an acknowledgement in time the kernel gives up itself.
            peer_closed = not isinstance(error, TimeoutError)
            self.give_up(f'connection lost: {error!r}', peer_closed)

    def _feed(self, data):
        self._parser.receive_data(data)
        self._parse()

    def _parse(self):
        """Parse some of the received bytes; let other tasks run in between."""
        try:
            for _ in range(EVENTS_PER_STEP):
                event = self._parser.next_event()
                if not self._handle_event(event) or self._closed:
                    self._transport.resume_reading()
                    return
        except h11.RemoteProtocolError as error:
            self.give_up(
                f'response is malformed or truncated: {error}',
                peer_closed=self._is_at_end,
            )
            return
        self._transport.pause_reading()
        self._loop.call_soon(self._parse_more)

    def _parse_more(self):
        if self._waiter is not None and not self._waiter.done():
            self._parse()

    def _handle_event(self, event):
        match event:
            case h11.Response():
                self._response_head = event
                if (
                    event.status_code > MAX_STATUS
                    or not event.http_version.startswith(b'1.')
                ):
                    self.give_up(
                        'response has an invalid status or version:'
                        f' {event.status_code},'
                        f' HTTP/{event.http_version.decode()}'
                    )
                    return False
            case h11.Data():
                return self._handle_data(bytes(event.data))
            case h11.EndOfMessage():
                if self._is_at_end:
                    self._complete_at_end()
                else:
                    self._complete_response()
                return False
            case h11.InformationalResponse():
                self._informational += 1
                if self._informational > MAX_INFORMATIONAL_RESPONSES:
                    self.give_up('too many informational responses')
                    return False
            case h11.ConnectionClosed():
                self.give_up('connection closed before the response', True)
                return False
            case _:
                return False
        return True

    def _handle_data(self, data):
        self._body_parts.append(data)
        self._body_size += len(data)
        if self._body_size > MAX_RESPONSE_BYTES:
            self.give_up('response is too large')
            return False
        self._chunks += 1
        allowed = MAX_SMALL_CHUNKS + self._body_size // MEAN_CHUNK_BYTES
        if self._chunks > allowed:
            self.give_up('response has too many small chunks')
            return False
        self._memory.add(self, len(data))
        return True

    def _count_pending_bytes(self):
        """Return the bytes of the request that the target has not received."""
        unsent = self._transport.get_write_buffer_size()
        try:
            found = fcntl.ioctl(
                self.get_socket().fileno(),
                termios.TIOCOUTQ,
                struct.pack('i', 0),
            )
        except OSError as error:
            eliot.log_message('pending_bytes_unknown', error=str(error))
            return unsent
        return unsent + struct.unpack('i', found)[0]

    def _complete_at_end(self):
        """Complete a response without a length, whose end is the stream's.

        A target may respond early and end only its own direction; it still
        acknowledges the request. If its process has ended or has closed the
        connection, the rest of the request is answered with a reset, and the
        response may be cut. A reset after the end reads as an orderly end;
        only the error of the socket shows it.
        """
        if self._waiter is None or self._waiter.done():
            return
        error = self.get_socket().getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        if error:
            self.give_up(f'connection reset in a response: {error}', True)
        elif self._is_sent and not self._count_pending_bytes():
            self._complete_response()
        else:
            self._is_ending = True
            self._loop.call_later(
                ACKNOWLEDGEMENT_POLL_S, self._complete_at_end
            )

    def _complete_response(self):
        response = HttpResponse(
            self._response_head.status_code,
            list(self._response_head.headers),
            b''.join(self._body_parts),
        )
        self._clear_body()
        trailing, at_eof = self._parser.trailing_data
        if self._accepts is not None and not self._accepts(response):
            self._skip_response(trailing, at_eof)
            return
        is_clean = (
            not trailing
            and not at_eof
            and self._parser.their_state is h11.DONE
            and self._is_sent
            and self._transport.get_write_buffer_size() == 0
            and not _has_ignored_body(self._response_head)
        )
        if not is_clean:
            self.close()
        self._waiter.set_result(response)

    def _skip_response(self, trailing, at_eof):
        """Skip the response to an earlier request and wait for the next."""
        self._skipped += 1
        if (
            at_eof
            or self._skipped > MAX_SKIPPED_RESPONSES
            or not self.is_reused
        ):
            self.give_up('response belongs to another request')
            return
        can_continue = self._parser.their_state is h11.DONE
        if not can_continue:
            self.give_up(
                'connection ended after the response to another request'
            )
            return
        self._start_parser()
        self._parser.send(self._request)
        if trailing:
            self._feed(trailing)

    def give_up(self, detail, peer_closed=False):
        """Fail the request in flight and close the connection."""
        response_started = self._response_head is not None
        self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ConnectionBroken(detail, response_started, peer_closed)
            )

    def close(self):
        """Close at once, so that the target cancels a running request."""
        self._closed = True
        self._clear_body()
        if self._transport is not None:
            self._transport.abort()


async def open_connection(address, port, now, timeout_s, memory=None):
    """Return a new `HttpConnection`; raises `ConnectError`.

    Connections with the same `memory` share its bound.
    """
    loop = asyncio.get_running_loop()
    memory = memory or response_memory.ResponseMemory()
    connecting = asyncio.ensure_future(
        loop.create_connection(
            lambda: HttpConnection(loop, now, memory), address, port
        )
    )
    try:
        for limit_s in (timeout_s, STALL_GRACE_S):
            done, _ = await asyncio.wait((connecting,), timeout=limit_s)
            if done:
                _, connection = connecting.result()
                return connection
        raise TimeoutError
    except (TimeoutError, OSError) as error:
        raise ConnectError(f'{address}:{port}: {error!r}') from error
    finally:
        connecting.cancel()
