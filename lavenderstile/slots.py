"""Slot units of a service and the grants that use them."""

import collections

# A grant may be missing from a report that was sent before it arrived.
GRANT_REPORT_S = 3.0
MISSING_REPORTS = 2
# A unit that comes back may be in use by a grant of another owner, which
# the hosts report within one exchange.
SETTLE_S = 1.0
# A host that is gone has closed its connections after this time.
HOST_LOST_S = 3.0
# Late reports may list a grant, and late releases name it again, for as
# long as this after its release.
ENDED_RETENTION_S = 30.0
MAX_ENDED_GRANTS = 50_000


class Holder:
    """A grant that uses a unit."""

    __slots__ = (
        'digest',
        'grant_id',
        'granted_at',
        'host',
        'isolated',
        'missing',
        'request_id',
        'step',
        'trial',
        'unit',
        'waiting_since',
    )

    def __init__(self, grant_id, host, unit, now):
        self.grant_id = grant_id
        self.host = host
        self.unit = unit
        self.granted_at = now
        self.request_id = None
        self.digest = None
        self.trial = False
        self.isolated = False
        self.step = None
        self.missing = 0
        # Since when the request waits for its answer, as its host reports.
        self.waiting_since = None


class SlotTable:
    """Which units this owner may use, and which grants use them.

    A unit can have several holders after a succession, when hosts report
    grants of different owners; it is free again when all have ended.
    """

    __slots__ = (
        '_assigned_units',
        '_by_host',
        '_by_target',
        '_by_unit',
        '_ended',
        '_free',
        '_holders',
        '_isolated',
        '_lost_until',
        '_reported_at',
        '_settling',
        '_settling_skipped_until',
        '_units',
    )

    def __init__(self):
        self._units = {}
        self._assigned_units = frozenset()
        # When new units may be granted, by unit.
        self._settling = {}
        self._settling_skipped_until = 0.0
        # Free units by target, until something changes there.
        self._free = {}
        self._holders = {}
        # Targets by the isolated grant that runs there.
        self._isolated = {}
        self._by_unit = collections.defaultdict(set)
        self._by_target = collections.defaultdict(set)
        self._by_host = collections.defaultdict(set)
        self._ended = collections.OrderedDict()
        self._reported_at = {}
        self._lost_until = {}

    @property
    def holders(self):
        """All grants in use, by id."""
        return self._holders

    def set_units(self, units, now):
        """Replace the set of usable units; return whether it changed.

        A new unit is granted only after the hosts could report its use.
        """
        if units == self._assigned_units:
            return False
        usable_at = (
            now if now < self._settling_skipped_until else now + SETTLE_S
        )
        settling = {
            unit: self._settling.get(unit, usable_at)
            for unit in units
            if unit in self._settling or unit not in self._assigned_units
        }
        self._settling = settling
        self._assigned_units = units
        by_target = collections.defaultdict(list)
        for unit in units:
            by_target[unit.target].append(unit)
        self._units = {
            target: sorted(own, key=lambda unit: unit.index)
            for target, own in by_target.items()
        }
        self._free.clear()
        return True

    def settle(self, now):
        """Count the units that have waited long enough as usable.

        Return whether there are any.
        """
        if not self._settling or self.next_settled() > now:
            return False
        self._settling = {
            unit: at for unit, at in self._settling.items() if at > now
        }
        self._free.clear()
        return True

    def next_settled(self):
        """Return when the next unit becomes usable, or None."""
        return min(self._settling.values(), default=None)

    def restart_settling(self, now):
        """Let all units wait again, after a time without any news."""
        self._settling_skipped_until = 0.0
        self._settling = dict.fromkeys(self._assigned_units, now + SETTLE_S)
        self._free.clear()

    def skip_settling(self, now):
        """Use all units at once, as all running grants are known."""
        self._settling_skipped_until = now + SETTLE_S
        self._settling.clear()
        self._free.clear()

    def units(self, target):
        """Return the usable units of a target, by index."""
        return self._units.get(target, ())

    def free_units(self, target):
        """Return the usable units of a target that nobody uses."""
        free = self._free.get(target)
        if free is None:
            free = self._free[target] = [
                unit
                for unit in self.units(target)
                if unit not in self._by_unit and unit not in self._settling
            ]
        return free

    def running(self, target):
        """Return the number of grants in use on a target."""
        return len(self._by_target.get(target, ()))

    def holders_on(self, target):
        """Return the grants in use on a target."""
        ids = self._by_target.get(target, ())
        return [self._holders[grant_id] for grant_id in ids]

    def isolated_on(self, target):
        """Return whether a grant on the target must stay the only one."""
        return target in self._isolated

    def add_holder(self, holder):
        """Record a grant as the user of its unit."""
        self._lost_until.pop(holder.host, None)
        self._holders[holder.grant_id] = holder
        self._free.pop(holder.unit.target, None)
        self._by_unit[holder.unit].add(holder.grant_id)
        self._by_target[holder.unit.target].add(holder.grant_id)
        self._by_host[holder.host].add(holder.grant_id)
        if holder.isolated:
            self._isolated[holder.unit.target] = holder.grant_id

    def release(self, grant_id, now):
        """End a grant; return (holder or None, whether it is a repeat)."""
        repeated = grant_id in self._ended
        self._record_ended(grant_id, now)
        return self._drop(grant_id), repeated

    def reconcile_grants(self, host, running, now):
        """Take over a host's complete list of grants; return the freed."""
        self._reported_at[host] = now
        self._lost_until.pop(host, None)
        listed = {grant.grant_id for grant in running}
        for grant in running:
            if grant.grant_id in self._ended:
                continue
            holder = self._holders.get(grant.grant_id)
            if holder is None:
                holder = Holder(grant.grant_id, host, grant.unit, now)
                self.add_holder(holder)
            holder.missing = 0
            holder.waiting_since = None
            if grant.waiting_s is not None:
                holder.waiting_since = now - grant.waiting_s
        return self._drop_missing(host, listed, now)

    def mark_host_lost(self, host, now):
        """Plan the end of a lost host's grants.

        A grant shows that the host was alive when it asked for it.
        """
        seen_at = self._reported_at.pop(host, 0.0)
        if host not in self._by_host:
            return
        for grant_id in self._by_host[host]:
            seen_at = max(seen_at, self._holders[grant_id].granted_at)
        self._lost_until.setdefault(host, seen_at + HOST_LOST_S)

    def reset_report_times(self, now):
        """Count all hosts as heard now, after a pause of this process."""
        for host in self._by_host:
            self._reported_at[host] = now
        self._lost_until = {
            host: now + HOST_LOST_S for host in self._lost_until
        }

    def end_lost(self, now):
        """End the grants of lost hosts that are due; return the freed."""
        due = [host for host, end in self._lost_until.items() if end <= now]
        freed = []
        for host in due:
            del self._lost_until[host]
            for grant_id in list(self._by_host.get(host, ())):
                freed.append(self._drop(grant_id))
        return freed

    def next_end(self):
        """Return when the next lost host's grants end, or None."""
        return min(self._lost_until.values(), default=None)

    def _drop_missing(self, host, listed, now):
        freed = []
        for grant_id in list(self._by_host.get(host, ())):
            holder = self._holders[grant_id]
            recent = now - holder.granted_at <= GRANT_REPORT_S
            if grant_id in listed or recent:
                continue
            holder.missing += 1
            if holder.missing >= MISSING_REPORTS:
                freed.append(self._drop(grant_id))
        return freed

    def _drop(self, grant_id):
        holder = self._holders.pop(grant_id, None)
        if holder is None:
            return None
        self._free.pop(holder.unit.target, None)
        if holder.isolated:
            self._isolated.pop(holder.unit.target, None)
        for index, key in (
            (self._by_unit, holder.unit),
            (self._by_target, holder.unit.target),
            (self._by_host, holder.host),
        ):
            index[key].discard(grant_id)
            if not index[key]:
                del index[key]
        return holder

    def _record_ended(self, grant_id, now):
        self._ended.setdefault(grant_id, now)
        while self._ended:
            oldest = next(iter(self._ended.values()))
            if (
                now - oldest < ENDED_RETENTION_S
                and len(self._ended) < MAX_ENDED_GRANTS
            ):
                break
            self._ended.popitem(last=False)
