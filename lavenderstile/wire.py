"""Conversion of messages to and from their protobuf form."""

from . import messages
from . import verdicts
from .proto import peer_pb2


def pack_unit(unit):
    """Return the protobuf form of a slot unit."""
    return peer_pb2.SlotUnit(
        service=unit.service, target=unit.target, index=unit.index
    )


def unpack_unit(data):
    """Return the slot unit from its protobuf form."""
    return messages.SlotUnit(data.service, data.target, data.index)


def _pack_rate(item):
    return peer_pb2.RateItem(
        workspace=item.workspace,
        rate_micro=item.rate_micro,
        burst_micro=item.burst_micro,
        tokens_micro=item.tokens_micro,
    )


def _unpack_rate(data):
    return messages.RateItem(
        data.workspace, data.rate_micro, data.burst_micro, data.tokens_micro
    )


def pack_borrow(request):
    """Return the protobuf form of a borrow request."""
    return peer_pb2.BorrowRequest(
        known_lease=request.known_lease,
        known_version=request.known_version,
        returned=[_pack_rate(item) for item in request.returned],
    )


def unpack_borrow(data, address, incarnation):
    """Return the borrow request that came with an exchange."""
    return messages.BorrowRequest(
        address,
        incarnation,
        data.known_lease,
        data.known_version,
        tuple(_unpack_rate(item) for item in data.returned),
    )


def pack_lease(grant):
    """Return the protobuf form of a lease grant."""
    data = peer_pb2.LeaseGrant(
        lease_id=grant.lease_id,
        version=grant.version,
        duration_s=grant.duration_s,
        has_items=grant.items is not None,
    )
    for item in grant.items or ():
        match item:
            case messages.RateItem():
                data.rates.append(_pack_rate(item))
            case messages.SlotUnit():
                data.units.append(pack_unit(item))
    return data


def unpack_lease(data):
    """Return the lease grant from its protobuf form."""
    items = None
    if data.has_items:
        rates = tuple(_unpack_rate(rate) for rate in data.rates)
        items = rates + tuple(unpack_unit(unit) for unit in data.units)
    return messages.LeaseGrant(
        data.lease_id, data.version, data.duration_s, items
    )


def pack_return(returned):
    """Return the protobuf form of a return of rights."""
    return peer_pb2.ReturnRightsRequest(
        borrower=returned.borrower,
        incarnation=returned.incarnation,
        lease_id=returned.lease_id,
        tokens=[_pack_rate(item) for item in returned.tokens],
    )


def unpack_return(data):
    """Return a return of rights from its protobuf form."""
    return messages.RightsReturn(
        data.borrower,
        data.incarnation,
        data.lease_id,
        tuple(_unpack_rate(item) for item in data.tokens),
    )


def pack_running(grants):
    """Return the protobuf form of running grants."""
    return [
        peer_pb2.RunningGrant(
            grant_id=grant.grant_id,
            unit=pack_unit(grant.unit),
            waiting_s=grant.waiting_s,
        )
        for grant in grants
    ]


def unpack_running(data, host):
    """Return the running grants that `host` reported."""
    return [
        messages.RunningGrant(
            item.grant_id,
            host,
            unpack_unit(item.unit),
            item.waiting_s if item.HasField('waiting_s') else None,
        )
        for item in data
    ]


def pack_summary(summary):
    """Return the protobuf form of a service summary."""
    return peer_pb2.ServiceSummary(
        service=summary.service,
        ejections=[
            peer_pb2.EjectionNote(
                target=note.target,
                state=note.state,
                remaining_s=note.remaining_s,
                returns=note.returns,
                reason=note.reason,
            )
            for note in summary.ejections
        ],
        crashes=[
            peer_pb2.CrashNote(
                digest=note.digest, targets=note.targets, age_s=note.age_s
            )
            for note in summary.crashes
        ],
    )


def unpack_summary(data):
    """Return the service summary from its protobuf form."""
    return messages.ServiceSummary(
        data.service,
        tuple(
            messages.EjectionNote(
                data.service,
                note.target,
                note.state,
                note.remaining_s,
                note.returns,
                note.reason,
            )
            for note in data.ejections
        ),
        tuple(
            messages.CrashNote(
                data.service, note.digest, tuple(note.targets), note.age_s
            )
            for note in data.crashes
        ),
    )


def pack_token(result):
    """Return the reply to a token request."""
    match result:
        case messages.Taken():
            return peer_pb2.TokenReply(result=peer_pb2.TokenReply.TAKEN)
        case messages.Denied(retry_after_s):
            return peer_pb2.TokenReply(
                result=peer_pb2.TokenReply.DENIED, retry_after_s=retry_after_s
            )
        case messages.NoRights():
            return peer_pb2.TokenReply(result=peer_pb2.TokenReply.NO_RIGHTS)
    raise TypeError(f'not a token result: {result!r}')


def unpack_token(data):
    """Return the token result from its reply."""
    if data.result == peer_pb2.TokenReply.TAKEN:
        return messages.Taken()
    if data.result == peer_pb2.TokenReply.DENIED:
        return messages.Denied(data.retry_after_s)
    return messages.NoRights()


