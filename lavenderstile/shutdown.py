"""Graceful shutdown of a host, which finishes all requests first."""

import asyncio

import eliot

from . import charts
from . import errors
from . import wire

POLL_INTERVAL_S = 0.05


class ShutdownSequence:
    """Steps through the shutdown statechart and does each state's work."""

    def __init__(self, host, readiness, owner, exchanges, entry_server):
        self._host = host
        self._readiness = readiness
        self._owner = owner
        self._exchanges = exchanges
        self._server = entry_server
        self._chart = charts.ChartRunner(charts.load_chart('shutdown'))
        self._requested = asyncio.Event()

    @property
    def state(self):
        """Name of the current state."""
        return self._chart.state

    def request_stop(self):
        """Request a graceful shutdown; further calls have no effect."""
        self._requested.set()

    async def run(self):
        """Wait for the request to stop, then run all steps."""
        await self._requested.wait()
        steps = (
            ('stop', self._leave_balancer),
            ('balancer_lag_over', self._finish_requests),
            ('requests_finished', self._hand_over),
            ('rights_returned', self._report_end),
        )
        for event, work in steps:
            self._chart.send(event)
            eliot.log_message('shutdown', state=self.state)
            await work()

    async def _leave_balancer(self):
        self._readiness.start_draining()
        await asyncio.sleep(self._host.settings.timing.balancer_lag_s)

    async def _finish_requests(self):
        """Close the listener and wait for all requests, uploads included."""
        self._server.should_exit = True
        while not self._server.finished:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._host.wait_for_background()

    async def _hand_over(self):
        """Announce to the peers that this host leaves and return their rights.

        The last exchanges carry the summaries of the services it owns.
        """
        self._host.membership.announce_leaving()
        peers = list(
            self._host.membership.list_contacted(self._host.clock.now())
        )
        await asyncio.gather(
            *(self._exchanges.exchange_with(address) for address in peers)
        )
        returns = self._owner.make_returns()
        await asyncio.gather(
            *(
                self._return_rights(address, item)
                for address, item in returns.items()
            )
        )

    async def _return_rights(self, lender, returned):
        if lender == self._host.address:
            return
        try:
            await self._host.call_peer(
                lender, 'ReturnRights', wire.pack_return(returned)
            )
        except errors.PeerError as error:
            # The lender has its rights back when the lease expires.
            eliot.log_message('rights_not_returned', error=str(error))

    async def _report_end(self):
        eliot.log_message('shutdown_complete')
