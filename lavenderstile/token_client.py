"""Asks the owner of a workspace's rate for tokens."""

from . import errors
from . import messages
from . import ownership
from . import wire
from .proto import peer_pb2

# The owner, and the next host in case that the owner cannot be reached.
CANDIDATES = 2


class TokenClient:
    """Takes tokens wherever the workspace's rights are."""

    def __init__(self, host, owner, owners, hints):
        self._host = host
        self._owner = owner
        self._ownership = owners
        self._hints = hints

    async def take(self, workspace):
        """Return Taken, Denied, or NoRights when no owner answers."""
        item = ownership.workspace_item(workspace)
        now = self._host.clock.now()
        result = messages.NoRights()
        for address in self._ownership.candidates(item, now)[:CANDIDATES]:
            result = await self._ask(address, workspace)
            if not isinstance(result, messages.NoRights):
                break
        match result:
            case messages.Denied(retry_after_s):
                now = self._host.clock.now()
                self._hints.deny(workspace, retry_after_s, now)
        return result

    async def _ask(self, address, workspace):
        if address == self._host.address:
            return await self._owner.take_token(workspace)
        request = peer_pb2.TokenRequest(workspace=workspace)
        try:
            reply = await self._host.call_peer(address, 'TakeToken', request)
        except errors.PeerError:
            return messages.NoRights()
        return wire.unpack_token(reply)
