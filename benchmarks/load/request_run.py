"""Requests through one host of a fleet, compared with direct requests."""

import asyncio

from . import fleets
from . import idle_run
from . import samples
from emulator import callers

PERCENTILES = (50, 99, 99.9)

# Cold targets accept one request at a time, so the first requests are excluded
# from the figures.
WARM_UP_REQUESTS = 300


async def run_rates(size, targets, rates, count, rounds, seed):
    """Return a row of figures for each rate and round."""
    rows = []
    async with fleets.run_fleet(size, targets) as fleet:
        await asyncio.sleep(idle_run.SETTLE_TIME_S)
        owners = await fleets.find_owners(fleet)
        entry = next(host for host in fleet.hosts if host not in owners)
        await _call([entry.caller_url], rates[0], WARM_UP_REQUESTS, seed)
        idle_rates = await samples.measure_rates(fleet.hosts, 10.0)
        for rate in rates:
            for number in range(rounds):
                row = {'rate': rate, 'round': number + 1}
                figures = await _compare(
                    fleet,
                    entry,
                    owners,
                    idle_rates,
                    rate,
                    count,
                    seed + number,
                )
                rows.append(row | figures)
    return rows


async def _call(urls, rate, count, seed):
    plan = callers.Plan(
        urls=tuple(urls),
        path=fleets.PATH,
        key=fleets.KEY,
        rate=rate,
        count=count,
        duration_s=callers.DURATION_LIMIT_S,
        connections=64,
        seed=seed,
    )
    return await callers.Callers(plan).run()


async def _compare(fleet, entry, owners, idle_rates, rate, count, seed):
    """Send requests directly to the targets, then through the entry host."""
    direct = await _call([t.url for t in fleet.targets], rate, count, seed)
    before = await samples.read_samples(fleet.hosts)
    proxied = await _call([entry.caller_url], rate, count, seed)
    after = await samples.read_samples(fleet.hosts)
    cpu_ms = compute_request_cpu_ms(
        fleet.hosts, before, after, idle_rates, count
    )
    row = {
        'answered': proxied.count(kind='answered'),
        'direct_answered': direct.count(kind='answered'),
    }
    for percentile in PERCENTILES:
        direct_ms = direct.get_percentile_ms('answered', percentile)
        proxied_ms = proxied.get_percentile_ms('answered', percentile)
        row[f'direct_p{percentile}_ms'] = direct_ms
        row[f'added_p{percentile}_ms'] = round(proxied_ms - direct_ms, 2)
    by_address = dict(zip((h.address for h in fleet.hosts), cpu_ms))
    entry_ms = by_address[entry.address]
    owners_ms = sum(by_address[a] for a in {h.address for h in owners})
    return row | {
        'entry_cpu_ms': round(entry_ms, 3),
        'owners_cpu_ms': round(owners_ms, 3),
        'others_cpu_ms': round(sum(cpu_ms) - entry_ms - owners_ms, 3),
        'load': samples.read_load_average(),
    }


def compute_request_cpu_ms(hosts, before, after, idle_rates, count):
    """Return each host's CPU time per request, less its idle use, in ms."""
    total_rates = samples.compute_rates(before, after)
    return [
        (use['core_share'] - idle['core_share'])
        * (new.at - old.at)
        * 1000
        / count
        for use, idle, old, new in zip(
            total_rates, idle_rates, before, after, strict=True
        )
    ]
