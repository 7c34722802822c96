"""Tests of the choice of targets by room, with scope fleet."""

import collections
import functools
import math
import random
import unittest
from unittest import mock

from lavenderstile.edge import balancing
from lavenderstile.edge import directory
from lavenderstile.edge import fleet
from lavenderstile.edge import health as health_module
from lavenderstile.edge import metrics
from lavenderstile.edge.room import fleet_balancer
from tests.edge import builders
from tests.edge import even_load

# A target takes its slots and this many waiting requests.
TARGET_QUEUE = 16


def make_fixture(targets, number=0, **changes):
    """Return a host with the choice of scope fleet."""
    return builders.BalancerFixture(
        targets,
        address=f'10.1.0.{number + 1}',
        rng=random.Random(number),
        make_balancer=fleet_balancer.FleetBalancer,
        **changes,
    )


def make_targets(count, prefix='i', **changes):
    """Return targets i-0, i-1, ..."""
    return [
        builders.make_target(f'{prefix}-{n}', **changes) for n in range(count)
    ]


class CountingHealth(health_module.HealthTracker):
    """Counts the look-ups of penalties and latencies."""

    __slots__ = ('lookups',)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lookups = 0

    def get_penalty(self, instance, is_idempotent, now):
        """Count the look-up."""
        self.lookups += 1
        return super().get_penalty(instance, is_idempotent, now)

    def estimate_latency(self, instance, service, now):
        """Count the look-up."""
        self.lookups += 1
        return super().estimate_latency(instance, service, now)


class SpreadTest(unittest.TestCase):
    """Load pattern: 30 hosts choose at once with the same knowledge.

    Guards against targets that are overrun in turns beside idle ones.
    """

    hosts = 30

    def make_hosts(self, targets):
        """Return hosts to which all targets are proven."""
        hosts = [make_fixture(targets, n) for n in range(self.hosts)]
        for host in hosts:
            host.record_successes(*(t.instance for t in targets))
            for target in targets:
                host.balancer.record_load(
                    target.instance, (0, 0), host.clock.now()
                )
        return hosts

    def test_no_target_is_overrun_in_any_round(self):
        """All requests of a round begin before the hosts hear of any."""
        targets = make_targets(12)
        hosts = self.make_hosts(targets)
        for _ in range(20):
            counts = collections.Counter()
            for host in hosts:
                host.clock.advance(0.1)
                choice = host.choose()
                counts[choice.known.target.instance] += 1
            for host in hosts:
                now = host.clock.now()
                host.balancer.record_use(host.directory.targets, now)
                for target in targets:
                    latency_s = 0.2 + 0.02 * counts[target.instance]
                    host.health.record_success(
                        target.instance, 'ledger', latency_s, now
                    )
            self.assertLessEqual(max(counts.values()), 3 + TARGET_QUEUE)
            self.assertGreaterEqual(len(counts), 8)

    def test_the_target_that_reported_last_gets_its_share_only(self):
        targets = make_targets(12)
        hosts = self.make_hosts(targets)
        counts = collections.Counter()
        for host in hosts:
            host.clock.advance(0.5)
            host.health.record_success(
                'i-7', 'ledger', 0.1, host.clock.now(), is_own=False
            )
            host.balancer.record_remote_load('i-7', 0, host.clock.now())
            counts[host.choose_instance()] += 1
        self.assertLessEqual(counts['i-7'], 12)

    def test_a_target_without_a_report_is_not_taken_for_idle(self):
        """Guards against a herd on the targets of which least is known."""
        remote = make_targets(4, 'r', domain='b')
        hosts = self.make_hosts([*make_targets(1), *remote])
        counts = collections.Counter()
        for host in hosts:
            host.clock.advance(0.9)
            now = host.clock.now()
            host.record_successes('i-0')
            update = builders.make_update('10.1.0.99', running={'i-0': 9})
            host.fleet.apply_update(update, now)
            for target in remote:
                host.record_successes(target.instance)
            for _ in range(20):
                for target in remote[:3]:
                    host.balancer.record_remote_load(target.instance, 3, now)
            choice = host.choose()
            counts[choice.known.target.instance] += 1
        self.assertLessEqual(counts['r-3'], 3 + TARGET_QUEUE)

    def test_a_slow_target_gets_less(self):
        targets = make_targets(8)
        host = self.make_hosts(targets)[0]
        counts = collections.Counter()
        for _ in range(400):
            host.clock.advance(0.02)
            now = host.clock.now()
            for target in targets:
                latency_s = 0.6 if target.instance == 'i-3' else 0.2
                host.health.record_success(
                    target.instance, 'ledger', latency_s, now
                )
                host.balancer.record_use([target.instance], now)
            counts[host.choose_instance()] += 1
        others = [counts[f'i-{n}'] for n in range(8) if n != 3]
        self.assertLess(counts['i-3'], 0.5 * min(others))


