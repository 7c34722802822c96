"""Tests of the pools of keep-alive connections."""

import unittest

from emulator import registered_target
from lavenderstile import clocks
from lavenderstile.edge import target_pools
from tests.edge import builders


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests on connections closed by the target."""

    async def asyncSetUp(self):
        server = registered_target.RegisteredTarget()
        address = await self.enterAsyncContext(server.serve())
        host, _, port = address.rpartition(':')
        self.target = builders.make_target('i-1', address=host, port=int(port))
        self.clock = clocks.VirtualClock()
        self.pools = target_pools.TargetPools(self.clock)

    async def open_idle(self, keep_alive_s=None):
        """Leave one idle connection in the pool."""
        connection = await self.pools.acquire(self.target, 1.0, False)
        self.pools.release(self.target, connection, keep_alive_s)
        return connection

    async def test_an_idle_connection_is_reused(self):
        first = await self.open_idle()
        second = await self.pools.acquire(self.target, 1.0, False)
        self.assertIs(first, second)

    async def test_the_idle_time_of_the_target_applies(self):
        first = await self.open_idle(keep_alive_s=8.0)
        self.clock.advance(6.9)
        self.assertTrue(self.pools.has_idle('i-1'))
        self.clock.advance(0.2)
        self.assertFalse(self.pools.has_idle('i-1'))
        second = await self.pools.acquire(self.target, 1.0, False)
        self.assertIsNot(first, second)
        self.assertFalse(first.is_open)

    async def test_non_idempotent_requests_need_a_fresh_connection(self):
        await self.open_idle(keep_alive_s=30.0)
        self.clock.advance(target_pools.FRESH_IDLE_LIMIT_S + 0.1)
        self.assertTrue(self.pools.has_idle('i-1'))
        self.assertFalse(self.pools.has_idle('i-1', needs_fresh=True))

    async def test_connections_to_targets_that_left_are_closed(self):
        connection = await self.open_idle()
        self.pools.sweep({})
        self.assertFalse(connection.is_open)

    async def test_stale_connections_are_swept(self):
        connection = await self.open_idle()
        self.clock.advance(60.0)
        self.pools.sweep({'i-1': None})
        self.assertFalse(connection.is_open)
