"""Stand-in for targets that violate HTTP as real servers cannot."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def serve_scripts(*scripts):
    """Serve scripts, one per connection; yield the address.

    A script is a list of byte strings. For each chunk of data that it
    receives, a connection sends the next of them. It closes after the last.
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
