"""Exchanges: the heartbeat of each pair of hosts, once a second."""

import asyncio

import eliot

from . import errors
from . import membership as membership_module
from . import owner_messages
from . import peers
from . import wire
from .proto import peer_pb2

# Exchanges with a newly known peer start within this time.
PEER_CHECK_INTERVAL_S = 0.25


class Exchanges:
    """Starts exchanges with all known peers and answers theirs."""

    def __init__(
        self, host, membership, owner, ownership, configuration_task, ages
    ):
        self._ages = ages
        self._host = host
        self._clock = host.clock
        self._membership = membership
        self._owner = owner
        self._ownership = ownership
        self._configuration_task = configuration_task
        self._configuration = configuration_task.configuration
        self._tasks = {}
        self._fetching = set()
        self._running_grants = None
        self._is_ready = None
        self._on_synchronized = None

    def now(self):
        """Return the time on the host's clock."""
        return self._clock.now()

    def connect(self, running_grants, is_ready, on_synchronized):
        """Set the callbacks for running grants, readiness and synchronization.

        Must be called before `run`.
        """
        self._running_grants = running_grants
        self._is_ready = is_ready
        self._on_synchronized = on_synchronized

    async def run(self):
        """Keep one task per peer until cancelled."""
        try:
            while True:
                self._start_tasks()
                await asyncio.sleep(PEER_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _start_tasks(self):
        known = self._membership.peers
        for address in known:
            if address not in self._tasks:
                self._tasks[address] = asyncio.create_task(
                    self._run_peer(address)
                )
        for address in set(self._tasks) - set(known):
            self._tasks.pop(address).cancel()

    async def _run_peer(self, address):
        interval_s = self._host.settings.timing.exchange_interval_s
        while True:
            started = self.now()
            if not await self.exchange_with(address):
                await self.exchange_with(address)
            spent = self.now() - started
            await asyncio.sleep(max(interval_s / 10, interval_s - spent))

    def start_exchange(self, address):
        """Start an additional exchange with a peer now."""
        if address != self._membership.address:
            self._host.spawn(self.exchange_with(address))

    async def exchange_with(self, address):
        """Exchange once with a peer; return whether it answered."""
        peer = self._membership.peers.get(address)
        if peer is None:
            return False
        sent_at = self.now()
        request = self._make_request(address)
        try:
            reply = await self._host.clients.call(
                peer.endpoint, 'Exchange', request, peers.EXCHANGE_TIMEOUT_S
            )
        except errors.PeerError:
            self._host.metrics.exchanges.inc({'result': 'failed'})
            return False
        self._host.metrics.exchanges.inc({'result': 'ok'})
        self._process_reply(reply, peer.endpoint, sent_at)
        return True

    def _make_request(self, address):
        request = peer_pb2.ExchangeRequest(
            borrow=wire.pack_borrow(self._owner.borrow_request(address)),
            running=wire.pack_running(self._list_running_for(address)),
            summaries=[
                wire.pack_summary(summary)
                for summary in self._owner.summaries_for(address)
            ],
        )
        self._fill_status(request)
        return request

    def _list_running_for(self, address):
        """Return the running grants that `address` needs to know.

        These are its own grants and those of services lent to it.
        """
        _, services = self._ownership.lent_to(address, self.now())
        return [
            grant
            for owner, grant in self._running_grants()
            if owner == address or grant.unit.service in services
        ]

    def _fill_status(self, message):
        membership = self._membership
        message.address = self._host.peer_endpoint
        message.domain = self._host.domain
        message.incarnation = membership.incarnation
        message.leaving = membership.leaving
        message.ready = self._is_ready()
        message.newest_ticket = self._configuration.newest or 0
        message.configuration_digest = self._configuration.digest
        message.in_force_s = self._ages.get_age(
            self._configuration.digest, self.now()
        )
        message.heard.extend(
            peer_pb2.Heard(address=address)
            for address in membership.list_contacted(self.now())
        )

    def _read_report(self, message):
        return membership_module.PeerReport(
            address=message.address.rpartition(':')[0],
            endpoint=message.address,
            domain=message.domain,
            incarnation=message.incarnation,
            leaving=message.leaving,
            ready=message.ready,
            contacted=tuple(item.address for item in message.heard),
        )

    def _process_reply(self, reply, endpoint, sent_at):
        report = self._read_report(reply)
        if not self._membership.record_success(report, self.now()):
            return
        self._post_running(reply.running, report.address)
        if reply.HasField('grant'):
            self._owner.post(
                owner_messages.Borrow(
                    report.address,
                    report.incarnation,
                    sent_at,
                    wire.unpack_lease(reply.grant),
                )
            )
        self._compare_configuration(reply, endpoint)

    async def answer(self, request):
        """Return the reply to a peer's exchange."""
        report = self._read_report(request)
        reply = peer_pb2.ExchangeReply()
        if self._membership.record_message(report, self.now()):
            await self._answer_borrower(request, report, reply)
        self._compare_configuration(request, report.endpoint)
        self._fill_status(reply)
        return reply

    async def _answer_borrower(self, request, report, reply):
        self._post_running(request.running, report.address)
        reply.running.extend(
            wire.pack_running(self._list_running_for(report.address))
        )
        for summary in request.summaries:
            self._owner.post(
                owner_messages.Inherit(wire.unpack_summary(summary))
            )
        borrow = wire.unpack_borrow(
            request.borrow, report.address, report.incarnation
        )
        grant = await self._owner.lend(borrow)
        if grant is not None:
            reply.grant.CopyFrom(wire.pack_lease(grant))

    def _post_running(self, data, address):
        """Pass a host's complete list of running grants to the owner."""
        running = wire.unpack_running(data, address)
        self._owner.post(
            owner_messages.ReconcileGrants(address, tuple(running))
        )

    def _compare_configuration(self, message, endpoint):
        """Fetch tickets from a peer whose configuration differs."""
        digest = message.configuration_digest
        self._ages.record(digest, message.in_force_s, self.now())
        if digest == self._configuration.digest:
            if message.ready:
                self._on_synchronized()
        elif endpoint not in self._fetching:
            self._fetching.add(endpoint)
            self._host.spawn(self._fetch_tickets(endpoint, message.ready))

    async def _fetch_tickets(self, endpoint, ready):
        try:
            request = peer_pb2.TicketsRequest(
                known=self._configuration_task.known_digests
            )
            reply = await self._host.clients.call(
                endpoint, 'Tickets', request, peers.TICKETS_TIMEOUT_S
            )
            for text in reply.texts:
                await self._configuration_task.deliver(text, endpoint)
            if ready:
                self._on_synchronized()
        except errors.PeerError as error:
            eliot.log_message('ticket_fetch_failed', error=str(error))
        finally:
            self._fetching.discard(endpoint)
