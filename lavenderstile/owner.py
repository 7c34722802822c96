"""Task that owns a host's rights, token pools, slots and claims."""

import asyncio
import collections
import dataclasses

import eliot

from . import admission
from . import claims
from . import messages
from . import rights

TICK_INTERVAL_S = 0.1
EVALUATE_INTERVAL_S = 0.2
# Summaries of services that a successor has not needed for this long.
SUMMARY_LIFETIME_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeToken:
    """Take one token of a workspace."""

    workspace: str
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Ask for a slot."""

    request: messages.AdmitRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Give up a queued request, or a grant that nobody waits for."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Give a slot back."""

    report: messages.ReleaseReport


@dataclasses.dataclass(frozen=True, slots=True)
class Lend:
    """Answer a borrower's request."""

    request: messages.BorrowRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class Borrow:
    """Accept a lender's grant."""

    lender: str
    incarnation: int
    sent_at: float
    grant: messages.LeaseGrant


@dataclasses.dataclass(frozen=True, slots=True)
class TakeBack:
    """Take lent rights back from a borrower."""

    returned: messages.RightsReturn


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Learn of the grants that a host uses."""

    host: str
    running: tuple[messages.RunningGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Inherit:
    """Keep a service's summary for the case of succession."""

    summary: messages.ServiceSummary


