"""Takes tokens from the owners of a workspace's rate."""

from . import errors
from . import messages
from . import wire
from .proto import peer_pb2


class TokenClient:
    """Takes tokens from the hosts that borrowed the workspace's rights."""

    def __init__(self, host, owner, ownership, hints):
        self._host = host
        self._owner = owner
        self._ownership = ownership
        self._hints = hints

    async def take(self, workspace):
        """Return Taken, Denied, or NoRights if no owner has rights."""
        now = self._host.clock.now()
        denials = []
        for address in self._ownership.list_token_hosts(workspace, now):
            match await self._ask(address, workspace):
                case messages.Taken() as taken:
                    return taken
                case messages.Denied(retry_after_s):
                    denials.append(retry_after_s)
        if not denials:
            return messages.NoRights()
        retry_after_s = min(denials)
        self._hints.deny(workspace, retry_after_s, self._host.clock.now())
        return messages.Denied(retry_after_s)

    async def _ask(self, address, workspace):
        if address == self._host.address:
            return await self._owner.take_token(workspace)
        request = peer_pb2.TokenRequest(workspace=workspace)
        try:
            reply = await self._host.call_peer(address, 'TakeToken', request)
        except errors.PeerError:
            return messages.NoRights()
        return wire.unpack_token(reply)
