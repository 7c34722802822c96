"""Context shared by the tasks of one host."""

import asyncio

import eliot

from . import errors
from . import peers


class Host:
    """Identity, settings, clock, peer clients and metrics of one host."""

    def __init__(self, settings, clock, membership, metrics):
        self._settings = settings
        self._clock = clock
        self._membership = membership
        self._metrics = metrics
        self._clients = peers.PeerClients(metrics)
        self._background = set()

    @property
    def settings(self):
        """Settings of the daemon."""
        return self._settings

    @property
    def address(self):
        """Address that identifies the host to its peers."""
        return self._membership.address

    @property
    def domain(self):
        """Failure domain of the host."""
        return self._settings.host.domain

    @property
    def peer_endpoint(self):
        """The `ip:port` at which peers reach this host."""
        port = self._settings.listen.peer.rpartition(':')[2]
        return f'{self.address}:{port}'

    @property
    def clock(self):
        """Clock of the host."""
        return self._clock

    @property
    def membership(self):
        """Membership: this host's view of the other hosts."""
        return self._membership

    @property
    def metrics(self):
        """Metrics of the process."""
        return self._metrics

    @property
    def clients(self):
        """Clients for calls to peers."""
        return self._clients

    def spawn(self, coroutine):
        """Run a coroutine as a background task; log its exception."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task):
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            eliot.log_message('background_task_failed', error=repr(error))

    async def call_peer(
        self, address, name, request, timeout_s=peers.CALL_TIMEOUT_S
    ):
        """Call a peer by its address; raise `PeerError` without a reply."""
        peer = self._membership.peers.get(address)
        if peer is None:
            raise errors.PeerError(f'{address} is not a known peer')
        return await self._clients.call(
            peer.endpoint, name, request, timeout_s
        )

    async def wait_for_background(self):
        """Wait until all background tasks have ended."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def close(self):
        """Close the peer clients."""
        await self._clients.close()
