"""Tests of a host's background tasks."""

import asyncio
import unittest
from unittest import mock

from lavenderstile.edge import host
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
