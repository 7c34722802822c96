"""Stand-in for a target that sends arbitrary bytes at any time."""

import asyncio
import contextlib
import socket
import struct

from tests.edge import edge_case

# Small, so that a long upload is still being written when a response arrives.
RECEIVE_BUFFER_BYTES = 32 * 1024


def make_response(status='200', body=b'', headers=(), version='1.1'):
    """Return a signed response; without a header for its length."""
    lines = [
        f'HTTP/{version} {status} X',
        'x-lavenderstile-attempt-id: try-1',
        'x-lavenderstile-server-signature: s.1',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def send_reset(writer):
    """Close a connection with a reset."""
    # Closing with SO_LINGER set to 0 seconds sends a reset.
    writer.transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


@contextlib.asynccontextmanager
async def serve(respond):
    """Serve `respond(head, reader, writer)`; yield the address.

    It is called for each request on a connection, with the bytes of its
    head, until the connection is closed.
    """
    writers = set()

    async def run(reader, writer):
        writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, asyncio.CancelledError, OSError
        ):
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                await respond(head, reader, writer)

    listener = socket.socket()
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    listener.bind(('127.0.0.1', 0))
    server = await asyncio.start_server(
        run, sock=listener, limit=RECEIVE_BUFFER_BYTES
    )
    host, port = listener.getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
        async with asyncio.timeout(edge_case.LIMIT_S):
            await server.wait_closed()
