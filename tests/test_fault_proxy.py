"""Tests of the proxy that injects faults between two programs."""

import asyncio
import socket
import unittest

from emulator import fault_proxy
from emulator import registered_target


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a proxy that loses its port while it refuses.

    A socket of another test may get the port; the proxy could not accept
    again, and callers of the proxy would reach that socket instead.
    """

    async def asyncSetUp(self):
        target = registered_target.RegisteredTarget()
        address = await self.enterAsyncContext(target.serve())
        self.proxy = fault_proxy.FaultProxy(address)
        text = await self.enterAsyncContext(self.proxy.serve())
        host, _, port = text.rpartition(':')
        self.address = host, int(port)

    async def assert_serves(self):
        """Check that a request through the proxy gets its response."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        line = await asyncio.wait_for(reader.readline(), 5)
        self.assertEqual(line, b'HTTP/1.1 200 X\r\n')

    def assert_port_is_taken(self):
        """Check that no other socket can get the port."""
        for reuse_option in (None, socket.SO_REUSEADDR):
            with self.subTest(option=reuse_option), socket.socket() as other:
                if reuse_option is not None:
                    other.setsockopt(socket.SOL_SOCKET, reuse_option, 1)
                with self.assertRaises(OSError):
                    other.bind(self.address)

    async def test_the_port_stays_reserved(self):
        for _ in range(2):
            self.proxy.refuse()
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection(*self.address)
            self.assert_port_is_taken()
            await self.proxy.accept_again()
            await self.assert_serves()

    async def test_a_second_request_to_accept_changes_nothing(self):
        """Guards against crashes of two requests that refuse one port.

        Each has the proxy accept again later; the second one failed, as the
        proxy was listening.
        """
        self.proxy.refuse()
        self.proxy.refuse()
        await asyncio.gather(
            self.proxy.accept_again(), self.proxy.accept_again()
        )
        await self.assert_serves()
        self.proxy.refuse()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(*self.address)

    async def test_an_open_connection_lives_on(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        self.proxy.refuse()
        writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        line = await asyncio.wait_for(reader.readline(), 5)
        self.assertEqual(line, b'HTTP/1.1 200 X\r\n')
        await self.proxy.accept_again()
        await self.assert_serves()

    async def test_attempts_hang_at_the_same_port(self):
        self.proxy.hang()
        self.assert_port_is_taken()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await asyncio.open_connection(*self.address)
