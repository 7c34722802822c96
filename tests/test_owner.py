"""Tests of the task that owns rights, slots and claims."""

import asyncio
import types
import unittest

from lavenderstile import clocks
from lavenderstile import configuration_ages
from lavenderstile import hashing
from lavenderstile import membership
from lavenderstile import messages
from lavenderstile import metrics
from lavenderstile import models
from lavenderstile import owner
from lavenderstile import owner_messages
from lavenderstile import ownership
from lavenderstile import throughput
from lavenderstile import verdicts

OWN = '127.0.0.1'
PEER = '127.0.0.2'
# Time after which a new list of addresses is in force on all hosts.
SETTLE_S = 12.0


def make_configuration(slots=1):
    """Return a configuration with one service and one workspace."""
    target = models.Target('127.0.0.9:80', 'north', slots)
    return types.SimpleNamespace(
        generation=1,
        digest=b'd',
        fleet=models.Fleet((OWN,)),
        fleet_version='1',
        workspaces={'club': models.Workspace('club', (), 10.0, 5.0)},
        services={'ledger': models.Service('ledger', (target,))},
        domains_out=frozenset(),
    )


class OwnerTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs the owner task of a fleet with one host."""

    async def asyncSetUp(self):
        self.clock = clocks.VirtualClock()
        self.membership = membership.Membership(OWN, 'north', 1)
        self.configuration = make_configuration()
        owners = ownership.Ownership(self.membership, self.configuration)
        self.owner = owner.OwnerTask(
            self.clock,
            self.membership,
            self.configuration,
            owners,
            configuration_ages.ConfigurationAges(),
            metrics.Metrics(),
        )
        self.acknowledged = []
        self.owner.connect(list, self.acknowledged.append)
        runner = asyncio.create_task(self.owner.run())
        self.addCleanup(runner.cancel)

    async def step(self, seconds=0.5):
        """Advance the clock and wait until the task has handled a tick."""
        self.clock.advance(seconds)
        self.owner.post(owner_messages.Tick())
        # A reply comes only after all earlier messages were handled.
        await self.owner.take_token('none')

    async def settle(self):
        """Wait until the host may use its own rights."""
        for _ in range(int(SETTLE_S / 0.5)):
            await self.step()

    def make_request(self, number):
        """Return a request for a slot."""
        return messages.AdmitRequest(
            f'r{number}',
            OWN,
            'ledger',
            'club',
            self.clock.now() + 60.0,
            f'd{number}',
            True,
        )


class RightsTest(OwnerTestCase):
    """Guards against the use of rights that others may still hold."""

    async def test_a_new_process_holds_its_rights_back(self):
        await self.step()
        result = await self.owner.take_token('club')
        self.assertEqual(result, messages.NoRights())

    async def test_a_host_alone_uses_its_own_rights(self):
        await self.settle()
        result = await self.owner.take_token('club')
        self.assertEqual(result, messages.Taken())

    async def test_rights_are_held_back_after_a_time_without_peers(self):
        await self.settle()
        report = membership.PeerReport(
            PEER, f'{PEER}:1', 'north', 1, ready=False
        )
        self.membership.record_success(report, self.clock.now())
        await self.step()
        for _ in range(10):
            await self.step()
        self.membership.record_success(report, self.clock.now())
        for _ in range(8):
            await self.step()
        result = await self.owner.take_token('club')
        self.assertEqual(result, messages.NoRights())


class ConfigurationTest(OwnerTestCase):
    """Guards against decisions by an outdated configuration."""

    async def test_a_change_seen_by_a_lender_first_reaches_the_services(self):
        """Lending applies the change first; admission must not miss it."""
        await self.settle()
        grant = await self.owner.admit(self.make_request(1))
        self.assertEqual(grant.unit.target, '127.0.0.9:80')
        self.configuration.domains_out = frozenset({'north'})
        self.configuration.generation = 2
        await self.owner.lend(messages.BorrowRequest(PEER, 1))
        refusal = await self.owner.admit(self.make_request(2))
        self.assertIsInstance(refusal, verdicts.Refusal)


class SuccessorTest(OwnerTestCase):
    """Guards against refusals after the owner of a service has failed.

    Its successor had requests without slots before, as the second choice of
    hosts that did not reach the owner, and counted that time.
    """

    async def asyncSetUp(self):
        """Find a peer that owns the service while it is alive."""
        await super().asyncSetUp()
        item = ownership.service_item('ledger')
        self.peer = next(
            address
            for address in (f'127.0.0.{number}' for number in range(2, 90))
            if hashing.top(item, (OWN, address)) == address
        )

    async def test_the_successor_waits_for_its_units(self):
        report = membership.PeerReport(
            self.peer, f'{self.peer}:1', 'north', 1, ready=True
        )
        self.membership.record_success(report, self.clock.now())
        await self.step()
        first = asyncio.create_task(self.owner.admit(self.make_request(1)))
        await self.step(0.0)
        while self.membership.is_reachable(self.peer, self.clock.now()):
            await self.step()
        second = asyncio.create_task(self.owner.admit(self.make_request(2)))
        became_owner_at = self.clock.now()
        wait_s = throughput.NO_CAPACITY_WAIT_S - 0.5
        while self.clock.now() < became_owner_at + wait_s:
            await self.step()
            self.assertFalse(first.done() and second.done())
            self.assertFalse(second.done())


class AdmitTest(OwnerTestCase):
    """Guards against slots that are never released."""

    async def test_a_queued_request_gets_the_slot_that_is_released(self):
        await self.settle()
        grant = await self.owner.admit(self.make_request(1))
        waiting = asyncio.create_task(self.owner.admit(self.make_request(2)))
        await self.step(0.0)
        self.assertFalse(waiting.done())
        self.owner.post_release(
            messages.ReleaseReport(
                grant.grant_id,
                OWN,
                grant.unit,
                'd1',
                messages.Outcome.ANSWERED,
                0.01,
            )
        )
        second = await waiting
        self.assertEqual(second.unit, grant.unit)

    async def test_a_grant_that_its_requester_misses_is_freed(self):
        """The requester is cancelled at the moment of the grant."""
        await self.settle()
        requester = self.owner.admit(self.make_request(1))
        reply = requester.send(None)
        await self.step(0.0)
        self.assertTrue(reply.done())
        with self.assertRaises(asyncio.CancelledError):
            requester.throw(asyncio.CancelledError)
        await self.step(0.0)
        grant = await self.owner.admit(self.make_request(2))
        self.assertIsInstance(grant, messages.Grant)

    async def test_a_cancelled_request_leaves_the_queue(self):
        await self.settle()
        await self.owner.admit(self.make_request(1))
        waiting = asyncio.create_task(self.owner.admit(self.make_request(2)))
        await self.step(0.0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await self.step(0.0)
        dump = self.owner.dump()['services']['ledger']
        self.assertEqual(sum(dump['queued'].values()), 0)


class FaultTest(OwnerTestCase):
    """Guards against a faulty message that stops the owner task."""

    async def test_a_fault_reaches_its_requester_and_nobody_else(self):
        with self.assertRaises(AttributeError):
            await self.owner.lend(None)
        await self.settle()
        result = await self.owner.take_token('club')
        self.assertEqual(result, messages.Taken())
