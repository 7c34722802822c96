"""Fleets with one service and one workspace for load benchmarks."""

import asyncio
import contextlib

import httpx

from emulator import fleet as fleet_module
from emulator import tickets

KEY = 'key-of-the-load-run'
PATH = '/load'

# The burst is too small for a second token owner (shares.MIN_OWNER_BURST), so
# that the CPU time of the only one can be reported separately.
BURST = 11.0
RATE = 2000.0

# The targets accept more concurrent requests than the service has slots for.
TARGET_BEHAVIOUR = {'slots': 64, 'work_s': 0.005}
SLOTS_PER_TARGET = 16

READY_TIMEOUT_S = 180.0


@contextlib.asynccontextmanager
async def run_fleet(host_count, target_count):
    """Yield a fleet whose hosts are ready and have applied the ticket."""
    async with fleet_module.run_fleet(host_count, target_count) as fleet:
        for target in fleet.targets:
            await fleet.control(target.url, 'behaviour', TARGET_BEHAVIOUR)
        await fleet.publish('tickets/000001', format_first_ticket(fleet))
        await fleet.start_hosts()
        async with asyncio.timeout(READY_TIMEOUT_S):
            await fleet.wait_for_hosts()
        yield fleet


def format_first_ticket(fleet):
    """Return a ticket with the fleet, the workspace, service and route."""
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
    """Return the state that a host serves on its admin address."""
    async with httpx.AsyncClient(trust_env=False, timeout=60) as client:
        return (await client.get(f'{host.admin_url}/-/state')).json()


async def find_owners(fleet):
    """Return the owners of the workspace and of the service."""
    lender = (await read_state(fleet.hosts[0]))['owner']['lender']
    borrowers = {right['lent_to'] for right in lender['units']}
    borrowers.add(lender['rates']['load']['lent_to'])
    return [host for host in fleet.hosts if host.address in borrowers]
