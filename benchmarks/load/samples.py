"""Resource use of daemons, read from /proc and from their metrics."""

import asyncio
import dataclasses
import os
import pathlib
import re
import statistics
import time

import httpx

TICKS_PER_S = os.sysconf('SC_CLK_TCK')

_PEER_COUNTER = re.compile(
    r'^lavenderstile_peer_(calls|bytes)_total\S* (\S+)$'
)


def parse_cpu_s(stat):
    """Return the CPU time in seconds from the text of /proc/PID/stat."""
    # The command name in parentheses may contain spaces and parentheses.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def parse_rss_mb(status):
    """Return the resident memory in MB from the text of /proc/PID/status."""
    found = re.search(r'^VmRSS:\s+(\d+) kB$', status, re.MULTILINE)
    return int(found[1]) * 1024 / 1e6


def parse_peer_counts(metrics):
    """Return (calls, bytes) exchanged with peers from the text of /metrics."""
    counts = {'calls': 0.0, 'bytes': 0.0}
    for line in metrics.splitlines():
        found = _PEER_COUNTER.match(line)
        if found:
            counts[found[1]] += float(found[2])
    return counts['calls'], counts['bytes']


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Resources that a daemon has used since its start."""

    at: float
    cpu_s: float
    rss_mb: float
    calls: float
    payload: float


async def read_samples(hosts):
    """Return one sample per host."""
    async with httpx.AsyncClient(trust_env=False, timeout=30) as client:
        return [await _read_sample(client, host) for host in hosts]


async def _read_sample(client, host):
    response = await client.get(f'{host.admin_url}/metrics')
    calls, payload = parse_peer_counts(response.text)
    directory = pathlib.Path(f'/proc/{host.process.pid}')
    return Sample(
        time.monotonic(),
        parse_cpu_s((directory / 'stat').read_text()),
        parse_rss_mb((directory / 'status').read_text()),
        calls,
        payload,
    )


def compute_rates(before, after):
    """Return each host's resource use per second between two samples."""
    return [
        {
            'core_share': (new.cpu_s - old.cpu_s) / (new.at - old.at),
            'calls_per_s': (new.calls - old.calls) / (new.at - old.at),
            'bytes_per_s': (new.payload - old.payload) / (new.at - old.at),
            'rss_mb': new.rss_mb,
        }
        for old, new in zip(before, after, strict=True)
    ]


async def measure_rates(hosts, duration_s):
    """Return each host's resource use per second over `duration_s`."""
    before = await read_samples(hosts)
    await asyncio.sleep(duration_s)
    return compute_rates(before, await read_samples(hosts))


def summarize(rates):
    """Return the mean of each figure over the hosts, and the load average."""
    means = {
        name: round(statistics.fmean(rate[name] for rate in rates), 4)
        for name in rates[0]
    }
    return means | {'load': read_load_average()}


def read_load_average():
    """Return the load average of the machine over the last minute."""
    return round(os.getloadavg()[0], 1)
