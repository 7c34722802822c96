"""Capacity floor: the share of capacity that ejection must leave."""

# Tolerance for rounding errors in (1 - floor) * units.
ROUNDING = 1e-9


class CapacityFloor:
    """Counts ejected slot units against the units that this owner holds.

    Owners hold disjoint units, so the floor also holds for the whole service
    when they decide concurrently and with different views. Units of targets
    that the configuration takes out of service are not counted.
    """

    __slots__ = ('_states', '_table')

    def __init__(self, states, table):
        self._states = states
        self._table = table

    def allows(self, state, floor):
        """Return whether one more target may be ejected."""
        units = self.count_units(state)
        return self._count(ejected=True) + units <= self._budget(floor)

    def is_broken(self, floor):
        """Return whether too many units are ejected."""
        return self._count(ejected=True) > self._budget(floor)

    def count_units(self, state):
        """Return the units that this owner holds of an open target."""
        if not state.open:
            return 0
        return sum(
            unit.index < state.target.slots
            for unit in self._table.units(state.address)
        )

    def _budget(self, floor):
        return (1 - floor) * self._count(ejected=False) + ROUNDING

    def _count(self, ejected):
        return sum(
            self.count_units(state)
            for state in self._states.values()
            if state.ejected or not ejected
        )
