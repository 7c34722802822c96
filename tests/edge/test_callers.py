"""Tests of callers' connections: framing, time limits and shutdown."""

import asyncio
import itertools

from emulator import registered_target as standin
from emulator import registry_store
from lavenderstile.edge import http_client
from tests.edge import edge_case

HEAD = (
    b'POST /pay/1 HTTP/1.1\r\nHost: races.example\r\n'
    b'X-Lavenderstile-Attempt-Id: try-1\r\nAuthorization: Token key-1\r\n'
)


class DeadlineTest(edge_case.EdgeCase):
    """Guards against a deadline that ends the task which reads it."""

    DEADLINE = ('X-Lavenderstile-Deadline-Ms', '9' * 400)

    async def test_a_deadline_that_is_no_time_is_replaced(self):
        await self.add_target()
        status, _, _ = await self.request(
            '/read/1', extra_headers=[self.DEADLINE]
        )
        self.assertEqual(status, 200)

    async def test_time_limits_are_enforced_beside_it(self):
        async with self.connect() as caller:
            caller.writer.write(
                HEAD
                + f'{self.DEADLINE[0]}: {self.DEADLINE[1]}\r\n'.encode()
                + b'Content-Length: 9\r\n\r\n'
            )
            await self.wait_until(lambda: self.server.active_count)
            self.server.sweep()


