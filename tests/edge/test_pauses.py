"""Tests of the pauses that targets ask for."""

import time
import unittest

from emulator import registered_target as standin
from lavenderstile.edge import balancing
from lavenderstile.edge import pauses
from tests.edge import builders
from tests.edge import edge_case

TARGET = builders.make_target('i-1')


class PauseTest(unittest.TestCase):
    """Guards against pauses that are cut short, or that never end."""

    def setUp(self):
        self.pauses = pauses.TargetPauses()

    def test_a_pause_ends(self):
        self.pauses.record(TARGET, 2.0, 10.0)
        self.assertEqual(self.pauses.get_wait(TARGET, 11.5), 0.5)
        self.assertEqual(self.pauses.get_wait(TARGET, 12.0), 0.0)

    def test_of_overlapping_pauses_the_latest_end_counts(self):
        self.assertTrue(self.pauses.record(TARGET, 5.0, 10.0))
        self.assertFalse(self.pauses.record(TARGET, 1.0, 11.0))
        self.assertEqual(self.pauses.get_wait(TARGET, 11.0), 4.0)

    def test_a_new_run_of_the_target_has_no_pause(self):
        self.pauses.record(TARGET, 5.0, 10.0)
        restarted = builders.make_target('i-1', started_ms=2)
        self.assertEqual(self.pauses.get_wait(restarted, 11.0), 0.0)

    def test_a_pause_has_a_longest_time(self):
        self.pauses.record(TARGET, 1e11, 10.0)
        self.assertEqual(
            self.pauses.get_wait(TARGET, 10.0), pauses.MAX_PAUSE_S
        )

    def test_targets_that_have_left_are_forgotten(self):
        self.pauses.record(TARGET, 5.0, 10.0)
        self.pauses.keep(())
        self.assertEqual(self.pauses.get_wait(TARGET, 10.0), 0.0)


class ChoiceTest(unittest.TestCase):
    """Guards against requests to a target during its pause."""

    def setUp(self):
        targets = [builders.make_target(f'i-{number}') for number in (1, 2)]
        self.fixture = builders.BalancerFixture(targets)
        self.targets = targets

    def pause(self, target, pause_s):
        self.fixture.pauses.record(target, pause_s, self.fixture.clock.now())

    def test_requests_go_to_other_targets(self):
        self.pause(self.targets[0], 5.0)
        self.assertEqual({*self.fixture.send(4)}, {'i-2'})

    def test_while_all_pause_the_wait_is_until_the_earliest_end(self):
        self.pause(self.targets[0], 5.0)
        self.pause(self.targets[1], 3.0)
        choice = self.fixture.choose()
        self.assertEqual(choice, balancing.Full(3.0))


class HostTest(edge_case.EdgeCase):
    """Guards against a host that ignores the pause in a response."""

    async def test_a_target_gets_nothing_during_its_pause(self):
        target = await self.add_target(standin.make_shed_with_pause(30))
        other = await self.add_target()
        self.prefer(target)
        for _ in range(4):
            status, _, _ = await self.request('/pay/1', b'x')
            self.assertEqual(status, 200)
        self.assertEqual((len(target.seen), len(other.seen)), (1, 4))

    async def test_a_request_that_only_paused_targets_serve_is_refused(self):
        """Guards against a request that waits until its deadline passes."""
        await self.add_target(standin.make_shed_with_pause(30))
        await self.request('/pay/1', b'x')
        started = time.monotonic()
        status, headers, body = await self.request('/pay/1', b'x')
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertEqual(status, 503)
        self.assertIn(b'not-run', body)
        self.assertGreater(float(headers['retry-after']), 20.0)

    async def test_a_short_pause_is_waited_for(self):
        target = await self.add_target(standin.make_shed_with_pause(0.3))
        await self.request('/pay/1', b'x')
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, len(target.seen)), (200, 2))
