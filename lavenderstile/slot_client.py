"""Acquires slots from the owner of a service and releases them."""

import asyncio

import eliot

from . import errors
from . import gate
from . import messages
from . import throughput
from . import verdicts
from . import waits
from . import wire

MAX_CANDIDATES = 2
# Delay before the owners are tried again when none has answered.
RETRY_DELAY_S = 0.1
# A request without a reachable owner is refused after this time; see
# throughput.NO_CAPACITY_WAIT_S for how long a change of owner takes.
OWNER_WAIT_S = throughput.NO_CAPACITY_WAIT_S
# Time for a reply that is sent at the deadline to arrive.
REPLY_ALLOWANCE_S = 0.2


class SlotClient:
    """Acquires slots for this host's requests."""

    def __init__(self, host, owner, ownership):
        self._host = host
        self._owner = owner
        self._ownership = ownership
        self._running = {}
        self._sent_at = {}

    def list_running_grants(self):
        """Return all running grants, for this host's own admission."""
        return [report for _, report in self.list_running_by_owner()]

    def list_running_by_owner(self):
        """Return (owner, report) of all running grants."""
        now = self._host.clock.now()
        return [
            (owner, self._make_report(grant, now))
            for owner, grant in self._running.values()
        ]

    def _make_report(self, grant, now):
        sent_at = self._sent_at.get(grant.grant_id)
        return messages.RunningGrant(
            grant.grant_id,
            self._host.address,
            grant.unit,
            None if sent_at is None else now - sent_at,
        )

    def note_sent(self, grant):
        """Record that the send of a complete request begins."""
        self._sent_at[grant.grant_id] = self._host.clock.now()

    def note_response(self, grant):
        """Record that the response has begun."""
        self._sent_at.pop(grant.grant_id, None)

    async def acquire(self, request):
        """Return a grant, or raise RefusedError."""
        give_up_at = self._host.clock.now() + OWNER_WAIT_S
        while True:
            for address in self._candidates(request.service):
                result = await self._request_slot(address, request)
                match result:
                    case messages.Grant():
                        return result
                    case verdicts.Refusal():
                        raise errors.RefusedError(result)
            now = self._host.clock.now()
            if now + RETRY_DELAY_S >= min(request.deadline, give_up_at):
                gate.refuse(
                    verdicts.Reason.OWNER_UNREACHABLE,
                    'no owner of the service is reachable',
                    retry_after_s=1.0,
                )
            await asyncio.sleep(RETRY_DELAY_S)

    def _candidates(self, service):
        now = self._host.clock.now()
        return self._ownership.list_slot_hosts(service, now)[:MAX_CANDIDATES]

    async def _request_slot(self, address, request):
        """Return a grant, a refusal, or None if the owner did not answer."""
        started_at = self._host.clock.now()
        initial_owner = self._candidates(request.service)[:1]

        def is_expected():
            if not self._is_reachable(address):
                return False
            # A host that has lost the service to another owner gets no more
            # slots, so a request there would wait until its deadline.
            owner = self._candidates(request.service)[:1]
            return owner == initial_owner or owner == [address]

        try:
            reply = await waits.wait_while(
                self._call(address, request),
                is_expected,
                lambda reply: self._release_unused(*reply, request),
            )
        except errors.PeerError as error:
            self._log_no_reply(address, request, started_at, str(error))
            return None
        if reply is None:
            self._log_no_reply(
                address, request, started_at, 'owner is gone or has changed'
            )
            return None
        return self._track_grant(*reply)

    def _log_no_reply(self, address, request, started_at, detail):
        waited_s = self._host.clock.now() - started_at
        eliot.log_message(
            'slot_request_unanswered',
            id=request.request_id,
            service=request.service,
            owner=address,
            waited_ms=round(waited_s * 1000),
            detail=detail,
        )

    def _is_reachable(self, address):
        return address == self._host.address or (
            self._host.membership.is_reachable(address, self._host.clock.now())
        )

    async def _call(self, address, request):
        """Return the decision of a host, and the owner that made it."""
        if address == self._host.address:
            return await self._owner.admit(request), address
        now = self._host.clock.now()
        packed = wire.pack_admit(request, now)
        timeout_s = max(0.0, request.deadline - now) + REPLY_ALLOWANCE_S
        reply = await self._host.call_peer(address, 'Admit', packed, timeout_s)
        return wire.unpack_decision(reply, request.request_id)

    def _release_unused(self, outcome, owner, request):
        """Release a grant whose request was cancelled meanwhile."""
        match self._track_grant(outcome, owner):
            case messages.Grant() as grant:
                self.release(grant, request.digest, messages.Outcome.NOT_SENT)

    def _track_grant(self, outcome, owner):
        match outcome:
            case messages.Grant(grant_id=grant_id):
                self._running[grant_id] = (owner, outcome)
        return outcome

    def release(self, grant, digest, outcome, **measured):
        """Release a slot and report the outcome of the attempt.

        Return the task that notifies a remote owner, or None if this host
        is the owner.
        """
        owner, _ = self._running.pop(grant.grant_id)
        self._sent_at.pop(grant.grant_id, None)
        report = messages.ReleaseReport(
            grant.grant_id,
            self._host.address,
            grant.unit,
            digest,
            outcome,
            **measured,
        )
        if owner == self._host.address:
            self._owner.post_release(report)
            return None
        return self._host.spawn(self._send_release(owner, report))

    async def _send_release(self, owner, report):
        """Send a report; if it is lost, the next exchanges free the slot."""
        try:
            await self._host.call_peer(
                owner, 'Release', wire.pack_release(report)
            )
        except errors.PeerError:
            self._host.metrics.exchanges.inc({'result': 'release_lost'})
