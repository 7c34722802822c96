"""Task that owns the configuration in force and applies tickets to it."""

import asyncio
import dataclasses

import eliot

from . import errors
from . import keys
from . import routes
from . import tickets


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
        self._generation = -1
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
                self._apply(message.text, message.source)
            except Exception:
                eliot.write_traceback()
                self._metrics.tickets.inc({'result': 'failed'})
            if not message.applied.done():
                message.applied.set_result(None)

    def _apply(self, text, source):
        try:
            ticket = tickets.parse_ticket(text, source)
        except errors.TicketError as error:
            self._metrics.tickets.inc({'result': 'refused'})
            eliot.log_message(
                'ticket_refused', source=source, faults=list(error.faults)
            )
            return
        result = self._configuration.apply(ticket)
        self._report(ticket, source, result)
        self._refresh()

    def _report(self, ticket, source, result):
        outcome = 'applied' if result.changed else 'ignored'
        self._metrics.tickets.inc({'result': outcome})
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

    def _refresh(self):
        """Rebuild the look-up tables after a change."""
        configuration = self._configuration
        if configuration.generation == self._generation:
            return
        self._generation = configuration.generation
        self._key_ring = keys.KeyRing.from_workspaces(configuration.workspaces)
        self._route_table = routes.RouteTable(configuration.routes)
