"""A faulty server as a process: its answers have a body without end.

    python3 -m review.common.endless ADDRESS INSTANCE {endless,sound}

It writes its address to standard output, then a line for each event with the
time of the monotonic clock. With `sound` it answers like any other server.
"""

import asyncio
import sys
import time

from . import servers

# The body is sent in chunks of one byte, until the caller closes.
CHUNK = b'1\r\nx\r\n'
CHUNKS_PER_WRITE = 10_000


class _Output:
    """Stands for the record: writes lines to standard output."""

    def now(self):
        """Return the time of the monotonic clock."""
        return time.monotonic()

    def add(self, text):
        """Write a line."""
        sys.stdout.write(f'{time.monotonic():.6f} {text}\n')
        sys.stdout.flush()


class EndlessServer(servers.Server):
    """Sends the head of an answer and then chunks until the caller closes."""

    async def respond(self, reader, writer, arrival, body):
        """Send without end."""
        writer.write(
            b'HTTP/1.1 200 OK\r\n'
            b'X-Lavenderstile-Attempt-Id: '
            + arrival.request_id.encode()
            + b'\r\nX-Lavenderstile-Server-Signature: s.1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        part = CHUNK * CHUNKS_PER_WRITE
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()
        raise ConnectionResetError


async def _main(address, instance, mode):
    kind = EndlessServer if mode == 'endless' else servers.Server
    server = kind(instance, _Output())
    await server.start(address)
    sys.stdout.write(f'{server.address}\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_main(*sys.argv[1:]))
