"""Tests of the handling of calls from peers."""

import asyncio
import types
import unittest

from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import membership
from lavenderstile import messages
from lavenderstile import peers
from lavenderstile.proto import peer_pb2
from lavenderstile import verdicts

# Overall limit of a test's waits; no bound on what is measured.
LIMIT_S = 20.0

OWN = '127.0.0.1'
OWNER = '127.0.0.2'
REFUSAL = verdicts.Refusal(verdicts.Reason.NO_CAPACITY, 'no slot here')


class FakeOwner:
    """A host that holds no rights and no slots."""

    address = OWN

    async def take_token(self, workspace):
        """Return NoRights, as this host holds none."""
        return messages.NoRights()

    def holds_units(self, service):
        """Return False, as this host holds no slot."""
        return False

    async def admit(self, request):
        """Refuse, as there is no slot."""
        return REFUSAL


class FakeClients:
    """Calls to peers, each with the listed answer or error."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def call(self, endpoint, name, request, timeout_s=None):
        """Return or raise the next answer."""
        self.calls.append((endpoint, name, request))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Guards against refusals by a host that can reach the owner.

    In an asymmetric partition the calling host cannot reach the owner, but
    this host can and has to relay the request.
    """

    def make(self, *answers, hosts=(OWNER,)):
        """Return a servicer whose relay gets the listed answers."""
        clock = clocks.VirtualClock()
        view = membership.Membership(OWN, 'north', 1)
        view.add(OWNER, f'{OWNER}:7001')
        owners = types.SimpleNamespace(
            list_token_hosts=lambda name, now: list(hosts),
            list_slot_hosts=lambda name, now: list(hosts),
        )
        self.clients = FakeClients(*answers)
        relay = peers.Relay(clock, view, owners, self.clients)
        exchanges = types.SimpleNamespace(now=clock.now)
        return peers.PeerServicer(FakeOwner(), exchanges, None, relay)

    def make_grant(self):
        """Return the owner's reply with a grant."""
        unit = peer_pb2.SlotUnit(service='ledger', target='t:1')
        grant = peer_pb2.Grant(grant_id='g1', unit=unit, owner=OWNER)
        return peer_pb2.AdmitReply(grant=grant)

    async def test_a_token_is_taken_at_the_owner(self):
        taken = peer_pb2.TokenReply(result=peer_pb2.TokenReply.TAKEN)
        servicer = self.make(taken)
        request = peer_pb2.TokenRequest(workspace='club')
        reply = await servicer.TakeToken(request, None)
        self.assertEqual(reply.result, peer_pb2.TokenReply.TAKEN)
        self.assertTrue(self.clients.calls[0][2].relayed)

    async def test_a_slot_is_granted_by_the_owner_that_takes_it_back(self):
        servicer = self.make(self.make_grant())
        request = peer_pb2.AdmitRequest(service='ledger', remaining_s=5.0)
        reply = await servicer.Admit(request, None)
        self.assertEqual(reply.grant.owner, OWNER)
        self.assertTrue(self.clients.calls[0][2].relayed)

    async def test_a_relayed_request_goes_no_further(self):
        """Two hosts with different views would relay it forever."""
        servicer = self.make()
        token = peer_pb2.TokenRequest(workspace='club', relayed=True)
        reply = await servicer.TakeToken(token, None)
        self.assertEqual(reply.result, peer_pb2.TokenReply.NO_RIGHTS)
        admit = peer_pb2.AdmitRequest(service='ledger', relayed=True)
        reply = await servicer.Admit(admit, None)
        self.assertEqual(reply.refusal.reason, 'no_capacity')
        self.assertEqual(self.clients.calls, [])

    async def test_a_host_that_sees_itself_as_the_owner_relays_nothing(self):
        servicer = self.make(hosts=(OWN,))
        request = peer_pb2.AdmitRequest(service='ledger', remaining_s=5.0)
        reply = await servicer.Admit(request, None)
        self.assertEqual(reply.refusal.reason, 'no_capacity')
        self.assertEqual(self.clients.calls, [])

    async def test_an_unreachable_owner_leads_to_a_refusal(self):
        servicer = self.make(errors.PeerError('lost'), errors.PeerError('x'))
        token = peer_pb2.TokenRequest(workspace='club')
        reply = await servicer.TakeToken(token, None)
        self.assertEqual(reply.result, peer_pb2.TokenReply.NO_RIGHTS)
        admit = peer_pb2.AdmitRequest(service='ledger', remaining_s=5.0)
        reply = await servicer.Admit(admit, None)
        self.assertEqual(reply.refusal.reason, 'no_capacity')

    async def test_a_silent_owner_does_not_keep_the_request(self):
        """Guards against a wait until the deadline at a paused owner.

        The caller noticed 0.25 s before this host that the owner was gone,
        and this host relayed the request to it.
        """
        servicer = self.make()
        self.clients.call = lambda *_: (
            asyncio.get_running_loop().create_future()
        )
        request = peer_pb2.AdmitRequest(service='ledger', remaining_s=600.0)
        async with asyncio.timeout(LIMIT_S):
            reply = await servicer.Admit(request, None)
        self.assertEqual(reply.refusal.reason, 'no_capacity')
