"""A fleet of hosts for targets that register themselves, as processes.

The store and the targets run in the caller's event loop, behind proxies that
inject faults. The hosts are processes with their own loopback addresses.
"""

import asyncio
import contextlib
import pathlib
import tempfile

import httpx

from . import fault_proxy
from . import fleet
from . import processes
from . import registered_target
from . import registry_store

CALLER_PORT = 8388
READY_PORT = 8384
ADMIN_PORT = 8381
PEER_PORT = 7560

READY_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05

DOMAINS = ('zone-a', 'zone-b')

SETTINGS = """\
[host]
name = "{name}"
address = "{address}"
domain = "{domain}"

[listen]
caller = "{address}:{caller}"
ready = "{address}:{ready}"
admin = "{address}:{admin}"
peer_port = {peer}

[fleet]
seeds = {seeds}

[registry]
address = "{registry}"

[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetSlack = 64
"""


class EdgeHost:
    """One host and its process."""

    def __init__(self, name, address, domain, directory, extra_settings=''):
        self.name = name
        self.address = address
        self.domain = domain
        self._extra_settings = extra_settings
        self.settings_path = directory / f'{name}.toml'
        self.process = processes.Process(
            name,
            ['lavenderstile.platform'],
            directory / f'{name}.log',
            {'LAVENDERSTILE_NODE_FILE': str(self.settings_path)},
        )

    @property
    def caller_url(self):
        """URL for callers."""
        return f'http://{self.address}:{CALLER_PORT}'

    @property
    def ready_url(self):
        """URL of the readiness endpoint."""
        return f'http://{self.address}:{READY_PORT}/ready'

    def write_settings(self, seeds, registry):
        """Write the settings file."""
        seeds = [f'{seed}:{ADMIN_PORT}' for seed in seeds]
        self.settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                address=self.address,
                domain=self.domain,
                caller=CALLER_PORT,
                ready=READY_PORT,
                admin=ADMIN_PORT,
                peer=PEER_PORT,
                seeds=str(seeds).replace("'", '"'),
                registry=registry,
            )
            + self._extra_settings
        )


class EdgeFleet:
    """Hosts, targets and the store, with fault proxies between them.

    The hosts with the numbers in `separate_hosts` have proxies to the targets
    of their own, so that they can be cut off. A store of their own lists
    these; it must not change while the hosts run. The TOML text
    `extra_settings` is appended to the settings of each host.
    """

    def __init__(self, directory, net, separate_hosts=(), extra_settings=''):
        self.store = registry_store.RegistryStore()
        self.separate_proxies = {}
        self._separate_hosts = frozenset(separate_hosts)
        self._extra_settings = extra_settings
        self._separate_store = registry_store.RegistryStore()
        self.hosts = []
        self.targets = {}
        self.proxies = {}
        self.store_proxy = None
        self.client = None
        self._directory = directory
        self._net = net
        self._stack = contextlib.AsyncExitStack()

    async def start(self, hosts, targets):
        """Start all parts of the fleet; return when all hosts are ready."""
        enter = self._stack.enter_async_context
        self.client = await enter(httpx.AsyncClient(trust_env=False))
        address = await enter(registry_store.serve_store(self.store))
        self.store_proxy = fault_proxy.FaultProxy(address)
        registry = await enter(self.store_proxy.serve())
        for number in range(targets):
            await self.add_target(f'i-{number}', DOMAINS[number % 2])
        separate_registry = await enter(
            registry_store.serve_store(self._separate_store)
        )
        for store in (self.store, self._separate_store):
            store.put('op/config', registry_store.describe_configuration(1))
        addresses = [f'{self._net}.{number + 1}' for number in range(hosts)]
        for number, address in enumerate(addresses):
            domain = DOMAINS[number % 2]
            name = f'host-{number}'
            host = EdgeHost(
                name, address, domain, self._directory, self._extra_settings
            )
            host.write_settings(
                addresses[:3],
                separate_registry
                if number in self._separate_hosts
                else registry,
            )
            self.hosts.append(host)
            await host.process.start()
        for host in self.hosts:
            await self.wait_until_ready(host)

    async def add_target(self, instance, domain, **changes):
        """Start a target and register it; return it."""
        enter = self._stack.enter_async_context
        target = registered_target.RegisteredTarget()
        target_address = await enter(target.serve())
        self.targets[instance] = target
        number = len(self.targets)
        for store, proxies in (
            (self.store, self.proxies),
            (self._separate_store, self.separate_proxies),
        ):
            proxy = proxies[instance] = fault_proxy.FaultProxy(target_address)
            entry = registry_store.describe_target(
                await enter(proxy.serve()), number, zone=domain, **changes
            )
            store.put(f'servers/{instance}', entry)
        return target

    async def wait_until_ready(self, host):
        """Return when a host reports ready."""
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    response = await self.client.get(host.ready_url)
                    if response.status_code == 200:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self):
        """Kill the hosts and stop the store and the targets."""
        await asyncio.gather(
            *(host.process.kill() for host in self.hosts if host.process.pid)
        )
        await self._stack.aclose()


@contextlib.contextmanager
def _reserve_net():
    """Reserve a loopback net; yield the first three octets of addresses."""
    number, holder = fleet.reserve_net()
    try:
        yield f'127.{number}.1'
    finally:
        holder.close()


@contextlib.asynccontextmanager
async def run_edge_fleet(
    hosts=4, targets=4, separate_hosts=(), extra_settings=''
):
    """Start a fleet; yield it; stop it at the end."""
    with (
        tempfile.TemporaryDirectory() as directory,
        _reserve_net() as net,
    ):
        running = EdgeFleet(
            pathlib.Path(directory), net, separate_hosts, extra_settings
        )
        try:
            await running.start(hosts, targets)
            yield running
        finally:
            await running.stop()
