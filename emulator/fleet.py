"""Starts stand-ins and daemons on loopback addresses.

    python -m emulator.fleet --hosts 3 --targets 3

runs a fleet until SIGINT or SIGTERM and prints the addresses. Without
`--ticket` it publishes the demonstration ticket. Tests use `run_fleet`.
Addresses are 127.<net>.<kind>.<number>, where <net> is a number that no
other fleet on this machine uses.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import tempfile

import httpx

from . import processes
from . import serving
from . import tickets

DOMAINS = ('domain-a', 'domain-b', 'domain-c')

CALLER_PORT = 7000
PEER_PORT = 7001
ADMIN_PORT = 7002
TARGET_PORT = 7800
PLATFORM_PORT = 7900

# Loopback nets for fleets: 127.<net>.0.0/16.
NETS = range(20, 250)

# Time-out for a daemon or stand-in to become ready.
READY_LIMIT_S = 60.0

POLL_INTERVAL_S = 0.05

# Shorter than the default, so that hosts stop quickly in tests.
DRAIN_LAG_S = 1.0


def reserve_net():
    """Return a free net and the bound socket that reserves it."""
    for net in NETS:
        with contextlib.suppress(OSError):
            return net, serving.bind_exclusive(f'127.{net}.0.1', 7999)
    raise RuntimeError('no free loopback net')


@dataclasses.dataclass(slots=True)
class Host:
    """A daemon's addresses, failure domain and process."""

    address: str
    domain: str
    process: processes.Process = None

    @property
    def caller_url(self):
        """URL of the listener for callers."""
        return f'http://{self.address}:{CALLER_PORT}'

    @property
    def admin_url(self):
        """URL of the admin listener."""
        return f'http://{self.address}:{ADMIN_PORT}'

    @property
    def peer(self):
        """Address of the listener for peers."""
        return f'{self.address}:{PEER_PORT}'


@dataclasses.dataclass(slots=True)
class TargetServer:
    """A stand-in target's address, failure domain and process."""

    address: str
    domain: str
    process: processes.Process = None

    @property
    def url(self):
        """Base URL."""
        return f'http://{self.address}'


def format_settings(host, platform_url, seeds, timing):
    """Return a daemon's settings as TOML.

    JSON strings, numbers and lists of strings are valid TOML values.
    """
    sections = {
        'host': {
            'name': host.address,
            'address': host.address,
            'domain': host.domain,
        },
        'listen': {
            'caller': f'{host.address}:{CALLER_PORT}',
            'peer': host.peer,
            'admin': f'{host.address}:{ADMIN_PORT}',
        },
        'platform': {
            'configuration_url': platform_url,
            'host_list_url': platform_url,
        },
        'peers': {'seeds': seeds},
        'timing': timing,
    }
    lines = []
    for name, values in sections.items():
        lines.append(f'[{name}]')
        lines += [f'{key} = {json.dumps(values[key])}' for key in values]
    return '\n'.join(lines) + '\n'


