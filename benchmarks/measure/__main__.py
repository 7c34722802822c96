"""Measures the product and its baselines; prints a table or JSON."""

import argparse
import concurrent.futures
import dataclasses
import functools
import json

from . import policies
from . import rate_run
from . import service_scenarios as service
from . import sizes
from . import targets

FULL_SCALE = {
    'trials': 30,
    'innocent_s': 300.0,
    'overload_s': 40.0,
    'cold_s': 90.0,
    'rates_warm_s': 12.0,
    'rates_s': 30.0,
    'hosts': 48,
    'services': 3,
}
QUICK_SCALE = {
    'trials': 1,
    'innocent_s': 65.0,
    'overload_s': 14.0,
    'cold_s': 30.0,
    'rates_warm_s': 10.0,
    'rates_s': 5.0,
    'hosts': 12,
    'services': 1,
}
PRODUCT = policies.OwnerPolicy
ROUND_ROBIN = policies.RoundRobinPolicy
FIFO = functools.partial(policies.OwnerPolicy, fifo=True)
SERVICE_POLICIES = {'product': PRODUCT, 'round robin': ROUND_ROBIN}
RATE_VARIANTS = {'product': False, 'fixed share': True}
# Groups of scenarios that matter most to each deployment (section 1.2 of the
# design page). The table lists them first.
PRIORITY_SCENARIOS = {
    'federacion': ('fairness', 'domain'),
    'segull': ('rates', 'gray', 'innocent'),
}

# Scenario name -> (function, variant name -> variant, further arguments).
SCENARIOS = {
    **{
        f'gray/{kind}': (service.measure_detection, SERVICE_POLICIES, (kind,))
        for kind in targets.GRAY
    },
    **{
        f'innocent/{kind}': (
            service.measure_false_ejections,
            SERVICE_POLICIES,
            (kind,),
        )
        for kind in ('healthy', 'slow service', 'bad link')
    },
    'fairness': (
        service.measure_fairness,
        {**SERVICE_POLICIES, 'fifo': FIFO},
        (),
    ),
    **{
        f'domain/{kind}': (
            service.measure_domain_outage,
            SERVICE_POLICIES,
            (kind,),
        )
        for kind in ('planned', 'abrupt')
    },
    'cold': (service.measure_cold_starts, SERVICE_POLICIES, ()),
    **{
        f'rates/{event}': (rate_run.run_rates, RATE_VARIANTS, (event,))
        for event in ('rest', 'restarts', 'cut')
    },
}


def measure(deployment, scenario, variant, seed, quick):
    """Return the figures of one variant in one scenario."""
    function, variants, arguments = SCENARIOS[scenario]
    scale = QUICK_SCALE if quick else FULL_SCALE
    scaled_deployment = dataclasses.replace(
        sizes.DEPLOYMENTS[deployment], hosts=scale['hosts']
    )
    return function(
        scaled_deployment,
        f'{seed}/{deployment}/{scenario}',
        scale,
        variants[variant],
        *arguments,
    )


def measure_all(deployments, scenarios, seed, quick, jobs=1):
    """Return deployment -> scenario -> variant -> figures."""
    tasks = [
        (deployment, scenario, variant, seed, quick)
        for deployment in deployments
        for scenario in scenarios
        for variant in SCENARIOS[scenario][1]
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(measure, *zip(*tasks, strict=True)))
    tree = {}
    for (deployment, scenario, variant, *_), result in zip(
        tasks, results, strict=True
    ):
        scenarios = tree.setdefault(deployment, {})
        scenarios.setdefault(scenario, {})[variant] = result
    return tree


def format_table(tree):
    """Return a Markdown table per deployment, priority scenarios first."""
    lines = []
    for deployment, scenarios in tree.items():
        priority_scenarios = PRIORITY_SCENARIOS[deployment]
        order = sorted(
            scenarios,
            key=lambda name: name.partition('/')[0] not in priority_scenarios,
        )
        lines += [
            f'## {deployment}: {" and ".join(priority_scenarios)} weigh most',
            '',
        ]
        lines += ['| scenario | figure | product | baselines |']
        lines += ['|---|---|---|---|']
        for scenario in order:
            lines += format_scenario(scenario, scenarios[scenario])
        lines.append('')
    return '\n'.join(lines)


def format_scenario(scenario, variants):
    """Return the table rows of a scenario.

    The first variant is the product, the others are its baselines.
    """
    product, *baselines = variants
    rows = []
    for figure, value in variants[product].items():
        others = '; '.join(
            f'{name} {variants[name][figure]}' for name in baselines
        )
        rows.append(f'| {scenario} | {figure} | {value} | {others} |')
    return rows


def main():
    """Run the program."""
    parser = argparse.ArgumentParser(
        prog='benchmarks.measure', description=__doc__
    )
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--scenario',
        action='append',
        help='a scenario, or the part before its slash; may be repeated',
    )
    parser.add_argument('--deployment', choices=sizes.DEPLOYMENTS)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--quick', action='store_true')
    parser.add_argument('--jobs', type=int, default=1)
    options = parser.parse_args()
    selected = options.scenario or list(SCENARIOS)
    scenarios = [
        name
        for name in SCENARIOS
        if name in selected or name.partition('/')[0] in selected
    ]
    if not scenarios:
        parser.error(f'unknown scenario; choose of {", ".join(SCENARIOS)}')
    deployments = list(sizes.DEPLOYMENTS)
    if options.deployment:
        deployments = [options.deployment]
    tree = measure_all(
        deployments, scenarios, options.seed, options.quick, options.jobs
    )
    if options.json:
        heading = {'seed': options.seed, 'quick': options.quick}
        print(json.dumps({**heading, 'deployments': tree}, indent=1))
    else:
        print(f'seed {options.seed}, {"quick" if options.quick else "full"}\n')
        print(format_table(tree))


if __name__ == '__main__':
    main()
