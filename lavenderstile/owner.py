"""Task that owns a host's rights, token pools, slots and claims."""

import asyncio

import eliot

from . import claims
from . import host_rights
from . import leases
from . import owner_messages
from . import service_owner

TICK_INTERVAL_S = 0.1
# Targets are reviewed at every second tick.
EVALUATE_INTERVAL_S = 0.2


class OwnerTask:
    """Actor that owns a host's decision state; all access is by messages."""

    def __init__(
        self, clock, membership, configuration, ownership, ages, metrics
    ):
        self._clock = clock
        self._membership = membership
        self._configuration = configuration
        self._ownership = ownership
        self._inbox = asyncio.Queue()
        self._rights = host_rights.HostRights(
            clock, membership, configuration, ownership, ages
        )
        self._services = service_owner.ServiceOwner(
            membership.address, configuration, self.borrower, metrics
        )
        self._claim_replica = claims.ClaimReplica(
            clock.unix(), '', clock.unix()
        )
        self._evaluated_at = clock.now()
        self._list_running = None
        self._acknowledge = None

    @property
    def address(self):
        """This host's address."""
        return self._membership.address

    @property
    def borrower(self):
        """The rights lent to this host; read-only outside the task."""
        return self._rights.borrower

    def connect(self, list_running, acknowledge):
        """Set the callbacks of the task; called before `run`.

        `list_running` returns the running grants. `acknowledge` starts an
        exchange with a lender that waits for confirmation that this host no
        longer uses some of its rights.
        """
        self._list_running = list_running
        self._acknowledge = acknowledge

    # Requests from other tasks.

    def post(self, message):
        """Send a message that needs no reply."""
        self._inbox.put_nowait(message)

    def post_release(self, report):
        """Release a slot."""
        self.post(owner_messages.Release(report))

    def post_claim_end(self, end):
        """End an attempt at this replica."""
        self.post(owner_messages.EndClaim(end))

    def post_return(self, returned):
        """Take returned rights back."""
        self.post(owner_messages.TakeBack(returned))

    async def _request(self, message_type, argument):
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(message_type(argument, reply))
        return await reply

    async def take_token(self, workspace):
        """Take a token from the rights that this host holds."""
        return await self._request(owner_messages.TakeToken, workspace)

    async def lend(self, request):
        """Return the lease granted to a borrower."""
        return await self._request(owner_messages.Lend, request)

    async def claim(self, request):
        """Return this replica's reply to a claim."""
        return await self._request(owner_messages.Claim, request)

    async def admit(self, request):
        """Return a grant or a refusal, after a wait in the queue if needed."""
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(owner_messages.Admit(request, reply))
        try:
            return await reply
        except asyncio.CancelledError:
            self._withdraw(request, reply)
            raise

    def _withdraw(self, request, reply):
        """Cancel a request whose requester was cancelled, decided or not."""
        if reply.done() and not reply.cancelled():
            message = owner_messages.Abandon(request.service, reply.result())
        else:
            message = owner_messages.Cancel(request.request_id)
        self.post(message)

    def holds_units(self, service):
        """Return whether this host may grant slots of a service."""
        return bool(self.borrower.units(service, self._clock.now()))

    def borrow_request(self, lender):
        """Return the request for the rights of a lender."""
        return self.borrower.make_request(lender)

    def summaries_for(self, address):
        """Return the summaries that a successor at `address` needs."""
        now = self._clock.now()
        return [
            summary
            for summary in self._services.summaries(now)
            if self._ownership.find_successor(summary.service, now) == address
        ]

    # The task.

    async def run(self):
        """Handle messages until cancelled."""
        ticker = asyncio.create_task(self._run_ticker())
        try:
            while True:
                self._handle_safely(await self._inbox.get())
        finally:
            ticker.cancel()

    async def _run_ticker(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.post(owner_messages.Tick())

    def _handle_safely(self, message):
        """Handle one message; an exception must not end the task."""
        try:
            self._handle(message, self._clock.now())
        except Exception as error:
            eliot.write_traceback()
            reply = getattr(message, 'reply', None)
            if reply is not None and not reply.done():
                reply.set_exception(error)

    def _handle(self, message, now):
        if self._rights.apply_configuration(now):
            self._configure(now)
        match message:
            case owner_messages.TakeToken(workspace, reply):
                _set_result(reply, self.borrower.take_token(workspace, now))
            case owner_messages.Admit(request, reply):
                self._services.admit(request, reply, now)
            case owner_messages.Cancel(request_id):
                self._services.cancel(request_id, now)
            case owner_messages.Abandon(service, outcome):
                self._services.abandon(service, outcome, now)
            case owner_messages.Release(report):
                self._services.release(report, now)
            case owner_messages.ReconcileGrants(host, running):
                self._services.reconcile_grants(host, running, now)
            case owner_messages.Inherit(summary):
                self._services.inherit(summary, now)
            case owner_messages.Hint(hint):
                self._services.hint(hint, now)
            case owner_messages.Lend(request, reply):
                _set_result(reply, self._rights.lend(request, now))
            case owner_messages.Borrow(lender, incarnation, sent_at, grant):
                self._accept_lease(lender, incarnation, sent_at, grant, now)
            case owner_messages.TakeBack(returned):
                self._rights.lender.take_back(returned, now)
            case owner_messages.Claim(request, reply):
                unix = self._clock.unix()
                _set_result(reply, self._claim_replica.claim(request, unix))
            case owner_messages.EndClaim(end):
                self._claim_replica.end(end, self._clock.unix())
            case owner_messages.Paused(duration_s):
                self._handle_pause(duration_s, now)
            case owner_messages.Tick():
                self._tick(now)

    def _accept_lease(self, lender, incarnation, sent_at, grant, now):
        if self.borrower.accept(lender, incarnation, sent_at, grant, now):
            self._acknowledge(lender)

    def _handle_pause(self, duration_s, now):
        self._services.drop_evidence(now)
        if duration_s > leases.MISSED_CHANGE_S:
            self._claim_replica.hold_back(self._clock.unix())

    def _tick(self, now):
        if self._rights.check_last_contact(now):
            self._claim_replica.hold_back(self._clock.unix())
        self._rights.lend_to_self(now)
        if now - self._evaluated_at >= EVALUATE_INTERVAL_S:
            self._evaluated_at = now
            self._update_hosts(now)
            self._services.evaluate(now)
            self._claim_replica.expire(self._clock.unix())
        self._services.poll_all(now)

    def _configure(self, now):
        configuration = self._configuration
        self._claim_replica.set_window(configuration.fleet.claim_window_s)
        self._claim_replica.set_fleet(
            configuration.fleet_version, self._clock.unix()
        )
        self._services.configure_all(now)

    def _update_hosts(self, now):
        _, owned_services = self._ownership.lent_to(self.address, now)
        self._services.set_owned(owned_services)
        self._services.reconcile_grants(
            self.address, self._list_running(), now
        )
        reachable = set(self._membership.list_contacted(now))
        self._services.mark_hosts_lost(
            set(self._membership.peers) - reachable, now
        )

    # Graceful shutdown and inspection.

    def make_returns(self):
        """Return all borrowed rights to their lenders; lender -> rights."""
        return self.borrower.make_returns(self._clock.now())

    def dump(self):
        """Return the state as JSON-serialisable data."""
        now = self._clock.now()
        return {
            **self._rights.dump(now),
            'services': self._services.dump(now),
            'claims': self._claim_replica.dump(),
        }

    def explain_target(self, service, target):
        """Explain a target's state in sentences; None if it is unknown."""
        now = self._clock.now()
        return self._services.explain_target(service, target, now)


def _set_result(reply, result):
    if not reply.done():
        reply.set_result(result)
