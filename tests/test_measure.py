"""Tests of benchmarks.measure with its quick scale."""

import json
import os
import subprocess
import sys
import unittest

from benchmarks.measure import __main__ as program
from benchmarks.measure import figures

DEPLOYMENT = 'federacion'


def measure(scenario, variant, seed=1):
    return program.measure(DEPLOYMENT, scenario, variant, seed, True)


class FiguresTest(unittest.TestCase):
    def test_overshoot_of_a_window_inside_the_run(self):
        """Guards against checking only windows that begin with the run."""
        times = [0.0, 10.0, 10.0, 10.0, 10.5, 20.0]
        # 4 requests in 0.5 s at 2 per second and a burst of 2.
        self.assertEqual(1.0, figures.find_overshoot(times, 2.0, 2.0))

    def test_no_overshoot_at_the_limit(self):
        """Guards against counting the permitted burst as overshoot."""
        self.assertEqual(0.0, figures.find_overshoot([0, 0, 1, 2], 1.0, 2.0))

    def test_fair_shares_divide_the_unused_part(self):
        """Guards against a fair share that exceeds the demand."""
        shares = figures.compute_fair_shares(
            {'a': 1.0, 'b': 8.0, 'c': 9.0}, 11.0
        )
        self.assertEqual({'a': 1.0, 'b': 5.0, 'c': 5.0}, shares)


class SameSeedTest(unittest.TestCase):
    def test_same_figures_in_another_process(self):
        """Guards against figures that depend on the hash seed or the clock."""
        scenarios = ('rates/rest', 'cold')
        arguments = ['--quick', '--json', '--deployment', DEPLOYMENT]
        for scenario in scenarios:
            arguments += ['--scenario', scenario]
        output = subprocess.run(
            [sys.executable, '-m', 'benchmarks.measure', *arguments],
            check=True,
            capture_output=True,
            env={**os.environ, 'PYTHONHASHSEED': '7'},
        ).stdout
        subprocess_figures = json.loads(output)['deployments'][DEPLOYMENT]
        for scenario in scenarios:
            for variant in program.SCENARIOS[scenario][1]:
                own_figures = measure(scenario, variant)
                self.assertEqual(
                    own_figures, subprocess_figures[scenario][variant]
                )

    def test_other_seed_gives_other_figures(self):
        """Guards against a seed that is not used."""
        self.assertNotEqual(
            measure('rates/rest', 'fixed share', 1),
            measure('rates/rest', 'fixed share', 2),
        )


class GoalsTest(unittest.TestCase):
    def check_overshoot(self, event):
        result = measure(f'rates/{event}', 'product')
        self.assertEqual(0, result['overshoot requests'])

    def test_no_overshoot_at_rest(self):
        """Guards against a right that two hosts use at the same time."""
        self.check_overshoot('rest')

    def test_no_overshoot_while_hosts_restart(self):
        """Guards against a restarted host that grants a full burst again."""
        self.check_overshoot('restarts')

    def test_no_overshoot_while_hosts_are_cut_off(self):
        """Guards against owners in a partition that use the same rights."""
        self.check_overshoot('cut')

    def test_no_false_ejection_under_a_slow_service(self):
        """Guards against judging a target by its own past latency.

        All targets of the service become slow together, so none may be
        ejected.
        """
        result = measure('innocent/slow service', 'product')
        self.assertEqual(0, result['false ejections'])

    def test_no_overrun_of_cold_targets(self):
        """Guards against a ramp that rises faster than the target warms up."""
        result = measure('cold', 'product')
        self.assertEqual(0, result['overruns of cold targets'])


class BaselineTest(unittest.TestCase):
    def test_round_robin_overruns_cold_targets(self):
        """Guards against a fake target that never counts an overrun."""
        result = measure('cold', 'round robin')
        self.assertGreater(result['overruns of cold targets'], 0)

    def test_round_robin_ejects_over_a_bad_link(self):
        """Guards against a scenario in which no host sees errors."""
        result = measure('innocent/bad link', 'round robin')
        self.assertGreater(result['false ejections'], 0)

    def test_fixed_share_refuses_more(self):
        """Guards against a simulated load balancer that spreads load evenly.

        With even load a fixed share per host would refuse no more.
        """
        key = 'false refusals %'
        product_share = measure('rates/rest', 'product')[key]
        self.assertGreater(
            measure('rates/rest', 'fixed share')[key], product_share
        )
