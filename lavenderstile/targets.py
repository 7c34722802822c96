"""State of one target of a service, as its owner sees it."""

from . import coldstart

# An owner without the first unit of a cold target waits this long before
# it ramps the target with another unit: longer than the lease of a
# lost host, and enough for the other owner of a split pool to get past its
# first step.
FIRST_UNIT_WAIT_S = 5.0


class TargetState:
    """State that decides whether a target gets a request."""

    __slots__ = (
        'cold',
        'connect_refused',
        'domain_in_service',
        'draining',
        'ejected',
        'evidence_since',
        'first_unit_missing_since',
        'healthy',
        'hint_at',
        'hinted_running',
        'instance',
        'last_grant',
        'last_resort',
        'median_s',
        'target',
        'trial',
    )

    def __init__(self, target, domain_in_service):
        self.target = target
        self.domain_in_service = domain_in_service
        self.cold = coldstart.ColdStart(target.slots)
        self.ejected = False
        self.trial = False
        # Bad but kept in service by the floor; used if no other is free.
        self.last_resort = False
        # Outcomes of requests granted before this time are ignored.
        self.evidence_since = 0.0
        # Median latency at the last evaluation, or None.
        self.median_s = None
        self.draining = False
        self.healthy = True
        self.hint_at = None
        self.hinted_running = None
        self.instance = ''
        # Set after a refused connection, until the next response.
        self.connect_refused = False
        self.first_unit_missing_since = None
        # Number of the last grant, for round robin among equal targets.
        self.last_grant = 0

    @property
    def address(self):
        """The target's address."""
        return self.target.address

    @property
    def open(self):
        """Whether the configuration allows new requests to the target."""
        return self.domain_in_service and not self.target.leaving

    @property
    def eligible(self):
        """Whether the target gets regular requests, not only trials."""
        return self.open and not self.ejected

    def configure(self, target, domain_in_service):
        """Apply the target's configuration and its domain's state."""
        self.target = target
        self.domain_in_service = domain_in_service
        self.cold.configure(target.slots)

    def usable_units(self, table, now):
        """Return the free units that the cold-start ramp allows now."""
        free = [
            unit
            for unit in table.free_units(self.address)
            if unit.index < self.target.slots
        ]
        limit = self.cold.limit()
        if limit is None:
            return free
        if self.cold.first_step and not self._may_use_other_first_unit(
            table, now
        ):
            free = [unit for unit in free if unit.index == 0]
        remaining = limit - table.running(self.address)
        return free[: max(0, remaining)]

    def capacity(self, table):
        """Return how many requests this owner may run here at once."""
        if not self.eligible:
            return 0
        limit = self.cold.limit()
        held = len(table.units(self.address))
        return held if limit is None else min(held, limit)

    def _may_use_other_first_unit(self, table, now):
        held = table.units(self.address)
        if any(unit.index == 0 for unit in held):
            self.first_unit_missing_since = None
            return False
        if self.first_unit_missing_since is None:
            self.first_unit_missing_since = now
        return now - self.first_unit_missing_since >= FIRST_UNIT_WAIT_S
