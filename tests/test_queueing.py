"""Tests of the fair queue."""

import collections
import unittest

from lavenderstile import messages
from lavenderstile import queueing
from lavenderstile import verdicts


def make_request(number, workspace, deadline=100.0):
    return messages.AdmitRequest(
        f'r{number}', 'h1', 'orders', workspace, deadline, f'd{number}', True
    )


class FifoQueue(queueing.FairQueue):
    """Weakened variant: one FIFO queue for all workspaces."""

    def push(self, request, now, interval_s):
        merged = messages.AdmitRequest(
            request.request_id,
            request.host,
            request.service,
            'all',
            request.deadline,
            request.workspace,
            request.idempotent,
        )
        return super().push(merged, now, interval_s)


class FairnessTest(unittest.TestCase):
    """Guards against a large workspace that starves the others."""

    def _run(self, queue_class):
        """One workspace sends 5 requests for each one of 7 others."""
        queue = queue_class()
        waits = collections.defaultdict(list)
        pushed = {}
        number = 0
        for tick in range(200):
            for workspace, count in (('big', 5), *zip('abcdefg', [1] * 7)):
                for _ in range(count):
                    number += 1
                    request = make_request(number, workspace, tick + 20.0)
                    pushed[request.request_id] = (workspace, tick)
                    queue.push(request, float(tick), 1 / 9)
            for _ in range(9):
                found = queue.pop(lambda request: request)
                if found is None:
                    break
                workspace, since = pushed[found.request_id]
                waits[workspace].append(tick - since)
            queue.expire(float(tick), 1 / 9)
        return waits

    def test_others_are_served_while_one_sends_five_times_its_share(self):
        waits = self._run(queueing.FairQueue)
        for workspace in 'abcdefg':
            self.assertEqual(len(waits[workspace]), 200)
            self.assertLessEqual(max(waits[workspace]), 1)

    def test_order_of_arrival_makes_the_others_wait(self):
        waits = self._run(FifoQueue)
        self.assertGreater(max(max(waits[name]) for name in 'abcdefg'), 5)
        self.assertLess(min(len(waits[name]) for name in 'abcdefg'), 200)

    def test_a_grant_uses_up_the_turn_of_its_workspace(self):
        queue = queueing.FairQueue()
        for number, workspace in enumerate(('a', 'a', 'a', 'b', 'c')):
            queue.push(make_request(number, workspace), 0.0, 0.1)
        order = [
            queue.pop(lambda request: request).workspace for _ in range(5)
        ]
        self.assertEqual(order, ['a', 'b', 'c', 'a', 'a'])

    def test_a_request_that_cannot_run_does_not_block_others(self):
        queue = queueing.FairQueue()
        for number, workspace in enumerate(('a', 'a', 'b')):
            queue.push(make_request(number, workspace), 0.0, 0.1)
        found = queue.pop(
            lambda request: None if request.request_id == 'r0' else request
        )
        self.assertEqual(found.request_id, 'r1')
        self.assertIn('r0', queue)


