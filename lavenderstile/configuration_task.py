"""Task that owns the configuration in force and applies tickets to it."""

import asyncio
import collections
import dataclasses
import hashlib

import eliot

from . import configuration as configuration_module
from . import errors
from . import keys
from . import routes
from . import tickets

# The digests of refused tickets are kept, so that the tickets are not fetched
# from peers again with each exchange.
MAX_REFUSED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TicketText:
    """A ticket as read from some source."""

    text: str
    source: str
    applied: asyncio.Future


class ConfigurationTask:
    """Checks and applies tickets; the only writer of the configuration."""

    def __init__(self, configuration, metrics):
        self._configuration = configuration
        self._metrics = metrics
        self._inbox = asyncio.Queue()
        self._refused = collections.OrderedDict()
        self._key_ring = keys.KeyRing.from_workspaces({})
        self._route_table = routes.RouteTable({})

    @property
    def configuration(self):
        """The configuration in force; read only outside the task."""
        return self._configuration

    @property
    def key_ring(self):
        """The keys in force."""
        return self._key_ring

    @property
    def route_table(self):
        """The routes in force."""
        return self._route_table

    @property
    def known_digests(self):
        """Digests of the tickets in force and of those refused recently."""
        return [*self._configuration.tickets, *self._refused]

    async def deliver(self, text, source):
        """Apply a ticket; return once it is in force or refused."""
        applied = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(TicketText(text, source, applied))
        await applied

    async def run(self):
        """Apply tickets until cancelled."""
        while True:
            message = await self._inbox.get()
            try:
                await self._check_and_apply(message.text, message.source)
            except Exception:
                eliot.write_traceback()
                self._metrics.tickets.inc({'result': 'failed'})
            if not message.applied.done():
                message.applied.set_result(None)

    async def _check_and_apply(self, text, source):
        digest = hashlib.sha256(text.encode()).digest()
        if digest in self._refused or digest in self._configuration.tickets:
            return
        try:
            # Checking a ticket of 1 MB takes more than a second, which
            # would block all requests of the host.
            ticket = await asyncio.to_thread(
                tickets.parse_ticket, text, source
            )
        except errors.TicketError as error:
            self._refuse(digest, source, error)
            return
        self._apply(ticket, source)

    def _refuse(self, digest, source, error):
        self._refused[digest] = None
        if len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)
        self._metrics.tickets.inc({'result': 'refused'})
        eliot.log_message(
            'ticket_refused', source=source, faults=list(error.faults)
        )

    def _apply(self, ticket, source):
        result = self._configuration.apply(ticket)
        self._refresh(result)
        self._metrics.tickets.inc(
            {'result': 'applied' if result.changed else 'ignored'}
        )
        if result.conflicts:
            self._metrics.tickets.inc({'result': 'conflict'})
            eliot.log_message(
                'ticket_number_conflict',
                ticket=ticket.number,
                source=source,
                conflicts=[str(item) for item in result.conflicts],
            )
        if result.changed:
            eliot.log_message(
                'ticket_applied',
                ticket=ticket.number,
                source=source,
                objects=['.'.join(item) for item in result.changed],
            )

    def _refresh(self, result):
        """Update the lookup tables."""
        configuration = self._configuration
        collect = configuration_module.collect_names
        self._key_ring.refresh(
            configuration.workspaces, collect([result], 'workspaces')
        )
        self._route_table.refresh(
            configuration.routes, collect([result], 'routes')
        )
