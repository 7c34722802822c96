"""How fast the slots of a service take requests."""

# Requests wait at most this long while the owner holds no usable slot. After
# the death of an owner its units are usable again within 5.3 s: 3.3 s until
# the leases end, up to 1 s until the next exchange, and 1 s to settle. Each
# of the two exchanges among these may come 1 s late; on a busy machine that
# was seen, and 6 s were too short then.
NO_CAPACITY_WAIT_S = 7.5
# Without a request for this long, a lack of slots counts anew. Callers that
# are refused come back after 1 s, so a lack that lasts goes on counting.
DEMAND_GAP_S = 3.0
# Weight of the last hold in the mean time that a grant holds its unit.
HOLD_EWMA_WEIGHT = 0.05
# A run may take this many mean times. With one, about 40% of the runs that
# are granted just in time would still end at the deadline.
RUN_TIME_FACTOR = 2.0


class ThroughputEstimate:
    """The capacity of the targets and the time that a grant holds a slot."""

    __slots__ = (
        '_hold_s',
        '_last_demand_at',
        '_no_capacity_since',
        '_states',
        '_table',
    )

    def __init__(self, states, table):
        self._states = states
        self._table = table
        self._hold_s = None
        self._no_capacity_since = None
        self._last_demand_at = None

    @property
    def hold_s(self):
        """Mean time that a grant holds its unit, or None if unknown."""
        return self._hold_s

    @property
    def run_s(self):
        """Time to leave for a run after its wait; 0 if unknown."""
        return RUN_TIME_FACTOR * (self._hold_s or 0.0)

    @property
    def capacity(self):
        """Number of requests that may run at once."""
        return sum(
            state.capacity(self._table) for state in self._states.values()
        )

    @property
    def interval_s(self):
        """Expected time between two grants, or None if unknown."""
        capacity = self.capacity
        if not capacity or self._hold_s is None:
            return None
        return self._hold_s / capacity

    def record_hold(self, hold_s):
        """Count the time that a grant has held its unit."""
        if self._hold_s is None:
            self._hold_s = hold_s
        else:
            self._hold_s += HOLD_EWMA_WEIGHT * (hold_s - self._hold_s)

    def record_demand(self, now):
        """Count a request.

        A lack of slots counts only while there are requests. A host that
        owns nothing has none at all times; the first requests after the
        death of an owner have to wait there until the units arrive.
        """
        if self._last_demand_at is None or (
            now - self._last_demand_at >= DEMAND_GAP_S
        ):
            self._no_capacity_since = None
        self._last_demand_at = now

    def record_waiting(self, now):
        """Count requests that have waited since the last look."""
        self._last_demand_at = now

    def lacks_capacity(self, now):
        """Return whether there has been no usable slot for too long."""
        if any(s.capacity(self._table) for s in self._states.values()):
            self._no_capacity_since = None
            return False
        if self._no_capacity_since is None:
            self._no_capacity_since = now
        return now - self._no_capacity_since >= NO_CAPACITY_WAIT_S

    def reset_no_capacity(self):
        """Count a lack of slots from the next look, after a pause."""
        self._no_capacity_since = None
