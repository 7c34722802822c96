"""Targets of one service and place, from which a host draws at random."""

import math


class Pool:
    """Instances with the subset of those that were proven healthy lately.

    The subset is a hint: instances enter it by `add_proven`, and whoever
    draws one checks it again.
    """

    __slots__ = (
        '_cursor',
        '_members',
        '_names',
        '_positions',
        '_proven',
        '_random',
    )

    def __init__(self, rng):
        self._random = rng
        self._members = []
        self._names = frozenset()
        self._proven = []
        self._positions = {}
        self._cursor = 0

    def __contains__(self, instance):
        return instance in self._names

    def replace(self, instances):
        """Use these instances; those that were proven and remain stay so."""
        self._members = list(instances)
        self._names = frozenset(instances)
        self._cursor = 0
        proven = [name for name in self._members if name in self._positions]
        self._proven = proven
        self._positions = {name: n for n, name in enumerate(proven)}

    def next_members(self, count):
        """Return the next instances of a walk that never ends."""
        size = len(self._members)
        if size <= count:
            return self._members
        start = self._cursor
        self._cursor = (start + count) % size
        found = self._members[start : start + count]
        return found + self._members[: count - len(found)]

    def is_proven(self, instance):
        """Return whether an instance is in the proven subset."""
        return instance in self._positions

    def add_proven(self, instance):
        """Add an instance to the proven subset if it is a member."""
        if instance in self._names and instance not in self._positions:
            self._positions[instance] = len(self._proven)
            self._proven.append(instance)

    def remove_proven(self, instance):
        """Remove an instance from the proven subset."""
        position = self._positions.pop(instance, None)
        if position is None:
            return
        last = self._proven.pop()
        if last != instance:
            self._proven[position] = last
            self._positions[last] = position

    def draw_proven(self, count):
        """Yield some random proven instances.

        The subset must not change during the iteration.
        """
        proven, positions = self._proven, self._positions
        size = len(proven)
        for first in range(min(count, size)):
            drawn = first + int(self._random.random() * (size - first))
            chosen, other = proven[drawn], proven[first]
            proven[first], proven[drawn] = chosen, other
            positions[other], positions[chosen] = drawn, first
            yield chosen

    def draw(self, count):
        """Return some random instances."""
        return self._random.sample(
            self._members, min(count, len(self._members))
        )


class ServicePools:
    """Targets of one service in the own domain and in the others."""

    __slots__ = (
        '_places',
        'checked_at',
        'full_queue_per_slot',
        'full_until',
        'full_wait_s',
        'looks_left',
        'others',
        'own',
        'source',
    )

    def __init__(self, rng):
        self.own = Pool(rng)
        self.others = Pool(rng)
        self.source = None
        self.checked_at = 0.0
        self.full_until = 0.0
        self.full_wait_s = math.inf
        # The walk was of a request that took places in queues up to this.
        self.full_queue_per_slot = 0.0
        self.looks_left = 0
        self._places = None

    def update(self, targets, domain):
        """Use the current targets of the directory."""
        self.source = targets
        places = [
            (known.target.instance, known.target.domain) for known in targets
        ]
        # Most changes of the directory are heartbeats of the same targets.
        if places == self._places:
            return
        self._places = places
        self.full_until = 0.0
        self.own.replace([name for name, place in places if place == domain])
        self.others.replace(
            [name for name, place in places if place != domain]
        )
