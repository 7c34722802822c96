"""Tests of HTTP connections to targets and to the registry."""

import asyncio
import socket
import struct
import time
import unittest

import h11

from emulator import registered_target as standin
from lavenderstile.edge import http_client
from tests.edge import edge_case


async def answer_until_close(target, request, writer):
    """Send a response without a length, and close the connection."""
    writer.write(b'HTTP/1.1 200 OK\r\n\r\nall of it')
    writer.write_eof()


async def answer_and_reset(target, request, writer):
    """Send half of a response without a length, and reset the connection."""
    writer.write(b'HTTP/1.1 200 OK\r\n\r\nhalf')
    await writer.drain()
    await asyncio.sleep(0.05)
    # Closing with SO_LINGER set to 0 seconds sends a reset.
    writer.transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against truncated responses that are taken for complete ones."""

    async def exchange(self, *script, requests=1):
        """Send requests on one connection; return it and the last response."""
        target = standin.RegisteredTarget(script)
        address = await self.enterAsyncContext(target.serve())
        host, _, port = address.rpartition(':')
        connection = await http_client.open_connection(
            host, int(port), 0.0, 1.0
        )
        request = h11.Request(
            method='GET', target='/x', headers=[('Host', 'a')]
        )
        for _ in range(requests):
            async with asyncio.timeout(edge_case.LIMIT_S):
                response = await connection.exchange(request, b'')
        return connection, response

    async def test_a_complete_response_keeps_the_connection_open(self):
        connection, response = await self.exchange(requests=3)
        self.assertEqual((response.status, response.body), (200, b'done'))
        self.assertTrue(connection.is_open)
        self.assertTrue(connection.is_reused)

    async def test_a_response_without_a_length_ends_with_the_connection(self):
        connection, response = await self.exchange(answer_until_close)
        self.assertEqual(response.body, b'all of it')
        self.assertFalse(connection.is_open)

    async def test_a_response_cut_by_a_reset_is_an_error(self):
        with self.assertRaises(http_client.ConnectionBroken) as caught:
            await self.exchange(answer_and_reset)
        self.assertTrue(caught.exception.response_started)

    async def test_a_reset_before_the_response(self):
        with self.assertRaises(http_client.ConnectionBroken) as caught:
            await self.exchange(standin.reset)
        self.assertFalse(caught.exception.response_started)

    async def test_bytes_after_the_response_close_the_connection(self):
        connection, response = await self.exchange(standin.answer_twice)
        self.assertEqual(response.body, b'done')
        await asyncio.sleep(0.05)
        self.assertFalse(connection.is_open)

    async def test_a_refused_connection(self):
        with self.assertRaises(http_client.ConnectError):
            await http_client.open_connection('127.0.0.1', 1, 0.0, 1.0)


class ConnectTest(unittest.IsolatedAsyncioTestCase):
    """Guards against targets that count as unreachable on a busy host.

    After a stall of the event loop the time limit of a connect expires in the
    same iteration in which the connection is found established.
    """

    TIMEOUT_S = 0.1
    STALL_S = 0.2

    async def test_a_stall_does_not_fail_an_established_connection(self):
        target = standin.RegisteredTarget()
        address = await self.enterAsyncContext(target.serve())
        host, _, port = address.rpartition(':')
        for iterations in range(1, 5):
            with self.subTest(iterations=iterations):
                connect = asyncio.create_task(
                    http_client.open_connection(
                        host, int(port), 0.0, self.TIMEOUT_S
                    )
                )
                for _ in range(iterations):
                    await asyncio.sleep(0)
                time.sleep(self.STALL_S)
                connection = await connect
                self.assertTrue(connection.is_open)
                connection.close()

    async def test_a_connect_without_an_answer_times_out(self):
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        # The queue of new connections is full, so that the next one hangs.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        with self.assertRaises(http_client.ConnectError):
            await http_client.open_connection(
                *listener.getsockname(), 0.0, self.TIMEOUT_S
            )


class LargeBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against uploads that are held several times or broken off."""

    BODY_BYTES = 16 * 1024 * 1024

    # What the transport may hold: its limit and one more piece.
    MAX_PENDING_BYTES = 192 * 1024

    # Longer than the time-out for unacknowledged bytes, probes included.
    PAUSE_S = 2.5

    async def connect(self, respond):
        """Return a connection to a server with a small receive buffer."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        listener.bind(('127.0.0.1', 0))
        port = listener.getsockname()[1]

        async def serve(reader, writer):
            self.addCleanup(writer.close)
            await respond(reader, writer)

        server = await asyncio.start_server(
            serve, sock=listener, limit=32 * 1024
        )
        self.addCleanup(server.close)
        connection = await http_client.open_connection(
            '127.0.0.1', port, 0.0, 1.0
        )
        self.addCleanup(connection.close)
        return connection

    async def upload(self, connection, size):
        """Send a body; return the response."""
        request = h11.Request(
            method='POST',
            target='/x',
            headers=[('Host', 'a'), ('Content-Length', str(size))],
        )
        async with asyncio.timeout(edge_case.LIMIT_S):
            return await connection.exchange(
                request, bytes(size), limit_s=edge_case.LIMIT_S
            )

    async def test_a_body_is_written_as_the_target_reads_it(self):
        """Guards against a transport that copies a whole body."""
        pending = []

        async def respond(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            left = self.BODY_BYTES
            while left:
                left -= len(await reader.read(256 * 1024))
                pending.append(transport.get_write_buffer_size())
            writer.write(standin.render('x'))

        connection = await self.connect(respond)
        transport = connection._transport
        response = await self.upload(connection, self.BODY_BYTES)
        self.assertEqual(response.status, 200)
        self.assertLess(max(pending), self.MAX_PENDING_BYTES)
        self.assertTrue(connection.is_open)

    async def test_a_target_may_pause_its_reading(self):
        """Guards against a time-out that is meant for silent connections."""
        size = 360_000

        async def respond(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(16 * 1024)
            writer.transport.pause_reading()
            await asyncio.sleep(self.PAUSE_S)
            writer.transport.resume_reading()
            await reader.readexactly(size - 16 * 1024)
            writer.write(standin.render('x'))

        connection = await self.connect(respond)
        response = await self.upload(connection, size)
        self.assertEqual(response.status, 200)

    async def test_an_early_response_ends_the_upload(self):
        """Guards against a next request where the rest of a body is due."""

        async def respond(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(standin.render('x', 413))

        connection = await self.connect(respond)
        response = await self.upload(connection, self.BODY_BYTES)
        self.assertEqual(response.status, 413)
        self.assertFalse(connection.is_open)
