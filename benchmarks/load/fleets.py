"""Fleets with one service and one workspace for load runs."""

import asyncio
import contextlib

import httpx

from emulator import fleet as fleet_module
from emulator import tickets

KEY = 'key-of-the-load-run'
PATH = '/load'

# One token owner, so that its processor time can be told apart.
BURST = 11.0
RATE = 2000.0

# Targets run more requests at once than the service's slots.
TARGET_BEHAVIOUR = {'slots': 64, 'work_s': 0.005}
SLOTS_PER_TARGET = 16

READY_TIMEOUT_S = 180.0


@contextlib.asynccontextmanager
async def run_fleet(host_count, target_count):
    """Yield a fleet that is ready and has its ticket in force."""
    async with fleet_module.run_fleet(host_count, target_count) as fleet:
        for target in fleet.targets:
            await fleet.control(target.url, 'behaviour', TARGET_BEHAVIOUR)
        await fleet.publish('tickets/000001', format_first_ticket(fleet))
        await fleet.start_hosts()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await fleet.wait_for_hosts()
        yield fleet


def format_first_ticket(fleet):
    """Return the ticket of the load run's own objects."""
    return tickets.format_ticket(
        1,
        tickets.format_fleet(host.address for host in fleet.hosts),
        *(tickets.format_domain(name) for name in fleet_module.DOMAINS),
        tickets.format_workspace('load', KEY, RATE, BURST),
        tickets.format_service(
            'load', fleet.targets, slots=SLOTS_PER_TARGET, timeout_ms=10_000
        ),
        tickets.format_route('load', PATH, 'load'),
    )


async def read_state(host):
    """Return the state of a host."""
    async with httpx.AsyncClient(trust_env=False, timeout=60) as client:
        return (await client.get(f'{host.admin_url}/-/state')).json()


async def find_owners(fleet):
    """Return the hosts that own the workspace and the service."""
    lender = (await read_state(fleet.hosts[0]))['owner']['lender']
    borrowers = {right['lent_to'] for right in lender['units']}
    borrowers.add(lender['rates']['load']['lent_to'])
    return [host for host in fleet.hosts if host.address in borrowers]
