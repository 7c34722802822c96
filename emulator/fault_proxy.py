"""A loopback proxy that misbehaves on command, between two programs."""

import asyncio
import contextlib
import enum

READ_BYTES = 65536

# Delay of each piece in the mode DELAY, in seconds.
DELAY_S = 0.2


class Mode(enum.Enum):
    """What happens to the bytes of open and new connections."""

    PASS = 'pass'
    DELAY = 'delay'
    # Bytes towards the server, or back, are dropped without notice.
    CUT_FORTH = 'cut-forth'
    CUT_BACK = 'cut-back'
    SILENT = 'silent'


class FaultProxy:
    """Forwards connections to one address, as its mode says.

    Connections that were silenced stay silent, as when something between
    two ends has lost track of them; new ones follow the mode.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self.mode = Mode.PASS
        self._target = host, int(port)
        self._links = set()
        self._silenced = set()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        link = (writer, far_writer)
        self._links.add(link)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(link, reader, far_writer, Mode.CUT_FORTH)
                )
                group.create_task(
                    self._pump(link, far_reader, writer, Mode.CUT_BACK)
                )
        except* (ConnectionError, OSError):
            pass
        finally:
            self._links.discard(link)
            self._silenced.discard(link)
            for end in link:
                end.transport.abort()

    async def _pump(self, link, reader, writer, cut):
        while data := await reader.read(READ_BYTES):
            if link in self._silenced or self.mode in (cut, Mode.SILENT):
                continue
            if self.mode is Mode.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if link not in self._silenced and self.mode is not Mode.SILENT:
            # The other side sees the end as well.
            raise ConnectionResetError

    def reset(self):
        """Reset all open connections."""
        for link in list(self._links):
            for end in link:
                end.transport.abort()

    def silence(self):
        """Silence all open connections for good; new ones work."""
        self._silenced.update(self._links)

    @contextlib.asynccontextmanager
    async def serve(self):
        """Serve inside the running loop; yield the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f'{host}:{port}'
        finally:
            server.close()
            self.reset()
            await asyncio.sleep(0)
