"""Claims idempotency keys at their replicas on behalf of requests."""

import asyncio
import contextlib

from . import claims
from . import errors
from . import messages
from . import verdicts
from . import wire

IDEMPOTENCY_HEADER = b'idempotency-key'


class HeldClaim:
    """The claim of a request, and whether the request may have run."""

    __slots__ = ('may_have_run', 'status')

    def __init__(self):
        self.may_have_run = False
        self.status = None


class ClaimClient:
    """Claims keys, and ends claims, at the replicas in the fleet list."""

    def __init__(self, host, owner, configuration):
        self._host = host
        self._owner = owner
        self._configuration = configuration

    @contextlib.asynccontextmanager
    async def hold(self, request, admission, digest):
        """Hold the claim of a request's key, if the request has one."""
        claim = self._make_claim(request, admission, digest)
        held = HeldClaim()
        if claim is None:
            yield held
            return
        replicas = claims.find_replicas(
            claim.workspace, claim.key, self._configuration.fleet.addresses
        )
        try:
            await self._acquire(claim, replicas)
            request.record.note('the idempotency key was claimed')
            yield held
        finally:
            self._host.spawn(self._end(claim, replicas, held))

    def _make_claim(self, request, admission, digest):
        if admission.idempotent:
            return None
        key = request.header(IDEMPOTENCY_HEADER)
        if key is None:
            if admission.route.idempotency_key == 'required':
                raise errors.RefusedError(
                    verdicts.Refusal(
                        verdicts.Reason.IDEMPOTENCY_KEY_REQUIRED,
                        'send an Idempotency-Key: a UUID of version 7',
                    )
                )
            return None
        created_unix = claims.parse_key(
            key,
            self._host.clock.unix(),
            self._configuration.fleet.claim_window_s,
        )
        return messages.ClaimRequest(
            admission.workspace,
            key,
            request.request_id,
            digest,
            created_unix,
            self._configuration.fleet_version,
        )

    async def _acquire(self, claim, replicas):
        quorum = claims.ClaimQuorum(claim, replicas)
        calls = {
            asyncio.ensure_future(self._ask(replica, claim))
            for replica in replicas
        }
        try:
            while calls and quorum.decision is None:
                done, calls = await asyncio.wait(
                    calls, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    quorum.record(*call.result())
        finally:
            for call in calls:
                call.cancel()
        match quorum.decision:
            case verdicts.Refusal() as refusal:
                raise errors.RefusedError(refusal)

    async def _ask(self, replica, claim):
        """Return the replica and its answer, or None if it is unreachable."""
        if replica == self._host.address:
            return replica, await self._owner.claim(claim)
        try:
            reply = await self._host.call_peer(
                replica, 'Claim', wire.pack_claim(claim)
            )
        except errors.PeerError:
            return replica, None
        return replica, wire.unpack_claim_answer(reply)

    async def _end(self, claim, replicas, held):
        end = messages.ClaimEnd(
            claim.workspace,
            claim.key,
            claim.attempt_id,
            held.may_have_run,
            held.status,
        )
        for replica in replicas:
            if replica == self._host.address:
                self._owner.post_claim_end(end)
            else:
                self._host.spawn(self._send_end(replica, end))

    async def _send_end(self, replica, end):
        try:
            await self._host.call_peer(
                replica, 'EndClaim', wire.pack_claim_end(end)
            )
        except errors.PeerError:
            # The replica keeps the claim, so a repeated request is refused.
            self._host.metrics.exchanges.inc({'result': 'claim_end_lost'})
