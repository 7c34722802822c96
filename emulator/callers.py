"""Load tool: asynchronous callers with a fixed rate and seed.

    python -m emulator.callers --url http://127.0.0.2:7000 \
        --path /heats/ --key KEY --rate 50 --count 500

Calls are scheduled with exponentially distributed intervals. Latency is
measured from the scheduled time, so that it includes queueing when the
service is slow.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import ipaddress
import json
import pathlib
import random
import time
import urllib.parse

from hdrh import histogram
import httpx
import uuid6

from . import caller_connections

# Limits of one run, so that a mistyped option cannot overload the machine.
COUNT_LIMIT = 200_000
DURATION_LIMIT_S = 600.0

# Range and precision of the latency histogram, in microseconds.
LATENCY_MAX_US = 600_000_000
LATENCY_DIGITS = 3

PERCENTILES = (50, 90, 99, 99.9, 100)


@dataclasses.dataclass(slots=True)
class Plan:
    """Parameters of a load run."""

    urls: tuple[str, ...]
    path: str = '/'
    method: str = 'GET'
    key: str = ''
    rate: float = 10.0
    count: int = 100
    duration_s: float = 60.0
    body_bytes: int = 0
    deadline_ms: int = 10_000
    grace_s: float = 5.0
    connections: int = 50
    idempotency: bool = False
    seed: int = 1

    def check(self):
        """Raise ValueError unless the plan is within the limits."""
        for url in self.urls:
            host = urllib.parse.urlsplit(url).hostname
            if not ipaddress.ip_address(host).is_loopback:
                raise ValueError(f'{url}: not a loopback address')
        if not 0 < self.count <= COUNT_LIMIT:
            raise ValueError(f'count: at most {COUNT_LIMIT}')
        if not 0 < self.duration_s <= DURATION_LIMIT_S:
            raise ValueError(f'duration: at most {DURATION_LIMIT_S} s')
        if self.rate <= 0:
            raise ValueError('rate: expected a positive number')


@dataclasses.dataclass(slots=True)
class Record:
    """Result of one call.

    `kind` is `answered`, `refused` (a response with a verdict), `error` (a
    status of 400 or more without a verdict), `wrong` (an echo that does not
    match the upload), `truncated`, `timeout`, `broken` or `unsent` (no
    connection became free in time, so nothing was sent).
    """

    planned_s: float
    kind: str
    status: int
    verdict: str
    reason: str
    latency_us: int


class Report:
    """Counts and latencies of a run."""

    def __init__(self):
        self.records = []
        self._histograms = {}

    def add(self, record):
        """Add a call."""
        self.records.append(record)
        latencies = self._histograms.get(record.kind)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, LATENCY_MAX_US, LATENCY_DIGITS
            )
            self._histograms[record.kind] = latencies
        latencies.record_value(max(1, min(record.latency_us, LATENCY_MAX_US)))

    def count(self, **fields):
        """Return the number of calls whose fields have these values."""
        return sum(
            all(getattr(record, name) == fields[name] for name in fields)
            for record in self.records
        )

    def get_percentile_ms(self, kind, percentile):
        """Return a latency percentile of one kind in milliseconds."""
        latencies = self._histograms[kind]
        return latencies.get_value_at_percentile(percentile) / 1000

    def as_dict(self):
        """Return the report as a JSON-serialisable dict."""
        kinds = {}
        for kind, latencies in sorted(self._histograms.items()):
            kinds[kind] = {'count': latencies.get_total_count()}
            for percentile in PERCENTILES:
                name = f'p{percentile}_ms'
                kinds[kind][name] = self.get_percentile_ms(kind, percentile)
        ends = collections.Counter(
            (record.kind, record.status, record.verdict, record.reason)
            for record in self.records
        )
        names = ('kind', 'status', 'verdict', 'reason')
        return {
            'kinds': kinds,
            'ends': [
                dict(zip(names, end), count=count)
                for end, count in sorted(ends.items())
            ],
        }

    def format_table(self):
        """Return the report as a text table."""
        titles = ''.join(f'{f"p{p} ms":>11}' for p in PERCENTILES)
        lines = [f'{"kind":<12}{"count":>8}{titles}']
        for kind, statistics in self.as_dict()['kinds'].items():
            cells = ''.join(
                f'{statistics[f"p{p}_ms"]:>11.2f}' for p in PERCENTILES
            )
            lines.append(f'{kind:<12}{statistics["count"]:>8}{cells}')
        for end in self.as_dict()['ends']:
            lines.append(
                f'{end["count"]:>8} {end["kind"]} {end["status"]}'
                f' {end["verdict"]} {end["reason"]}'.rstrip()
            )
        return '\n'.join(lines)


def parse_verdict(value):
    """Split a Lavenderstile-Verdict header into verdict and reason."""
    verdict, _, parameters = value.partition(';')
    _, _, reason = parameters.strip().partition('reason=')
    return verdict.strip(), reason


class Callers:
    """Runs a plan."""

    def __init__(self, plan):
        plan.check()
        self.report = Report()
        self._plan = plan
        self._random = random.Random(plan.seed)
        # The grace period lets the proxy's refusal at the deadline arrive.
        self._connections = caller_connections.CallerConnections(
            plan.connections, plan.deadline_ms / 1000 + plan.grace_s
        )

    async def run(self):
        """Send all calls and return the report."""
        async with contextlib.aclosing(self._connections):
            await self._send_all()
        return self.report

    async def _send_all(self):
        started = time.monotonic()
        planned_s = 0.0
        async with asyncio.TaskGroup() as group:
            for number in range(self._plan.count):
                planned_s += self._random.expovariate(self._plan.rate)
                if planned_s > self._plan.duration_s:
                    break
                wait_s = started + planned_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                body = self._random.randbytes(self._plan.body_bytes)
                url = self._plan.urls[number % len(self._plan.urls)]
                call = self._call(url, body, started, planned_s)
                group.create_task(call)

    def _build_headers(self):
        headers = {'X-Request-Timeout-Ms': str(self._plan.deadline_ms)}
        if self._plan.key:
            headers['Authorization'] = f'Bearer {self._plan.key}'
        if self._plan.idempotency:
            headers['Idempotency-Key'] = str(uuid6.uuid7())
        return headers

    async def _call(self, url, body, started, planned_s):
        status, verdict, reason = 0, '', ''
        try:
            request = httpx.Request(
                self._plan.method,
                url + self._plan.path,
                headers=self._build_headers(),
                content=body or None,
            )
            response = await self._connections.send(url, request)
        except httpx.PoolTimeout:
            kind = 'unsent'
        except httpx.TimeoutException:
            kind = 'timeout'
        except httpx.RemoteProtocolError as error:
            kind = 'truncated' if 'complete' in str(error) else 'broken'
        except httpx.HTTPError:
            kind = 'broken'
        else:
            status = response.status_code
            verdict, reason = parse_verdict(
                response.headers.get('lavenderstile-verdict', '')
            )
            kind = classify_response(response, verdict, body)
        latency_us = round((time.monotonic() - started - planned_s) * 1e6)
        self.report.add(
            Record(planned_s, kind, status, verdict, reason, latency_us)
        )


def classify_response(response, verdict, body):
    """Return the kind of a complete response."""
    if verdict:
        return 'refused'
    if response.status_code >= 400:
        return 'error'
    if response.headers.get('content-type') == 'application/json':
        echo = response.json()
        digest = hashlib.sha256(body).hexdigest()
        if echo.get('sha256', digest) != digest:
            return 'wrong'
    return 'answered'


def build_plan(arguments=None):
    """Return the plan and the JSON file's path from the command line."""
    parser = argparse.ArgumentParser(description='Load on loopback')
    parser.add_argument('--url', action='append', required=True, dest='urls')
    for field in dataclasses.fields(Plan)[1:]:
        name = '--' + field.name.removesuffix('_s').replace('_', '-')
        if field.type is bool:
            options = {'action': 'store_true'}
        else:
            options = {'type': field.type, 'default': field.default}
        parser.add_argument(name, dest=field.name, **options)
    parser.add_argument('--json', type=pathlib.Path, help='file to write')
    options = vars(parser.parse_args(arguments))
    path = options.pop('json')
    return Plan(**(options | {'urls': tuple(options['urls'])})), path


def main():
    """Run the callers as a program."""
    plan, path = build_plan()
    report = asyncio.run(Callers(plan).run())
    print(report.format_table())
    if path is not None:
        path.write_text(json.dumps(report.as_dict(), indent=1) + '\n')


if __name__ == '__main__':
    main()
