"""Clients that pipeline requests and never read a response."""

import asyncio
import contextlib
import socket

# Small, so that unread responses soon stay at the server.
RECEIVE_BUFFER_BYTES = 4096

PIECE_BYTES = 64 * 1024


class UnreadSenders:
    """Connections that send the same bytes and read nothing."""

    def __init__(self, address, data):
        self._address = address
        self._data = data
        self._sent = 0
        self._sockets = []
        self._tasks = []

    @property
    def sent_bytes(self):
        """Bytes that all connections together have sent."""
        return self._sent

    def start(self, count):
        """Open connections and send on them in the background."""
        for _ in range(count):
            client = socket.socket()
            client.setblocking(False)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._sockets.append(client)
            self._tasks.append(asyncio.create_task(self._send(client)))

    async def _send(self, client):
        loop = asyncio.get_running_loop()
        view = memoryview(self._data)
        # The server may close the connection.
        with contextlib.suppress(ConnectionError):
            await loop.sock_connect(client, self._address)
            for start in range(0, len(view), PIECE_BYTES):
                piece = view[start : start + PIECE_BYTES]
                await loop.sock_sendall(client, piece)
                self._sent += len(piece)

    async def stop(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()


@contextlib.asynccontextmanager
async def run_senders(address, data, count):
    """Start senders; yield them; close their connections at the end."""
    senders = UnreadSenders(address, data)
    try:
        senders.start(count)
        yield senders
    finally:
        await senders.stop()