class DeadlineTest(unittest.TestCase):
    """Guards against queued requests whose deadline cannot be met."""

    def test_refuses_at_once_what_cannot_be_met(self):
        queue = queueing.FairQueue()
        for number in range(10):
            self.assertIsNone(
                queue.push(make_request(number, 'a', 2.0), 0.0, 0.1)
            )
        refusal = queue.push(make_request(10, 'a', 1.0), 0.0, 0.1)
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)
        self.assertIs(refusal.verdict, verdicts.Verdict.NOT_RUN)
        self.assertAlmostEqual(refusal.retry_after_s, 0.1)

    def test_other_workspaces_wait_only_for_their_turn(self):
        queue = queueing.FairQueue()
        for number in range(100):
            queue.push(make_request(number, 'big', 50.0), 0.0, 0.1)
        self.assertIsNone(
            queue.push(make_request(101, 'small', 0.5), 0.0, 0.1)
        )

    def test_sheds_when_the_service_slows_down(self):
        queue = queueing.FairQueue()
        for number in range(10):
            queue.push(make_request(number, 'a', 1.05), 0.0, 0.1)
        self.assertEqual(queue.expire(0.0, 0.1), [])
        shed = queue.expire(0.0, 0.2)
        self.assertEqual(
            [item.request_id for item in shed], ['r5', 'r6', 'r7', 'r8', 'r9']
        )
        self.assertEqual(len(queue), 5)

    def test_counts_the_time_of_the_run_itself(self):
        queue = queueing.FairQueue()
        refusal = queue.push(make_request(1, 'a', 1.0), 0.0, 0.1, 0.95)
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)
        self.assertIsNone(
            queue.push(make_request(2, 'a', 1.0), 0.0, 0.1, 0.85)
        )
        self.assertEqual(queue.expire(0.0, 0.1, 0.85), [])
        self.assertEqual(len(queue.expire(0.1, 0.1, 0.85)), 1)

    def test_drops_late_heads_only(self):
        queue = queueing.FairQueue()
        for number, deadline in enumerate((1.0, 1.5, 9.0, 1.2)):
            queue.push(make_request(number, 'a', deadline), 0.0, None)
        queue.push(make_request(4, 'b', 9.0), 0.0, None)
        dropped = [item.request_id for item in queue.drop_late(1.5)]
        self.assertEqual(dropped, ['r0', 'r1'])
        self.assertEqual(queue.lengths, {'a': 2, 'b': 1})

    def test_sheds_past_deadlines_without_a_known_interval(self):
        queue = queueing.FairQueue()
        queue.push(make_request(1, 'a', 1.0), 0.0, None)
        queue.push(make_request(2, 'a', 3.0), 0.0, None)
        self.assertEqual(
            [item.request_id for item in queue.expire(1.0, None)], ['r1']
        )

    def test_length_is_bounded(self):
        queue = queueing.FairQueue()
        for number in range(queueing.MAX_ENTRIES):
            queue.push(make_request(number, 'a'), 0.0, None)
        refusal = queue.push(make_request(-1, 'b'), 0.0, None)
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)
        self.assertEqual(len(queue), queueing.MAX_ENTRIES)


class UnestimatedQueue(queueing.FairQueue):
    """Weakened variant: lets every request wait until its deadline."""

    def push(self, request, now, interval_s):
        return super().push(request, now, None)

    def expire(self, now, interval_s):
        return super().expire(now, None)


class ShedTest(unittest.TestCase):
    """Guards against requests that wait and are then refused."""

    def _run(self, queue_class):
        """Return the waits of refused requests in ticks at twice the load."""
        queue = queue_class()
        waited = []
        for tick in range(200):
            for number in range(2):
                request = make_request(f'{tick}-{number}', 'a', tick + 20.0)
                if queue.push(request, float(tick), 1.0) is not None:
                    waited.append(0)
            queue.pop(lambda request: request)
            for shed in queue.expire(float(tick), 1.0):
                since = int(shed.request_id[1:].split('-')[0])
                waited.append(tick - since)
        return waited

    def test_refuses_before_the_wait_and_not_after_it(self):
        waited = self._run(queueing.FairQueue)
        self.assertGreater(len(waited), 80)
        self.assertEqual(max(waited), 0)

    def test_without_an_estimate_requests_wait_before_their_refusal(self):
        waited = self._run(UnestimatedQueue)
        self.assertGreater(len(waited), 80)
        self.assertEqual(min(waited), 20)


class RemovalTest(unittest.TestCase):
    """Guards against entries that remain after a cancellation."""

    def test_removes_from_the_middle(self):
        queue = queueing.FairQueue()
        for number in range(3):
            queue.push(make_request(number, 'a'), 0.0, 0.1)
        self.assertEqual(queue.remove('r1').request_id, 'r1')
        self.assertIsNone(queue.remove('r1'))
        self.assertEqual(queue.lengths, {'a': 2})
