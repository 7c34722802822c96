"""Runs a load benchmark, prints a table and writes JSON on request.

python -m benchmarks.load rest --sizes 3 6 12
python -m benchmarks.load requests --hosts 6 --rates 25 50
python -m benchmarks.load state --steps workspaces=2000 routes=4000
"""

import argparse
import asyncio
import json
import pathlib
import signal

from . import idle_run
from . import request_run
from . import state_run

# Limits of one run, so that a mistyped option cannot overload the machine.
HOSTS_LIMIT = 48
COUNT_LIMIT = 20_000
ROUNDS_LIMIT = 20
DURATION_LIMIT_S = 60.0


def parse_step(text):
    """Return (kind, count) from a text such as `routes=4000`."""
    kind, _, count = text.partition('=')
    if (
        kind not in state_run.OBJECTS_PER_TICKET
        or not 0 < int(count) <= COUNT_LIMIT
    ):
        raise argparse.ArgumentTypeError(
            f'{text}: unknown kind, or count not in 1 to {COUNT_LIMIT}'
        )
    return kind, int(count)


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description='Load runs on loopback')
    parser.add_argument('run', choices=('rest', 'requests', 'state'))
    parser.add_argument('--sizes', type=int, nargs='+', default=[3, 6])
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--targets', type=int, default=4)
    parser.add_argument('--rates', type=float, nargs='+', default=[25.0])
    parser.add_argument('--count', type=int, default=1000)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--duration', type=float, default=10.0)
    parser.add_argument('--steps', type=parse_step, nargs='+', default=[])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', type=pathlib.Path, help='file to write')
    return parser


def check_bounds(options):
    """Raise ValueError when an option exceeds its limit."""
    bounds = (
        ('hosts', max(options.hosts, *options.sizes), HOSTS_LIMIT),
        ('count', options.count, COUNT_LIMIT),
        ('rounds', options.rounds, ROUNDS_LIMIT),
        ('duration', options.duration, DURATION_LIMIT_S),
    )
    for name, value, limit in bounds:
        if not 0 < value <= limit:
            raise ValueError(
                f'{name}: got {value}, expected more than 0, up to {limit}'
            )
    if options.run == 'requests' and options.hosts < 3:
        raise ValueError(
            'hosts: expected at least 3, an entry host and two owners'
        )


async def run(options):
    """Return the rows of figures of the chosen run."""
    rounds, duration_s = options.rounds, options.duration
    match options.run:
        case 'rest':
            return await idle_run.run_sizes(options.sizes, rounds, duration_s)
        case 'state':
            return await state_run.run_steps(options.steps, rounds, duration_s)
    return await request_run.run_rates(
        options.hosts,
        options.targets,
        options.rates,
        options.count,
        rounds,
        options.seed,
    )


async def run_until_signal(options):
    """Run until done or until a signal cancels the run.

    A cancelled run stops its processes before it ends.
    """
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()

    def cancel():
        # A second signal must not interrupt the stop of the processes.
        if not task.cancelling():
            task.cancel()

    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, cancel)
    return await run(options)


def format_table(rows):
    """Return the rows as a text table with aligned columns."""
    names = list(rows[0])
    widths = [max(10, len(name) + 1) for name in names]
    lines = [''.join(f'{n:>{w}}' for n, w in zip(names, widths))]
    for row in rows:
        cells = zip(row.values(), widths, strict=True)
        lines.append(''.join(f'{value:>{width}g}' for value, width in cells))
    return '\n'.join(lines)


def main(arguments=None):
    """Run the program."""
    options = build_parser().parse_args(arguments)
    check_bounds(options)
    rows = asyncio.run(run_until_signal(options))
    print(format_table(rows))
    if options.json is not None:
        options.json.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    main()
