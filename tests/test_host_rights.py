"""Tests of the rights that a host lends to itself."""

import asyncio
import contextlib
import unittest

from emulator import tickets as ticket_texts
from lavenderstile import clocks
from lavenderstile import configuration
from lavenderstile import configuration_ages
from lavenderstile import membership
from lavenderstile import metrics
from lavenderstile import owner
from lavenderstile import owner_messages
from lavenderstile import ownership
from lavenderstile import tickets

OWN = '127.0.0.1'
PEER = '127.0.0.2'
NAMES = [f'club-{number}' for number in range(20)]

# Longer than the quarantine and the delay of larger shares.
SETTLE_S = 14.0


def make_ticket():
    """Return a ticket with workspaces that have one owner each."""
    text = ticket_texts.format_ticket(
        1,
        ticket_texts.format_fleet([OWN, PEER]),
        *(
            ticket_texts.format_workspace(name, name, 100.0, 10.0)
            for name in NAMES
        ),
    )
    return tickets.parse_ticket(text, 'test')


class SelfLeaseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against rights that a host does not lend to itself in time."""

    async def asyncSetUp(self):
        self.clock = clocks.VirtualClock()
        self.membership = membership.Membership(OWN, 'domain-a', 1)
        state = configuration.Configuration()
        state.apply(make_ticket())
        self.ownership = ownership.Ownership(self.membership, state)
        self.owner = owner.OwnerTask(
            self.clock,
            self.membership,
            state,
            self.ownership,
            configuration_ages.ConfigurationAges(),
            metrics.Metrics(),
        )
        self.owner.connect(list, list)
        task = asyncio.create_task(self.owner.run())
        self.addAsyncCleanup(self.end, task)

    async def end(self, task):
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def tick(self):
        """Advance by one tick; the reply shows that it was handled."""
        self.clock.advance(owner.TICK_INTERVAL_S)
        self.owner.post(owner_messages.Tick())
        await self.owner.take_token('no such workspace')

    async def run_ticks(self, duration_s, with_peer):
        """Return the owned workspaces without rights after each tick."""
        missing = []
        for _ in range(round(duration_s / owner.TICK_INTERVAL_S)):
            if with_peer:
                self.record_contact()
            await self.tick()
            now = self.clock.now()
            owned, _ = self.ownership.lent_to(OWN, now)
            missing.append(owned - self.owner.borrower.workspaces(now))
        return missing

    def record_contact(self):
        report = membership.PeerReport(
            address=PEER,
            endpoint=f'{PEER}:7001',
            domain='domain-b',
            incarnation=1,
            leaving=False,
            ready=True,
            contacted=(),
        )
        self.membership.record_success(report, self.clock.now())

    async def test_own_rights_are_renewed_before_the_lease_ends(self):
        await self.run_ticks(SETTLE_S, with_peer=False)
        missing = await self.run_ticks(10.0, with_peer=False)
        self.assertEqual(set(missing), {frozenset()})

    async def test_workspaces_of_a_lost_peer_are_lent_at_once(self):
        # Several phases relative to the renewal, so that none hides a delay.
        for phase in range(5):
            await self.run_ticks(SETTLE_S + 0.2 * phase, with_peer=True)
            before, _ = self.ownership.lent_to(OWN, self.clock.now())
            missing = await self.run_ticks(5.0, with_peer=False)
            after, _ = self.ownership.lent_to(OWN, self.clock.now())
            self.assertLess(before, after)
            self.assertEqual(set(missing), {frozenset()})
