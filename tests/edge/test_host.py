"""Tests of a host's background tasks."""

import asyncio
import unittest
from unittest import mock

from lavenderstile.edge import balancing
from lavenderstile.edge import directory
from lavenderstile.edge import host
from lavenderstile.edge.room import fleet_balancer
from lavenderstile.edge import settings
from tests.edge import builders
from tests.edge import edge_case


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against changed settings that only a part of the host uses."""

    async def test_another_address_of_the_registry_is_used(self):
        current = [edge_case.make_settings()]
        clients = []

        def make_client(loaded, clock):
            clients.append(loaded.registry)
            return mock.Mock()

        subject = host.Host(lambda: current[0], None, make_client)
        current[0] = edge_case.make_settings(registry=('127.0.0.1', 2))
        subject._reload()
        subject._reload()
        self.assertEqual(clients, [('127.0.0.1', 1), ('127.0.0.1', 2)])


class ScopeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a scope that does not change the choice of targets.

    Also against one that changes it where no deployment asks for it.
    """

    def describe(self, scope):
        """Return the balancer of a host and its state of one target."""
        loaded = edge_case.make_settings(
            balancing=settings.BalancingSettings(scope)
        )
        subject = host.Host(lambda: loaded, None, lambda *_: mock.Mock())
        subject.parts.directory.apply_snapshot(
            directory.Snapshot(
                1, None, (builders.make_target('i-0'),), frozenset()
            ),
            0.0,
        )
        return subject.parts.balancer, subject.describe()['targets']['i-0']

    async def test_scope_fleet_chooses_by_room(self):
        balancer, state = self.describe(settings.Scope.FLEET)
        self.assertIs(type(balancer), fleet_balancer.FleetBalancer)
        self.assertEqual(state['room']['free'], 3)

    async def test_scope_domain_chooses_by_cost(self):
        balancer, state = self.describe(settings.Scope.DOMAIN)
        self.assertIs(type(balancer), balancing.Balancer)
        self.assertIsNone(state['room'])


class BackgroundTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an error in one task that ends the whole process."""

    def setUp(self):
        self.runs = 0
        self.enterContext(mock.patch.object(host, 'TASK_RESTART_DELAY_S', 0.0))

    async def fail_twice(self):
        self.runs += 1
        if self.runs < 3:
            raise ArithmeticError('unexpected')
        await asyncio.Event().wait()

    async def test_a_task_that_fails_runs_again(self):
        async with asyncio.timeout(5.0):
            async with host._background_tasks([self.fail_twice]):
                while self.runs < 3:
                    await asyncio.sleep(0)
        self.assertEqual(self.runs, 3)

    async def test_each_error_is_logged_with_its_task(self):
        with mock.patch.object(
            host.eliot, 'log_message', autospec=True
        ) as log_message:
            async with host._background_tasks([self.fail_twice]):
                while self.runs < 3:
                    await asyncio.sleep(0)
        calls = log_message.call_args_list
        self.assertEqual(
            [call.args for call in calls], [('task_restarted',)] * 2
        )
        self.assertIn('fail_twice', calls[0].kwargs['task'])
        self.assertIn('ArithmeticError', calls[0].kwargs['error'])