class Fleet:
    """The processes of one fleet; created by `run_fleet`."""

    def __init__(self, directory, net, host_count, target_count, timing):
        self.directory = pathlib.Path(directory)
        self.platform_address = f'127.{net}.3.1:{PLATFORM_PORT}'
        self.platform = self._make_process(
            'platform',
            ['emulator.platform', '--listen', self.platform_address],
        )
        self.targets = [
            self._make_target(net, number) for number in range(target_count)
        ]
        self._timing = timing
        self._client = httpx.AsyncClient(trust_env=False, timeout=10)
        self.hosts = [
            Host(f'127.{net}.1.{number + 1}', DOMAINS[number % len(DOMAINS)])
            for number in range(host_count)
        ]
        for number, host in enumerate(self.hosts):
            self._prepare_host(number, host)

    @property
    def platform_url(self):
        """Base URL of the platform."""
        return f'http://{self.platform_address}'

    @property
    def all_processes(self):
        """All processes."""
        return [
            *(host.process for host in self.hosts),
            *(target.process for target in self.targets),
            self.platform,
        ]

    def _make_process(self, name, arguments):
        log_path = self.directory / f'{name}.log'
        return processes.Process(name, arguments, log_path)

    def _make_target(self, net, number):
        address = f'127.{net}.2.{number + 1}:{TARGET_PORT}'
        domain = DOMAINS[number % len(DOMAINS)]
        name = f'target-{number + 1}'
        arguments = ['emulator.target', '--listen', address]
        arguments += ['--name', name, '--seed', str(number + 1)]
        process = self._make_process(name, arguments)
        return TargetServer(address, domain, process)

    def _prepare_host(self, number, host):
        path = self.directory / f'host-{number + 1}.toml'
        seeds = [other.peer for other in self.hosts if other is not host]
        path.write_text(
            format_settings(host, self.platform_url, seeds, self._timing)
        )
        host.process = self._make_process(
            f'host-{number + 1}',
            ['lavenderstile.daemon', '--settings', str(path)],
        )

    async def start_standins(self):
        """Start the platform and the targets and wait for them."""
        for process in (
            self.platform,
            *(target.process for target in self.targets),
        ):
            await process.start()
        await self.wait_until_ready(self.platform, self.platform_url)
        for target in self.targets:
            await self.wait_until_ready(target.process, target.url)
        await self.publish_hosts()

    async def start_hosts(self, hosts=None):
        """Start daemons, all by default."""
        for host in hosts or self.hosts:
            await host.process.start()

    async def wait_for_hosts(self, hosts=None):
        """Wait until daemons, all by default, report ready."""
        for host in hosts or self.hosts:
            await self.wait_until_ready(host.process, host.admin_url)

    async def wait_until_ready(self, process, url, limit_s=READY_LIMIT_S):
        """Wait until a process is ready; raise RuntimeError if it exits."""
        path = '/-/ready' if url.endswith(f':{ADMIN_PORT}') else ''
        path = path or '/control/counters'
        if process is self.platform:
            path = '/v1/stats'
        async with asyncio.timeout(limit_s):
            while True:
                if not process.is_running:
                    raise RuntimeError(
                        f'{process.name} exited during start: {process.log}'
                    )
                with contextlib.suppress(httpx.HTTPError):
                    response = await self._client.get(url + path)
                    if response.status_code == 200:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def control(self, url, action, body=None):
        """Call a control endpoint of a stand-in; return its response."""
        response = await self._client.post(
            f'{url}/control/{action}', json=body or {}
        )
        response.raise_for_status()
        return response.json()

    async def publish(self, key, value):
        """Publish a value on the platform."""
        body = {'key': key, 'value': value}
        await self.control(self.platform_url, 'values', body)

    async def publish_hosts(self, leaving=()):
        """Publish the host list."""
        hosts = [
            {
                'address': host.peer,
                'state': 'leaving' if host in leaving else 'live',
            }
            for host in self.hosts
        ]
        await self.control(self.platform_url, 'hosts', {'hosts': hosts})

    async def stop(self):
        """Stop all processes."""
        await self._client.aclose()
        await asyncio.gather(
            *(process.stop() for process in self.all_processes)
        )


@contextlib.asynccontextmanager
async def run_fleet(hosts=3, targets=3, timing=None):
    """Start stand-ins; yield the fleet; stop all processes at the end.

    `Fleet.start_hosts` starts the daemons.
    """
    timing = {'balancer_lag_s': DRAIN_LAG_S} if timing is None else timing
    net, lock = reserve_net()
    with contextlib.closing(lock), tempfile.TemporaryDirectory() as path:
        fleet = Fleet(path, net, hosts, targets, timing)
        try:
            await fleet.start_standins()
            yield fleet
        finally:
            await fleet.stop()


async def run_program(options):
    """Run a fleet until a signal arrives."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    async with run_fleet(options.hosts, options.targets) as fleet:
        for path in options.ticket:
            await fleet.publish(f'tickets/{path.stem}', path.read_text())
        if not options.ticket:
            await fleet.publish('tickets/1', tickets.format_demo_ticket(fleet))
        await fleet.start_hosts()
        await fleet.wait_for_hosts()
        print(f'platform {fleet.platform_url}')
        for target in fleet.targets:
            print(f'target {target.url} {target.domain}')
        for host in fleet.hosts:
            print(f'host {host.caller_url} {host.admin_url} {host.domain}')
        print('ready', flush=True)
        await stopped.wait()


def main():
    """Run a fleet as a program."""
    parser = argparse.ArgumentParser(description='Fleet on loopback')
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--targets', type=int, default=3)
    parser.add_argument(
        '--ticket', type=pathlib.Path, action='append', default=[]
    )
    asyncio.run(run_program(parser.parse_args()))


if __name__ == '__main__':
    main()
