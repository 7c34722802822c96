"""Host processes, started with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import resource
import signal
import socket
import sys
import tempfile
import tomllib

from . import wire

ROOT = pathlib.Path(__file__).parents[2]

CALLER_PORT = 8388
READY_PORT = 8384
ADMIN_PORT = 8381
PEER_PORT = 7560

# Descriptors of a machine.
DESCRIPTORS = 4100

READY_LIMIT_S = 40.0

SETTINGS = """\
[host]
name = "{name}"
address = "{address}"
domain = "{zone}"
region = "{region}"

[listen]
caller = "{address}:{caller}"
ready = "{address}:{ready}"
admin = "{address}:{admin}"
peer_port = {peer}

[fleet]
seeds = {seeds}
tolerated_domain_losses = "1"

[registry]
address = "{registry}"

[bounds]
drainS = "2"
graceS = "6"
stableS = "3"
configApplyS = "2"
retryBudgetRatio = "0.2"
retryWindowS = "10"
budgetSlack = "60"
floorShare = "0.7"
"""


def _read_command():
    text = (ROOT / 'deploy/system.toml').read_text()
    words = tomllib.loads(text)['roles']['host']['run'].split()
    if words[0] == 'python3':
        words[0] = sys.executable
    return words


def _prepare():
    """Set what the platform sets for a process before its program starts."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    # The case may run under `nohup`, which would have the hosts ignore it.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


class Host:
    """One host process and its settings."""

    def __init__(self, name, address, zone, directory):
        self.name = name
        self.address = address
        self.zone = zone
        self.settings = directory / f'{name}.toml'
        self.log_path = directory / f'{name}.log'
        self.process = None
        # Descriptors for standard output and error, instead of the log file.
        self.output = None

    def write_settings(self, seeds, registry):
        """Write the settings file, as the template of the host renders it."""
        seeds = [f'"{seed}:{ADMIN_PORT}"' for seed in seeds]
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                address=self.address,
                zone=self.zone,
                region='region',
                caller=CALLER_PORT,
                ready=READY_PORT,
                admin=ADMIN_PORT,
                peer=PEER_PORT,
                seeds=f'[{", ".join(seeds)}]',
                registry=registry,
            )
        )

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['LAVENDERSTILE_NODE_FILE'] = str(self.settings)
        with self.log_path.open('ab') as log:
            stdout, stderr = self.output or (log, log)
            self.process = await asyncio.create_subprocess_exec(
                *_read_command(),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stdout,
                stderr=stderr,
                cwd=ROOT,
                env=environment,
                preexec_fn=_prepare,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def kill(self):
        """Kill the process with SIGKILL, if it runs."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def is_ready(self):
        """Return whether the readiness endpoint answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address, READY_PORT
                )
                try:
                    writer.write(
                        wire.render(
                            'GET /lavenderstile/ready HTTP/1.1',
                            [('host', self.address)],
                        )
                    )
                    message = await wire.read_message(reader)
                    return message is not None and message.status == 200
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self):
        """Return when the host is ready; raise TimeoutError at the limit."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def read_memory_mb(self):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            text = status.read_text()
        except OSError:
            return 0.0
        _, found, rest = text.partition('VmRSS:')
        return int(rest.split()[0]) / 1024 if found else 0.0

    def count_descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))


def _choose_net():
    """Return the first three octets of unused loopback addresses."""
    for _ in range(100):
        net = f'127.{random.randint(40, 199)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f'{net}.1', PEER_PORT))
            return net
    raise RuntimeError('no free loopback addresses')


@contextlib.asynccontextmanager
async def run_hosts(zones, registry, outputs=None):
    """Start a host for each zone named; yield them when all are ready.

    `outputs` has the descriptors for standard output and error by number of
    the host; others write to files.
    """
    net = _choose_net()
    addresses = [f'{net}.{number + 1}' for number in range(len(zones))]
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        hosts = [
            Host(f'host-{number}', address, zone, directory)
            for number, (address, zone) in enumerate(
                zip(addresses, zones, strict=True)
            )
        ]
        for number, output in (outputs or {}).items():
            hosts[number].output = output
        try:
            for host in hosts:
                host.write_settings(addresses[:3], registry)
                await host.start()
            for host in hosts:
                await host.wait_until_ready()
            yield hosts
        finally:
            await asyncio.gather(*(host.kill() for host in hosts))
