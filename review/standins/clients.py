"""Clients: one request on a new or on a kept connection."""

import asyncio
import secrets

from . import hosts
from . import wire


class Answer:
    """What a client got: a status, or the reason why it got none."""

    __slots__ = ('body', 'detail', 'headers', 'request_id', 'status')

    def __init__(self, request_id, status, detail='', headers=None, body=b''):
        self.request_id = request_id
        self.status = status
        self.detail = detail
        self.headers = headers or {}
        self.body = body

    def __str__(self):
        return f'{self.status or "none"} {self.detail}'.strip()


def make_request(
    path, key=None, method='GET', body=b'', deadline_ms=5000, headers=()
):
    """Return the id and the bytes of a request with the usual headers."""
    request_id = secrets.token_hex(8)
    lines = [
        ('host', 'shop.example'),
        ('x-lavenderstile-attempt-id', request_id),
        ('x-lavenderstile-deadline-ms', str(deadline_ms)),
        *headers,
    ]
    if key:
        lines.append(('authorization', f'Token {key}'))
    return request_id, wire.render(f'{method} {path} HTTP/1.1', lines, body)


async def send(address, path, limit_s=5.0, **options):
    """Send one request on a new connection; return the `Answer`."""
    deadline_ms = int(limit_s * 1000)
    request_id, data = make_request(path, deadline_ms=deadline_ms, **options)
    writer = None
    step = 'connect'
    try:
        async with asyncio.timeout(limit_s):
            # Clients allow a connection one second.
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    address, hosts.CALLER_PORT
                )
            step = 'response'
            writer.write(data)
            message = await wire.read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(request_id, 0, f'{step}: {type(error).__name__}')
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return Answer(request_id, 0, 'closed without a response')
    return Answer(
        request_id,
        message.status,
        message.body[:200].decode('latin-1'),
        message.headers,
        message.body,
    )


async def send_raw(address, data, limit_s=5.0):
    """Send bytes on a new connection; return the `Answer`."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                address, hosts.CALLER_PORT
            )
            try:
                writer.write(data)
                message = await wire.read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer('', 0, type(error).__name__)
    if message is None:
        return Answer('', 0, 'closed without a response')
    return Answer('', message.status, message.body[:200].decode('latin-1'))


async def read_status_line(address, data, limit_s=1.0):
    """Send bytes on a new connection; return the first line of the answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(
                address, hosts.CALLER_PORT
            )
            try:
                writer.write(data)
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    return line.decode('latin-1').strip() or 'closed without a response'