class ProvenTest(unittest.TestCase):
    """Load pattern: few targets of many are proven, and none is unused.

    Guards against requests that are lost because sampling missed the proven.
    """

    def test_requests_go_to_proven_targets_only(self):
        targets = make_targets(60, slots=40)
        host = make_fixture(targets)
        instances = [target.instance for target in targets]
        proven = {'i-5', 'i-17', 'i-44'}
        chosen = set()
        for _ in range(100):
            host.clock.advance(0.01)
            host.balancer.record_use(instances, host.clock.now())
            for instance in proven:
                host.health.record_success(
                    instance, 'ledger', 0.2, host.clock.now()
                )
                host.balancer.record_load(instance, (1, 0), host.clock.now())
            chosen.add(host.choose_instance())
        # Each of the three also responded before the first choice.
        self.assertEqual(chosen, proven)

    def test_peers_reports_are_found_by_the_walk(self):
        """Guards against proven targets that only reports without load show.

        Targets need not report their load.
        """
        targets = make_targets(60)
        host = make_fixture(targets)
        instances = [target.instance for target in targets]
        chosen = []
        for _ in range(40):
            host.clock.advance(0.01)
            host.record_successes('i-9')
            host.balancer.record_use(instances, host.clock.now())
            chosen.append(host.choose_instance())
        self.assertEqual(set(chosen[20:]), {'i-9'})

    def test_other_domains_are_drawn_from_their_proven_targets(self):
        """Load pattern: the own domain is empty, few others are proven."""
        targets = make_targets(40, domain='b', slots=40)
        host = make_fixture(targets)
        for _ in range(50):
            host.clock.advance(0.01)
            host.record_successes('i-3', 'i-4')
            now = host.clock.now()
            host.balancer.record_load('i-3', (1, 0), now)
            host.balancer.record_load('i-4', (1, 0), now)
            self.assertIn(host.choose_instance(), {'i-3', 'i-4'})

    def test_an_evacuated_target_is_not_drawn(self):
        """Guards against late responses that bring a target back."""
        targets = [*make_targets(2), *make_targets(2, 'r', domain='b')]
        host = make_fixture(targets)
        host.choose()
        now = host.clock.now()
        host.directory.apply_snapshot(
            directory.Snapshot(11, None, tuple(targets), frozenset({'a'})),
            now,
        )
        host.balancer.record_load('i-0', (1, 0), now)
        host.record_successes('i-0')
        for _ in range(20):
            self.assertIn(host.choose_instance(), {'r-0', 'r-1'})

    def test_a_leaving_target_is_not_drawn(self):
        host = make_fixture(make_targets(2))
        host.choose()
        host.directory.mark_leaving('i-0', 1)
        host.record_successes('i-0')
        host.balancer.record_load('i-0', (1, 0), host.clock.now())
        for _ in range(20):
            self.assertEqual(host.choose_instance(), 'i-1')

    def test_no_unused_target_stays_hidden(self):
        """Guards against sampling that never finds a target."""
        targets = make_targets(40)
        host = make_fixture(targets)
        host.record_successes('i-0')
        host.clock.advance(2.0)
        host.record_successes('i-0')
        chosen = set()
        for _ in range(60):
            host.clock.advance(0.01)
            chosen.update(host.send(1))
        self.assertEqual(len(chosen), 40)

    def test_a_full_domain_does_not_hide_a_free_target(self):
        """Load pattern: 1 free slot of 180, retried every 30 ms."""
        targets = make_targets(60)
        host = make_fixture(targets)
        instances = [target.instance for target in targets]
        host.record_successes(*instances)
        running = dict.fromkeys(instances, 9)
        host.fleet.apply_update(
            builders.make_update('10.1.0.9', running=running), 0.0
        )
        self.assertIsInstance(host.choose(), balancing.Full)
        running = {name: 9 for name in instances if name != 'i-31'}
        host.fleet.apply_update(
            builders.make_update('10.1.0.9', running=running), 0.0
        )
        for _ in range(5):
            host.clock.advance(0.03)
            host.record_successes(*instances)
            choice = host.choose()
        self.assertEqual(choice.known.target.instance, 'i-31')


