"""One connection of a client: framing, requests, responses, limits."""

import asyncio
import socket
import traceback

import eliot
import h11

from .. import http_client
from . import heads
from . import limits as limits_module
from . import response_output

# TCP_USER_TIMEOUT: a connection whose bytes stay unacknowledged for this long
# is closed.
UNACKNOWLEDGED_LIMIT_MS = 8000

# After an early error response the remaining request bytes are discarded for
# this long, because closing with unread bytes would reset the connection
# before the caller reads the response.
LINGER_S = 1.0

# Time between two checks whether the caller of a paused connection has left,
# because a paused transport does not notice it.
PEER_CHECK_S = 0.2

# Socket option value: the first byte of the kernel's `tcp_info` is the state.
_TCP_ESTABLISHED = 1

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


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller; its requests run one at a time, in order.

    While a request runs or the caller does not read its response, bytes are
    read ahead up to a limit, and no further request begins.
    """

    __slots__ = (
        '_ahead',
        '_body',
        '_closes_when_sent',
        '_holds_next',
        '_is_counted',
        '_is_lost',
        '_is_refused',
        '_linger_until',
        '_output',
        '_parser',
        '_peer_check',
        '_read_at',
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
        self._output = None
        self._is_refused = False
        self._is_lost = False
        self._closes_when_sent = False
        # Whether the next request waits until the caller reads the response.
        self._holds_next = False
        self._peer_check = None
        self._linger_until = None
        # Bytes received behind the current request.
        self._ahead = 0
        # Whether the host counts bytes of this connection.
        self._is_counted = False
        # Time at which the caller last read a part of a long response.
        self._read_at = 0.0
        self.request_started_at = None
        self.idle_since = None

    @property
    def is_idle(self):
        """Whether no request is being received or served."""
        return (
            self.request_started_at is None
            and self._task is None
            and not self._holds_next
        )

    @property
    def is_running(self):
        """Whether a request runs."""
        return self._task is not None

    @property
    def is_far_ahead(self):
        """Whether as much as allowed was read behind the current request."""
        return self._ahead >= limits_module.READ_AHEAD_BYTES

    @property
    def progress_at(self):
        """Time of the caller's last progress; its bytes do not count."""
        if self._holds_next:
            return max(self._read_at, self.idle_since)
        if self.request_started_at is not None:
            return self.request_started_at
        return self.idle_since

    @property
    def peer(self):
        """Address of the caller."""
        return self._transport.get_extra_info('peername')

    def connection_made(self, transport):
        """Set up the parser for a new connection."""
        self._transport = transport
        raw = transport.get_extra_info('socket')
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_LIMIT_MS,
        )
        self._output = response_output.ResponseOutput(
            transport, limits_module.UNSENT_BYTES
        )
        self.idle_since = self._server.now()
        self._server.add(self)

    def connection_lost(self, error):
        """Cancel the running request of a caller that has disconnected."""
        self._server.discard(self)
        self._forget()
        if self._task is not None:
            self._task.cancel()

    def get_buffer(self, size_hint):
        """Return the buffer for the next read; all connections share it."""
        return self._server.read_buffer

    def buffer_updated(self, count):
        """Parse bytes of the caller."""
        if self._is_refused:
            return
        if self._parser is None:
            self._parser = h11.Connection(
                h11.SERVER,
                max_incomplete_event_size=self._server.limits.header_bytes,
            )
        self._parser.receive_data(self._server.read_buffer[:count])
        if self._task is not None or self._holds_next:
            self._ahead += count
            self._count_held()
            self._update_reading()
            return
        if self.request_started_at is None:
            self.request_started_at = self._server.now()
        self._process_events()

    def pause_writing(self):
        """Hold further output until the caller reads."""
        self._output.pause()

    def resume_writing(self):
        """Go on with the output, then with the next request."""
        self._read_at = self._server.now()
        # The transport reports its end twice if it is closed from here.
        asyncio.get_running_loop().call_soon(self._resume_output)

    def _resume_output(self):
        if self._transport.is_closing():
            return
        self._output.resume()
        self._count_held()
        if self._is_lost:
            return
        if self._holds_next and not self._output.is_blocked:
            self._holds_next = False
            self._begin_next()

    def eof_received(self):
        """Close the connection; a half-close counts as a disconnect.

        A response that is being sent is sent to its end.
        """
        if self._holds_next:
            self._closes_when_sent = True
        return self._holds_next

    def _process_events(self):
        """Parse some of the received bytes; let other tasks run in between."""
        try:
            for _ in range(http_client.EVENTS_PER_STEP):
                if not self._handle_event(self._parser.next_event()):
                    self._update_reading()
                    return
                if self._is_refused:
                    return
            self._transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._process_more_events)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
        except heads.RequestError as error:
            self._refuse(error.status, str(error))

    def _process_more_events(self):
        if not (self._is_refused or self._transport.is_closing()):
            self._process_events()

    def _handle_event(self, event):
        match event:
            case h11.Request():
                self._request = heads.read_head(
                    event,
                    self._server.now(),
                    self._server.limits.header_bytes,
                )
                if self._request.head_memory > limits_module.SMALL_HEAD_BYTES:
                    self._server.bodies.add(self, self._request.head_memory)
                    if self._is_refused:
                        return True
                if self._parser.they_are_waiting_for_100_continue:
                    self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
            case h11.Data():
                self._append_body(event.data)
            case h11.EndOfMessage():
                self._request.body = self._body
                self._server.bodies.complete(self)
                self._ahead = len(self._parser.trailing_data[0])
                self._count_held()
                if self._is_lost:
                    return False
                loop = asyncio.get_running_loop()
                self._task = loop.create_task(self._run(self._request))
                return False
            case h11.ConnectionClosed():
                self._transport.close()
                return False
            case _:
                # The start of a head, or of the line before a chunk.
                self._ahead = len(self._parser.trailing_data[0])
                self._count_held()
                return False
        return True

    def _append_body(self, data):
        self._body += data
        if len(self._body) > self._server.limits.body_bytes:
            raise heads.RequestError(413, 'request body is too large')
        self._server.bodies.add(self, len(data))

    def refuse_request(self):
        """Refuse the incomplete request, as the host holds too many bytes."""
        self._refuse(503, 'request bodies exceed the buffer of the host')

    def _release_body(self):
        self._server.bodies.release(self)
        self._body = bytearray()

    def _count_held(self):
        """Let the host count the bytes read ahead and those not sent."""
        if self._transport.is_closing():
            return
        size = self._ahead + self._output.unsent
        if size or self._is_counted:
            self._is_counted = size > 0
            self._server.held.set_size(self, size)

    def _update_reading(self):
        """Read unless enough has been read behind the current request."""
        if (
            self._is_refused
            or not self.is_far_ahead
            or not (self._task is not None or self._holds_next)
        ):
            self._transport.resume_reading()
        elif self._transport.is_reading():
            self._transport.pause_reading()
            self._server.reports.record(
                'read_ahead', size=self._ahead, peer=self.peer
            )
            if self._peer_check is None:
                self._schedule_peer_check()

    def _schedule_peer_check(self):
        self._peer_check = asyncio.get_running_loop().call_later(
            PEER_CHECK_S, self._check_peer
        )

    def _check_peer(self):
        """Close a paused connection if its caller has left a request."""
        self._peer_check = None
        if self._transport.is_reading() or self._transport.is_closing():
            return
        if self._task is not None:
            raw = self._transport.get_extra_info('socket')
            state = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            if state[0] != _TCP_ESTABLISHED:
                self._transport.close()
                return
        self._schedule_peer_check()

    def give_up(self):
        """Close the connection at once, as a limit of the host is reached."""
        self._transport.abort()
        self._forget()

    def _forget(self):
        """Free what the connection holds, before its objects are collected.

        They refer to each other, so that they stay until the next collection.
        """
        self._is_refused = True
        self._is_lost = True
        self._parser = None
        self._release_body()
        self._output.drop()

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
        if self._is_lost:
            return
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
        self._count_held()
        if self._is_lost:
            return
        if self._parser.our_state is not h11.DONE or (
            self._parser.their_state is not h11.DONE
        ):
            self._closes_when_sent = True
        if not self._output.is_blocked:
            self._begin_next()
            return
        self._holds_next = True
        if self._ahead and not self._closes_when_sent:
            self._server.reports.record(
                'unsent', size=self._output.unsent, peer=self.peer
            )

    def _begin_next(self):
        """Process the next request; its first bytes may have been read."""
        if self._closes_when_sent:
            self._transport.close()
            return
        self._parser.start_next_cycle()
        if self._ahead:
            self.request_started_at = self._server.now()
        self._process_events()

    def _send(self, *events):
        parts = []
        for event in events:
            if isinstance(event, bytes):
                if not event:
                    continue
                event = h11.Data(data=event)
            parts.append(self._parser.send(event))
        self._output.write(parts)

    def _refuse(self, status, detail):
        """Send an error response before the request is complete, and close."""
        self._is_refused = True
        self._release_body()
        self._ahead = 0
        self._count_held()
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
        # It may hold the rest of a read, which is discarded.
        self._parser = None
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger_until = self._server.now() + LINGER_S

    def enforce_timeouts(self, now, limits):
        """Close or refuse if a time limit of the connection has passed."""
        if self._is_counted:
            self._count_held()
        if self._is_lost:
            return
        if self._linger_until is not None:
            if now >= self._linger_until:
                self._transport.abort()
        elif self._task is not None or self._holds_next:
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
