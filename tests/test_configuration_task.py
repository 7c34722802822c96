"""Tests of the task that applies tickets."""

import asyncio
import unittest

from emulator import tickets
from lavenderstile import configuration
from lavenderstile import configuration_task
from lavenderstile import metrics

KEY = 'key-of-club'


def make_ticket(number, key=KEY):
    """Return a ticket that sets one workspace and one route."""
    return tickets.format_ticket(
        number,
        tickets.format_workspace('club', key, 10.0, 5.0),
        tickets.format_route('heats', '/heats', 'ledger'),
    )


class ConfigurationTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lookup tables that lag behind the configuration."""

    async def asyncSetUp(self):
        self.task = configuration_task.ConfigurationTask(
            configuration.Configuration(), metrics.Metrics()
        )
        runner = asyncio.create_task(self.task.run())
        self.addCleanup(runner.cancel)

    async def deliver(self, *texts):
        """Deliver tickets in turn."""
        for text in texts:
            await self.task.deliver(text, 'test')

    async def test_a_key_is_found_once_its_ticket_is_in_force(self):
        self.assertIsNone(self.task.key_ring.find(KEY))
        await self.deliver(make_ticket(1))
        self.assertEqual(self.task.key_ring.find(KEY), 'club')
        route = self.task.route_table.match('GET', '/heats/1')
        self.assertEqual(route.name, 'heats')

    async def test_a_withdrawn_key_is_not_found(self):
        await self.deliver(make_ticket(1), make_ticket(2, 'other'))
        self.assertIsNone(self.task.key_ring.find(KEY))

    async def test_a_stale_ticket_restores_no_key(self):
        await self.deliver(make_ticket(2, 'other'), make_ticket(1))
        self.assertIsNone(self.task.key_ring.find(KEY))

    async def test_a_faulty_ticket_changes_nothing(self):
        await self.deliver(make_ticket(1), 'ticket = 2\n[nonsense]\n')
        self.assertEqual(self.task.configuration.newest, 1)

    async def test_a_faulty_ticket_is_not_fetched_again(self):
        faulty = 'ticket = 2\n[nonsense]\n'
        await self.deliver(make_ticket(1), faulty)
        self.assertEqual(len(self.task.known_digests), 2)
        missing = self.task.configuration.list_missing_texts(
            frozenset(self.task.known_digests)
        )
        self.assertEqual(missing, [])

    async def test_tickets_after_a_fault_are_applied(self):
        await self.deliver('\0', make_ticket(3))
        self.assertEqual(self.task.configuration.newest, 3)