class FramingTest(edge_case.EdgeCase):
    """Guards against request smuggling and malformed requests."""

    async def send_raw(self, data):
        """Send bytes; return all bytes that the host sends."""
        async with self.connect() as caller:
            caller.writer.write(data)
            return await caller.read_to_end()

    async def test_two_lengths_are_refused(self):
        target = await self.add_target()
        response = await self.send_raw(
            HEAD + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\nGET /read/1 HTTP/1.1\r\nHost: races.example\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)
        self.assertEqual(response.count(b'HTTP/1.1'), 1)
        self.assertEqual(target.seen, [])

    async def test_a_malformed_request_is_refused(self):
        response = await self.send_raw(b'NONSENSE\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)
        self.assertIn(b'not-run', response)

    async def test_two_keys_are_refused(self):
        target = await self.add_target()
        response = await self.send_raw(
            HEAD + b'Authorization: Token key-2\r\nConnection: close\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)
        self.assertEqual(target.seen, [])

    async def test_a_header_that_is_too_large_is_refused(self):
        response = await self.send_raw(
            HEAD + b'X-Long: ' + b'x' * 40_000 + b'\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 431'), response[:80])

    async def test_a_body_that_is_too_large_is_refused(self):
        response = await self.send_raw(
            HEAD + b'Content-Length: 2000000\r\n\r\n' + b'x' * 1_500_000
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 413'), response[:80])

    async def test_a_chunked_body_that_is_too_large_is_refused(self):
        """Guards against a reset before the caller has read the refusal.

        The host closes with a reset if it has stopped reading.
        """
        chunk = b'1000\r\n' + b'x' * 0x1000 + b'\r\n'
        data = HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + chunk * 1000
        async with self.connect() as caller:
            caller.writer.write(data)
            response = await caller.read_to_end()
            self.assertTrue(response.startswith(b'HTTP/1.1 413'), response)
            (connection,) = self.server._connections
            self.assertTrue(connection._transport.is_reading())

    async def test_a_chunked_body_is_joined(self):
        target = await self.add_target()
        response = await self.send_raw(
            HEAD + b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
            b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
        self.assertEqual(target.seen[0].body, b'abcde')

    async def test_small_chunks_do_not_occupy_the_event_loop(self):
        """Guards against a body whose parsing delays all other requests."""
        await self.add_target()
        body = b'1\r\nx\r\n' * 60_000 + b'0\r\n\r\n'
        sizes = [0]
        async with self.connect() as caller:
            caller.writer.write(
                HEAD
                + b'Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n'
                + body
            )
            reading = asyncio.create_task(caller.read_to_end())
            while not reading.done():
                await asyncio.sleep(0)
                sizes.append(self.server.bodies.size)
            response = await reading
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response[:80])
        self.assertEqual(max(sizes), 60_000)
        # Each chunk has one byte. Two steps may fall into one iteration.
        steps = [after - before for before, after in itertools.pairwise(sizes)]
        self.assertLessEqual(max(steps), 2 * http_client.EVENTS_PER_STEP)

    async def test_the_absolute_form_is_accepted(self):
        target = await self.add_target()
        response = await self.send_raw(
            b'GET http://RACES.example:80/read/1 HTTP/1.1\r\n'
            b'Host: races.example\r\nAuthorization: Token key-1\r\n'
            b'X-Lavenderstile-Attempt-Id: a\r\nConnection: close\r\n\r\n'
        )
        self.assertTrue(response.startswith(b'HTTP/1.1 200'), response)
        self.assertEqual(target.seen[0].path, '/read/1')

    async def test_a_tunnel_is_refused(self):
        """Guards against callers that make sound targets look silent.

        The response of a target to CONNECT never ends.
        """
        target = await self.add_target()
        async with self.connect() as caller:
            caller.writer.write(HEAD.replace(b'POST', b'CONNECT') + b'\r\n')
            async with asyncio.timeout(edge_case.LIMIT_S):
                head = await caller.reader.readuntil(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 405 '), head)
        self.assertEqual(target.seen, [])
        self.assertEqual(self.parts.reports.take()[0], [])

    async def test_pipelined_requests_are_answered_in_order(self):
        target = await self.add_target()
        async with self.connect() as caller:
            for number in range(3):
                caller.writer.write(
                    b'GET /read/%d HTTP/1.1\r\nHost: races.example\r\n'
                    b'X-Lavenderstile-Attempt-Id: a%d\r\n'
                    b'Authorization: Token key-1\r\n%s\r\n'
                    % (
                        number,
                        number,
                        b'Connection: close\r\n' if number == 2 else b'',
                    )
                )
            response = await caller.read_to_end()
        self.assertEqual(response.count(b'HTTP/1.1 200'), 3)
        paths = [seen.path for seen in target.seen]
        self.assertEqual(paths, ['/read/0', '/read/1', '/read/2'])

    async def test_expect_100_continue_is_answered(self):
        await self.add_target()
        async with self.connect() as caller:
            caller.writer.write(
                HEAD + b'Expect: 100-continue\r\nContent-Length: 3\r\n\r\n'
            )
            async with asyncio.timeout(edge_case.LIMIT_S):
                line = await caller.reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'100', line)
            caller.writer.write(b'abc')
            async with asyncio.timeout(edge_case.LIMIT_S):
                line = await caller.reader.readuntil(b'\r\n')
            self.assertIn(b'200', line)


class TimeLimitTest(edge_case.EdgeCase):
    """Guards against connections that stay open without progress."""

    def configure_limits(self, **limits):
        """Apply a configuration with other limits."""
        data = registry_store.describe_configuration(2)
        data['limits'].update(limits)
        self.configure(data)

    async def read_with_sweeps(self, caller):
        """Apply time limits until the host closes; return its bytes."""
        reading = asyncio.ensure_future(caller.read_to_end())
        while not reading.done():
            self.server.sweep()
            await asyncio.sleep(0.02)
        return reading.result()

    async def test_a_header_that_never_ends(self):
        self.configure_limits(headerTimeoutS=0.1)
        async with self.connect() as caller:
            caller.writer.write(HEAD)
            response = await self.read_with_sweeps(caller)
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)

    async def test_a_body_that_never_ends(self):
        target = await self.add_target()
        async with self.connect() as caller:
            caller.writer.write(
                HEAD + b'X-Lavenderstile-Deadline-Ms: 100\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n3\r\nab'
            )
            response = await self.read_with_sweeps(caller)
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)
        self.assertEqual(target.seen, [])

    async def test_an_idle_connection_is_closed(self):
        self.configure_limits(idleTimeoutS=0.1)
        async with self.connect() as caller:
            self.assertEqual(await self.read_with_sweeps(caller), b'')

    async def test_a_running_request_is_not_idle(self):
        self.configure_limits(idleTimeoutS=0.05, headerTimeoutS=0.05)
        target = await self.add_target(standin.hang)
        async with self.connect() as caller:
            caller.send('/pay/1', b'x')
            await self.wait_until(lambda: target.seen)
            await asyncio.sleep(0.2)
            self.server.sweep()
            self.assertEqual(self.server.open_count, 1)


class ShutdownTest(edge_case.EdgeCase):
    """Guards against a shutdown that cuts requests."""

    async def test_responses_during_a_shutdown_close_the_connection(self):
        await self.add_target()
        async with self.connect() as caller:
            self.assertEqual((await caller.request('/read/1'))[0], 200)
            self.server.is_stopping = True
            status, headers, _ = await caller.request('/read/2')
            self.assertEqual((status, headers['connection']), (200, 'close'))
            self.assertEqual(await caller.read_to_end(), b'')

    async def test_a_new_connection_stays_open_for_its_request(self):
        """Guards against a shutdown that cuts a request on its way."""
        await self.add_target()
        async with self.connect() as caller:
            await self.wait_until(lambda: self.server.open_count)
            self.server.close_idle(5.0)
            self.assertEqual((await caller.request('/read/1'))[0], 200)

    async def test_only_idle_connections_are_closed(self):
        target = await self.add_target(standin.hang)
        async with self.connect() as busy, self.connect() as idle:
            busy.send('/pay/1', b'x')
            await self.wait_until(lambda: target.seen)
            self.server.close_idle()
            self.assertEqual(await idle.read_to_end(), b'')
            self.assertEqual(self.server.active_count, 1)
