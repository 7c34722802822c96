"""Tests of the exchanges between hosts."""

import types
import unittest

from lavenderstile import clocks
from lavenderstile import configuration
from lavenderstile import configuration_ages
from lavenderstile import membership
from lavenderstile import messages
from lavenderstile import metrics
from lavenderstile import owner_messages
from lavenderstile import peer_exchange

UNIT = messages.SlotUnit('ledger', '127.0.0.9:80', 0)
ENTRY = '127.0.0.1'
OWNER = '127.0.0.2'


class FakeOwner:
    """An owner task that records the messages posted to it."""

    def __init__(self):
        self.posted = []

    def post(self, message):
        """Record a message."""
        self.posted.append(message)

    def borrow_request(self, lender):
        """Return a request without a known lease."""
        return messages.BorrowRequest('', 1)

    def summaries_for(self, address):
        """Return no summaries."""
        return []

    async def lend(self, request):
        """Lend nothing."""
        return None


class FakeClients:
    """Calls that the other host's exchanges answer directly."""

    def __init__(self):
        self.peer = None

    async def call(self, endpoint, name, request, timeout_s):
        """Answer an exchange."""
        return await self.peer.answer(request)


def make_side(address, clock, running=()):
    """Return (exchanges, owner, clients, membership) of one host."""
    view = membership.Membership(address, 'north', 1)
    clients, owner = FakeClients(), FakeOwner()
    host = types.SimpleNamespace(
        clock=clock,
        clients=clients,
        metrics=metrics.Metrics(),
        domain='north',
        peer_endpoint=f'{address}:7001',
    )
    owners = types.SimpleNamespace(
        lent_to=lambda address, now: (frozenset(), frozenset())
    )
    task = types.SimpleNamespace(configuration=configuration.Configuration())
    exchanges = peer_exchange.Exchanges(
        host, view, owner, owners, task, configuration_ages.ConfigurationAges()
    )
    exchanges.connect(lambda: running, lambda: True, lambda: None)
    return exchanges, owner, clients, view


class RunningGrantTest(unittest.IsolatedAsyncioTestCase):
    """Guards against slots that stay taken after a one-way partition."""

    async def asyncSetUp(self):
        clock = clocks.VirtualClock()
        self.grant = messages.RunningGrant('g1', ENTRY, UNIT, 0.5)
        running = [(OWNER, self.grant)]
        self.entry = make_side(ENTRY, clock, running)
        self.owner = make_side(OWNER, clock)
        self.entry[2].peer, self.owner[2].peer = self.owner[0], self.entry[0]

    def reconciled(self):
        """Return the entry host's grants as reported to the owner."""
        return [
            message.running
            for message in self.owner[1].posted
            if isinstance(message, owner_messages.ReconcileGrants)
        ]

    async def test_an_exchange_of_the_entry_host_lists_its_grants(self):
        self.entry[3].add(OWNER, f'{OWNER}:7001')
        self.assertTrue(await self.entry[0].exchange_with(OWNER))
        self.assertEqual(self.reconciled(), [(self.grant,)])

    async def test_an_exchange_of_the_owner_asks_for_them(self):
        """The entry host cannot reach the owner, which can reach it."""
        self.owner[3].add(ENTRY, f'{ENTRY}:7001')
        self.assertTrue(await self.owner[0].exchange_with(ENTRY))
        self.assertEqual(self.reconciled(), [(self.grant,)])

    async def test_grants_of_other_owners_are_not_listed(self):
        self.entry[0].connect(
            lambda: [('127.0.0.3', self.grant)], lambda: True, lambda: None
        )
        self.owner[3].add(ENTRY, f'{ENTRY}:7001')
        await self.owner[0].exchange_with(ENTRY)
        self.assertEqual(self.reconciled(), [()])
