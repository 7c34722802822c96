"""A process in front of the store that passes connections on or resets them.

    python3 -m review.common.gate ADDRESS STORE_HOST STORE_PORT

It writes its address to standard output. The lines `reset` and `pass` on
standard input change what it does; it ends with its standard input.
"""

import asyncio
import contextlib
import socket
import struct
import sys

BACKLOG = 256

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def _reset(connection):
    """Close a socket so that its other side gets a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    connection.close()


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.transport.abort()


class Gate:
    """The listener and the connections that are passed on."""

    def __init__(self, store_address):
        self._store_address = store_address
        self._passed = {}
        self._is_resetting = False

    def accept(self, listener):
        """Take a new connection."""
        connection, _ = listener.accept()
        if self._is_resetting:
            _reset(connection)
            return
        task = asyncio.ensure_future(self._pass_on(connection))
        self._passed[task] = connection
        task.add_done_callback(self._passed.pop)

    async def _pass_on(self, connection):
        reader, writer = await asyncio.open_connection(sock=connection)
        store_reader, store_writer = await asyncio.open_connection(
            *self._store_address
        )
        try:
            await asyncio.gather(
                _copy(reader, store_writer), _copy(store_reader, writer)
            )
        finally:
            writer.transport.abort()
            store_writer.transport.abort()

    def set_mode(self, mode):
        """Reset all connections, old and new, or pass new ones on."""
        self._is_resetting = mode == 'reset'
        if not self._is_resetting:
            return
        for task, connection in list(self._passed.items()):
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            task.cancel()


async def _main(address, store_host, store_port):
    gate = Gate((store_host, int(store_port)))
    with socket.socket() as listener:
        listener.setblocking(False)
        listener.bind((address, 0))
        listener.listen(BACKLOG)
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, gate.accept, listener)
        sys.stdout.write(f'{address}:{listener.getsockname()[1]}\n')
        sys.stdout.flush()
        lines = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(lines), sys.stdin
        )
        while line := await lines.readline():
            gate.set_mode(line.decode().strip())


class GateProcess:
    """A gate that runs as a process."""

    def __init__(self, process, address):
        self.address = address
        self._process = process

    async def set_mode(self, mode):
        """Set the mode to `reset` or `pass`."""
        self._process.stdin.write(f'{mode}\n'.encode())
        await self._process.stdin.drain()


@contextlib.asynccontextmanager
async def run_gate(address, store_address):
    """Start a gate; yield its `GateProcess`; end it."""
    host, _, port = store_address.rpartition(':')
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'review.common.gate',
        address,
        host,
        port,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await process.stdout.readline()
        yield GateProcess(process, line.decode().strip())
    finally:
        process.kill()
        await process.wait()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