def pack_refusal(refusal):
    """Return the protobuf form of a refusal."""
    retry_after_s = refusal.retry_after_s
    return peer_pb2.Refusal(
        reason=refusal.reason.value,
        detail=refusal.detail,
        verdict=refusal.verdict.value,
        retry_after_s=-1.0 if retry_after_s is None else retry_after_s,
    )


def unpack_refusal(data):
    """Return the refusal from its protobuf form."""
    retry_after_s = data.retry_after_s if data.retry_after_s >= 0 else None
    return verdicts.Refusal(
        verdicts.Reason(data.reason),
        data.detail,
        verdicts.Verdict(data.verdict),
        retry_after_s,
    )


def pack_admit(request, now, relayed=False):
    """Return the protobuf form of an admit request."""
    return peer_pb2.AdmitRequest(
        request_id=request.request_id,
        host=request.host,
        service=request.service,
        workspace=request.workspace,
        remaining_s=max(0.0, request.deadline - now),
        digest=request.digest,
        idempotent=request.idempotent,
        attempt=request.attempt,
        excluded_targets=request.excluded_targets,
        excluded_domains=request.excluded_domains,
        relayed=relayed,
        uncharged=not request.charged,
    )


def unpack_admit(data, now):
    """Return the admit request with its deadline on this host's clock."""
    return messages.AdmitRequest(
        request_id=data.request_id,
        host=data.host,
        service=data.service,
        workspace=data.workspace,
        deadline=now + data.remaining_s,
        digest=data.digest,
        idempotent=data.idempotent,
        attempt=data.attempt,
        excluded_targets=tuple(data.excluded_targets),
        excluded_domains=tuple(data.excluded_domains),
        charged=not data.uncharged,
    )


def pack_decision(outcome, owner):
    """Return the reply to an admit request."""
    match outcome:
        case messages.Grant():
            grant = peer_pb2.Grant(
                grant_id=outcome.grant_id,
                unit=pack_unit(outcome.unit),
                domain=outcome.domain,
                trial=outcome.trial,
                owner=owner,
            )
            return peer_pb2.AdmitReply(grant=grant)
        case verdicts.Refusal():
            return peer_pb2.AdmitReply(refusal=pack_refusal(outcome))
    raise TypeError(f'not a decision: {outcome!r}')


def unpack_decision(data, request_id):
    """Return (outcome, owner); the release goes to the owner."""
    if not data.HasField('grant'):
        return unpack_refusal(data.refusal), ''
    grant = messages.Grant(
        data.grant.grant_id,
        request_id,
        unpack_unit(data.grant.unit),
        data.grant.domain,
        data.grant.trial,
    )
    return grant, data.grant.owner


def pack_release(report):
    """Return the protobuf form of a release report."""
    latency_s = report.latency_s
    return peer_pb2.ReleaseRequest(
        grant_id=report.grant_id,
        host=report.host,
        unit=pack_unit(report.unit),
        digest=report.digest,
        outcome=report.outcome.value,
        latency_s=-1.0 if latency_s is None else latency_s,
        cold=report.cold,
        instance=report.instance,
    )


def unpack_release(data):
    """Return the release report from its protobuf form."""
    return messages.ReleaseReport(
        grant_id=data.grant_id,
        host=data.host,
        unit=unpack_unit(data.unit),
        digest=data.digest,
        outcome=messages.Outcome(data.outcome),
        latency_s=data.latency_s if data.latency_s >= 0 else None,
        cold=data.cold,
        instance=data.instance,
    )


def pack_claim(request):
    """Return the protobuf form of a claim."""
    return peer_pb2.ClaimRequest(
        workspace=request.workspace,
        key=request.key,
        attempt_id=request.attempt_id,
        digest=request.digest,
        created_unix=request.created_unix,
        fleet_version=request.fleet_version,
    )


def unpack_claim(data):
    """Return the claim from its protobuf form."""
    return messages.ClaimRequest(
        data.workspace,
        data.key,
        data.attempt_id,
        data.digest,
        data.created_unix,
        data.fleet_version,
    )


def pack_claim_answer(answer):
    """Return the protobuf form of a replica's answer."""
    return peer_pb2.ClaimReply(
        state=answer.state.value, status=answer.status or 0
    )


def unpack_claim_answer(data):
    """Return a replica's answer from its protobuf form."""
    return messages.ClaimAnswer(
        messages.ClaimState(data.state), data.status or None
    )


def pack_claim_end(end):
    """Return the protobuf form of the end of an attempt."""
    return peer_pb2.EndClaimRequest(
        workspace=end.workspace,
        key=end.key,
        attempt_id=end.attempt_id,
        ran=end.ran,
        status=end.status or 0,
    )


def unpack_claim_end(data):
    """Return the end of an attempt from its protobuf form."""
    return messages.ClaimEnd(
        data.workspace,
        data.key,
        data.attempt_id,
        data.ran,
        data.status or None,
    )