class CostTest(unittest.TestCase):
    """Load pattern: services with 20 and with 400 targets.

    Guards against a choice whose processor time grows with the service.
    """

    def count(self, targets, running):
        """Return the look-ups of 200 choices; `running` at each target."""
        with mock.patch.object(
            builders.health, 'HealthTracker', CountingHealth
        ):
            host = make_fixture(make_targets(targets))
        instances = list(host.directory.targets)
        host.fleet.apply_update(
            builders.make_update(
                '10.1.0.9', running=dict.fromkeys(instances, running)
            ),
            0.0,
        )
        total = 0
        for _ in range(200):
            host.clock.advance(0.005)
            host.record_successes(*instances)
            before = host.health.lookups
            host.choose()
            total += host.health.lookups - before
        return total

    def test_free_targets(self):
        self.assertLessEqual(self.count(400, 1), 1.5 * self.count(20, 1))

    def test_full_targets(self):
        self.assertLessEqual(self.count(400, 9), 1.5 * self.count(20, 9))


class ReportTest(unittest.TestCase):
    """Guards against room that is wrong after reports fail halfway."""

    def setUp(self):
        self.targets = make_targets(3)
        self.host = make_fixture(self.targets)
        self.host.record_successes('i-0', 'i-1', 'i-2')

    def get_room(self, instance='i-0'):
        """Return the room of a target now."""
        return self.host.balancer.estimate_room(
            self.host.directory.targets[instance].target,
            self.host.clock.now(),
        )

    def apply(self, **changes):
        """Apply an update of a peer."""
        update = builders.make_update('10.1.0.9', **changes)
        return self.host.fleet.apply_update(update, self.host.clock.now())

    def test_without_reports_the_own_requests_count(self):
        counts = collections.Counter(self.host.send(9))
        self.assertEqual(set(counts.values()), {3})
        self.assertEqual(self.get_room().free, 0)

    def test_the_counts_of_a_host_that_ends_disappear(self):
        self.apply(running={'i-0': 3})
        self.assertEqual(self.get_room().free, 0)
        self.host.clock.advance(fleet.PEER_TIMEOUT_S + 0.01)
        self.host.fleet.expire(self.host.clock.now())
        self.assertEqual(self.get_room().free, 3)

    def test_a_host_that_leaves_frees_its_slots_at_once(self):
        self.apply(running={'i-0': 3})
        self.apply(running={'i-0': 3}, is_leaving=True)
        self.assertEqual(self.get_room().free, 3)

    def test_an_update_that_comes_twice_counts_once(self):
        for _ in range(2):
            self.apply(running={'i-0': 2})
        self.assertEqual(self.get_room().peers, 2)

    def test_an_update_of_an_earlier_process_is_ignored(self):
        self.apply(started_ms=5, running={'i-0': 1})
        self.apply(started_ms=4, running={'i-0': 3})
        self.assertEqual(self.get_room().peers, 1)

    def test_an_overtaken_update_holds_until_the_next_one(self):
        self.apply(running={'i-0': 1})
        self.apply(running={'i-0': 3})
        self.apply(running={'i-0': 1})
        self.assertEqual(self.get_room().peers, 1)

    def test_a_late_report_loses_its_weight(self):
        """Guards against a report that keeps a target out of use for good."""
        now = self.host.clock.now()
        self.host.balancer.record_remote_load('i-0', 3, now)
        self.assertEqual(self.get_room().free, 0)
        self.host.clock.advance(3.1)
        room = self.get_room()
        self.assertEqual(room.free, 3)
        self.assertAlmostEqual(room.age_s, 3.1)

    def test_reports_of_unknown_targets_are_ignored(self):
        now = self.host.clock.now()
        self.host.balancer.record_remote_load('gone', 3, now)
        self.assertEqual(
            self.host.balancer.record_load('gone', (1, 0), now), 1
        )
        self.assertIsNone(self.host.balancer.record_load('i-0', None, now))

    def test_the_state_of_removed_targets_goes(self):
        self.host.balancer.record_remote_load('i-0', 3, self.host.clock.now())
        self.host.balancer.keep({'i-1'})
        self.assertEqual(self.get_room().age_s, math.inf)
        self.assertEqual(self.get_room().remote, self.get_room().uncertainty)

    def test_uncertainty_grows_with_the_age_of_the_report(self):
        now = self.host.clock.now()
        self.host.balancer.record_remote_load('i-0', 2, now)
        before = self.get_room().uncertainty
        self.host.clock.advance(0.4)
        self.assertGreater(self.get_room().uncertainty, before)