@dataclasses.dataclass(frozen=True, slots=True)
class Hint:
    """Pass on what a target's endpoints said."""

    hint: messages.TargetHint


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key at this home."""

    request: messages.ClaimRequest
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class EndClaim:
    """End an attempt at this home."""

    end: messages.ClaimEnd


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """The process was stopped for a while."""

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


class OwnerTask:
    """Owns the decision objects of one host; all access is by messages."""

    def __init__(
        self, clock, membership, configuration, owners, ages, metrics
    ):
        now = clock.now()
        self._ages = ages
        self._ownership = owners
        self._clock = clock
        self._membership = membership
        self._configuration = configuration
        self._metrics = metrics
        self._inbox = asyncio.Queue()
        self._lender = rights.Lender(membership.address, now)
        self._borrower = rights.Borrower(
            membership.address, membership.incarnation
        )
        self._claim_home = claims.ClaimHome(clock.unix(), '', clock.unix())
        self._admissions = {}
        self._units = {}
        self._waiting = {}
        self._summaries = {}
        self._generation = -1
        self._evaluated_at = now
        self._running_source = tuple
        self._acknowledge = str
        self._heard_at = None

    @property
    def lender(self):
        """This host's own rights; read only outside the task."""
        return self._lender

    @property
    def borrower(self):
        """The rights lent to this host; read only outside the task."""
        return self._borrower

    def set_sources(self, running_source, acknowledge):
        """Set what lists running grants and what starts an exchange.

        `acknowledge` is called with a lender that waits for the news that
        this host no longer uses some of its rights.
        """
        self._running_source = running_source
        self._acknowledge = acknowledge

    # Requests from other tasks.

    def post(self, message):
        """Send a message that needs no reply."""
        self._inbox.put_nowait(message)

    def post_release(self, report):
        """Give a slot back."""
        self.post(Release(report))

    def post_claim_end(self, end):
        """End an attempt at this home."""
        self.post(EndClaim(end))

    def post_return(self, returned):
        """Take lent rights back."""
        self.post(TakeBack(returned))

    async def _ask(self, message_type, argument):
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(message_type(argument, reply))
        return await reply

    async def take_token(self, workspace):
        """Take a token from the rights that this host holds."""
        return await self._ask(TakeToken, workspace)

    async def lend(self, request):
        """Return the lease grant for a borrower, or None."""
        return await self._ask(Lend, request)

    async def claim(self, request):
        """Return this home's answer to a claim."""
        return await self._ask(Claim, request)

    async def admit(self, request):
        """Return a grant or a refusal, after waiting if need be."""
        reply = asyncio.get_running_loop().create_future()
        self._inbox.put_nowait(Admit(request, reply))
        try:
            return await reply
        except asyncio.CancelledError:
            self.post(Cancel(request.request_id))
            raise

    def holds_units(self, service):
        """Return whether this host may grant slots of a service."""
        return bool(self._borrower.units(service, self._clock.now()))

    def borrow_request(self, lender):
        """Return the request for the rights of a lender."""
        return self._borrower.make_request(lender)

    def summaries_for(self, address):
        """Return the summaries that a successor at `address` needs."""
        now = self._clock.now()
        return [
            owner.summary(now)
            for service, owner in self._admissions.items()
            if self._borrower.units(service, now)
            and self._ownership.find_successor(service, now) == address
        ]

    @property
    def address(self):
        """This host's address."""
        return self._membership.address

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
            self.post(Tick())

    def _handle_safely(self, message):
        """Handle one message; a fault must not end the task."""
        try:
            self._handle(message, self._clock.now())
        except Exception as error:
            eliot.write_traceback()
            reply = getattr(message, 'reply', None)
            if reply is not None and not reply.done():
                reply.set_exception(error)

    def _handle(self, message, now):
        match message:
            case TakeToken(workspace, reply):
                _answer(reply, self._borrower.take_token(workspace, now))
            case Admit(request, reply):
                self._admit(request, reply, now)
            case Cancel(request_id):
                self._cancel(request_id, now)
            case Release(report):
                self._release(report, now)
            case Lend(request, reply):
                self._lend(request, reply, now)
            case Borrow(lender, incarnation, sent_at, grant):
                if self._borrower.accept(
                    lender, incarnation, sent_at, grant, now
                ):
                    self._acknowledge(lender)
            case TakeBack(returned):
                self._lender.take_back(returned, now)
            case Adopt(host, running):
                self._adopt(host, running, now)
            case Inherit(summary):
                self._summaries[summary.service] = (summary, now)
            case Hint(hint):
                self._hint(hint, now)
            case Claim(request, reply):
                unix = self._clock.unix()
                _answer(reply, self._claim_home.claim(request, unix))
            case EndClaim(end):
                self._claim_home.end(end, self._clock.unix())
            case Paused(duration_s):
                self._drop_evidence(now)
                if duration_s > rights.MISSED_CHANGE_S:
                    self._claim_home.hold_back(self._clock.unix())
            case Tick():
                self._tick(now)

    # Slots.

    def _admission(self, service, now):
        owner = self._admissions.get(service)
        if owner is None:
            owner = admission.ServiceAdmission(service, now)
            self._admissions[service] = owner
            self._configure(owner, service, now)
            summary, _ = self._summaries.pop(service, (None, now))
            if summary is not None:
                owner.inherit(summary, now)
        self._update_units(service, owner, now)
        return owner

    def _update_units(self, service, owner, now):
        """Pass the usable units on if they are others than before."""
        units = self._borrower.units(service, now)
        if units is not self._units.get(service):
            self._units[service] = units
            owner.set_units(units, now)

    def _configure(self, owner, service, now):
        configured = self._configuration.services.get(service)
        if configured is not None:
            owner.configure(configured, self._configuration.domains_out, now)

    def _admit(self, request, reply, now):
        owner = self._admission(request.service, now)
        result = owner.request(request, now)
        match result:
            case messages.Queued(request_id):
                self._waiting[request_id] = (request.service, reply)
            case _:
                self._answer_admit(request.service, result, reply, now)

    def _answer_admit(self, service, result, reply, now):
        if reply.cancelled():
            self._drop_grant(service, result, now)
        else:
            _answer(reply, result)

    def _drop_grant(self, service, result, now):
        """Free a grant whose requester has gone before it got it."""
        match result:
            case messages.Grant(grant_id=grant_id, unit=unit):
                report = messages.ReleaseReport(
                    grant_id,
                    self.address,
                    unit,
                    '',
                    messages.Outcome.NOT_SENT,
                )
                self._admissions[service].release(report, now)

    def _cancel(self, request_id, now):
        service, reply = self._waiting.pop(request_id, (None, None))
        if service is not None:
            self._admissions[service].cancel(request_id, now)

    def _release(self, report, now):
        owner = self._admission(report.unit.service, now)
        owner.release(report, now)
        self._poll(report.unit.service, owner, now)

    def _poll(self, service, owner, now):
        for decision in owner.poll(now):
            _, reply = self._waiting.pop(decision.request_id, (None, None))
            if reply is not None:
                self._answer_admit(service, decision.outcome, reply, now)
            else:
                self._drop_grant(service, decision.outcome, now)

    def _adopt(self, host, running, now):
        by_service = collections.defaultdict(list)
        for grant in running:
            by_service[grant.unit.service].append(grant)
        for service in set(by_service) | set(self._admissions):
            self._admission(service, now).adopt(
                host, by_service.get(service, []), now
            )

    def _hint(self, hint, now):
        owner = self._admissions.get(hint.service)
        if owner is not None:
            owner.hint(hint, now)

    def _drop_evidence(self, now):
        for owner in self._admissions.values():
            owner.drop_evidence(now)

    # Rights.

    def _lend(self, request, reply, now):
        self._apply_configuration(now)
        workspaces, services = self._ownership.lent_to(request.borrower, now)
        _answer(reply, self._lender.grant(request, workspaces, services, now))

    def _apply_configuration(self, now):
        configuration = self._configuration
        if configuration.generation == self._generation:
            return
        self._generation = configuration.generation
        addresses = configuration.fleet.addresses
        rates, units = {}, frozenset()
        if self.address in addresses:
            rates = rights.share_rates(
                configuration.workspaces.values(), addresses, self.address
            )
            units = rights.home_units(
                self.address, configuration.services.values(), addresses
            )
        in_force_s = self._ages.get_age(configuration.digest, now)
        self._lender.set_rights(
            rates, units, now, in_force_s, configuration.fleet_version
        )
        self._claim_home.set_window(configuration.fleet.claim_window_s)
        self._claim_home.set_fleet(
            configuration.fleet_version, self._clock.unix()
        )
        for service, owner in self._admissions.items():
            self._configure(owner, service, now)

    def _lend_to_self(self, now):
        """Borrow from this host's own rights what it owns itself."""
        request = self._borrower.make_request(self.address)
        workspaces, services = self._ownership.lent_to(self.address, now)
        grant = self._lender.grant(request, workspaces, services, now)
        if grant is not None:
            self._borrower.accept(
                self.address, self._membership.incarnation, now, grant, now
            )

    # Time.

    def _check_news(self, now):
        """Hold rights back after a time without any peer.

        A list of addresses that was in force meanwhile may have moved this
        host's rights and idempotency keys to other hosts.
        """
        heard_at = self._membership.heard_at
        if heard_at is None:
            return
        if self._heard_at is not None:
            missed_s = heard_at - self._heard_at
            if missed_s > rights.MISSED_CHANGE_S:
                self._lender.hold_back(now)
                self._claim_home.hold_back(self._clock.unix())
                eliot.log_message('rights_held_back', seconds=missed_s)
        self._heard_at = heard_at

    def _tick(self, now):
        self._check_news(now)
        self._apply_configuration(now)
        self._lend_to_self(now)
        for service in self._borrower.services(now):
            self._admission(service, now)
        evaluate = now - self._evaluated_at >= EVALUATE_INTERVAL_S
        if evaluate:
            self._evaluated_at = now
            self._report_hosts(now)
            self._claim_home.expire(self._clock.unix())
            self._expire_summaries(now)
        for service, owner in self._admissions.items():
            self._update_units(service, owner, now)
            if evaluate:
                self._evaluate(service, owner, now)
            self._poll(service, owner, now)

    def _report_hosts(self, now):
        own = self._running_source()
        self._adopt(self.address, own, now)
        alive = set(self._membership.heard(now)) | {self.address}
        for host in set(self._membership.peers) - alive:
            for owner in self._admissions.values():
                owner.host_lost(host, now)

    def _expire_summaries(self, now):
        for service, (_, since) in list(self._summaries.items()):
            if now - since > SUMMARY_LIFETIME_S:
                del self._summaries[service]

    def _evaluate(self, service, owner, now):
        for event in owner.evaluate(now):
            name = type(event).__name__
            self._metrics.target_events.inc(
                {'service': service, 'event': name}
            )
            eliot.log_message(
                'target_event', service=service, event=name, detail=str(event)
            )

    # Planned stop and inspection.

    def make_returns(self):
        """Give all borrowed rights back; lender -> rights."""
        return self._borrower.make_returns(self._clock.now())

    def dump(self):
        """Return the state as JSON-able data."""
        now = self._clock.now()
        return {
            'lender': self._lender.dump(now),
            'borrower': self._borrower.dump(now),
            'services': {
                service: owner.dump(now)
                for service, owner in sorted(self._admissions.items())
            },
            'claims': self._claim_home.dump(),
            'waiting': len(self._waiting),
        }

    def explain_target(self, service, target):
        """Return sentences on a target's state, or None if unknown."""
        owner = self._admissions.get(service)
        if owner is None:
            return None
        return owner.explain_target(target, self._clock.now())


def _answer(reply, result):
    if not reply.done():
        reply.set_result(result)
