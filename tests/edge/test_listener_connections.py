"""Tests of connections whose clients send ahead, do not read, or trickle."""

import asyncio
import contextlib
import socket

from emulator import registered_target
from emulator import registry_store
from lavenderstile.edge import callers
from lavenderstile.edge.listeners import limits
from lavenderstile.edge.listeners import resources
from tests.edge import edge_case

REQUEST = (
    b'GET /read/%d HTTP/1.1\r\nHost: races.example\r\n'
    b'X-Lavenderstile-Attempt-Id: a\r\nAuthorization: Token key-1\r\n\r\n'
)
UNKNOWN = b'GET /none HTTP/1.1\r\nHost: races.example\r\n\r\n'
UPLOAD_HEAD = (
    b'POST /pay/1 HTTP/1.1\r\nHost: races.example\r\n'
    b'X-Lavenderstile-Attempt-Id: a\r\nAuthorization: Token key-1\r\n'
)

# A connection holds this much of what it reads ahead, and one more read.
KERNEL_BUFFER_BYTES = 16 * 1024
MOST_AHEAD = limits.READ_AHEAD_BYTES + limits.READ_BUFFER_BYTES


class ListenerCase(edge_case.EdgeCase):
    """Test case with a listener that has limits of its own."""

    LIMITS = limits.ListenerLimits(100)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server.stop_listening()
        self.resources = resources.ListenerResources(
            self.clock, self.LIMITS, self.parts.metrics
        )
        configured = self.server.limits
        self.server = callers.CallerServer(
            self.clock, self.handler, self.resources
        )
        self.server.limits = configured
        await self.server.start('127.0.0.1', 0)
        self.addCleanup(self.server.stop_listening)
        # Accepted sockets inherit the sizes. Small ones fill up soon.
        for listener in self.server._server.sockets:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                listener.setsockopt(
                    socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES
                )

    @contextlib.contextmanager
    def connect_raw(self, receive_bytes=4096):
        """Yield a socket that reads only what a test reads from it."""
        with socket.socket() as client:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES
            )
            client.setblocking(False)
            yield client

    async def send_until_blocked(self, client, data):
        """Connect, send until the host reads no more; return the count."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self.server.address)
        sent, idle_rounds = 0, 0
        while sent < len(data) and idle_rounds < 20:
            try:
                sent += client.send(data[sent : sent + 65536])
                idle_rounds = 0
            except BlockingIOError:
                idle_rounds += 1
            await asyncio.sleep(0.01)
        return sent

    def count_limit(self, limit):
        """Return how often a limit was reached."""
        body, _ = self.parts.metrics.render()
        prefix = f'lavenderstile_edge_listener_limits_total{{limit="{limit}"}}'
        for line in body.decode().splitlines():
            if line.startswith(prefix):
                return int(line.split()[-1])
        return 0


class ReadAheadTest(ListenerCase):
    """Guards against memory for requests behind one that runs."""

    async def test_reading_stops_at_the_limit(self):
        target = await self.add_target(registered_target.hang)
        data = REQUEST % 0 + UNKNOWN * 200_000
        with self.connect_raw() as client:
            sent = await self.send_until_blocked(client, data)
            self.assertLess(sent, len(data))
            self.assertLessEqual(self.resources.held.total, MOST_AHEAD)
            self.assertGreaterEqual(
                self.resources.held.total, limits.READ_AHEAD_BYTES
            )
            self.assertEqual(len(target.seen), 1)
            self.assertEqual(self.count_limit('read_ahead'), 1)

    async def test_a_caller_that_leaves_is_noticed_behind_the_limit(self):
        """Guards against work for a caller whose connection is not read."""
        target = await self.add_target(registered_target.hang)
        # The time limit of the request must not end it before this test does.
        data = registry_store.describe_configuration(2)
        for rule in data['listeners'][0]['rules']:
            rule['action']['timeoutS'] = 2 * edge_case.LIMIT_S
        self.configure(data)
        with self.connect_raw() as client:
            # As much as pauses the host, and no more, so that the end of the
            # connection reaches the host's kernel.
            data = REQUEST % 0 + b'x' * limits.READ_AHEAD_BYTES
            await self.send_until_blocked(client, data)
            await self.wait_until(lambda: target.seen)
            (connection,) = self.server._connections
            await self.wait_until(
                lambda: not connection._transport.is_reading()
            )
        async with asyncio.timeout(edge_case.LIMIT_S):
            await self.wait_until(lambda: target.aborted)
        await self.wait_until(lambda: not self.server.open_count)
        self.assertEqual(self.resources.held.total, 0)

    async def test_pipelined_uploads_are_served_in_order(self):
        """Guards against requests that are lost at the limit."""
        target = await self.add_target()
        body = b'y' * 100_000
        upload = UPLOAD_HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
        async with self.connect() as caller:
            caller.writer.write(upload * 5 + REQUEST % 5)
            for _ in range(6):
                async with asyncio.timeout(edge_case.LIMIT_S):
                    head = await caller.reader.readuntil(b'\r\n\r\n')
                self.assertTrue(head.startswith(b'HTTP/1.1 200'), head)
                length = head.lower().partition(b'content-length: ')[2]
                await caller.reader.readexactly(int(length.split()[0]))
        self.assertEqual(
            [len(r.body) for r in target.seen], [100_000] * 5 + [0]
        )
        self.assertEqual(self.resources.held.total, 0)
        self.assertEqual(self.resources.bodies.size, 0)


class UnreadResponseTest(ListenerCase):
    """Guards against memory for responses that a client does not read."""

    COUNT = 20_000

    async def test_requests_wait_until_the_client_reads(self):
        """Guards against lost or mixed responses, too."""
        with self.connect_raw() as client:
            sent = await self.send_until_blocked(client, UNKNOWN * self.COUNT)
            await self.wait_until(lambda: self.count_limit('unsent'))
            self.assertLess(sent, len(UNKNOWN) * self.COUNT)
            self.assertLessEqual(
                self.resources.held.total,
                MOST_AHEAD + limits.UNSENT_BYTES + 4096,
            )
            whole = sent // len(UNKNOWN)
            loop = asyncio.get_running_loop()
            received = bytearray()
            async with asyncio.timeout(60):
                while received.count(b'HTTP/1.1 404') < whole:
                    received += await loop.sock_recv(client, 1 << 20)
            self.assertEqual(received.count(b'HTTP/1.1'), whole)

    async def test_ordinary_requests_are_answered_meanwhile(self):
        await self.add_target()
        with self.connect_raw() as client:
            await self.send_until_blocked(client, UNKNOWN * self.COUNT)
            await self.wait_until(lambda: self.count_limit('unsent'))
            status, _, _ = await self.request('/read/1')
        self.assertEqual(status, 200)


class SlowReaderTest(ListenerCase):
    """Guards against long responses that a slow reader does not get whole."""

    BODY = bytes(range(256)) * (32 * 4096 - 16)

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def answer_at_length(target, request, writer):
            writer.write(
                registered_target.render(request.request_id, body=self.BODY)
            )
            await writer.drain()

        await self.add_target(answer_at_length)

    async def read_slowly(self, client):
        """Read to the end in pauses; return the body."""
        loop = asyncio.get_running_loop()
        received = bytearray()
        while piece := await loop.sock_recv(client, 1 << 20):
            received += piece
            await asyncio.sleep(0.002)
            self.server.sweep()
        return received.partition(b'\r\n\r\n')[2]

    async def check(self, after_request):
        """Send a request; check that its whole response arrives."""
        loop = asyncio.get_running_loop()
        request = REQUEST % 1
        request = request[:-2] + b'Connection: close\r\n\r\n'
        with self.connect_raw(65536) as client:
            await loop.sock_connect(client, self.server.address)
            await loop.sock_sendall(client, request)
            await self.wait_until(lambda: self.resources.held.total > 1 << 20)
            self.server.close_idle()
            after_request(client)
            async with asyncio.timeout(60):
                body = await self.read_slowly(client)
        self.assertEqual(len(body), len(self.BODY))
        self.assertEqual(body, self.BODY)
        await self.wait_until(lambda: not self.server.open_count)
        self.assertEqual(self.resources.held.total, 0)

    async def test_the_largest_response_arrives_whole(self):
        await self.check(lambda client: None)

    async def test_so_it_does_after_a_half_close(self):
        await self.check(lambda client: client.shutdown(socket.SHUT_WR))


class HeldBytesLimitTest(ListenerCase):
    """Guards against many connections that each stay below their limits."""

    LIMITS = limits.ListenerLimits(100, held_bytes=4 * MOST_AHEAD)

    async def test_the_host_closes_connections_at_its_limit(self):
        await self.add_target()
        seen = set()
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(12):
                client = stack.enter_context(self.connect_raw())
                with contextlib.suppress(ConnectionError):
                    await self.send_until_blocked(client, UNKNOWN * 60_000)
                self.assertLessEqual(
                    self.resources.held.total, self.LIMITS.held_bytes
                )
                seen |= self.server._connections
            self.assertGreaterEqual(self.count_limit('held_bytes'), 1)
            status, _, _ = await self.request('/read/1')
            # Closed connections must not keep their bytes until a collection.
            closed = seen - self.server._connections
            self.assertTrue(closed)
            self.assertEqual(
                {closed_one._parser for closed_one in closed}, {None}
            )
        self.assertEqual(status, 200)

    async def test_incomplete_heads_count(self):
        async with self.connect() as caller:
            caller.writer.write(b'GET / HTTP/1.1\r\nX-A: ' + b'x' * 9000)
            await self.wait_until(lambda: self.resources.held.total > 9000)
        await self.wait_until(lambda: not self.resources.held.total)


class BodyLimitTest(ListenerCase):
    """Guards against incomplete bodies that keep all requests out."""

    LIMITS = limits.ListenerLimits(100, body_bytes=600_000)

    async def send_part(self, stack, framing, part):
        """Send a part of a body on a new connection; return it."""
        caller = await stack.enter_async_context(self.connect())
        caller.writer.write(UPLOAD_HEAD + framing + b'\r\n' + part)
        await caller.writer.drain()
        return caller

    async def check(self, framing, part):
        """Fill the limit with incomplete bodies; send an ordinary request."""
        target = await self.add_target()
        async with contextlib.AsyncExitStack() as stack:
            stalled = [
                await self.send_part(stack, framing, part) for _ in range(10)
            ]
            await self.wait_until(lambda: self.count_limit('request_bodies'))
            self.assertLessEqual(self.resources.bodies.size, 600_000)
            status, _, _ = await self.request('/pay/2', b'z' * 50_000)
            self.assertEqual(status, 200)
            done = [
                asyncio.ensure_future(caller.read_to_end())
                for caller in stalled
            ]
            await self.wait_until(lambda: any(map(asyncio.Task.done, done)))
            for reading in done:
                if not reading.done():
                    reading.cancel()
                    continue
                self.assertTrue(reading.result().startswith(b'HTTP/1.1 503'))
                self.assertIn(b'not-run', reading.result())
        self.assertEqual(len(target.seen), 1)
        await self.wait_until(lambda: not self.resources.bodies.size)

    async def test_bodies_with_a_length(self):
        await self.check(b'Content-Length: 900000\r\n', b'x' * 100_000)

    async def test_chunked_bodies(self):
        await self.check(
            b'Transfer-Encoding: chunked\r\n',
            b'186a0\r\n' + b'x' * 100_000 + b'\r\n1',
        )

    async def test_heads_with_many_lines_count(self):
        """Guards against heads that take many times their size in memory."""
        async with contextlib.AsyncExitStack() as stack:
            framing = b'a:\r\n' * 1500 + b'Expect: 100-continue\r\n'
            framing += b'Content-Length: 9\r\n'
            for _ in range(3):
                await self.send_part(stack, framing, b'')
            await self.wait_until(lambda: self.count_limit('request_bodies'))
            self.assertLessEqual(self.resources.bodies.size, 600_000)


class ConnectionLimitTest(ListenerCase):
    """Guards against connections that leave no descriptors for others."""

    LIMITS = limits.ListenerLimits(8)

    async def check(self, data):
        """Open many connections; check that another one is served."""
        await self.add_target()
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(30):
                caller = await stack.enter_async_context(self.connect())
                caller.writer.write(data)
            await self.wait_until(
                lambda: self.count_limit('connections') >= 22
            )
            await self.wait_until(lambda: self.server.open_count <= 8)
            status, _, _ = await self.request('/read/1')
            self.assertEqual(status, 200)

    async def test_idle_connections_are_replaced(self):
        await self.check(b'')

    async def test_trickling_heads_are_replaced(self):
        await self.check(b'GET / HTTP/1.1\r\nX-A: x')

    async def test_trickling_bodies_are_replaced(self):
        await self.check(UPLOAD_HEAD + b'Content-Length: 9\r\n\r\nx')

    async def test_running_requests_are_kept(self):
        target = await self.add_target(*[registered_target.hang] * 9)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(4):
                caller = await stack.enter_async_context(self.connect())
                caller.send(f'/read/{number}')
            await self.wait_until(lambda: self.server.active_count == 4)
            for _ in range(8):
                await stack.enter_async_context(self.connect())
            await self.wait_until(lambda: self.count_limit('connections') >= 4)
            self.assertEqual(self.server.active_count, 4)
            self.assertEqual(target.aborted, 0)
