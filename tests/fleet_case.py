"""Base class of tests with a fleet of processes."""

import asyncio
import time
import unittest

import httpx

from emulator import fleet as fleet_module
from emulator import tickets
from tests import fleet_slots

# Time-out of a wait; the awaited changes normally take seconds.
WAIT_LIMIT_S = 60.0
POLL_INTERVAL_S = 0.05
# Replicas grant only claims of keys created at least 10 s after their memory
# began and 15 s after the address list changed; all hosts share one clock.
CLAIM_READY_S = 15.5
KEY = tickets.DEMO_KEYS['club-a']
# Retry-After values and leases last seconds, so a fleet needs that long to
# serve again after the loss of a host.
REQUEST_TIMEOUT_S = 30.0


class FleetTestCase(unittest.TestCase):
    """A fleet with the demonstration ticket; one for each test class."""

    hosts = 3
    targets = 6
    rate = 1000.0
    burst = 1000.0

    @classmethod
    def setUpClass(cls):
        """Start the fleet and wait until each host serves requests."""
        cls.enterClassContext(fleet_slots.hold_fleet_slot())
        cls.runner = asyncio.Runner()
        cls.context = fleet_module.run_fleet(cls.hosts, cls.targets)
        cls.addClassCleanup(cls.runner.close)
        cls.fleet = cls.runner.run(cls.context.__aenter__())
        cls.addClassCleanup(
            lambda: cls.runner.run(cls.context.__aexit__(None, None, None))
        )
        cls.client = httpx.AsyncClient(
            trust_env=False, timeout=REQUEST_TIMEOUT_S
        )
        cls.addClassCleanup(lambda: cls.runner.run(cls.client.aclose()))
        cls.ticket_number = 0
        cls.runner.run(cls._start())

    @classmethod
    async def _start(cls):
        await cls.publish(
            *tickets.list_demo_tables(cls.fleet, cls.rate, cls.burst)
        )
        await cls.fleet.start_hosts()
        await cls.fleet.wait_for_hosts()
        for host in cls.fleet.hosts:
            await cls.wait_until_answered(host)

    @classmethod
    async def publish(cls, *tables):
        """Publish the next ticket; return its number."""
        cls.ticket_number += 1
        await cls.fleet.publish(
            f'tickets/{cls.ticket_number}',
            tickets.format_ticket(cls.ticket_number, *tables),
        )
        return cls.ticket_number

    @classmethod
    async def call(cls, host, method='GET', path='/heats/1', **options):
        """Send a request through a host with the key of a workspace."""
        headers = {'Authorization': f'Bearer {options.pop("key", KEY)}'}
        headers |= options.pop('headers', {})
        return await cls.client.request(
            method, host.caller_url + path, headers=headers, **options
        )

    def assert_all_answered(self, responses):
        """Fail with the bodies of the responses whose status is not 200."""
        self.assertEqual(
            [a.text for a in responses if a.status_code != 200], []
        )

    @classmethod
    async def wait_for(cls, condition):
        """Wait until an asynchronous condition is true."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not await condition():
                await asyncio.sleep(POLL_INTERVAL_S)

    @classmethod
    async def wait_until_answered(cls, host):
        """Wait until requests through a host are answered."""

        async def is_answered():
            return (await cls.call(host)).status_code == 200

        await cls.wait_for(is_answered)

    @classmethod
    async def get_admin(cls, host, path):
        """Return the JSON of an admin endpoint."""
        return (await cls.client.get(host.admin_url + path)).json()

    @classmethod
    async def get_newest(cls, host):
        """Return the newest ticket in force on a host."""
        return (await cls.get_admin(host, '/-/configuration'))['newest']

    @classmethod
    async def wait_in_force(cls, number, hosts=None):
        """Wait until a ticket is in force on all hosts."""
        for host in hosts or cls.fleet.hosts:

            async def is_in_force(host=host):
                return await cls.get_newest(host) >= number

            await cls.wait_for(is_in_force)

    @classmethod
    async def list_runs(cls, targets=None):
        """Return the runs recorded by the targets."""
        runs = []
        for target in targets or cls.fleet.targets:
            if target.process.is_running:
                response = await cls.fleet.control(target.url, 'runs')
                runs += response['runs']
        return runs

    @classmethod
    async def set_behaviour(cls, targets=None, **behaviour):
        """Change the behaviour of targets."""
        for target in targets or cls.fleet.targets:
            await cls.fleet.control(target.url, 'behaviour', behaviour)

    @classmethod
    async def find_owner(cls, service='ledger'):
        """Return the host that owns a service.

        After the pause or loss of a host its slot units move to another
        owner within seconds.
        """
        async with asyncio.timeout(WAIT_LIMIT_S):
            while (owner := await cls._try_find_owner(service)) is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return owner

    @classmethod
    async def _try_find_owner(cls, service):
        for host in cls.fleet.hosts:
            if not host.process.is_running:
                continue
            state = await cls.get_admin(host, '/-/state')
            borrowed = state['owner']['borrower']['leases']
            owned = state['owner']['services'].get(service, {})
            if borrowed and any(
                target['units'] for target in owned.get('targets', {}).values()
            ):
                return host
        return None

    @staticmethod
    def now():
        """Return the time on the clock of the targets' records."""
        return time.monotonic()
