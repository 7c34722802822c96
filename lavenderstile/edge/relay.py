"""Relay of requests through another host, while this one reaches no target.

The other host gets the request on the port of the mesh, over HTTP/1.1, with a
header that says what the sender has already decided and tried. It neither
takes a token of the workspace nor relays the request again.
"""

import asyncio
import dataclasses
import random

import eliot
import h11
import msgspec

from .. import decoding
from .. import errors
from .. import headers as header_tools
from .. import verdicts
from . import callers
from . import http_client
from . import target_pools

REQUEST_HEADER = b'lavenderstile-relay'
REFUSAL_HEADER = b'lavenderstile-relay-refusal'

# Space for `REQUEST_HEADER` beside the headers of the caller.
HEADER_BYTES = 4096

# Hosts that are tried for one request before it is refused.
MAX_HOSTS = 3

# A host has to send its refusal within the deadline; this is for its way back.
RESPONSE_MARGIN_S = 0.12

Reason = verdicts.Reason
Verdict = verdicts.Verdict

# Reasons that lie in the host, so that another one may serve the request.
HOST_REASONS = frozenset((Reason.HOST_OVERLOADED, Reason.TARGET_UNREACHABLE))


class RelayedRequest(msgspec.Struct, frozen=True):
    """What the sender of a relayed request has decided and tried.

    `version` is its configuration. `attempts` counts the targets that may
    have got the request, `excluded` names those that got it.
    """

    sender: str
    version: int
    service: str
    remaining_s: float
    attempts: int
    excluded: list[str]


