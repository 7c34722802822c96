"""One host: its components, listeners, startup and graceful shutdown."""

import asyncio
import contextlib
import functools
import signal
import traceback

import eliot
import msgspec

from .. import clocks
from .. import errors
from . import balancing
from . import budgets as budgets_module
from . import callers
from . import crash_guard
from . import directory as directory_module
from . import explainer as explainer_module
from . import explanation
from . import fleet as fleet_module
from . import handler as handler_module
from . import health as health_module
from . import log_writer
from . import mesh as mesh_module
from . import metrics as metrics_module
from . import outcomes as outcomes_module
from . import path_tester
from . import paths as paths_module
from . import pauses as pauses_module
from . import rate_limits as rate_limits_module
from . import registry
from . import relay as relay_module
from . import settings as settings_module
from . import target_limits as target_limits_module
from . import target_pools
from . import watcher_selection as watcher_selection_module
from .admission import expected_wait
from .admission import fleet_waiting
from .admission import urgency
from .admission import usage
from .admission import waiting as waiting_module
from .evidence import notices as notices_module
from .evidence import reports as reports_module
from .listeners import limits
from .listeners import resources
from .room import fleet_balancer

# The load balancer in front of the hosts sends new connections until two
# readiness probes, one a second, have failed.
BALANCER_LAG_S = 3.0

# Time reserved at the end of a shutdown for the process to exit; 0.4 s was
# too little on a busy host.
STOP_MARGIN_S = 0.8

# Time before the end of a shutdown from which on requests are refused, if the
# load balancer sends no more callers then. Most requests take less.
LATE_REQUEST_S = 3.0

# Pause before a background task runs again after an unexpected error.
TASK_RESTART_DELAY_S = 0.25

SWEEP_INTERVAL_S = 0.5
SETTINGS_INTERVAL_S = 2.0
STOP_POLL_S = 0.05

# Idle time after which a shutdown closes a connection, so that one opened just
# before can still send its request.
STOP_IDLE_S = 0.4


class Parts:
    """Components that the tasks of a host share."""

    __slots__ = (
        'balancer',
        'budgets',
        'clock',
        'directory',
        'expected_waits',
        'fleet',
        'guard',
        'header_codec',
        'health',
        'health_exchange',
        'kind_urgency',
        'metrics',
        'notices',
        'outcomes',
        'path_tester',
        'paths',
        'pauses',
        'pools',
        'rate_limits',
        'relay',
        'reports',
        'target_limits',
        'usage',
        'waiting',
        'watcher_selection',
    )

    def __init__(self, settings, header_codec, clock, started_ms):
        self.clock = clock
        self.header_codec = header_codec
        self.metrics = metrics_module.EdgeMetrics()
        self.directory = directory_module.Directory()
        self.fleet = fleet_module.Fleet(
            settings.address, settings.domain, started_ms
        )
        is_pooled = settings.balancing.scope is settings_module.Scope.FLEET
        self.usage = None
        self.waiting = waiting_module.WaitingRequests(self.fleet)
        costs = health_module.SEPARATE_COSTS
        if is_pooled:
            self.usage = usage.WorkspaceUsage()
            self.waiting = fleet_waiting.FleetWaitingRequests(
                self.fleet, clock
            )
            costs = health_module.POOLED_COSTS
        self.rate_limits = rate_limits_module.RateLimits(self.usage)
        self.health = health_module.HealthTracker(costs)
        self.notices = notices_module.FaultNotices(is_pooled)
        self.health_exchange = notices_module.HealthExchange(
            self.directory, settings.domain, self.health, is_pooled
        )
        self.watcher_selection = watcher_selection_module.WatcherSelection(
            self.fleet
        )
        self.kind_urgency = urgency.KindUrgency(
            self.directory, self.health, settings.balancing.scope
        )
        self.expected_waits = expected_wait.ExpectedWaits(
            self.directory,
            self.fleet,
            self.health,
            self.waiting,
            settings.balancing.scope,
        )
        self.outcomes = outcomes_module.Outcomes()
        self.target_limits = target_limits_module.TargetLimits(
            self.directory, self.fleet
        )
        self.pauses = pauses_module.TargetPauses()
        self.balancer = self._get_balancer_maker(settings.balancing.scope)(
            self.directory,
            self.fleet,
            self.health,
            self.outcomes,
            self.target_limits,
            self.pauses,
            settings.limits.floor_share,
        )
        self.budgets = budgets_module.Budgets(settings.limits, clock.now())
        self.pools = target_pools.TargetPools(clock)
        self.paths = paths_module.Paths()
        self.guard = crash_guard.CrashGuard()
        self.reports = reports_module.Reports(self.notices)
        self.path_tester = path_tester.PathTester(self)
        self.relay = relay_module.RelayClient(
            clock, self.fleet, settings.peer_port
        )

    def _get_balancer_maker(self, scope):
        match scope:
            case settings_module.Scope.DOMAIN:
                return balancing.Balancer
            case settings_module.Scope.FLEET:
                return functools.partial(
                    fleet_balancer.FleetBalancer, metrics=self.metrics
                )


