"""Pauses that targets ask this host for when they turn a request away."""

# Longer pauses are cut to this time, so that a wrong figure does not take a
# target out of use for good.
MAX_PAUSE_S = 3600.0


class TargetPauses:
    """Ends of the pauses, by instance; a new run of a target has none."""

    __slots__ = ('_ends',)

    def __init__(self):
        self._ends = {}

    def record(self, target, pause_s, now):
        """Record a pause from now on; of several the latest end counts.

        Returns whether the end is later than it was.
        """
        wait_s = min(pause_s, MAX_PAUSE_S)
        if wait_s <= self.get_wait(target, now):
            return False
        self._ends[target.instance] = (target.started_ms, now + wait_s)
        return True

    def get_wait(self, target, now):
        """Return the seconds until this host may send to a target."""
        started_ms, ends_at = self._ends.get(target.instance, (None, 0.0))
        if started_ms != target.started_ms:
            return 0.0
        return max(0.0, ends_at - now)

    def keep(self, instances):
        """Forget the targets that are not in `instances`."""
        for instance in self._ends.keys() - instances:
            del self._ends[instance]
