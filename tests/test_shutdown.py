"""Tests of the graceful shutdown."""

import asyncio
import types
import unittest

from lavenderstile import charts
from lavenderstile import shutdown
from tests import fakes

STEPS = (
    ('stop', 'leaving_balancer'),
    ('balancer_lag_over', 'finishing'),
    ('requests_finished', 'handing_over'),
    ('rights_returned', 'stopped'),
)


class ChartTest(unittest.TestCase):
    """Guards against a shutdown that skips a step or repeats one."""

    def make_runner(self, steps):
        """Return a statechart runner after this number of steps."""
        runner = charts.ChartRunner(charts.load_chart('shutdown'))
        for event, _ in STEPS[:steps]:
            runner.send(event)
        return runner

    def test_every_transition_in_order(self):
        runner = self.make_runner(0)
        self.assertEqual(runner.state, 'serving')
        for event, state in STEPS:
            runner.send(event)
            self.assertEqual(runner.state, state)

    def test_no_other_event_changes_the_state(self):
        for number in range(len(STEPS) + 1):
            runner = self.make_runner(number)
            before = runner.state
            for event, _ in STEPS:
                if number < len(STEPS) and event == STEPS[number][0]:
                    continue
                runner.send(event)
                self.assertEqual(runner.state, before)


class SequenceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a shutdown that cuts requests or keeps rights."""

    async def asyncSetUp(self):
        self.log = []
        host = fakes.FakeHost()
        host.settings.timing = types.SimpleNamespace(balancer_lag_s=0.01)
        host.membership = types.SimpleNamespace(
            announce_leaving=lambda: self.log.append('leaving'),
            list_contacted=lambda now: ('127.0.0.2',),
        )
        host.wait_for_background = self.wait_for_background
        host.call_peer = self.call_peer
        readiness = types.SimpleNamespace(
            start_draining=lambda: self.log.append('not ready')
        )
        returned = types.SimpleNamespace(
            borrower='127.0.0.1', incarnation=1, lease_id=2, tokens=()
        )
        owner = types.SimpleNamespace(
            make_returns=lambda: {'127.0.0.2': returned, '127.0.0.1': returned}
        )
        exchanges = types.SimpleNamespace(exchange_with=self.exchange_with)
        self.server = types.SimpleNamespace(should_exit=False, finished=False)
        self.sequence = shutdown.ShutdownSequence(
            host, readiness, owner, exchanges, self.server
        )

    async def wait_for_background(self):
        self.log.append('background done')

    async def call_peer(self, address, name, request):
        self.log.append(f'{name} to {address}')

    async def exchange_with(self, address):
        self.log.append(f'exchange with {address}')

    async def wait_for_state(self, state):
        """Wait until the sequence reaches a state."""
        async with asyncio.timeout(10):
            while self.sequence.state != state:
                await asyncio.sleep(0.005)

    async def test_the_listener_closes_only_after_the_balancers_lag(self):
        self.sequence.request_stop()
        task = asyncio.create_task(self.sequence.run())
        await self.wait_for_state('leaving_balancer')
        self.assertEqual(self.log, ['not ready'])
        self.assertFalse(self.server.should_exit)
        await self.wait_for_state('finishing')
        self.assertTrue(self.server.should_exit)
        task.cancel()

    async def test_rights_stay_until_all_requests_are_done(self):
        self.sequence.request_stop()
        task = asyncio.create_task(self.sequence.run())
        await self.wait_for_state('finishing')
        await asyncio.sleep(0.1)
        self.assertNotIn('leaving', self.log)
        self.server.finished = True
        await task
        self.assertEqual(
            self.log,
            [
                'not ready',
                'background done',
                'leaving',
                'exchange with 127.0.0.2',
                'ReturnRights to 127.0.0.2',
            ],
        )
        self.assertEqual(self.sequence.state, 'stopped')

    async def test_nothing_happens_without_a_request(self):
        task = asyncio.create_task(self.sequence.run())
        await asyncio.sleep(0.05)
        self.assertEqual(self.sequence.state, 'serving')
        task.cancel()
