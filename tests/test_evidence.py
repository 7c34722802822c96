"""Tests of the evidence on targets and hosts."""

import random
import unittest

from lavenderstile import evidence

TARGETS = [f't{number}' for number in range(6)]
HOSTS = [f'h{number}' for number in range(8)]


def fill(fails=None, latency=None, seconds=10, seed=1):
    """Return a window with 10 requests per second and target.

    `fails(target, host)` and `latency(target, host)` give the outcomes.
    """
    rng = random.Random(seed)
    window = evidence.EvidenceWindow()
    for tick in range(seconds * 10):
        for target in TARGETS:
            host = rng.choice(HOSTS)
            failed = rng.random() < (fails(target, host) if fails else 0.0)
            latency_s = latency(target, host) if latency else 0.02
            latency_s *= rng.lognormvariate(0.0, 0.5)
            window.record(
                target,
                host,
                failed,
                None if failed else latency_s,
                tick * 0.1,
            )
    return window


def find_bad(window, now=10.0):
    """Return the targets that look bad."""
    judgements = window.compare(TARGETS, now)
    return sorted(name for name, found in judgements.items() if found.bad)


class WilsonTest(unittest.TestCase):
    """Guards against a wrong confidence bound."""

    def test_known_values(self):
        # Wilson 95% interval of 10 out of 50: 0.1124 to 0.3304.
        self.assertAlmostEqual(
            evidence.wilson_lower(10, 50, 1.959964), 0.1124, places=4
        )
        self.assertEqual(evidence.wilson_lower(0, 0), 0.0)
        self.assertAlmostEqual(evidence.wilson_lower(0, 50), 0.0)

    def test_few_samples_prove_little(self):
        self.assertLess(
            evidence.wilson_lower(1, 2), evidence.wilson_lower(50, 100)
        )


class TargetTest(unittest.TestCase):
    """Guards against undetected gray targets and wrongly judged good ones."""

    def test_finds_a_target_that_fails(self):
        window = fill(lambda t, h: 0.4 if t == 't2' else 0.01)
        self.assertEqual(find_bad(window), ['t2'])

    def test_finds_a_target_that_is_slow(self):
        window = fill(latency=lambda t, h: 0.1 if t == 't4' else 0.02)
        self.assertEqual(find_bad(window), ['t4'])

    def test_a_few_errors_make_no_bad_target(self):
        for seed in range(5):
            window = fill(lambda t, h: 0.05, seed=seed)
            self.assertEqual(find_bad(window), [])

    def test_a_service_that_fails_as_a_whole_has_no_bad_target(self):
        self.assertEqual(find_bad(fill(lambda t, h: 0.5)), [])

    def test_a_service_that_is_slow_as_a_whole_has_no_slow_target(self):
        self.assertEqual(find_bad(fill(latency=lambda t, h: 2.0)), [])

    def test_fast_and_slow_routes_make_no_slow_target(self):
        rng = random.Random(5)
        for seed in range(10):
            window = fill(
                latency=lambda t, h: rng.choice((0.005, 0.5)), seed=seed
            )
            self.assertEqual(find_bad(window), [])

    def test_tiny_differences_make_no_slow_target(self):
        window = fill(latency=lambda t, h: 0.004 if t == 't4' else 0.001)
        self.assertEqual(find_bad(window), [])

    def test_old_samples_do_not_count(self):
        window = fill(lambda t, h: 1.0 if t == 't2' else 0.0)
        self.assertEqual(find_bad(window, 25.0), [])
        self.assertEqual(len(window.samples('t2', 25.0)), 0)


class HostTest(unittest.TestCase):
    """Guards against blaming targets for a host's bad network link."""

    def test_one_host_alone_proves_nothing_about_a_target(self):
        window = fill(
            lambda t, h: 1.0 if (t, h) == ('t2', 'h1') else 0.0, seconds=30
        )
        self.assertEqual(find_bad(window, 30.0), [])

    def test_failures_on_several_hosts_count(self):
        window = fill(
            lambda t, h: 1.0 if t == 't2' and h in HOSTS[:4] else 0.0
        )
        self.assertEqual(find_bad(window), ['t2'])

    def test_a_host_with_a_bad_link_is_left_out(self):
        window = fill(
            lambda t, h: 1.0 if h == 'h1' else 0.05 if t != 't2' else 0.5
        )
        samples = {t: window.samples(t, 10.0) for t in TARGETS}
        self.assertEqual(evidence.find_faulty_hosts(samples), {'h1'})
        self.assertEqual(find_bad(window), ['t2'])

    def test_a_slow_link_makes_no_slow_target(self):
        window = fill(
            latency=lambda t, h: 0.5 if (t, h) == ('t2', 'h1') else 0.02
        )
        self.assertEqual(find_bad(window), [])

    def test_a_failing_target_makes_no_faulty_host(self):
        window = fill(lambda t, h: 1.0 if t == 't2' else 0.0)
        samples = {t: window.samples(t, 10.0) for t in TARGETS}
        self.assertEqual(evidence.find_faulty_hosts(samples), set())
