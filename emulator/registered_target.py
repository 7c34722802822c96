"""Stand-in for a target of the users' platform, on raw sockets.

The next behaviour of a script handles each request; with an empty script the
target's default behaviour does, which is to send a success. Behaviours are
functions of (target, request, writer).
"""

import asyncio
import contextlib
import dataclasses

import h11

READ_BYTES = 65536


@dataclasses.dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request as the target received it."""

    method: str
    path: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        """The id of the caller's attempt."""
        return self.headers.get('x-lavenderstile-attempt-id', '')


def render(request_id, status=200, body=b'done', headers=()):
    """Return the bytes of a response signed by the target."""
    lines = [
        f'HTTP/1.1 {status} X',
        f'content-length: {len(body)}',
        f'x-lavenderstile-attempt-id: {request_id}',
        'x-lavenderstile-server-signature: s.1',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def answer(target, request, writer):
    """Run the request and send a success."""
    writer.write(render(request.request_id))


async def fail(target, request, writer):
    """Run the request and send a server error."""
    writer.write(render(request.request_id, 500, b'failed'))


async def leave(target, request, writer):
    """Run the request, send a success and say that the target leaves."""
    headers = ['server-leaving: 1']
    writer.write(render(request.request_id, headers=headers))


def make_unproved_refusal(status):
    """Return a behaviour that runs the request and sends a refusal.

    The refusal doesn't say that the request has not run.
    """

    async def refuse(target, request, writer):
        writer.write(render(request.request_id, status, b'failed'))

    return refuse


async def shed(target, request, writer):
    """Reject the request without running it."""
    headers = ['x-lavenderstile-not-executed: 1']
    writer.write(render(request.request_id, 503, b'', headers))


def make_shed_with_pause(pause_s):
    """Return a behaviour that rejects a request and asks for a pause."""

    async def shed_with_pause(target, request, writer):
        headers = [
            'x-lavenderstile-not-executed: 1',
            f'retry-after: {pause_s}',
        ]
        writer.write(render(request.request_id, 503, b'', headers))

    return shed_with_pause


async def misdirect(target, request, writer):
    """Reject the request because the address belongs to another target."""
    writer.write(render(request.request_id, 421, b''))


async def hang(target, request, writer):
    """Never respond."""
    await asyncio.Event().wait()


async def reset(target, request, writer):
    """Close the connection without a response."""
    writer.transport.abort()


async def truncate(target, request, writer):
    """Close the connection in the middle of the response."""
    writer.write(render(request.request_id, body=b'x' * 100)[:-50])
    writer.close()


async def answer_twice(target, request, writer):
    """Send a second response right after the first."""
    writer.write(render(request.request_id) * 2)


async def answer_crossed(target, request, writer):
    """Send a response to another request before the right one."""
    writer.write(render('someone-else', body=b'theirs'))
    writer.write(render(request.request_id))


async def answer_unsigned(target, request, writer):
    """Send a success without the signature of a target."""
    body = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'
    body += f'x-lavenderstile-attempt-id: {request.request_id}\r\n'.encode()
    writer.write(body + b'\r\nno')


# Behaviours that do not run the request.
NON_EXECUTING_BEHAVIOURS = frozenset((shed, misdirect))


class RegisteredTarget:
    """A target that records the requests it receives."""

    def __init__(self, script=()):
        self.script = list(script)
        self.behave = answer
        self.seen = []
        self.run_ids = []
        self.aborted = 0
        self._writers = set()
        self._server = None

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        parser = h11.Connection(h11.SERVER)
        try:
            while (request := await self._read(parser, reader)) is not None:
                self.seen.append(request)
                behaviour = self.script.pop(0) if self.script else self.behave
                if behaviour not in NON_EXECUTING_BEHAVIOURS:
                    self.run_ids.append(request.request_id)
                await self._run(behaviour, request, reader, writer)
                if writer.is_closing():
                    return
                parser = h11.Connection(h11.SERVER)
        except (ConnectionError, h11.RemoteProtocolError):
            self.aborted += 1
        except asyncio.CancelledError:
            # The test has ended; the connection task of the stream protocol
            # must not raise.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, behaviour, request, reader, writer):
        """Run a request until it ends or its connection is closed."""
        run = asyncio.ensure_future(behaviour(self, request, writer))
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
        await writer.drain()

    async def _read(self, parser, reader):
        request_head = None
        body = []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
                continue
            match event:
                case h11.Request():
                    request_head = event
                case h11.Data():
                    body.append(bytes(event.data))
                case h11.EndOfMessage():
                    headers = {
                        name.decode(): value.decode()
                        for name, value in request_head.headers
                    }
                    return SeenRequest(
                        request_head.method.decode(),
                        request_head.target.decode(),
                        headers,
                        b''.join(body),
                    )
                case _:
                    return None

    @contextlib.asynccontextmanager
    async def serve(self):
        """Serve inside the running event loop; yield the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f'{host}:{port}'
        finally:
            server.close()
            for writer in list(self._writers):
                writer.transport.abort()
            await asyncio.sleep(0)
