"""Tests of the clients for the platform's services."""

import asyncio
import unittest

import httpx

from emulator import platform
from lavenderstile import clocks
from lavenderstile import membership
from lavenderstile import platform_client

WAIT_LIMIT_S = 30.0


def make_memberships(domain_sizes):
    """Return the memberships of all hosts of a fleet, by address."""
    hosts = {
        f'127.0.{index}.{number}': domain
        for index, (domain, size) in enumerate(domain_sizes.items())
        for number in range(size)
    }
    memberships = {}
    for own_address, domain in hosts.items():
        view = membership.Membership(own_address, domain, 1)
        for address, peer_domain in hosts.items():
            report = membership.PeerReport(
                address, f'{address}:1', peer_domain, 1
            )
            view.record_success(report, 0.0)
        memberships[own_address] = view
    return memberships


class WatcherTest(unittest.TestCase):
    """Guards against watches by all hosts of a domain, or by none."""

    def count_watchers(self, domain_sizes):
        """Return the number of watching hosts."""
        return sum(
            platform_client.is_watcher(view, view.domain_of(address), 0.0)
            for address, view in make_memberships(domain_sizes).items()
        )

    def test_three_hosts_of_each_domain_watch(self):
        sizes = {'a': 16, 'b': 16, 'c': 16}
        self.assertEqual(self.count_watchers(sizes), 9)

    def test_a_small_domain_has_fewer_watchers(self):
        self.assertEqual(self.count_watchers({'a': 16, 'b': 1}), 4)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against missed changes, and against too many reads."""

    async def asyncSetUp(self):
        self.delivered = []
        self.state = platform.PlatformState()
        client = httpx.AsyncClient(
            transport=httpx.ASGITransport(
                platform.PlatformApplication(self.state)
            ),
        )
        self.addAsyncCleanup(client.aclose)
        self.reader = platform_client.ConfigurationReader(
            'http://platform',
            client,
            clocks.Clock(),
            lambda: 1,
            lambda: True,
            self.deliver,
        )

    async def deliver(self, text, source):
        """Record a ticket."""
        self.delivered.append(text)

    async def wait_for(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def start(self):
        """Run the reader until the test ends."""
        task = asyncio.create_task(self.reader.run())
        self.addCleanup(task.cancel)

    async def test_reads_existing_values_and_watches_for_changes(self):
        await self.state.publish('tickets/1', 'one')
        await self.start()
        await self.wait_for(lambda: self.delivered == ['one'])
        await self.state.publish('tickets/2', 'two')
        await self.wait_for(lambda: self.delivered == ['one', 'two'])

    async def test_retries_a_failing_service(self):
        await self.state.set_mode('failing')
        await self.start()
        await self.wait_for(lambda: self.reader.calls >= 1)
        self.assertIsNone(self.reader.succeeded_at)
        await self.state.publish('tickets/1', 'one')
        await self.state.set_mode('normal')
        await self.wait_for(lambda: self.delivered == ['one'])

    async def test_pauses_between_reads_of_an_empty_service(self):
        """It cannot be watched, and the minimum interval is only 1 ms."""
        pause_s = await self.reader.read_once()
        self.assertEqual(pause_s, platform_client.RETRY_DELAY_S)
        await self.state.publish('tickets/1', 'one')
        self.assertEqual(await self.reader.read_once(), 0.0)

    async def test_a_large_fleet_spreads_its_reads(self):
        """3,400 hosts that restart at once share a limit of 1,000 reads/s."""
        reader = platform_client.ConfigurationReader(
            'http://platform', None, None, lambda: 3400, bool, None
        )
        self.assertGreaterEqual(
            reader.min_interval_s, 3400 / platform_client.FLEET_READS_PER_S
        )


class HostListTest(unittest.TestCase):
    """Guards against hosts that are not found by their address."""

    def test_endpoints_are_keyed_by_address(self):
        reply = platform_client.HostsReply(
            [
                platform_client.HostItem('127.0.0.2:7001', 'live'),
                platform_client.HostItem('127.0.0.3:7001', 'leaving'),
            ]
        )
        self.assertEqual(
            platform_client.parse_hosts(reply),
            {
                '127.0.0.2': ('127.0.0.2:7001', False),
                '127.0.0.3': ('127.0.0.3:7001', True),
            },
        )
