"""Stand-in for a server: slots, a short queue, idle and connection limits."""

import asyncio
import contextlib
import json
import time

from . import wire

HEARTBEAT_S = 1.5


class Server:
    """One server of a service; it registers itself in the store.

    `runs` has a tuple for each request that began to run: time, id of the
    attempt, method and path.
    """

    def __init__(
        self,
        instance,
        service,
        zone,
        slots=4,
        queue=16,
        max_connections=360,
        idle_s=10.0,
        work_s=0.05,
    ):
        self.instance = instance
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.runs = []
        self.resets = 0
        self.most_connections = 0
        self._slots = slots
        self._queue = queue
        self._max_connections = max_connections
        self._idle_s = idle_s
        self._free = asyncio.Semaphore(slots)
        self._pending = 0
        self._writers = set()
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.address = None
        self._store = None
        self._listener = None
        self._heartbeat = None

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._writers)

    def describe(self, state='ready'):
        """Return the next entry of the server in the store."""
        self._sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self._slots,
            'state': state,
            'warmupLeftS': 0,
            'seq': self._sequence,
            'born': self._born,
        }

    async def _serve(self, reader, writer):
        if len(self._writers) >= self._max_connections:
            self.resets += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        self.most_connections = max(self.most_connections, self.connections)
        try:
            while True:
                try:
                    async with asyncio.timeout(self._idle_s):
                        request = await wire.read_message(reader)
                except TimeoutError:
                    return
                if request is None:
                    return
                await self._handle(request, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer):
        """Answer a request; stop its work if the connection closes."""
        work = asyncio.ensure_future(self._run(request))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                raise ConnectionResetError
            status, headers, body = work.result()
        finally:
            work.cancel()
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await closed
        headers.append(('keep-alive', f'timeout={int(self._idle_s)}'))
        if self._get_id(request):
            headers.append(
                ('x-lavenderstile-attempt-id', self._get_id(request))
            )
        writer.write(wire.render(f'HTTP/1.1 {status} X', headers, body))
        await writer.drain()

    @staticmethod
    def _get_id(request):
        return request.get('x-lavenderstile-attempt-id')

    async def _run(self, request):
        expected = request.get('x-lavenderstile-expected-instance')
        if expected and expected != self.instance:
            return 421, [], b''
        not_run = [('x-lavenderstile-not-executed', '1')]
        if not self._get_id(request):
            return 400, not_run, b''
        if self._pending >= self._slots + self._queue:
            return 503, not_run, b''
        self._pending += 1
        try:
            async with self._free:
                return await self._work(request)
        finally:
            self._pending -= 1

    async def _work(self, request):
        method, path, _ = request.first.split(' ')
        self.runs.append(
            (time.monotonic(), self._get_id(request), method, path)
        )
        await asyncio.sleep(self.work_s)
        body = json.dumps({'by': self.instance, 'path': path}).encode()
        signed = [('x-lavenderstile-server-signature', self.instance)]
        return 200, signed, body

    async def _beat(self, store):
        while True:
            store.put(f'servers/{self.instance}', self.describe())
            await asyncio.sleep(HEARTBEAT_S)

    async def _start(self, port=0):
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=1024
        )
        address, port = self._listener.sockets[0].getsockname()
        self.address = f'{address}:{port}'
        self._heartbeat = asyncio.ensure_future(self._beat(self._store))

    def crash(self):
        """End as a killed process does: its connections are reset."""
        self._heartbeat.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self):
        """Start again after a crash, under the same id and address."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._free = asyncio.Semaphore(self._slots)
        self._pending = 0
        await self._start(int(self.address.rpartition(':')[2]))

    @contextlib.asynccontextmanager
    async def serve(self, store):
        """Serve and register inside the running event loop."""
        self._store = store
        await self._start()
        try:
            yield self
        finally:
            self.crash()