class OperatorTest(unittest.TestCase):
    """Guards against choices that an operator can't explain."""

    def setUp(self):
        self.metrics = metrics.EdgeMetrics()
        self.host = builders.BalancerFixture(
            make_targets(3),
            make_balancer=functools.partial(
                fleet_balancer.FleetBalancer, metrics=self.metrics
            ),
        )
        self.host.record_successes('i-0', 'i-1', 'i-2')

    def find_line(self, name):
        """Return the line of a metric, or None."""
        body, _ = self.metrics.render()
        found = [
            line
            for line in body.decode().splitlines()
            if line.startswith(f'lavenderstile_edge_{name}')
        ]
        return found[0] if found else None

    def test_choices_are_counted_by_kind(self):
        self.host.send(2)
        self.assertEqual(
            self.find_line('choices_total'),
            'lavenderstile_edge_choices_total'
            '{kind="proven",service="ledger"} 2',
        )

    def test_rejections_beside_idle_slots_are_counted(self):
        now = self.host.clock.now()
        self.host.choose()
        self.host.balancer.record_rejection('i-0', 'ledger', now)
        self.assertTrue(
            self.find_line('rejections_beside_idle_total').endswith(' 1')
        )
        for instance in ('i-1', 'i-2'):
            self.host.balancer.record_remote_load(instance, 3, now)
        self.host.balancer.record_rejection('i-0', 'ledger', now)
        self.assertTrue(
            self.find_line('rejections_beside_idle_total').endswith(' 1')
        )

    def test_room_is_described(self):
        now = self.host.clock.now()
        target = self.host.directory.targets['i-0'].target
        self.host.balancer.record_remote_load('i-0', 1, now)
        described = self.host.balancer.describe_room(target, now)
        self.assertEqual(described['free'], 2)
        self.assertEqual(described['report_age_s'], 0)


class TrialTest(unittest.TestCase):
    """Load pattern: 12 hosts, uneven targets in gray failure, high load.

    Guards against a trial that no longer plays the decision objects, and
    against requests that end without an outcome.
    """

    def test_both_scopes_serve_the_load(self):
        load = even_load.Load(
            hosts=12,
            targets=18,
            load=0.8,
            duration_s=6.0,
            cycle_s=4.0,
            failing_s=1.2,
        )
        for policy in ('lowest cost', 'two draws'):
            with self.subTest(policy=policy):
                result = even_load.Trial(load, policy, 1).run()
                self.assertGreater(result['choices'], 50)
                self.assertLess(result['rejected'], 0.02)
                self.assertLess(result['lost'], 0.25)
                self.assertLess(result['refused'], 0.1)
