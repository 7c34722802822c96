"""Slot units of a service and the grants that use them."""

import collections

# A report that was sent before a grant arrived does not list the grant.
GRANT_REPORT_S = 3.0
MISSING_REPORTS = 2
# A unit that this owner gets back may be in use by another owner's grant,
# which the hosts report within one exchange.
SETTLE_S = 1.0
# A lost host has closed its connections to targets after this time.
HOST_LOST_S = 3.0
# Ended grants are remembered for this long, to ignore delayed reports that
# list them and repeated releases.
ENDED_RETENTION_S = 30.0
MAX_ENDED_GRANTS = 50_000


class Holder:
    """A grant that occupies a unit."""

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
        # When the request began to wait for its response, as reported by
        # its host.
        self.waiting_since = None


class SlotTable:
    """The units that this owner may grant, and the grants that hold them.

    After a change of owner a unit can have several holders, when hosts
    report grants of different owners; it is free when all have ended.
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
        '_lost_grants_end_at',
        '_reported_at',
        '_settling',
        '_settling_skipped_until',
        '_units',
    )

    def __init__(self):
        self._units = {}
        self._assigned_units = frozenset()
        # Time from which a new unit may be granted, by unit.
        self._settling = {}
        self._settling_skipped_until = 0.0
        # Cache of free units by target, dropped on each change there.
        self._free = {}
        self._holders = {}
        # Id of the isolated grant by target.
        self._isolated = {}
        self._by_unit = collections.defaultdict(set)
        self._by_target = collections.defaultdict(set)
        self._by_host = collections.defaultdict(set)
        self._ended = collections.OrderedDict()
        self._reported_at = {}
        self._lost_grants_end_at = {}

    @property
    def holders(self):
        """All running grants, by id."""
        return self._holders

    def set_units(self, units, now):
        """Replace the set of usable units; return whether it changed.

        A new unit is granted only once the hosts had time to report its use.
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
        """Make units whose settling time has passed usable.

        Return whether there were any.
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
        """Let all units settle again, after a time without host reports."""
        self._settling_skipped_until = 0.0
        self._settling = dict.fromkeys(self._assigned_units, now + SETTLE_S)
        self._free.clear()

    def skip_settling(self, now):
        """Make all units usable now, as all running grants are known."""
        self._settling_skipped_until = now + SETTLE_S
        self._settling.clear()
        self._free.clear()

    def units(self, target):
        """Return the usable units of a target, by index."""
        return self._units.get(target, ())

    def free_units(self, target):
        """Return the usable units of a target that no grant holds."""
        free = self._free.get(target)
        if free is None:
            free = self._free[target] = [
                unit
                for unit in self.units(target)
                if unit not in self._by_unit and unit not in self._settling
            ]
        return free

    def running(self, target):
        """Return the number of running grants on a target."""
        return len(self._by_target.get(target, ()))

    def holders_on(self, target):
        """Return the running grants on a target."""
        ids = self._by_target.get(target, ())
        return [self._holders[grant_id] for grant_id in ids]

    def isolated_on(self, target):
        """Return whether the target runs a grant that must run alone."""
        return target in self._isolated

    def add_holder(self, holder):
        """Record a grant as a holder of its unit."""
        self._lost_grants_end_at.pop(holder.host, None)
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
        """Apply a host's full list of running grants; return ended ones."""
        self._reported_at[host] = now
        self._lost_grants_end_at.pop(host, None)
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
        """Schedule the end of a lost host's grants.

        A grant proves that the host was in contact when it requested it.
        """
        seen_at = self._reported_at.pop(host, 0.0)
        if host not in self._by_host:
            return
        for grant_id in self._by_host[host]:
            seen_at = max(seen_at, self._holders[grant_id].granted_at)
        self._lost_grants_end_at.setdefault(host, seen_at + HOST_LOST_S)

    def reset_report_times(self, now):
        """Set the last contact of all hosts to now, after a pause."""
        for host in self._by_host:
            self._reported_at[host] = now
        self._lost_grants_end_at = {
            host: now + HOST_LOST_S for host in self._lost_grants_end_at
        }

    def end_lost(self, now):
        """End grants of lost hosts whose time has passed; return them."""
        due = [
            host
            for host, end in self._lost_grants_end_at.items()
            if end <= now
        ]
        freed = []
        for host in due:
            del self._lost_grants_end_at[host]
            for grant_id in list(self._by_host.get(host, ())):
                freed.append(self._drop(grant_id))
        return freed

    def next_end(self):
        """Return when the grants of a lost host end next, or None."""
        return min(self._lost_grants_end_at.values(), default=None)

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
