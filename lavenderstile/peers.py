"""Calls between hosts: gRPC server and clients."""

import asyncio

import grpc

from . import errors
from . import messages
from . import waits
from . import wire
from .proto import peer_pb2
from .proto import peer_pb2_grpc

CALL_TIMEOUT_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
TICKETS_TIMEOUT_S = 5.0
# A ticket holds up to 1 MB, and a reply may carry several.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# Reconnect to a restarted peer soon, as requests are refused until then.
CHANNEL_OPTIONS = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.enable_http_proxy', 0),
)
SERVER_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    # Two processes must never listen on the same address and port.
    ('grpc.so_reuseport', 0),
)


class PeerClients:
    """Channels to peers, by the endpoint of their peer listener."""

    def __init__(self, metrics):
        self._metrics = metrics
        self._channels = {}
        # Creating a stub takes about 0.1 ms, so it is cached.
        self._stubs = {}

    def stub(self, endpoint):
        """Return the stub of a peer."""
        stub = self._stubs.get(endpoint)
        if stub is None:
            channel = grpc.aio.insecure_channel(
                endpoint, options=CHANNEL_OPTIONS
            )
            self._channels[endpoint] = channel
            stub = self._stubs[endpoint] = peer_pb2_grpc.PeerStub(channel)
        return stub

    async def call(self, endpoint, name, request, timeout_s=CALL_TIMEOUT_S):
        """Call a peer; raise PeerError when the call fails."""
        method = getattr(self.stub(endpoint), name)
        try:
            reply = await method(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            raise errors.PeerError(
                f'{name} at {endpoint}: {error.code().name}'
            ) from error
        self.count(name, request, reply)
        return reply

    def count(self, name, request, reply):
        """Count an answered call and the bytes of its messages."""
        self._metrics.peer_calls.inc({'method': name})
        for direction, message in (('sent', request), ('received', reply)):
            self._metrics.peer_bytes.add(
                {'method': name, 'direction': direction}, message.ByteSize()
            )

    async def close_except(self, endpoints):
        """Close the channels of all endpoints but the given ones."""
        for endpoint in set(self._channels) - set(endpoints):
            del self._stubs[endpoint]
            await self._channels.pop(endpoint).close()

    async def close(self):
        """Close all channels."""
        await self.close_except(())


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Handles the calls of peers."""

    def __init__(self, owner, exchanges, configuration, relay):
        self._owner = owner
        self._exchanges = exchanges
        self._configuration = configuration
        self._relay = relay

    async def Exchange(self, request, context):  # noqa: N802
        """Answer a heartbeat."""
        return await self._exchanges.answer(request)

    async def Tickets(self, request, context):  # noqa: N802
        """Return the tickets that the caller lacks."""
        texts = self._configuration.list_missing_texts(
            frozenset(request.known)
        )
        return peer_pb2.TicketsReply(texts=texts)

    async def TakeToken(self, request, context):  # noqa: N802
        """Take a token, or relay the request once."""
        result = await self._owner.take_token(request.workspace)
        if isinstance(result, messages.NoRights) and not request.relayed:
            result = await self._relay.take_token(request.workspace)
        return wire.pack_token(result)

    async def Admit(self, request, context):  # noqa: N802
        """Grant a slot, or relay the request once."""
        now = self._exchanges.now()
        admit = wire.unpack_admit(request, now)
        if not request.relayed and not self._owner.holds_units(admit.service):
            reply = await self._relay.admit(admit)
            if reply is not None:
                return reply
        outcome = await self._owner.admit(admit)
        return wire.pack_decision(outcome, self._owner.address)

    async def Release(self, request, context):  # noqa: N802
        """Take a slot back."""
        self._owner.post_release(wire.unpack_release(request))
        return peer_pb2.Empty()

    async def Claim(self, request, context):  # noqa: N802
        """Answer a claim as one of the key's replicas."""
        answer = await self._owner.claim(wire.unpack_claim(request))
        return wire.pack_claim_answer(answer)

    async def EndClaim(self, request, context):  # noqa: N802
        """Record how an attempt ended."""
        self._owner.post_claim_end(wire.unpack_claim_end(request))
        return peer_pb2.Empty()

    async def ReturnRights(self, request, context):  # noqa: N802
        """Take lent rights back."""
        self._owner.post_return(wire.unpack_return(request))
        return peer_pb2.Empty()


class Relay:
    """Relays a request to the owner in this host's view.

    A request for an item that another host owns comes from a host that
    cannot reach that owner, as in an asymmetric partition.
    """

    def __init__(self, clock, membership, ownership, clients):
        self._clock = clock
        self._membership = membership
        self._ownership = ownership
        self._clients = clients

    def _find_endpoint(self, hosts):
        """Return the endpoint of the best host, None if it is this one."""
        if not hosts or hosts[0] == self._membership.address:
            return None
        return self._membership.peers[hosts[0]].endpoint

    async def take_token(self, workspace):
        """Return the owner's answer, or NoRights."""
        now = self._clock.now()
        hosts = self._ownership.list_token_hosts(workspace, now)
        endpoint = self._find_endpoint(hosts)
        if endpoint is None:
            return messages.NoRights()
        request = peer_pb2.TokenRequest(workspace=workspace, relayed=True)
        try:
            reply = await self._clients.call(endpoint, 'TakeToken', request)
        except errors.PeerError:
            return messages.NoRights()
        return wire.unpack_token(reply)

    async def admit(self, request):
        """Return the owner's packed reply, or None."""
        now = self._clock.now()
        hosts = self._ownership.list_slot_hosts(request.service, now)
        endpoint = self._find_endpoint(hosts)
        if endpoint is None:
            return None
        owner = hosts[0]

        def is_expected():
            now = self._clock.now()
            hosts = self._ownership.list_slot_hosts(request.service, now)
            is_owner = hosts[:1] == [owner]
            return is_owner and self._membership.is_reachable(owner, now)

        packed = wire.pack_admit(request, now, relayed=True)
        timeout_s = max(0.0, request.deadline - now)
        try:
            return await waits.wait_while(
                self._clients.call(endpoint, 'Admit', packed, timeout_s),
                is_expected,
            )
        except errors.PeerError:
            return None


async def start_server(servicer, address):
    """Start the gRPC server on an `ip:port`; raise OSError if it is taken."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(servicer, server)
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f'cannot listen on {address}') from error
    if port == 0:
        raise OSError(f'cannot listen on {address}')
    await server.start()
    return server


async def call_all(calls):
    """Run calls concurrently; return results, exceptions included."""
    return await asyncio.gather(*calls, return_exceptions=True)
