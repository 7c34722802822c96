"""Stand-in for a server, as the platform's pages describe it."""

import asyncio
import contextlib
import dataclasses


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that a server got; `ran` unless it was rejected."""

    request_id: str
    machine: str
    at: float
    ran: bool = True
    ended: bool = False


def render(request_id, status=200, body=b'ok', headers=()):
    """Return the bytes of a server's signed answer."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'Content-Length: {len(body)}',
        f'X-Lavenderstile-Attempt-Id: {request_id}',
        'X-Lavenderstile-Server-Signature: s.1',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def read_message(reader):
    """Return (first line, headers, body); headers are in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


class Server:
    """A server that works `work_s` on each request and then answers.

    It adds `extra_headers` to its answers and ends a run when its connection
    closes. `arrivals` has what it got.
    """

    def __init__(self, instance, record, work_s=0.25):
        self.instance = instance
        self.work_s = work_s
        self.extra_headers = []
        self.arrivals = []
        self.address = None
        self._record = record
        self._server = None
        self._writers = set()

    async def respond(self, reader, writer, arrival, body):
        """Work on a request and answer it."""
        run = asyncio.ensure_future(asyncio.sleep(self.work_s))
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait(
            (run, closed), return_when=asyncio.FIRST_COMPLETED
        )
        if run not in done:
            run.cancel()
            raise ConnectionResetError
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        writer.write(
            render(arrival.request_id, headers=list(self.extra_headers))
        )
        await writer.drain()
        arrival.ended = True

    async def _handle(self, reader, writer):
        first, headers, body = await read_message(reader)
        request_id = headers.get('x-lavenderstile-attempt-id', '')
        expected = headers.get('x-lavenderstile-expected-instance')
        if expected not in (None, self.instance):
            writer.write(render(request_id, 421, b''))
            return
        machine = writer.get_extra_info('peername')[0]
        arrival = Arrival(request_id, machine, self._record.now())
        self.arrivals.append(arrival)
        path = first.split(' ')[1]
        self._record.add(f'{self.instance} runs {request_id} {path}')
        try:
            await self.respond(reader, writer, arrival, body)
        finally:
            outcome = 'ends' if arrival.ended else 'breaks off'
            self._record.add(f'{self.instance} {outcome} {request_id}')

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def start(self, address):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{address}:{port}'

    def crash(self):
        """Reset all connections and refuse new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self):
        """Listen again at the same address."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
