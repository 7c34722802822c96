"""Tests of the forwarder's connection limits."""

from emulator import serving
from lavenderstile import forwarding
from tests import cases


class LimitsTest(cases.ForwardingCase):
    """Guards against connections over the limit or to removed targets."""

    def test_a_hosts_share_of_the_limit(self):
        self.assertEqual(forwarding.compute_limit(400, 48), 8)
        self.assertEqual(forwarding.compute_limit(350, 48), 7)
        self.assertEqual(forwarding.compute_limit(3, 48), 1)

    async def test_connections_to_a_removed_target_are_closed(self):
        server, address = await self.start_target()
        await self.call(address)
        async with self.open(address) as response:
            await self.forwarder.set_limits({})
            async for _ in response:
                pass
        await serving.wait_until(lambda: not server.connections)
        self.assertIsNone(self.forwarder.get_pool(address))
