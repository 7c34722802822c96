"""Stand-ins for targets that send bytes without end until the host closes.

    python -m emulator.endless_targets endless_body 50

The process writes the addresses of its targets to standard output, as a JSON
list in one line, and serves until it is killed. As a process of its own it
takes no time of the event loop of a host under test.
"""

import argparse
import asyncio
import contextlib
import sys

import msgspec

from . import registered_target

SIGNED_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'x-lavenderstile-attempt-id: try-1\r\n'
    b'x-lavenderstile-server-signature: s.1\r\n'
)


async def _send_endlessly(writer, start, part):
    writer.write(start)
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()


async def endless_chunks(target, request, writer):
    """Send a body in chunks without end."""
    chunk = b'10000\r\n' + b'x' * 0x10000 + b'\r\n'
    head = SIGNED_HEAD + b'transfer-encoding: chunked\r\n\r\n'
    await _send_endlessly(writer, head, chunk)


async def endless_small_chunks(target, request, writer):
    """Send a body in chunks of one byte without end."""
    head = SIGNED_HEAD + b'transfer-encoding: chunked\r\n\r\n'
    await _send_endlessly(writer, head, b'1\r\nx\r\n' * 10_000)


async def endless_body(target, request, writer):
    """Send a body without a length and without end."""
    await _send_endlessly(writer, SIGNED_HEAD + b'\r\n', b'x' * 0x10000)


async def endless_head(target, request, writer):
    """Send header lines without end."""
    await _send_endlessly(writer, SIGNED_HEAD, b'x-more: bytes\r\n' * 1000)


async def endless_line(target, request, writer):
    """Send a single header line without end."""
    await _send_endlessly(writer, SIGNED_HEAD + b'x-more: ', b'x' * 0x10000)


async def endless_informational(target, request, writer):
    """Send informational responses without end."""
    part = b'HTTP/1.1 102 Processing\r\n\r\n' * 500
    await _send_endlessly(writer, b'', part)


async def endless_garbage(target, request, writer):
    """Send bytes that are no response without end."""
    await _send_endlessly(writer, b'', b'\x00\xff' * 0x8000)


async def endless_empty_lines(target, request, writer):
    """Send empty lines in place of a response, without end."""
    await _send_endlessly(writer, b'', b'\r\n' * 0x8000)


BEHAVIOURS = {
    behaviour.__name__: behaviour
    for behaviour in (
        endless_chunks,
        endless_small_chunks,
        endless_body,
        endless_head,
        endless_line,
        endless_informational,
        endless_garbage,
        endless_empty_lines,
    )
}


async def serve(behaviour, count):
    """Serve targets until cancelled; write their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for _ in range(count):
            target = registered_target.RegisteredTarget()
            target.behave = behaviour
            address = await stack.enter_async_context(target.serve())
            addresses.append(address)
        sys.stdout.write(msgspec.json.encode(addresses).decode() + '\n')
        sys.stdout.flush()
        await asyncio.Event().wait()


def main():
    """Run the targets that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('behaviour', choices=BEHAVIOURS)
    parser.add_argument('count', type=int)
    arguments = parser.parse_args()
    asyncio.run(serve(BEHAVIOURS[arguments.behaviour], arguments.count))


if __name__ == '__main__':
    main()