class StatusHandler:
    """Serves readiness, metrics and state to the platform and operators.

    Operators can also ask where a request would go.
    """

    def __init__(self, host):
        self._host = host

    async def handle(self, request):
        """Return readiness, metrics, the state, or an explanation."""
        path, _, query = request.path.partition('?')
        match path:
            case '/metrics':
                body, headers = self._host.parts.metrics.render()
                content_type = headers.get(
                    'Content-Type', 'text/plain'
                ).encode()
                return callers.CallerResponse(
                    200, [(b'content-type', content_type)], body
                )
            case '/state':
                return _make_json_response(self._host.describe())
            case explanation.PATH:
                try:
                    return _make_json_response(self._host.explain(query))
                except errors.QueryError as error:
                    return callers.CallerResponse(
                        400, (), f'{error}\n'.encode()
                    )
        reason = self._host.find_unready_reason()
        if reason is None:
            return callers.CallerResponse(200, (), b'ready\n')
        return callers.CallerResponse(503, (), reason.encode() + b'\n')

    def make_refusal(self, status, detail):
        """Return the response to a malformed request."""
        return callers.CallerResponse(status, (), detail.encode())

    def record_fault(self, status, detail):
        """Log a malformed request."""
        eliot.log_message('status_unreadable', status=status, detail=detail)

    def get_body_timeout(self, request):
        """Return the time limit for receiving a request's body, in seconds."""
        return 1.0


def _make_json_response(value):
    return callers.CallerResponse(
        200,
        [(b'content-type', b'application/json')],
        msgspec.json.encode(value),
    )


