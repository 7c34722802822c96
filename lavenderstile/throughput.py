"""Estimate of the rate at which a service's slots accept requests."""

# Longest wait of a request while the owner holds no usable slot. After an
# owner has failed, its units are usable again within 5.3 s: 3.3 s until the
# leases expire, up to 1 s until the next exchange, and 1 s of settling. On a
# busy machine each of the two exchanges involved can be 1 s late, so that
# 6 s is too short.
NO_CAPACITY_WAIT_S = 7.5
# After this time without requests, the time without slots is counted from
# zero. Refused callers retry after 1 s, so the count continues for as long as
# they find no slots.
DEMAND_GAP_S = 3.0
# Weight of the newest sample in the moving average of the hold time.
HOLD_EWMA_WEIGHT = 0.05
# Time reserved for a run, as a multiple of the mean hold time. With a factor
# of one, about 40% of the runs granted just in time would reach the deadline.
RUN_TIME_FACTOR = 2.0


class ThroughputEstimate:
    """Estimates throughput from target capacity and mean hold time."""

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
        """Mean time for which a grant holds its unit, or None if unknown."""
        return self._hold_s

    @property
    def run_s(self):
        """Time to reserve for the run after the wait; 0 if unknown."""
        return RUN_TIME_FACTOR * (self._hold_s or 0.0)

    @property
    def capacity(self):
        """Number of requests that may run concurrently."""
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
        """Add the time for which a grant held its unit to the mean."""
        if self._hold_s is None:
            self._hold_s = hold_s
        else:
            self._hold_s += HOLD_EWMA_WEIGHT * (hold_s - self._hold_s)

    def record_demand(self, now):
        """Record the arrival of a request.

        The time without slots is counted only while requests arrive. A host
        that does not own the service never has slots; after the owner has
        failed, the first requests at its successor have to wait there until
        the units arrive.
        """
        if self._last_demand_at is None or (
            now - self._last_demand_at >= DEMAND_GAP_S
        ):
            self._no_capacity_since = None
        self._last_demand_at = now

    def record_waiting(self, now):
        """Record that requests are waiting in the queue."""
        self._last_demand_at = now

    def lacks_capacity(self, now):
        """Return whether no slot was usable for NO_CAPACITY_WAIT_S."""
        if any(s.capacity(self._table) for s in self._states.values()):
            self._no_capacity_since = None
            return False
        if self._no_capacity_since is None:
            self._no_capacity_since = now
        return now - self._no_capacity_since >= NO_CAPACITY_WAIT_S

    def reset_no_capacity(self):
        """Restart the count of the time without slots."""
        self._no_capacity_since = None
