"""Idle daemons with a growing number of configured objects."""

import asyncio
import types

import httpx

from . import fleets
from . import idle_run
from . import samples
from emulator import tickets

HOSTS = 3
TARGETS_PER_SERVICE = 18
APPLY_TIMEOUT_S = 240.0

# These counts keep each ticket well under 1 MB.
OBJECTS_PER_TICKET = {'workspaces': 2000, 'routes': 4000, 'targets': 1800}


def format_objects(kind, numbers):
    """Return the ticket tables of the objects with these numbers."""
    match kind:
        case 'workspaces':
            return [
                tickets.format_workspace(f'w-{n}', f'key-{n}', 500.0, 250.0)
                for n in numbers
            ]
        case 'routes':
            return [
                tickets.format_route(f'r-{n}', f'/area/{n}', 'load')
                for n in numbers
            ]
    return [
        tickets.format_service(
            f's-{first}',
            [
                _make_target(n)
                for n in range(first, first + TARGETS_PER_SERVICE)
            ],
            timeout_ms=10_000,
        )
        for first in numbers[::TARGETS_PER_SERVICE]
    ]


def _make_target(number):
    """Return a target at an address without a listener."""
    address = f'127.254.{number // 200 % 250}.{number % 200 + 1}:9'
    return types.SimpleNamespace(address=address, domain='domain-a')


async def run_steps(steps, rounds, duration_s):
    """Return rows of means per host, before and after each (kind, count)."""
    rows, number = [], 1
    totals = dict.fromkeys(OBJECTS_PER_TICKET, 0)
    async with fleets.run_fleet(HOSTS, 3) as fleet:
        await asyncio.sleep(idle_run.SETTLE_TIME_S)
        rows += await _measure(fleet, totals, rounds, duration_s)
        for kind, count in steps:
            new_total = totals[kind] + count
            while totals[kind] < new_total:
                end = min(new_total, totals[kind] + OBJECTS_PER_TICKET[kind])
                tables = format_objects(kind, range(totals[kind], end))
                number += 1
                await fleet.publish(
                    f'tickets/{number:06}',
                    tickets.format_ticket(number, *tables),
                )
                totals[kind] = end
            await _wait_for_ticket(fleet, number)
            await asyncio.sleep(idle_run.SETTLE_TIME_S)
            rows += await _measure(fleet, totals, rounds, duration_s)
    return rows


async def _wait_for_ticket(fleet, number):
    """Wait until every host has applied the newest ticket."""
    async with (
        asyncio.timeout(APPLY_TIMEOUT_S),
        httpx.AsyncClient(trust_env=False, timeout=60) as client,
    ):
        for host in fleet.hosts:
            url = f'{host.admin_url}/-/configuration'
            while (await client.get(url)).json()['newest'] != number:
                await asyncio.sleep(1)


async def _measure(fleet, totals, rounds, duration_s):
    rows = []
    for number in range(rounds):
        rates = await samples.measure_rates(fleet.hosts, duration_s)
        rows.append(totals | {'round': number + 1} | samples.summarize(rates))
    return rows
