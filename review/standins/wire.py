"""HTTP/1.1 messages with a length, for the servers and clients here."""

import asyncio

MAX_HEAD_BYTES = 64 * 1024


class Message:
    """A request or a response; `first` is its first line."""

    __slots__ = ('body', 'first', 'headers')

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status code of a response."""
        return int(self.first.split(' ')[1])

    def get(self, name):
        """Return the value of a header, or an empty text."""
        return self.headers.get(name, '')


async def read_head(reader):
    """Return first line and headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError('message ends in its head') from None
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_message(reader):
    """Return a whole `Message`, or None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    return Message(first, headers, await read_body(reader, headers))


def render(first, headers, body=b''):
    """Return the bytes of a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'content-length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
