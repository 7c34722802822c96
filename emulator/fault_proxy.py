"""A loopback TCP proxy that injects faults between two programs."""

import asyncio
import contextlib
import enum
import socket

READ_BYTES = 65536

# Delay of each read of up to READ_BYTES in the mode DELAY.
DELAY_S = 0.2

# Connections that fill the queue of a listener with a backlog of 0.
QUEUE_FILLERS = 2


class Mode(enum.Enum):
    """How the proxy handles data on open and new connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Data in one direction is dropped silently.
    DROP_TO_SERVER = 'cut-forth'
    DROP_TO_CLIENT = 'cut-back'
    SILENT = 'silent'


def _bind(address):
    """Return a socket at an address that sockets of this function share.

    The kernel gives such a port to no other socket: not to one that binds to
    port 0 or connects, nor to one without this option.
    """
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind(address)
    return bound


class FaultProxy:
    """Forwards connections to one address, according to its mode.

    Silenced connections drop all data until they are closed, like
    connections whose state a middlebox has lost. New connections follow the
    mode.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.mode = Mode.PASS
        self._server_address = host, int(port)
        self._listener = None
        self._is_accepting = False
        self._hanging_sockets = []
        # Bound and not listening; keeps the port while the proxy refuses.
        self._reservation = None
        self._listen_address = None
        self._connections = set()
        self._silenced = set()

    async def _serve(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
        except OSError:
            writer.transport.abort()
            return
        connection = (writer, server_writer)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(
                        connection, reader, server_writer, Mode.DROP_TO_SERVER
                    )
                )
                group.create_task(
                    self._forward(
                        connection, server_reader, writer, Mode.DROP_TO_CLIENT
                    )
                )
        except* (ConnectionError, OSError):
            pass
        finally:
            self._connections.discard(connection)
            self._silenced.discard(connection)
            for side in connection:
                side.transport.abort()

    async def _forward(self, connection, reader, writer, drop_mode):
        while data := await reader.read(READ_BYTES):
            if connection in self._silenced or self.mode in (
                drop_mode,
                Mode.SILENT,
            ):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if connection not in self._silenced and self.mode is not Mode.SILENT:
            # Ends both directions, so that the other side sees the close.
            raise ConnectionResetError

    def reset(self):
        """Reset all open connections."""
        for connection in list(self._connections):
            for side in connection:
                side.transport.abort()

    def silence(self):
        """Drop all further data of open connections; new ones work."""
        self._silenced.update(self._connections)

    @property
    def connection_count(self):
        """Number of open connections."""
        return len(self._connections)

    def hang(self):
        """Let open connections and attempts at new ones hang."""
        self.mode = Mode.SILENT
        self.refuse()
        listener = _bind(self._listen_address)
        self._hanging_sockets.append(listener)
        listener.listen(0)
        # When its queue is full, the kernel drops further attempts.
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            self._hanging_sockets.append(filler)
            filler.setblocking(False)
            filler.connect_ex(self._listen_address)

    def refuse(self):
        """Refuse new connections; open ones live on."""
        self._is_accepting = False
        self._listener.close()

    async def accept_again(self):
        """Accept new connections again, at the same address.

        A second listener would go on accepting after a refusal.
        """
        if self._is_accepting:
            return
        self._is_accepting = True
        self._listener = await asyncio.start_server(
            self._serve, sock=_bind(self._listen_address)
        )
        if not self._is_accepting:
            self._listener.close()

    @contextlib.asynccontextmanager
    async def serve(self):
        """Serve inside the running event loop; yield the address."""
        self._reservation = _bind(('127.0.0.1', 0))
        host, port = self._listen_address = self._reservation.getsockname()
        await self.accept_again()
        try:
            yield f'{host}:{port}'
        finally:
            self._listener.close()
            for bound in (*self._hanging_sockets, self._reservation):
                bound.close()
            self.reset()
            await asyncio.sleep(0)
