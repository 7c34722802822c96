"""Task that probes the targets of the services that this host owns."""

import asyncio

from . import owner_messages
from . import probes

# Interval at which the list of probed targets is updated.
UPDATE_INTERVAL_S = 1.0


class ProbeTask:
    """Forwards the hints from probes of targets to the owner.

    Only the owner of a service probes its targets, because probes by all
    hosts of the fleet would use up slots.
    """

    def __init__(self, clock, configuration, owner):
        self._clock = clock
        self._configuration = configuration
        self._owner = owner
        self._hints = asyncio.Queue()
        self._prober = probes.Prober(self._hints)

    async def run(self):
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._prober.run())
            group.create_task(self._update_targets())
            group.create_task(self._forward_hints())

    async def _update_targets(self):
        while True:
            self._prober.set_targets(self.list_targets())
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def list_targets(self):
        """Return (service, address) of all targets to probe."""
        owned = self._owner.borrower.services(self._clock.now())
        return [
            (service.name, target.address)
            for name, service in self._configuration.services.items()
            if name in owned
            for target in service.targets
            if not target.leaving
        ]

    async def _forward_hints(self):
        while True:
            self._owner.post(owner_messages.Hint(await self._hints.get()))
