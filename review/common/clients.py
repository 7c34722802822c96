"""Requesters: they send requests to hosts and record the answers."""

import asyncio
import contextlib
import dataclasses
import itertools

from . import servers
from . import store


@dataclasses.dataclass(slots=True)
class Sent:
    """A request and its answer; `status` is None if there was no answer.

    `is_closed` is set if the connection ended instead. While the request
    waits, `answered_at` is None.
    """

    request_id: str
    kind: str
    machine: str
    sent_at: float
    answered_at: float | None = None
    status: int | None = None
    is_closed: bool = False
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''


class Connection:
    """A kept connection of a requester to a host."""

    def __init__(self, host):
        self._host = host
        self._reader = None
        self._writer = None

    async def open(self):
        """Connect unless connected."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self._host
            )

    async def exchange(self, data, bytes_per_s=None):
        """Send a request; return status, headers and body.

        `bytes_per_s` limits the rate at which it is sent.
        """
        await self.open()
        piece_bytes = servers.PIECE_BYTES if bytes_per_s else len(data)
        for offset in range(0, len(data), piece_bytes):
            piece = data[offset : offset + piece_bytes]
            self._writer.write(piece)
            if bytes_per_s:
                await self._writer.drain()
                await asyncio.sleep(len(piece) / bytes_per_s)
        first, headers, body = await servers.read_message(self._reader)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), headers, body

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None


class Requesters:
    """All requesters of a run; their requests bear `key`, if there is one."""

    def __init__(self, record, key=store.KEY):
        self.sent = []
        self.record = record
        self._key = key
        self._numbers = itertools.count(1)

    def _render(self, request_id, kind, deadline_s, body):
        method = 'GET' if kind == 'read' else 'POST'
        lines = [
            f'{method} /{kind}/{request_id} HTTP/1.1',
            f'Host: {store.HOST_NAME}',
            f'X-Lavenderstile-Attempt-Id: {request_id}',
            f'X-Lavenderstile-Deadline-Ms: {deadline_s * 1000:.0f}',
        ]
        if self._key is not None:
            lines.append(f'Authorization: Token {self._key}')
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body

    async def send(
        self,
        host,
        kind,
        deadline_s,
        connection=None,
        body=b'x',
        bytes_per_s=None,
    ):
        """Send a request on a kept or a new connection; return its `Sent`.

        `bytes_per_s` limits the rate at which it is sent.
        """
        request_id = f'r-{next(self._numbers):05d}'
        sent = Sent(request_id, kind, host[0], self.record.now())
        self.sent.append(sent)
        self.record.add(f'client sends {request_id} {kind} to {host[0]}')
        own = connection is None
        connection = connection or Connection(host)
        data = self._render(
            request_id, kind, deadline_s, b'' if kind == 'read' else body
        )
        outcome = 'closed'
        try:
            async with asyncio.timeout(deadline_s):
                answer = await connection.exchange(data, bytes_per_s)
            sent.status, sent.headers, sent.body = answer
            outcome = str(sent.status)
        except TimeoutError:
            outcome = 'no answer within the time limit'
            connection.close()
        except (asyncio.IncompleteReadError, OSError) as error:
            sent.is_closed = True
            outcome = f'closed: {type(error).__name__}'
            connection.close()
        finally:
            if own:
                connection.close()
        sent.answered_at = self.record.now()
        self.record.add(f'client gets {request_id} {outcome}')
        return sent


@contextlib.asynccontextmanager
async def run_tasks():
    """Yield a list for tasks; cancel them at the end."""
    tasks = []
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
