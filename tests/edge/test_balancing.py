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
    """Load pattern: more requests than a single target can serve.

    Guards against queues at one target while another has free slots.
    """

    def test_slots_fill_before_queues(self):
        fixture = builders.BalancerFixture(make_targets(4))
        fixture.record_successes(*(f'i-{n}' for n in range(4)))
        counts = collections.Counter(fixture.send(12))
        self.assertEqual(set(counts.values()), {3})

    def test_requests_of_other_hosts_count(self):
        fixture = builders.BalancerFixture(make_targets(2))
        fixture.record_successes('i-0', 'i-1')
        update = builders.make_update('10.1.0.9', running={'i-0': 3})
        fixture.fleet.apply_update(update, 0.0)
        self.assertEqual(set(fixture.send(3)), {'i-1'})

    def test_a_target_is_critical_from_half_of_its_slots_on(self):
        fixture = builders.BalancerFixture(make_targets(1, slots=4))
        fixture.record_successes('i-0')
        known = fixture.directory.targets['i-0']
        now = fixture.clock.now()
        for expected in (False, False, True, True):
            fixture.balancer.begin(known, now)
            self.assertIs(fixture.balancer.is_critical(known, now), expected)

    def test_a_target_in_doubt_is_critical(self):
        """Guards against hosts that all try the same failing target.

        While hosts learned late of such targets, twice as many orders
        failed.
        """
        fixture = builders.BalancerFixture(make_targets(1))
        known = fixture.directory.targets['i-0']
        self.assertTrue(
            fixture.balancer.is_critical(known, fixture.clock.now())
        )
        fixture.record_successes('i-0')
        self.assertFalse(
            fixture.balancer.is_critical(known, fixture.clock.now())
        )
        fixture.clock.advance(4.0)
        self.assertTrue(
            fixture.balancer.is_critical(known, fixture.clock.now())
        )

    def test_a_full_service_differs_from_one_without_targets(self):
        fixture = builders.BalancerFixture(make_targets(1))
        self.assertEqual(len(fixture.send(50)), 7)
        self.assertIsInstance(fixture.choose(), balancing.Full)
        self.assertIsInstance(
            fixture.choose(excluded={'i-0'}), balancing.NoTarget
        )

    def test_load_reported_by_a_target_counts(self):
        fixture = builders.BalancerFixture(make_targets(2))
        fixture.record_successes('i-0', 'i-1')
        now = fixture.clock.now()
        self.assertEqual(fixture.balancer.record_load('i-0', (3, 2), now), 5)
        self.assertEqual(set(fixture.send(3)), {'i-1'})
        fixture.clock.advance(balancing.LOAD_REPORT_LIFETIME_S)
        fixture.record_successes('i-0', 'i-1')
        self.assertIn('i-0', fixture.send(3))


