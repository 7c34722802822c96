"""Tests of the choice of targets."""

import collections
import unittest

from lavenderstile.edge import balancing
from lavenderstile.edge import health
from tests.edge import builders


def make_targets(count, **changes):
    """Return targets i-0, i-1, ..."""
    return [builders.make_target(f'i-{n}', **changes) for n in range(count)]


class LoadTest(unittest.TestCase):
    """Load pattern: requests come faster than single targets bear.

    Guards against queues at one target beside free slots at another.
    """

    def test_slots_fill_before_queues(self):
        bench = builders.Bench(make_targets(4))
        bench.prove(*(f'i-{n}' for n in range(4)))
        counts = collections.Counter(bench.send(12))
        self.assertEqual(set(counts.values()), {3})

    def test_what_other_hosts_run_counts(self):
        bench = builders.Bench(make_targets(2))
        bench.prove('i-0', 'i-1')
        update = builders.make_update('10.1.0.9', running={'i-0': 3})
        bench.fleet.apply_update(update, 0.0)
        self.assertEqual(set(bench.send(3)), {'i-1'})

    def test_a_target_is_critical_from_half_of_its_slots_on(self):
        bench = builders.Bench(make_targets(1, slots=4))
        bench.prove('i-0')
        known = bench.directory.targets['i-0']
        now = bench.clock.now()
        for expected in (False, False, True, True):
            bench.balancer.begin(known, now)
            self.assertIs(bench.balancer.is_critical(known, now), expected)

    def test_a_target_in_doubt_is_critical(self):
        """Guards against hosts that each try the same failing target.

        With late news of such targets, orders failed twice as often.
        """
        bench = builders.Bench(make_targets(1))
        known = bench.directory.targets['i-0']
        self.assertTrue(bench.balancer.is_critical(known, bench.clock.now()))
        bench.prove('i-0')
        self.assertFalse(bench.balancer.is_critical(known, bench.clock.now()))
        bench.clock.advance(4.0)
        self.assertTrue(bench.balancer.is_critical(known, bench.clock.now()))

    def test_a_full_service_is_told_from_an_empty_one(self):
        bench = builders.Bench(make_targets(1))
        self.assertEqual(len(bench.send(50)), 7)
        self.assertIsInstance(bench.choose(), balancing.Full)
        self.assertIsInstance(
            bench.choose(excluded={'i-0'}), balancing.NoTarget
        )

    def test_the_load_that_a_target_tells_counts(self):
        bench = builders.Bench(make_targets(2))
        bench.prove('i-0', 'i-1')
        now = bench.clock.now()
        self.assertEqual(bench.balancer.record_load('i-0', (3, 2), now), 5)
        self.assertEqual(set(bench.send(3)), {'i-1'})
        bench.clock.advance(balancing.LOAD_MEMORY_S)
        bench.prove('i-0', 'i-1')
        self.assertIn('i-0', bench.send(3))


