"""Tests of the client of the store."""

import asyncio
import unittest
from unittest import mock

import msgspec

from emulator import registry_store
from lavenderstile import clocks
from lavenderstile.edge import http_client
from lavenderstile import errors
from lavenderstile.platform import store as store_client


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guards against hosts that never get a large response of the store.

    On a slow link it takes longer than a response that has been lost may.
    """

    PARTS = 5
    PAUSE_S = 0.4

    async def read_all(self, parts):
        """Read a store that sends so many parts of its response."""
        body = msgspec.json.encode(
            {'items': [], 'hasMore': False, 'currentRev': 7}
        ).ljust(1000)

        async def respond(reader, writer):
            self.addCleanup(writer.close)
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'
            writer.write(head.encode())
            size = len(body) // self.PARTS
            for number in range(parts):
                writer.write(body[number * size : (number + 1) * size])
                await asyncio.sleep(self.PAUSE_S)

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        self.addCleanup(server.close)
        address = server.sockets[0].getsockname()
        client = store_client.StoreClient(address, clocks.Clock())
        async with asyncio.timeout(20.0):
            return await client.read_all()

    async def test_a_response_that_goes_on_is_read_to_its_end(self):
        self.assertGreater(
            self.PARTS * self.PAUSE_S, store_client.CALL_TIMEOUT_S
        )
        snapshot = await self.read_all(self.PARTS)
        self.assertEqual(snapshot.revision, 7)

    async def test_a_response_that_stops_is_a_failed_call(self):
        with self.assertRaises(errors.PlatformError):
            await self.read_all(self.PARTS - 1)

    async def test_a_response_without_an_end_in_sight_is_a_failed_call(self):
        with mock.patch.object(store_client, 'LONGEST_CALL_S', 0.5):
            with self.assertRaises(errors.PlatformError):
                await self.read_all(self.PARTS)


class ResponseTest(unittest.TestCase):
    """Guards against responses that raise an error which ends the watch."""

    def setUp(self):
        self.client = store_client.StoreClient(
            ('127.0.0.1', 1), clocks.Clock()
        )

    def test_what_is_no_list_of_changes_is_a_failed_call(self):
        nested = '[' * 100_000 + ']' * 100_000
        for body in (
            '',
            '[]',
            '{"events":[],"currentRev":-1}',
            '{"events":[],"currentRev":' + '9' * 30 + '}',
            '{"events":[{"key":"k","revision":1e30}],"currentRev":1}',
            '{"events":[],"currentRev":1,"more":' + nested + '}',
        ):
            with self.subTest(body=body[:40]):
                with self.assertRaises(errors.PlatformError):
                    self.client.decode_changes(body.encode(), 1)

    def test_an_era_that_no_message_holds_is_a_failed_call(self):
        for value in (b'x', b'-1', b'9' * 20, b'9' * 5000):
            with self.subTest(value=value[:20]):
                with self.assertRaises(errors.PlatformError):
                    store_client._read_era([(store_client.ERA, value)])


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults of a connection that no caller expects.

    The watch of the registry only expects `PlatformError`; any other error
    would end its task, and so the process.
    """

    async def asyncSetUp(self):
        self.store = registry_store.RegistryStore()
        self.address = await self.enterAsyncContext(
            registry_store.serve_store(self.store)
        )
        host, _, port = self.address.rpartition(':')
        self.client = store_client.StoreClient(
            (host, int(port)), clocks.Clock()
        )

    async def test_a_reset_right_after_the_connect_is_a_failed_call(self):
        original = http_client.open_connection

        async def open_and_lose(*arguments):
            connection = await original(*arguments)
            connection.close()
            # The event loop closes the socket in one of its next iterations.
            await asyncio.sleep(0.01)
            return connection

        with mock.patch.object(http_client, 'open_connection', open_and_lose):
            with self.assertRaises(errors.PlatformError):
                await self.client.read_all()
        snapshot = await self.client.read_all()
        self.assertEqual(snapshot.revision, self.store.revision)
