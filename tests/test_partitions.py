"""Tests of the detection of hosts that are cut off from targets."""

import random
import unittest
from unittest import mock

from lavenderstile import evidence
from lavenderstile import partitions

from . import fleets
from . import simulation

HOSTS = [f'h{number}' for number in range(48)]


def make_samples(fails, seconds=10.0, per_second=40, seed=1):
    """Return samples on one domain; `fails(host, at, rng)` gives them."""
    rng = random.Random(seed)
    samples = []
    for number in range(int(seconds * per_second)):
        at = number / per_second
        host = rng.choice(HOSTS)
        samples.append(evidence.Sample(at, host, fails(host, at, rng), 0.01))
    return samples


class PartitionTest(unittest.TestCase):
    """Guards against blaming targets for a network partition."""

    def test_finds_the_hosts_that_always_fail(self):
        cut = set(HOSTS[:16])
        samples = make_samples(
            lambda host, at, rng: host in cut or rng.random() < 0.01
        )
        self.assertEqual(partitions.find_partitioned_hosts(samples, 10.0), cut)

    def test_finds_them_within_seconds(self):
        cut = set(HOSTS[:16])
        samples = make_samples(lambda host, at, rng: at > 7.0 and host in cut)
        found = partitions.find_partitioned_hosts(samples, 10.0)
        self.assertGreater(len(found), 8)
        self.assertLessEqual(found, cut)

    def test_random_failures_are_no_partition(self):
        for seed in range(50):
            for share in (0.1, 0.3, 0.5):
                samples = make_samples(
                    lambda host, at, rng, share=share: rng.random() < share,
                    seed=seed,
                )
                self.assertFalse(
                    partitions.find_partitioned_hosts(samples, 10.0)
                )

    def test_a_failed_target_is_no_partition(self):
        samples = make_samples(lambda host, at, rng: True)
        self.assertFalse(partitions.find_partitioned_hosts(samples, 10.0))

    def test_few_samples_prove_nothing(self):
        samples = make_samples(
            lambda host, at, rng: host == 'h0', per_second=1
        )
        self.assertFalse(partitions.find_partitioned_hosts(samples, 10.0))
        self.assertFalse(partitions.find_partitioned_hosts([], 10.0))


class AsymmetricPartitionTest(unittest.TestCase):
    """Guards against lost capacity when some hosts cannot reach a domain.

    Those hosts have to avoid its targets; ejection would affect all hosts.
    """

    def _count_ejections(self):
        service = fleets.make_service(12, 3)
        south = {t.address for t in service.targets if t.domain == 'south'}

        def choose(target, host, now):
            cut = now > 10.0 and target in south and int(host[1:]) < 16
            return simulation.ALL_ERRORS if cut else simulation.GOOD

        counts = []
        for seed in range(3):
            run = simulation.Simulation(choose, seed, service, hosts=48)
            run.run(40.0)
            counts.append(len(run.ejections()))
        return sum(counts)

    def test_hosts_avoid_what_they_cannot_reach(self):
        with mock.patch.object(
            partitions,
            'find_partitioned_hosts',
            autospec=True,
            return_value=frozenset(),
        ):
            without = self._count_ejections()
        self.assertLess(4 * self._count_ejections(), without)