class DoubtTest(unittest.TestCase):
    """Load pattern: targets fail fast, which would attract requests."""

    def test_a_failing_target_gets_nothing_while_others_have_room(self):
        bench = builders.Bench(make_targets(3))
        bench.prove('i-0', 'i-1')
        bench.health.record_fault(
            'i-2', health.FaultKind.ERROR, bench.clock.now()
        )
        self.assertNotIn('i-2', bench.send(6))

    def test_proven_targets_come_before_unknown_ones(self):
        targets = make_targets(6)
        bench = builders.Bench(targets)
        instances = [target.instance for target in targets]
        bench.balancer.record_use(instances, bench.clock.now())
        bench.prove('i-3')
        self.assertEqual(bench.choose_instance(), 'i-3')

    def test_a_failing_service_keeps_its_sound_targets_in_use(self):
        """Guards against FLOOR: few targets in use while many fail."""
        bench = builders.Bench(make_targets(10))
        bench.prove('i-0')
        now = bench.clock.now()
        bench.outcomes.record('ledger', 20, 5, now)
        chosen = set()
        for _ in range(40):
            bench.clock.advance(0.05)
            choice = bench.choose()
            bench.balancer.begin(choice.known, bench.clock.now())
            bench.balancer.end(choice.known)
            bench.prove(choice.known.target.instance)
            bench.outcomes.record('ledger', 20, 5, bench.clock.now())
            chosen.add(choice.known.target.instance)
        self.assertGreaterEqual(len(chosen), 8)

    def test_a_failing_service_leaves_failing_targets_alone(self):
        """Guards against failures that keep themselves up.

        On a hunted quiet day each failing target was tried every second,
        because the service failed, because they were tried.
        """
        bench = builders.Bench(make_targets(10))
        failing = {'i-0', 'i-1', 'i-2'}
        failures = 0
        for _ in range(400):
            bench.clock.advance(0.05)
            now = bench.clock.now()
            instance = bench.send(1)[0]
            bench.balancer.end(bench.directory.targets[instance])
            if instance in failing:
                failures += 1
                bench.health.record_fault(
                    instance, health.FaultKind.ERROR, now
                )
            else:
                bench.prove(instance)
            bench.outcomes.record('ledger', 10, 1, now)
        self.assertLess(failures, 15)

    def test_requests_that_can_be_sent_again_try_doubtful_targets(self):
        """Load pattern: half of the targets fail all, few requests repeat.

        Guards against payments that are lost to keep such targets in use.
        """
        bench = builders.Bench(make_targets(12))
        failing = {f'i-{n}' for n in range(6)}
        lost = 0
        for turn in range(1000):
            bench.clock.advance(0.02)
            now = bench.clock.now()
            is_repeatable = turn % 4 == 0
            choice = bench.choose(is_repeatable=is_repeatable)
            instance = choice.known.target.instance
            bench.balancer.record_use([instance], now)
            if instance in failing:
                bench.health.record_fault(
                    instance, health.FaultKind.ERROR, now
                )
                lost += not is_repeatable
            else:
                bench.prove(instance)
            bench.outcomes.record('ledger', 10, 1, now)
        self.assertLess(lost, 10)


class DomainTest(unittest.TestCase):
    """Guards against bytes between domains and domains without targets."""

    def setUp(self):
        self.targets = [
            builders.make_target('i-0'),
            builders.make_target('i-1', domain='b'),
        ]

    def test_the_own_domain_comes_first(self):
        bench = builders.Bench(self.targets)
        bench.prove('i-0', 'i-1')
        self.assertEqual(set(bench.send(3)), {'i-0'})

    def test_a_full_domain_uses_another_one(self):
        bench = builders.Bench(self.targets)
        bench.prove('i-0', 'i-1')
        self.assertIn('i-1', bench.send(12))

    def test_an_evacuated_domain_uses_another_one(self):
        bench = builders.Bench(self.targets, evacuated=('a',))
        self.assertEqual(set(bench.send(3)), {'i-1'})


class ColdTargetTest(unittest.TestCase):
    """Load pattern: a domain's targets come back cold under full load.

    Guards against more requests than a cold target bears, over all hosts.
    """

    def test_the_fleet_keeps_to_the_cold_rate(self):
        hosts = [f'10.1.0.{n}' for n in range(1, 17)]
        target = builders.make_target('i-0', cold_left_s=5.0)
        benches = []
        for address in hosts:
            bench = builders.Bench([target], address=address)
            for other in hosts:
                if other != address:
                    bench.fleet.apply_update(builders.make_update(other), 0.0)
            benches.append(bench)
        sent = []
        for step in range(200):
            for bench in benches:
                choice = bench.choose()
                if isinstance(choice, balancing.Chosen):
                    bench.balancer.begin(choice.known, bench.clock.now())
                    bench.balancer.end(choice.known)
                    sent.append(step * 0.02)
                bench.clock.advance(0.02)
        worst = max(
            sum(start <= at < start + 1.0 for at in sent) for start in sent
        )
        # Cold rate 4, and 2 owners that begin at once.
        self.assertLessEqual(worst, 4 + balancing.COLD_OWNERS)
        self.assertGreater(len(sent), 8)
