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


def render(request_id, status=200, body=b'ok'):
    """Return the bytes of a server's signed answer."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'Content-Length: {len(body)}',
        f'X-Lavenderstile-Attempt-Id: {request_id}',
        'X-Lavenderstile-Server-Signature: s.1',
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


# Size of the pieces of a body that is sent or read at a limited rate.
PIECE_BYTES = 64 * 1024


async def read_message(reader, bytes_per_s=None):
    """Return (first line, headers, body); headers are in lower case.

    `bytes_per_s` limits the rate at which the body is read.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    if bytes_per_s is None:
        return first, headers, await reader.readexactly(size)
    parts = []
    while size:
        parts.append(await reader.readexactly(min(size, PIECE_BYTES)))
        size -= len(parts[-1])
        await asyncio.sleep(len(parts[-1]) / bytes_per_s)
    return first, headers, b''.join(parts)


class Server:
    """A server that works `work_s` on each request and then answers.

    It ends a run when its connection closes. It reads bodies at `bytes_per_s`,
    if that is set. `arrivals` has what it got.
    """

    def __init__(self, instance, record, work_s=0.25):
        self.instance = instance
        self.work_s = work_s
        self.bytes_per_s = None
        self.arrivals = []
        self.address = None
        self._record = record
        self._server = None

    def render_response(self, request_id):
        """Return the bytes of the answer to a request that has run."""
        return render(request_id)

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
        writer.write(self.render_response(arrival.request_id))
        await writer.drain()
        arrival.ended = True

    async def _handle(self, reader, writer):
        first, headers, body = await read_message(reader, self.bytes_per_s)
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
        try:
            while True:
                await self._handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    async def start(self, address):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{address}:{port}'
