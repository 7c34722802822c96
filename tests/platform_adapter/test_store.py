"""Tests of the client of the store."""

import asyncio
import unittest
from unittest import mock

from emulator import registry_store
from lavenderstile import clocks
from lavenderstile.edge import http_client
from lavenderstile import errors
from lavenderstile.platform import store as store_client


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
