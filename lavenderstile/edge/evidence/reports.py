"""What a host has seen of targets since its last update to its domain."""

from .. import messages
from . import notices as notices_module


def _ignore(*_, **__):
    """Do nothing; the callback until the mesh is started."""


class Reports:
    """Faults and successes for the next update to the domain."""

    __slots__ = ('_faults', '_notices', '_successes', 'schedule_update')

    def __init__(self, notices=None):
        self._notices = notices or notices_module.FaultNotices(False)
        self._faults = []
        self._successes = {}
        self.schedule_update = _ignore

    def add_fault(self, instance, kind, is_new=False):
        """Report that a target failed a request.

        Other domains are told if it is avoided from now on (`is_new`).
        """
        self._faults.append(messages.Fault(instance, kind.value))
        if is_new:
            self._notices.add(instance, kind)
        self.schedule_update()

    def add_success(self, instance, service, latency_s, remote_load):
        """Report a target's response, its latency and the remote load."""
        self._successes[instance] = (service, round(latency_s, 3), remote_load)

    def take(self):
        """Return and clear the faults and the successes."""
        reports = self._faults, self._successes
        self._faults, self._successes = [], {}
        return reports
