"""Idle daemons: CPU time, memory and traffic between hosts."""

import asyncio

from . import fleets
from . import samples

# Rights become usable after a quarantine of 3.3 s and a growth delay of 8.3 s.
SETTLE_TIME_S = 15.0


async def run_sizes(sizes, rounds, duration_s):
    """Return a row of means per host for each fleet size and round."""
    rows = []
    for size in sizes:
        async with fleets.run_fleet(size, 3) as fleet:
            await asyncio.sleep(SETTLE_TIME_S)
            for number in range(rounds):
                rates = await samples.measure_rates(fleet.hosts, duration_s)
                rows.append(
                    {'hosts': size, 'round': number + 1}
                    | samples.summarize(rates)
                )
    return rows
