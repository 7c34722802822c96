"""Tests of a host process whose clients pipeline and read no response."""

import asyncio
import pathlib
import unittest

import httpx

from emulator import edge_fleet
from emulator import unread_senders
from tests import fleet_slots

LIMIT_S = 60.0

SETTINGS = """
[listeners]
max_connections = 64
"""
MAX_CONNECTIONS = 64

SENDERS = 100
BYTES_PER_SENDER = 2 * 1024 * 1024

# Bound on the growth of the resident memory. The host reads all 200 MB if
# nothing limits it.
GROWTH_BYTES = 40 * 1024 * 1024

# Descriptors beside the limited connections: connections to targets and to
# the registry, and one that is accepted before another one is closed.
OTHER_DESCRIPTORS = 16

# The load is over once nothing is sent and the memory does not grow for this
# long. Bytes that are sent may wait in the kernel until the host reads them.
QUIET_S = 3.0
POLL_INTERVAL_S = 0.25

USUAL_HEADERS = (
    b'Host: races.example\r\nAuthorization: Token key-1\r\n'
    b'X-Lavenderstile-Attempt-Id: a\r\nX-Lavenderstile-Deadline-Ms: 3000\r\n'
)


def make_data(path, headers):
    """Return pipelined requests."""
    request = b'GET %s HTTP/1.1\r\n%s\r\n' % (path, headers)
    return request * (BYTES_PER_SENDER // len(request))


class UnreadResponseCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one host process and clients that read nothing.

    It runs apart from all other fleets.
    """

    async def asyncSetUp(self):
        self.enterContext(fleet_slots.hold_all_fleet_slots())
        self.fleet = await self.enterAsyncContext(
            edge_fleet.run_edge_fleet(1, 1, extra_settings=SETTINGS)
        )
        (self.host,) = self.fleet.hosts
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(trust_env=False, timeout=LIMIT_S)
        )

    def read_memory(self, field):
        """Return a size from the status of the host's process, in bytes."""
        status = pathlib.Path(f'/proc/{self.host.process.pid}/status')
        for line in status.read_text().splitlines():
            name, _, value = line.partition(':')
            if name == field:
                return int(value.split()[0]) * 1024
        raise AssertionError(f'the process has no {field}')

    def count_descriptors(self):
        """Return the number of open descriptors of the host's process."""
        path = pathlib.Path(f'/proc/{self.host.process.pid}/fd')
        return sum(1 for _ in path.iterdir())

    async def wait_until_quiet(self, senders, idle_memory):
        """Return once the load is over, or has passed the bound."""
        quiet_s, before = 0.0, None
        while quiet_s < QUIET_S:
            peak = self.read_memory('VmHWM')
            if peak - idle_memory > GROWTH_BYTES:
                return
            state = (peak, senders.sent_bytes)
            quiet_s = quiet_s + POLL_INTERVAL_S if state == before else 0.0
            before = state
            await asyncio.sleep(POLL_INTERVAL_S)

    async def request_ordinarily(self):
        """Send one ordinary request on a new connection."""
        return await self.client.get(
            self.host.caller_url + '/read/1',
            headers={
                'Host': 'races.example',
                'Authorization': 'Token key-1',
                'X-Lavenderstile-Attempt-Id': 'ordinary',
                'X-Lavenderstile-Deadline-Ms': '30000',
            },
        )

    async def check_host(self, port, data):
        """Run the senders and check the host's process."""
        self.assertEqual((await self.request_ordinarily()).status_code, 200)
        # The connection must not be open already when the senders come.
        await self.client.aclose()
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(trust_env=False, timeout=LIMIT_S)
        )
        idle_memory = self.read_memory('VmRSS')
        idle_descriptors = self.count_descriptors()
        address = (self.host.address, port)
        async with unread_senders.run_senders(
            address, data, SENDERS
        ) as senders:
            await self.wait_until_quiet(senders, idle_memory)
            self.assertTrue(self.host.process.is_running)
            descriptors = self.count_descriptors()
            response = await self.request_ordinarily()
            growth = self.read_memory('VmHWM') - idle_memory
            message = (
                f'{growth >> 20} MB above {idle_memory >> 20} MB, '
                f'{descriptors} descriptors ({idle_descriptors} idle), '
                f'{senders.sent_bytes >> 20} MB sent'
            )
        self.assertEqual(response.status_code, 200, message)
        with self.subTest('memory'):
            self.assertLessEqual(growth, GROWTH_BYTES, message)
        with self.subTest('descriptors'):
            self.assertLessEqual(
                descriptors,
                idle_descriptors + MAX_CONNECTIONS + OTHER_DESCRIPTORS,
                message,
            )
        self.assertTrue(self.host.process.is_running)


class ReadinessTest(UnreadResponseCase):
    """Guards against clients of the readiness path that exhaust the memory."""

    async def test_the_host_survives(self):
        data = make_data(b'/ready', b'Host: ready.example\r\n')
        await self.check_host(edge_fleet.READY_PORT, data)


class UnknownPathTest(UnreadResponseCase):
    """Guards against requests without a route that exhaust the memory."""

    async def test_the_host_survives(self):
        data = make_data(b'/none/1', USUAL_HEADERS)
        await self.check_host(edge_fleet.CALLER_PORT, data)


class MissingHeadersTest(UnreadResponseCase):
    """Guards against requests without the usual headers that do the same."""

    async def test_the_host_survives(self):
        data = make_data(b'/read/1', b'Host: races.example\r\n')
        await self.check_host(edge_fleet.CALLER_PORT, data)