class RelayedRefusal(msgspec.Struct, frozen=True):
    """Why another host did not return the response of a target."""

    verdict: Verdict
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """Another host's response; there is no `refusal` if a target sent it."""

    response: callers.CallerResponse
    refusal: RelayedRefusal | None

    @property
    def may_be_served_elsewhere(self):
        """Whether the request has not run and another host may serve it."""
        return (
            self.refusal is not None
            and self.refusal.verdict is Verdict.NOT_RUN
            and self.refusal.reason in HOST_REASONS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RelayFailed:
    """The connection to the other host failed; the request may have run."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRelayed:
    """No other host took the request, so that it has not run."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayHost:
    """Another host, as the destination of a connection."""

    address: str
    port: int

    @property
    def instance(self):
        """Name of the host in the pool of connections."""
        return self.address


_REQUEST_DECODER = msgspec.json.Decoder(RelayedRequest)
_REFUSAL_DECODER = msgspec.json.Decoder(RelayedRefusal)


def decode(headers):
    """Return the `RelayedRequest` of a request's headers.

    Raises `errors.DecodingError`.
    """
    value = header_tools.find_header(headers, REQUEST_HEADER)
    return decoding.decode(_REQUEST_DECODER, value or b'')


class RelayClient:
    """Sends requests to other hosts."""

    def __init__(self, clock, fleet, port, rng=None):
        self._clock = clock
        self._fleet = fleet
        self._port = port
        self._pools = target_pools.TargetPools(clock)
        self._random = rng or random.Random()

    def sweep(self, now):
        """Close idle connections that are stale or to unused hosts."""
        self._pools.sweep(frozenset(self._fleet.list_relays(now)))

    async def send(self, call, version):
        """Send the request of a `Call` to a host that reaches the targets."""
        hosts = self._fleet.list_relays(self._clock.now())
        count = min(len(hosts), MAX_HOSTS)
        outcome = NotRelayed('no other host reaches the targets')
        for address in self._random.sample(hosts, count):
            outcome = await self._send_to(
                RelayHost(address, self._port), call, version
            )
            match outcome:
                case RelayFailed():
                    break
                case Relayed() if not outcome.may_be_served_elsewhere:
                    break
        return outcome

    async def _send_to(self, host, call, version):
        now = self._clock.now()
        age_ms = (now - call.request.arrived_at) * 1000
        call.sends.append(f'{host.address}@relay +{age_ms:.0f}ms')
        try:
            connection = await self._pools.acquire(
                host, call.deadline - now, not call.route.idempotent
            )
        except http_client.ConnectError as error:
            eliot.log_message(
                'relay_unreachable',
                id=call.request_id,
                relay=host.address,
                detail=str(error),
            )
            return NotRelayed(str(error))
        remaining_s = call.deadline - self._clock.now()
        if remaining_s <= 0:
            self._pools.release(host, connection, None)
            return NotRelayed('deadline reached')
        limit_s = remaining_s + RESPONSE_MARGIN_S
        try:
            async with asyncio.timeout(limit_s):
                response = await connection.exchange(
                    self._make_request(call, version, remaining_s),
                    call.request.body,
                    limit_s=limit_s,
                )
        except TimeoutError:
            self._pools.drop(host.instance)
            return RelayFailed(f'{host.address}: no response in time')
        except http_client.ConnectionBroken as error:
            self._pools.drop(host.instance)
            return RelayFailed(f'{host.address}: {error}')
        self._pools.release(host, connection, None)
        call.sends[-1] += f' {response.status}'
        try:
            return _make_relayed(response)
        except errors.DecodingError as error:
            eliot.log_message(
                'relay_unreadable',
                id=call.request_id,
                relay=host.address,
                status=response.status,
                detail=str(error),
            )
            return RelayFailed(f'{host.address}: refusal is unreadable')

    def _make_request(self, call, version, remaining_s):
        relayed = RelayedRequest(
            self._fleet.address,
            version,
            call.service,
            round(remaining_s, 4),
            call.attempts,
            sorted(call.excluded - call.unreachable),
        )
        headers = [
            pair
            for pair in header_tools.remove_hop_by_hop(call.request.headers)
            if pair[0]
            not in (b'host', b'content-length', b'expect', REQUEST_HEADER)
        ]
        headers += [
            (b'host', call.request.host.encode('latin-1')),
            (b'content-length', str(len(call.request.body)).encode()),
            (REQUEST_HEADER, msgspec.json.encode(relayed)),
        ]
        return h11.Request(
            method=call.request.method,
            target=call.request.path,
            headers=headers,
        )


def _make_relayed(response):
    value = header_tools.find_header(response.headers, REFUSAL_HEADER)
    headers = [
        pair
        for pair in header_tools.remove_hop_by_hop(response.headers)
        if pair[0] not in (b'content-length', REFUSAL_HEADER)
    ]
    return Relayed(
        callers.CallerResponse(response.status, headers, response.body),
        decoding.decode(_REFUSAL_DECODER, value) if value else None,
    )


class RelayHandler:
    """Serves the requests that other hosts relay to this one."""

    def __init__(self, handler):
        self._handler = handler

    async def handle(self, request):
        """Return the response; that of a refusal has a header about it."""
        try:
            relayed = decode(request.headers)
        except errors.DecodingError as error:
            self.record_fault(400, str(error))
            return self.make_refusal(400, 'relay header is invalid')
        request.headers = [
            pair for pair in request.headers if pair[0] != REQUEST_HEADER
        ]
        return _describe_refusal(await self._handler.handle(request, relayed))

    def make_refusal(self, status, detail):
        """Return the response to a malformed or oversized request."""
        return _describe_refusal(self._handler.make_refusal(status, detail))

    def record_fault(self, status, detail):
        """Log a malformed or oversized request."""
        eliot.log_message('relay_unreadable', status=status, detail=detail)

    def get_body_timeout(self, request):
        """Return the time limit for receiving a request's body, in seconds."""
        return self._handler.get_body_timeout(request)


def _describe_refusal(response):
    """Add a header about the refusal, if the response is one."""
    if response.refusal is not None:
        refusal = RelayedRefusal(
            response.refusal.verdict, response.refusal.reason
        )
        header = (REFUSAL_HEADER, msgspec.json.encode(refusal))
        response.headers = [*response.headers, header]
    return response


def make_limits(limits):
    """Return the limits of the listener for relayed requests."""
    return dataclasses.replace(
        limits, header_bytes=limits.header_bytes + HEADER_BYTES
    )