class DoubtTest(unittest.TestCase):
    """Load pattern: targets fail fast.

    Guards against failing targets that attract requests by low latency.
    """

    def test_a_failing_target_gets_nothing_while_others_are_free(self):
        fixture = builders.BalancerFixture(make_targets(3))
        fixture.record_successes('i-0', 'i-1')
        fixture.health.record_fault(
            'i-2', health.FaultKind.ERROR, fixture.clock.now()
        )
        self.assertNotIn('i-2', fixture.send(6))

    def test_targets_with_recent_successes_come_first(self):
        targets = make_targets(6)
        fixture = builders.BalancerFixture(targets)
        instances = [target.instance for target in targets]
        fixture.balancer.record_use(instances, fixture.clock.now())
        fixture.record_successes('i-3')
        self.assertEqual(fixture.choose_instance(), 'i-3')

    def test_a_failing_service_keeps_healthy_targets_in_use(self):
        """Guards against too few targets in use during failures (FLOOR)."""
        fixture = builders.BalancerFixture(make_targets(10))
        fixture.record_successes('i-0')
        now = fixture.clock.now()
        fixture.outcomes.record('ledger', 20, 5, now)
        chosen = set()
        for _ in range(40):
            fixture.clock.advance(0.05)
            choice = fixture.choose()
            fixture.balancer.begin(choice.known, fixture.clock.now())
            fixture.balancer.end(choice.known)
            fixture.record_successes(choice.known.target.instance)
            fixture.outcomes.record('ledger', 20, 5, fixture.clock.now())
            chosen.add(choice.known.target.instance)
        self.assertGreaterEqual(len(chosen), 8)

    def test_a_failing_service_avoids_failing_targets(self):
        """Guards against failures that sustain themselves.

        Requests to failing targets made the service count as failing, and
        a failing service sent a request to each failing target every second.
        """
        fixture = builders.BalancerFixture(make_targets(10))
        failing = {'i-0', 'i-1', 'i-2'}
        failures = 0
        for _ in range(400):
            fixture.clock.advance(0.05)
            now = fixture.clock.now()
            instance = fixture.send(1)[0]
            fixture.balancer.end(fixture.directory.targets[instance])
            if instance in failing:
                failures += 1
                fixture.health.record_fault(
                    instance, health.FaultKind.ERROR, now
                )
            else:
                fixture.record_successes(instance)
            fixture.outcomes.record('ledger', 10, 1, now)
        self.assertLess(failures, 15)

    def test_idempotent_requests_probe_doubtful_targets(self):
        """Load pattern: half of the targets fail, few requests are idempotent.

        Guards against payments that are lost to keep such targets in use.
        """
        fixture = builders.BalancerFixture(make_targets(12))
        failing = {f'i-{n}' for n in range(6)}
        lost = 0
        for step in range(1000):
            fixture.clock.advance(0.02)
            now = fixture.clock.now()
            is_idempotent = step % 4 == 0
            choice = fixture.choose(is_idempotent=is_idempotent)
            instance = choice.known.target.instance
            fixture.balancer.record_use([instance], now)
            if instance in failing:
                fixture.health.record_fault(
                    instance, health.FaultKind.ERROR, now
                )
                lost += not is_idempotent
            else:
                fixture.record_successes(instance)
            fixture.outcomes.record('ledger', 10, 1, now)
        self.assertLess(lost, 10)


class DomainTest(unittest.TestCase):
    """Guards against needless traffic between domains.

    Also against failed requests in a domain without free targets.
    """

    def setUp(self):
        self.targets = [
            builders.make_target('i-0'),
            builders.make_target('i-1', domain='b'),
        ]

    def test_the_own_domain_comes_first(self):
        fixture = builders.BalancerFixture(self.targets)
        fixture.record_successes('i-0', 'i-1')
        self.assertEqual(set(fixture.send(3)), {'i-0'})

    def test_a_full_domain_uses_another_one(self):
        fixture = builders.BalancerFixture(self.targets)
        fixture.record_successes('i-0', 'i-1')
        self.assertIn('i-1', fixture.send(12))

    def test_an_evacuated_domain_uses_another_one(self):
        fixture = builders.BalancerFixture(self.targets, evacuated=('a',))
        self.assertEqual(set(fixture.send(3)), {'i-1'})


class ColdTargetTest(unittest.TestCase):
    """Load pattern: a domain's targets restart cold under full load.

    Guards against more requests of all hosts than a cold target can serve.
    """

    def test_the_fleet_keeps_to_the_cold_rate(self):
        hosts = [f'10.1.0.{n}' for n in range(1, 17)]
        target = builders.make_target('i-0', cold_left_s=5.0)
        fixtures = []
        for address in hosts:
            fixture = builders.BalancerFixture([target], address=address)
            for other in hosts:
                if other != address:
                    fixture.fleet.apply_update(
                        builders.make_update(other), 0.0
                    )
            fixtures.append(fixture)
        sent = []
        for step in range(200):
            for fixture in fixtures:
                choice = fixture.choose()
                if isinstance(choice, balancing.Chosen):
                    fixture.balancer.begin(choice.known, fixture.clock.now())
                    fixture.balancer.end(choice.known)
                    sent.append(step * 0.02)
                fixture.clock.advance(0.02)
        worst = max(
            sum(start <= at < start + 1.0 for at in sent) for start in sent
        )
        # The cold rate is 4; the 2 owners may each send one request at once.
        self.assertLessEqual(worst, 4 + balancing.COLD_OWNERS)
        self.assertGreater(len(sent), 8)
