"""What the listeners of a host share: limits and the counts against them."""

from . import held_bytes
from . import limits as limits_module
from . import open_connections
from . import reports as reports_module
from . import request_bodies


class ListenerResources:
    """Counts of all listeners of a host against its limits."""

    __slots__ = ('bodies', 'connections', 'held', 'reports')

    def __init__(self, clock, limits=None, metrics=None):
        if limits is None:
            limits = limits_module.make_limits()
        self.reports = reports_module.LimitReports(clock, metrics)
        self.bodies = request_bodies.RequestBodies(
            limits.body_bytes, self.reports
        )
        self.held = held_bytes.HeldBytes(
            clock, limits.held_bytes, self.reports
        )
        self.connections = open_connections.OpenConnections(
            limits.connections, self.reports
        )
