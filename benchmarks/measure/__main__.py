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

FULL = {
    'trials': 30,
    'innocent_s': 300.0,
    'overload_s': 40.0,
    'cold_s': 90.0,
    'rates_warm_s': 12.0,
    'rates_s': 30.0,
    'hosts': 48,
    'services': 3,
}
QUICK = {
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
OWNER_OR_ROUND_ROBIN = {'product': PRODUCT, 'round robin': ROUND_ROBIN}
RATES = {'product': False, 'fixed share': True}
# What each deployment weighs most (section 1.2 of the design page).
HEAVIEST = {
    'federacion': ('fairness', 'domain'),
    'segull': ('rates', 'gray', 'innocent'),
}

# Scenarios: function, variants with their argument, further arguments.
SCENARIOS = {
    **{
        f'gray/{kind}': (service.detect, OWNER_OR_ROUND_ROBIN, (kind,))
        for kind in targets.GRAY
    },
    **{
        f'innocent/{kind}': (
            service.eject_falsely,
            OWNER_OR_ROUND_ROBIN,
            (kind,),
        )
        for kind in ('healthy', 'slow service', 'bad link')
    },
    'fairness': (
        service.serve_fairly,
        {**OWNER_OR_ROUND_ROBIN, 'fifo': FIFO},
        (),
    ),
    **{
        f'domain/{kind}': (service.lose_domain, OWNER_OR_ROUND_ROBIN, (kind,))
        for kind in ('planned', 'abrupt')
    },
    'cold': (service.fall_cold, OWNER_OR_ROUND_ROBIN, ()),
    **{
        f'rates/{event}': (rate_run.run_rates, RATES, (event,))
        for event in ('rest', 'restarts', 'cut')
    },
}


def measure(deployment, scenario, variant, seed, quick):
    """Return the figures of one variant in one scenario."""
    function, variants, arguments = SCENARIOS[scenario]
    length = QUICK if quick else FULL
    sized = dataclasses.replace(
        sizes.DEPLOYMENTS[deployment], hosts=length['hosts']
    )
    return function(
        sized,
        f'{seed}/{deployment}/{scenario}',
        length,
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
    """Return a Markdown table for each deployment, by its weighting."""
    lines = []
    for deployment, scenarios in tree.items():
        heaviest = HEAVIEST[deployment]
        order = sorted(
            scenarios, key=lambda name: name.partition('/')[0] not in heaviest
        )
        lines += [f'## {deployment}: {" and ".join(heaviest)} weigh most', '']
        lines += ['| scenario | figure | product | baselines |']
        lines += ['|---|---|---|---|']
        for scenario in order:
            lines += format_scenario(scenario, scenarios[scenario])
        lines.append('')
    return '\n'.join(lines)


def format_scenario(scenario, variants):
    """Return the table rows of a scenario; the product comes first."""
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
    wanted = options.scenario or list(SCENARIOS)
    scenarios = [
        name
        for name in SCENARIOS
        if name in wanted or name.partition('/')[0] in wanted
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