class Host:
    """A running host; `load_settings` returns the current settings."""

    def __init__(self, load_settings, header_codec, make_client):
        self._load_settings = load_settings
        self._make_client = make_client
        self._settings = load_settings()
        self._clock = clocks.Clock()
        started_ms = int(self._clock.unix() * 1000)
        self.parts = Parts(
            self._settings, header_codec, self._clock, started_ms
        )
        self._log = log_writer.LogWriter(self._settings.name, self._clock)
        self._mesh = mesh_module.Mesh(self.parts, self._settings, started_ms)
        self._watcher = registry.RegistryWatcher(
            make_client(self._settings, self._clock),
            self.parts.directory,
            self.parts.watcher_selection,
            self._clock,
            self.parts.metrics,
            self._apply_directory,
            self._mesh.broadcast_changes,
            lambda: self.parts.reports.schedule_update(),
        )
        self._mesh.apply_batch = self._watcher.apply_batch
        self._handler = handler_module.RequestHandler(self.parts)
        self._listener_resources = resources.ListenerResources(
            self._clock,
            limits.make_limits(self._settings.max_connections),
            self.parts.metrics,
        )
        self._explainer = explainer_module.Explainer(self.parts)
        self._callers = callers.CallerServer(
            self._clock, self._handler, self._listener_resources
        )
        self._relayed = callers.CallerServer(
            self._clock,
            relay_module.RelayHandler(self._handler),
            self._listener_resources,
        )
        self._version = None
        self._targets = frozenset()
        self._stopping = asyncio.Event()

    def find_unready_reason(self):
        """Return why the host is not ready for connections, or None."""
        if self._stopping.is_set():
            return 'stopping'
        if not self._watcher.is_synchronized:
            return 'registry not read yet'
        if self.parts.directory.configuration is None:
            return 'no configuration received yet'
        return None

    def describe(self):
        """Return the state of the process for operators."""
        parts = self.parts
        now = self._clock.now()
        return {
            'unready': self.find_unready_reason(),
            'version': self._version,
            'era': parts.directory.position.era,
            'revision': parts.directory.revision,
            'registry_lost_for_s': self._get_registry_outage(now),
            'evacuated': sorted(parts.directory.evacuated),
            'targets_lost_for_s': round(parts.paths.get_cut_duration(now), 2),
            'hosts_heard': parts.fleet.count_reachable(now),
            'hosts_of_domain': sorted(parts.fleet.members),
            'connections': self._callers.open_count,
            'waiting': parts.waiting.describe(),
            'targets': {
                instance: {
                    'service': known.target.service,
                    'domain': known.target.domain,
                    'running': parts.balancer.get_running(instance),
                    'room': parts.balancer.describe_room(known.target, now),
                    'avoided': parts.health.is_avoided(instance, now),
                    'draining': not known.takes_requests,
                    'cold_s': max(0.0, known.cold_until - now),
                    'limit': parts.target_limits.get_rate(instance),
                    'paused_s': parts.pauses.get_wait(known.target, now),
                }
                for instance, known in parts.directory.targets.items()
            },
        }

    def explain(self, text):
        """Return where the request of a query string would go now."""
        return self._explainer.explain(
            explanation.parse_query(text), self.find_unready_reason()
        )

    def _get_registry_outage(self, now):
        since = self._watcher.failing_since
        return None if since is None else round(now - since, 2)

    def _apply_directory(self):
        """Update the components after a change of the directory."""
        directory = self.parts.directory
        configuration = directory.configuration
        if configuration and configuration.version != self._version:
            self._version = configuration.version
            self._callers.limits = configuration.limits
            self._relayed.limits = relay_module.make_limits(
                configuration.limits
            )
            self.parts.rate_limits.configure(
                configuration.workspaces.values(), self._clock.now()
            )
            eliot.log_message(
                'configuration_in_force',
                version=configuration.version,
                revision=directory.revision,
            )
        targets = frozenset(directory.targets)
        if targets != self._targets:
            eliot.log_message(
                'targets_changed',
                revision=directory.revision,
                added=sorted(targets - self._targets)[:8],
                removed=sorted(self._targets - targets)[:8],
                count=len(targets),
            )
            now = self._clock.now()
            for instance in targets - self._targets:
                self.parts.health.add(instance, bool(self._targets), now)
            self._targets = targets
            self.parts.waiting.wake()
            self.parts.health.keep(targets)
            self.parts.balancer.keep(targets)
            self.parts.target_limits.keep(targets)
            self.parts.pauses.keep(targets)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self._log.start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        eliot.log_message('start', address=self._settings.address)
        status = callers.CallerServer(
            self._clock, StatusHandler(self), self._listener_resources
        )
        await status.start(*self._settings.ready_listen)
        if self._settings.admin_listen is not None:
            await status.start(*self._settings.admin_listen)
        await self._mesh.start()
        await self._relayed.start(
            self._settings.address, self._settings.peer_port
        )
        await self._callers.start(*self._settings.caller_listen)
        loops = (
            self._mesh.run,
            self._watcher.run,
            self._log.run,
            self.parts.path_tester.run,
            functools.partial(self._sweep, status),
            self._watch_settings,
        )
        async with _background_tasks(loops):
            await self._stopping.wait()
            await self._stop()
        eliot.log_message('stop', connections=self._callers.open_count)
        self._log.flush()

    async def _sweep(self, status):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._callers.sweep()
            self._relayed.sweep()
            status.sweep()
            self.parts.relay.sweep(self._clock.now())
            directory = self.parts.directory
            directory.expire(self._clock.now())
            self.parts.pools.sweep(directory.targets)

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            self._reload()

    def _reload(self):
        try:
            settings = self._load_settings()
        except Exception as error:
            eliot.log_message('settings_kept', error=str(error))
            return
        if settings != self._settings:
            eliot.log_message(
                'settings_reloaded',
                seeds=settings.seeds,
                registry=settings.registry,
            )
            if settings.registry != self._settings.registry:
                client = self._make_client(settings, self._clock)
                self._watcher.use_client(client)
            self._settings = settings
            self._mesh.apply_settings(settings)

    async def _stop(self):
        """Finish running requests, and serve those that still arrive.

        The load balancer sends callers here until its probes fail; responses
        carry `Connection: close`, so that callers reconnect elsewhere.
        """
        started = self._clock.now()
        eliot.log_message('stopping', connections=self._callers.open_count)
        self._callers.is_stopping = True
        self._relayed.is_stopping = True
        self._mesh.stop_relaying()
        deadline = started + self._settings.stop_s - STOP_MARGIN_S
        listen_until = min(started + BALANCER_LAG_S, deadline)
        self._handler.begin_stop(
            max(listen_until, deadline - LATE_REQUEST_S), deadline
        )
        while self._clock.now() < listen_until:
            await asyncio.sleep(STOP_POLL_S)
        self._callers.stop_listening()
        while self._clock.now() < deadline:
            self._callers.close_idle(STOP_IDLE_S)
            if not (self._callers.open_count or self._relayed.active_count):
                break
            await asyncio.sleep(STOP_POLL_S)
        self._mesh.leave()


async def run_restarting(loop):
    """Run a coroutine function again after each unexpected error.

    The end of the process would cost all its requests, and an error that has
    its cause outside of the process may come again right after its restart.
    """
    while True:
        try:
            await loop()
            return
        except Exception as error:
            eliot.log_message(
                'task_restarted',
                task=getattr(loop, '__qualname__', repr(loop)),
                error=repr(error),
                traceback=traceback.format_exc(),
            )
        await asyncio.sleep(TASK_RESTART_DELAY_S)


@contextlib.asynccontextmanager
async def _background_tasks(loops):
    """Run coroutine functions in tasks during the block."""
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_restarting(loop)) for loop in loops]
        yield
        for task in tasks:
            task.cancel()
