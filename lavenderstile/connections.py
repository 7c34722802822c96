"""One connection to a target.

Each is an httpx transport limited to one connection, so that the pool knows
its age and number of uses and can close it separately.
"""

import asyncio
import contextlib
import select
import socket
import ssl
import struct

import httpx

# Connections are closed at this age, because an open connection can stop
# delivering data for good while new ones work.
MAX_AGE_S = 60.0

# Below the keep-alive time-out of common servers (5 s): if the server closes
# the connection while a request is sent, the request may have run.
MAX_IDLE_S = 4.0

# Limits the bytes that a read can deliver at once, and so the memory that a
# response body takes; the kernel doubles this value.
RECEIVE_BUFFER_BYTES = 32 * 1024

# Limit for a response that is read whole.
MAX_SMALL_RESPONSE_BYTES = 16 * 1024

# Size of Linux's `struct tcp_info` up to and including `tcpi_bytes_received`,
# and the offset of that field.
_TCP_INFO_BYTES = 136
_BYTES_RECEIVED = struct.Struct('=Q')
_BYTES_RECEIVED_OFFSET = 128

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
)

# Targets are reached over plain TCP, so this context is never used. It is
# shared because httpx would otherwise load certificates for each transport,
# which takes milliseconds.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

_LIMITS = httpx.Limits(
    max_connections=1, max_keepalive_connections=1, keepalive_expiry=None
)


def make_transport():
    """Return an httpx transport limited to one connection."""
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
        '_received',
        '_socket',
        '_transport',
    )

    def __init__(self, now, number):
        self.created = now
        self.number = number
        self.last_used = now
        self.is_connected = False
        self.uses = 0
        self._received = None
        self._socket = None
        self._transport = make_transport()

    @property
    def is_reused(self):
        """Whether the connection has carried an earlier request."""
        return self.uses > 0

    def is_usable(self, now, max_idle_s):
        """Return whether an idle connection may carry a request.

        An idle connection that is readable was closed by the target or
        holds bytes that belong to no request.
        """
        return (
            now - self.created < MAX_AGE_S
            and now - self.last_used < max_idle_s
            and self._has_no_pending_input()
        )

    def _has_no_pending_input(self):
        if self._socket is None or self._socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    async def send(self, request):
        """Send a request and return the response, its body unread."""
        if self.is_connected:
            self._received = self._count_received()
        else:
            request.extensions['trace'] = self._trace
        return await self._transport.handle_async_request(request)

    async def _trace(self, name, info):
        if name == 'connection.connect_tcp.complete':
            stream = info['return_value']
            self._socket = stream.get_extra_info('socket')
            self.is_connected = True

    def has_received(self):
        """Return whether bytes arrived since the last request was sent.

        If none did, the response consists of bytes left over from an
        earlier response. Also true where the system does not count bytes.
        """
        return self._received is None or (
            self._count_received() != self._received
        )

    def _count_received(self):
        if self._socket.fileno() < 0:
            return None
        info = self._socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        if len(info) < _TCP_INFO_BYTES:
            return None
        return _BYTES_RECEIVED.unpack_from(info, _BYTES_RECEIVED_OFFSET)[0]

    async def close(self):
        """Close the connection, even if the calling task is cancelled."""
        await asyncio.shield(self._transport.aclose())


async def read_small(send, url, path):
    """Send a GET request; return status, raw headers and the whole body.

    `send` is a coroutine function that takes an httpx request and returns
    its response.
    """
    request = httpx.Request(
        'GET',
        url,
        headers=[(b'host', url.netloc), (b'accept', b'*/*')],
        stream=httpx.ByteStream(b''),
        extensions={'target': path},
    )
    response = await send(request)
    body = b''
    async with contextlib.aclosing(response.stream) as stream:
        async for chunk in stream:
            body += chunk
            if len(body) > MAX_SMALL_RESPONSE_BYTES:
                raise httpx.ReadError('response is too long')
    return response.status_code, response.headers.raw, body
