"""Prints memory and time per configured object for growing configurations.

Run it from the root of the repository:

    python -m benchmarks.configuration
"""

import gc
import hashlib
import statistics
import time
import tracemalloc

from lavenderstile import configuration
from lavenderstile import keys
from lavenderstile import routes
from lavenderstile import tickets

SIZES = (1_000, 10_000, 100_000)

# A ticket with 1,000 workspaces has about 140 KB.
OBJECTS_PER_TICKET = 1_000

LOOKUPS = 20_000
CHANGES = 20


def workspace_table(number):
    """Return the TOML table of a workspace with one key."""
    digest = hashlib.sha256(f'key-{number}'.encode()).hexdigest()
    return (
        f'[workspaces.w{number}]\nkey_digests = ["{digest}"]\n'
        'rate = 100\nburst = 50\n'
    )


def route_table(number):
    """Return the TOML table of a route with a path of three segments."""
    path = f'/v1/s{number % 1000}/r{number}'
    return (
        f'[routes.r{number}]\npath = "{path}"\n'
        f'methods = ["GET"]\nservice = "s{number % 1000}"\n'
    )


def service_table(number):
    """Return the TOML table of a service with 20 targets.

    Services are expected to have 20 targets on average.
    """
    targets = ', '.join(
        f'{{address = "10.{number >> 8}.{number & 255}.{index}:80", '
        f'domain = "d{index % 3}", slots = 4}}'
        for index in range(20)
    )
    return f'[services.s{number}]\ntargets = [{targets}]\n'


def build_ticket_texts(count, build_table, per_ticket):
    """Return the texts of tickets that contain `count` tables in total."""
    return [
        f'ticket = {start + 1}\n'
        + ''.join(map(build_table, range(start, start + per_ticket)))
        for start in range(0, count, per_ticket)
    ]


def measure(build):
    """Return the result of `build`, its duration in seconds and its bytes."""
    gc.collect()
    started = time.perf_counter()
    result = build()
    seconds = time.perf_counter() - started
    del result
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return result, seconds, size


def build_configuration(texts):
    """Return a configuration with the tickets applied."""
    state = configuration.Configuration()
    state.apply_all([tickets.parse_ticket(text, 'm') for text in texts])
    return state


def print_figure(name, count, value, unit):
    """Print one figure with its object count and unit."""
    print(f'{name:34} {count:>8} {value:12.3f} {unit}')


def time_calls(call, arguments):
    """Return the mean duration of a call in microseconds."""
    started = time.perf_counter()
    for argument in arguments:
        call(argument)
    return (time.perf_counter() - started) / len(arguments) * 1e6


def measure_state(kind, count, build_table, per_ticket, objects_per_table=1):
    """Print time and memory of Configuration for one kind of object.

    `count` is a number of objects; each table counts as
    `objects_per_table`, such as the 20 targets of a service.
    """
    texts = build_ticket_texts(
        count // objects_per_table, build_table, per_ticket
    )
    state, seconds, size = measure(lambda: build_configuration(texts))
    text_bytes = sum(len(text) for text in state.tickets.values())
    print_figure(
        f'{kind}: parse and apply', count, seconds / count * 1e6, 'us'
    )
    print_figure(f'{kind}: memory', count, size / count, 'bytes')
    print_figure(
        f'{kind}: of it ticket texts', count, text_bytes / count, 'bytes'
    )
    print_figure(
        f'{kind}: largest ticket', count, max(map(len, texts)), 'bytes'
    )
    return state


def measure_change(kind, state, build_table, index=None):
    """Print the time to apply a ticket with one object.

    `index`, if given, is the key ring or route table to refresh after it.
    """
    apply_times_s = []
    refresh_times_s = []
    for number in range(CHANGES):
        text = f'ticket = {10**7 + number}\n{build_table(number)}'
        ticket = tickets.parse_ticket(text, 'm')
        started = time.perf_counter()
        result = state.apply(ticket)
        apply_times_s.append(time.perf_counter() - started)
        if index is not None:
            names = configuration.collect_names([result], kind)
            started = time.perf_counter()
            index.refresh(getattr(state, kind), names)
            refresh_times_s.append(time.perf_counter() - started)
    count = len(getattr(state, kind))
    print_figure(
        f'{kind}: apply one',
        count,
        statistics.median(apply_times_s) * 1e3,
        'ms',
    )
    if refresh_times_s:
        refresh_ms = statistics.median(refresh_times_s) * 1e3
        print_figure(f'{kind}: refresh index', count, refresh_ms, 'ms')


def measure_keys(state, count):
    """Print build time, memory and lookup time of KeyRing."""
    ring, seconds, size = measure(
        lambda: keys.KeyRing.from_workspaces(state.workspaces)
    )
    print_figure('key ring: build', count, seconds / count * 1e6, 'us')
    print_figure('key ring: memory', count, size / count, 'bytes')
    known_keys = [f'key-{n % count}' for n in range(LOOKUPS)]
    print_figure(
        'key ring: find', count, time_calls(ring.find, known_keys), 'us'
    )
    return ring


def measure_routes(state, count):
    """Print build time, memory and match time of RouteTable."""
    table, seconds, size = measure(lambda: routes.RouteTable(state.routes))
    print_figure('route table: build', count, seconds / count * 1e6, 'us')
    print_figure('route table: memory', count, size / count, 'bytes')
    known_paths = [
        f'/v1/s{n % count % 1000}/r{n % count}/x' for n in range(LOOKUPS)
    ]
    match_us = time_calls(lambda path: table.match('GET', path), known_paths)
    print_figure('route table: match', count, match_us, 'us')
    return table


def main():
    """Print the figures of all sizes."""
    for count in SIZES:
        state = measure_state(
            'workspaces', count, workspace_table, OBJECTS_PER_TICKET
        )
        ring = measure_keys(state, count)
        measure_change('workspaces', state, workspace_table, ring)
        state = measure_state('routes', count, route_table, OBJECTS_PER_TICKET)
        table = measure_routes(state, count)
        measure_change('routes', state, route_table, table)
        state = measure_state('targets', count, service_table, 50, 20)
        measure_change('services', state, service_table)


if __name__ == '__main__':
    main()
