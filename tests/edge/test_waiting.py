"""Tests of the order in which waiting requests get slots."""

import asyncio
import collections
import random
import unittest

from lavenderstile.edge.admission import waiting
from lavenderstile.edge import balancing
from lavenderstile.edge import fleet
from lavenderstile.edge import health
from tests.edge import builders

SERVICE = 'ledger'


def make_queue(address='10.1.0.1'):
    """Return a host's queue and its view of the fleet."""
    view = fleet.Fleet(address, 'a', 1)
    return waiting.WaitingRequests(view), view


class OrderTest(unittest.TestCase):
    """Guards against less urgent requests that go first."""

    def setUp(self):
        self.queue, self.fleet = make_queue()

    def add(self, priority, workspace='club'):
        return self.queue.add(SERVICE, priority, workspace, 0.0, 1.0)

    def find_next(self, entries, now=0.1):
        return [e for e in entries if self.queue.is_next(e, now)]

    def test_the_most_urgent_request_is_next(self):
        entries = [self.add(2), self.add(0), self.add(1)]
        self.assertEqual(self.find_next(entries), [entries[1]])

    def test_requests_of_one_priority_keep_their_order(self):
        entries = [self.add(1), self.add(1)]
        self.assertEqual(self.find_next(entries), [entries[0]])

    def test_workspaces_take_turns(self):
        """Guards against a workspace that takes the room of the others."""
        many = [self.add(1, 'large') for _ in range(5)]
        few = self.add(1, 'small')
        order = []
        left = [*many, few]
        while left:
            [entry] = self.find_next(left)
            entry.has_slot = True
            self.queue.remove(entry)
            left.remove(entry)
            order.append(entry.workspace)
        self.assertEqual(order.index('small'), 1)

    def test_a_request_of_a_peer_goes_first(self):
        entry = self.add(1)
        update = builders.make_update('10.1.0.2', waiting={SERVICE: {0: 1}})
        self.fleet.apply_update(update, 0.0)
        self.assertEqual(self.find_next([entry]), [])
        self.assertTrue(self.queue.must_yield(SERVICE, 1))
        self.assertFalse(self.queue.must_yield(SERVICE, 0))
        self.assertFalse(self.queue.must_yield('other', 1))
        update = builders.make_update('10.1.0.2')
        self.fleet.apply_update(update, 0.1)
        self.assertEqual(self.find_next([entry]), [entry])

    def test_a_lost_peer_does_not_hold_requests_back(self):
        entry = self.add(1)
        update = builders.make_update('10.1.0.2', waiting={SERVICE: {0: 1}})
        self.fleet.apply_update(update, 0.0)
        self.fleet.expire(fleet.PEER_TIMEOUT_S + 0.1)
        self.assertEqual(self.find_next([entry]), [entry])

    def test_a_long_wait_ends_the_yielding(self):
        """Guards against a kind of request that is starved."""
        entries = [self.add(0), self.add(2)]
        late = waiting.YIELDING_SHARE
        self.assertEqual(self.find_next(entries, late), entries)

    def test_a_new_request_joins_the_queue(self):
        self.add(1)
        self.assertTrue(self.queue.must_yield(SERVICE, 1))
        self.assertTrue(self.queue.must_yield(SERVICE, 2))
        self.assertFalse(self.queue.must_yield(SERVICE, 0))

    def test_counts_for_the_peers(self):
        entries = [self.add(0), self.add(2), self.add(2)]
        self.assertEqual(self.queue.counts, {SERVICE: {0: 1, 2: 2}})
        for entry in entries:
            self.queue.remove(entry)
        self.assertEqual(self.queue.counts, {})


class WakeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that wait although a slot came free."""

    async def test_an_event_wakes_the_next_request(self):
        queue, _ = make_queue()
        first = queue.add(SERVICE, 0, 'club', 0.0, 1.0)
        second = queue.add(SERVICE, 1, 'club', 0.0, 1.0)
        tasks = [
            asyncio.create_task(queue.wait(entry, 60.0))
            for entry in (first, second)
        ]
        await asyncio.sleep(0)
        queue.wake()
        async with asyncio.timeout(20.0):
            await tasks[0]
        self.assertFalse(tasks[1].done())
        tasks[1].cancel()

    async def test_the_wait_ends_without_an_event(self):
        queue, _ = make_queue()
        entry = queue.add(SERVICE, 0, 'club', 0.0, 1.0)
        async with asyncio.timeout(20.0):
            await queue.wait(entry, 0.001)


class Target:
    """A target with slots and a short queue of its own."""

    QUEUE = 3

    def __init__(self, slots, work_s):
        self._work_s = work_s
        self._free_at = [0.0] * slots
        self._ends = []

    def start(self, now):
        """Return when a request that arrives now ends, or None if shed."""
        self._ends = [end for end in self._ends if end > now]
        if len(self._ends) >= len(self._free_at) + self.QUEUE:
            return None
        begin = max(now, min(self._free_at))
        end = begin + self._work_s
        self._free_at.remove(min(self._free_at))
        self._free_at.append(end)
        self._ends.append(end)
        return end


class Host:
    """A host of the simulated domain."""

    def __init__(self, address, targets):
        self.address = address
        self.fixture = builders.BalancerFixture(targets, address=address)
        self.queue = waiting.WaitingRequests(self.fixture.fleet)

    def make_update(self):
        """Return the update that the peers get."""
        return builders.make_update(
            self.address,
            running=dict(self.fixture.balancer.own_running),
            waiting=self.queue.counts,
        )


class Overload:
    """A domain of hosts that gets more requests than its targets can serve.

    A request waits for a slot at its host, for `WAIT_S` at most.
    """

    STEP_S = 0.01
    WORK_S = 0.2
    WAIT_S = 0.4
    DURATION_S = 40.0
    HOSTS = 6
    TARGETS = 4
    SLOTS = 2

    def __init__(self, seed, priorities, load):
        self._rng = random.Random(seed)
        self._priorities = priorities
        self._rate = load * self.TARGETS * self.SLOTS / self.WORK_S
        targets = [
            builders.make_target(f'i-{number}', slots=self.SLOTS)
            for number in range(self.TARGETS)
        ]
        self._targets = {
            target.instance: Target(self.SLOTS, self.WORK_S)
            for target in targets
        }
        self._hosts = [
            Host(f'10.1.0.{number}', targets)
            for number in range(1, self.HOSTS + 1)
        ]
        self._queued = []
        self._running = []
        self.asked = collections.Counter()
        self.served = collections.Counter()

    def run(self):
        """Play the load; return the served share by priority, and of all."""
        for step in range(int(self.DURATION_S / self.STEP_S)):
            now = step * self.STEP_S
            self._end_runs(now)
            self._add_arrivals(now)
            self._start_runs(now)
            self._send_updates(now)
        shares = {
            priority: self.served[priority] / asked
            for priority, asked in self.asked.items()
        }
        return shares, sum(self.served.values()) / sum(self.asked.values())

    def _end_runs(self, now):
        for run in [run for run in self._running if run[0] <= now]:
            self._running.remove(run)
            _, host, known, priority = run
            host.fixture.balancer.end(known)
            for other in self._hosts:
                other.fixture.health.record_success(
                    known.target.instance,
                    SERVICE,
                    self.WORK_S,
                    other.fixture.clock.now(),
                )
            self.served[priority] += 1

    def _add_arrivals(self, now):
        expected = self._rate * self.STEP_S
        count = int(expected) + (self._rng.random() < expected % 1)
        for _ in range(count):
            host = self._rng.choice(self._hosts)
            priority = self._rng.choice(self._priorities)
            self.asked[priority] += 1
            entry = host.queue.add(SERVICE, priority, 'club', now, self.WAIT_S)
            self._queued.append((now, host, entry))

    def _start_runs(self, now):
        self._rng.shuffle(self._queued)
        for item in list(self._queued):
            arrived_at, host, entry = item
            if host.queue.is_next(entry, now):
                entry.has_slot = self._send(host, entry.priority, now)
            if entry.has_slot or now - arrived_at > self.WAIT_S:
                host.queue.remove(entry)
                self._queued.remove(item)

    def _send(self, host, priority, now):
        """Send a request to a target; return whether it was accepted."""
        choice = host.fixture.choose()
        if not isinstance(choice, balancing.Chosen):
            return False
        known = choice.known
        end = self._targets[known.target.instance].start(now)
        if end is None:
            host.fixture.health.record_fault(
                known.target.instance,
                health.FaultKind.SHED,
                host.fixture.clock.now(),
            )
            return False
        host.fixture.balancer.begin(known, host.fixture.clock.now())
        self._running.append((end, host, known, priority))
        return True

    def _send_updates(self, now):
        for host in self._hosts:
            host.fixture.clock.advance(self.STEP_S)
            for other in self._hosts:
                if other is not host:
                    host.fixture.fleet.apply_update(other.make_update(), now)


class OverloadTest(unittest.TestCase):
    """Load pattern: half as many requests again as the slots can serve.

    Half of the requests are urgent. Guards against urgent requests that are
    served less often than others, since whoever looks first gets the slot.
    """

    def test_urgent_requests_are_served_more_often(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                shares, overall = Overload(seed, (0, 2), 1.5).run()
                self.assertGreater(shares[0], shares[2])
                # A kind that is served a quarter as often is starved.
                self.assertGreater(shares[2], overall / 4)

    def test_priorities_cost_no_capacity(self):
        _, mixed = Overload(1, (0, 2), 1.5).run()
        _, single = Overload(1, (1,), 1.5).run()
        self.assertGreater(mixed, 0.95 * single)
