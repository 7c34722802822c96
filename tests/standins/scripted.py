"""Stand-in for targets that break HTTP in ways that no server offers."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def serve_scripts(*scripts):
    """Serve scripts, one per connection; yield the address.

    A script is a list of bytes. A connection sends one element per chunk
    of data that it receives, then closes after the last one.
    """
    remaining = list(scripts)
    tasks = set()

    async def handle(reader, writer):
        tasks.add(asyncio.current_task())
        for chunk in remaining.pop(0):
            await reader.read(64 * 1024)
            writer.write(chunk)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
