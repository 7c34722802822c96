"""The daemon `lavenderstiled`, which runs one host of the fleet."""

import argparse
import asyncio
import contextlib
import signal
import sys

import eliot
import httpx

from . import __version__
from . import admin
from . import admin_responses
from . import claim_client
from . import clocks
from . import configuration as configuration_module
from . import configuration_ages
from . import configuration_task
from . import dispatch
from . import entry
from . import errors
from . import explain
from . import forwarding
from . import gate
from . import host as host_module
from . import logs
from . import membership as membership_module
from . import metrics as metrics_module
from . import owner as owner_module
from . import owner_messages
from . import ownership
from . import peer_exchange
from . import peers
from . import platform_client
from . import probe_task
from . import readiness
from . import serving
from . import settings as settings_module
from . import shutdown
from . import slot_client
from . import token_client

READINESS_INTERVAL_S = 0.1
EXIT_SETTINGS = 2


class Daemon:
    """Creates the tasks of one host and runs them until it is stopped."""

    def __init__(self, settings, clock=None):
        self._clock = clock or clocks.Clock()
        self.metrics = metrics_module.Metrics()
        self.journal = explain.RequestJournal()
        self.membership = membership_module.Membership(
            settings.host.address,
            settings.host.domain,
            int(self._clock.unix() * 1000),
        )
        self._host = host_module.Host(
            settings, self._clock, self.membership, self.metrics
        )
        self._make_state(settings)
        self._make_request_path(settings)
        self._make_control_plane(settings)

    def _make_state(self, settings):
        self.configuration = configuration_module.Configuration()
        self._configuration_task = configuration_task.ConfigurationTask(
            self.configuration, self.metrics
        )
        self._ownership = ownership.Ownership(
            self.membership, self.configuration
        )
        self._ages = configuration_ages.ConfigurationAges()
        self._owner = owner_module.OwnerTask(
            self._clock,
            self.membership,
            self.configuration,
            self._ownership,
            self._ages,
            self.metrics,
        )
        self._platform = httpx.AsyncClient(trust_env=False)
        self._reader = platform_client.ConfigurationReader(
            settings.platform.configuration_url,
            self._platform,
            self._clock,
            self._fleet_size,
            self._is_watcher,
            self._configuration_task.deliver,
            settings.timing.configuration_interval_s,
        )
        self._host_list = platform_client.HostListReader(
            settings.platform.host_list_url,
            self._platform,
            self._clock,
            self._fleet_size,
            self._record_listing,
        )
        self.readiness = readiness.Readiness(
            self._clock,
            self.membership,
            self.configuration,
            self._reader,
            settings.timing.alone_limit_s,
        )

    def _make_request_path(self, settings):
        """Create the components that check, dispatch and forward requests."""
        hints = gate.RateHints()
        checks = gate.Gate(self._configuration_task, hints)
        self._slots = slot_client.SlotClient(
            self._host, self._owner, self._ownership
        )
        tokens = token_client.TokenClient(
            self._host, self._owner, self._ownership, hints
        )
        claims = claim_client.ClaimClient(
            self._host, self._owner, self.configuration
        )
        self._forwarder = forwarding.Forwarder(self._clock)
        dispatcher = dispatch.Dispatcher(
            self._host, checks, self._slots, tokens, claims, self._forwarder
        )
        self._entry = entry.EntryApplication(
            self._host, checks, dispatcher, self.journal, self.readiness
        )
        self._entry_listener = serving.Listener(
            serving.mount(self._entry), settings.listen.caller
        )

    def _make_control_plane(self, settings):
        """Create the components for peers, probes, operators and shutdown."""
        self._exchanges = peer_exchange.Exchanges(
            self._host,
            self.membership,
            self._owner,
            self._ownership,
            self._configuration_task,
            self._ages,
        )
        self._exchanges.connect(
            self._slots.list_running_by_owner,
            lambda: self.readiness.may_own,
            self.readiness.record_synchronized,
        )
        self._owner.connect(
            self._slots.list_running_grants, self._exchanges.start_exchange
        )
        self._probes = probe_task.ProbeTask(
            self._clock, self.configuration, self._owner
        )
        self._admin_listener = serving.Listener(
            admin.create_admin_application(self), settings.listen.admin
        )
        self._shutdown = shutdown.ShutdownSequence(
            self._host,
            self.readiness,
            self._owner,
            self._exchanges,
            self._entry_listener,
        )
        for endpoint in settings.peers.seeds:
            self.membership.add(endpoint.rpartition(':')[0], endpoint)

    def _fleet_size(self):
        known = len(self.membership.peers) + 1
        return max(known, len(self.configuration.fleet.addresses))

    def _is_watcher(self):
        return platform_client.is_watcher(
            self.membership, self._host.domain, self._clock.now()
        )

    def _record_listing(self, hosts):
        self.membership.record_listing(hosts, self._clock.now())

    def request_stop(self):
        """Begin a graceful shutdown."""
        self._shutdown.request_stop()

    def describe_configuration(self):
        """Return the configuration in force, without key digests."""
        return admin_responses.describe_configuration(
            self.configuration, self._configuration_task.key_ring
        )

    def explain_target(self, service, target):
        """Return sentences on a target's state, or None if unknown."""
        return self._owner.explain_target(service, target)

    def dump(self):
        """Return the state of the process as JSON-able data."""
        now = self._clock.now()
        return {
            'version': __version__,
            'ready': self.readiness.ready,
            'reasons': self.readiness.reasons(),
            'shutdown': self._shutdown.state,
            'active_requests': self._entry.active,
            'membership': self.membership.dump(now),
            'configuration': {
                'newest': self.configuration.newest,
                'digest': self.configuration.digest.hex(),
                'objects': len(self.configuration.versions),
                'in_force_s': self._ages.get_age(
                    self.configuration.digest, now
                ),
            },
            'configuration_service': {
                'revision': self._reader.revision,
                'calls': self._reader.calls,
                'watching': self._is_watcher(),
            },
            'owner': self._owner.dump(),
        }

    async def run(self):
        """Run until a graceful shutdown is complete."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start_server(stack)
            background = [
                asyncio.create_task(coroutine)
                for coroutine in self._background_coroutines()
            ]
            stack.push_async_callback(_cancel_all, background)
            listeners = [
                asyncio.create_task(listener.run_until_finished())
                for listener in (self._entry_listener, self._admin_listener)
            ]
            stack.push_async_callback(_cancel_all, listeners)
            await self._wait_for_end(background, listeners)
            self._admin_listener.should_exit = True
            await asyncio.gather(*listeners)

    async def _start_server(self, stack):
        servicer = peers.PeerServicer(
            self._owner,
            self._exchanges,
            self.configuration,
            peers.Relay(
                self._clock,
                self.membership,
                self._ownership,
                self._host.clients,
            ),
        )
        try:
            server = await peers.start_server(
                servicer, self._host.settings.listen.peer
            )
        except OSError as error:
            raise errors.SettingsError('listen.peer', [str(error)]) from error
        stack.push_async_callback(self._platform.aclose)
        stack.push_async_callback(self._host.close)
        stack.push_async_callback(self._forwarder.close)
        stack.push_async_callback(server.stop, 1.0)

    def _background_coroutines(self):
        return (
            self._configuration_task.run(),
            self._owner.run(),
            self._exchanges.run(),
            self._reader.run(),
            self._host_list.run(),
            self._forwarder.run(),
            self._limit_connections(),
            self._probes.run(),
            self._watch_clock(),
        )

    async def _wait_for_end(self, background, listeners):
        """Wait for the graceful shutdown; re-raise any task's exception."""
        stop = asyncio.create_task(self._shutdown.run())
        waiting = {stop, *background, *listeners}
        while not stop.done():
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done - {stop}:
                if task.exception() is not None:
                    stop.cancel()
                    raise task.exception()
        stop.result()

    async def _limit_connections(self):
        """Divide each target's connection limit among the hosts."""
        generation = -1
        while True:
            if generation != self.configuration.generation:
                generation = self.configuration.generation
                await self._forwarder.set_limits(
                    _divide_connections(self.configuration)
                )
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _watch_clock(self):
        """Update readiness and detect pauses of the process."""
        detector = clocks.PauseDetector(
            self._clock.now(), READINESS_INTERVAL_S
        )
        while True:
            await asyncio.sleep(READINESS_INTERVAL_S)
            pause_s = detector.check(self._clock.now())
            if pause_s > 0:
                self.metrics.pauses.inc({})
                eliot.log_message('pause_noticed', seconds=round(pause_s, 3))
                self._owner.post(owner_messages.Paused(pause_s))
            self.readiness.update()


def _divide_connections(configuration):
    """Return this host's connection limit by target address."""
    hosts = len(configuration.fleet.addresses)
    return {
        target.address: forwarding.compute_limit(service.connections, hosts)
        for service in configuration.services.values()
        for target in service.targets
    }


async def _cancel_all(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_daemon(settings):
    """Run a daemon until SIGTERM, SIGINT or a drain request stops it."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.request_stop)
    await daemon.run()


def main(arguments=None):
    """Run the program; return its exit status."""
    parser = argparse.ArgumentParser(
        prog='lavenderstiled', description='One host of the proxy fleet.'
    )
    parser.add_argument('--settings', required=True, metavar='FILE')
    parser.add_argument('--version', action='version', version=__version__)
    options = parser.parse_args(arguments)
    try:
        settings = settings_module.load_settings(options.settings)
        logs.start_logging(settings.host.name, settings.log.level)
        asyncio.run(run_daemon(settings))
    except errors.UserError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
