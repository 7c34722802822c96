"""Tests of asking for slots while owners change."""

import asyncio
import types
import unittest

from lavenderstile import errors
from lavenderstile import membership
from lavenderstile import messages
from lavenderstile import slot_client
from lavenderstile import wire
from tests import fakes

OWN = fakes.ADDRESS
OTHER = '127.0.0.2'
UNIT = messages.SlotUnit('ledger', 't:1', 0)

# Overall limit of a test's waits; no bound on what is measured.
LIMIT_S = 20.0


class FakeOwner:
    """The own admission, where requests wait until a test decides."""

    def __init__(self):
        self.waiting = []

    async def admit(self, request):
        """Wait for a decision."""
        self.waiting.append(request)
        return await asyncio.get_running_loop().create_future()


class OwnerChangeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that stay where no slot will come."""

    def setUp(self):
        self.host = fakes.FakeHost()
        self.host.membership = membership.Membership(OWN, 'north', 1)
        self.host.membership.add(OTHER, f'{OTHER}:7001')
        self.host.call_peer = self.call_peer
        self.hosts = [OWN]
        self.owner = FakeOwner()
        self.called = []
        self.client = slot_client.SlotClient(
            self.host,
            self.owner,
            types.SimpleNamespace(
                list_slot_hosts=lambda service, now: self.hosts
            ),
        )

    async def call_peer(self, address, name, packed, timeout_s):
        """Grant a slot."""
        self.called.append(address)
        if address != OTHER:
            raise errors.PeerError('unknown')
        grant = messages.Grant('g1', 'r1', UNIT, 'north')
        return wire.pack_decision(grant, OTHER)

    def start(self):
        """Begin to ask for a slot."""
        request = messages.AdmitRequest(
            'r1', OWN, 'ledger', 'club', self.host.clock.now() + 10, 'd', True
        )
        task = asyncio.create_task(self.client.acquire(request))
        self.addCleanup(task.cancel)
        return task

    async def test_a_request_moves_to_the_new_owner(self):
        """While a fleet started, one waited 7.5 s beside free slots."""
        task = self.start()
        async with asyncio.timeout(LIMIT_S):
            while not self.owner.waiting:
                await asyncio.sleep(0.005)
            self.hosts = [OTHER, OWN]
            grant = await task
        self.assertEqual(grant.unit, UNIT)
        self.assertEqual(self.called, [OTHER])

    async def test_a_request_keeps_its_place_while_the_owner_stays(self):
        task = self.start()
        await asyncio.sleep(3 * slot_client.waits.CHECK_INTERVAL_S)
        self.assertFalse(task.done())
        self.assertEqual(len(self.owner.waiting), 1)
