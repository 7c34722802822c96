"""Choice of the target and slot unit for a request."""

import collections


class Placement:
    """Chooses among the targets of a service.

    `avoided(host, target, now)` says whether a path is known to be bad, and
    `table` is the owner's slot table.
    """

    __slots__ = ('_avoided', '_states', '_table')

    def __init__(self, states, table, avoided):
        self._states = states
        self._table = table
        self._avoided = avoided

    def choose(self, request, suspect_targets, now):
        """Return (state, unit) for the request, or None if none is free.

        `suspect_targets` is None, or the targets that a run of the same
        request has crashed; such a request runs isolated.
        """
        if suspect_targets is not None:
            return self._choose_isolated(request, suspect_targets, now)
        trial = self._choose_trial(request, now)
        if trial is not None:
            return trial
        return self._choose_regular(self._allowed(request, now), request, now)

    def has_room(self, now):
        """Return whether any target may get one more request."""
        return any(
            state.open
            and (state.trial or not state.ejected)
            and state.usable_units(self._table, now)
            for state in self._states.values()
        )

    def _allowed(self, request, now):
        """Return the targets that may run the request when they are free.

        A failed target or a bad path is used again only if the service
        has nothing else.
        """
        regular = [
            state
            for state in self._states.values()
            if state.eligible and self._table.units(state.address)
        ]
        other = [
            state
            for state in regular
            if state.address not in request.excluded_targets
        ]
        clean = [
            state
            for state in other
            if not self._avoided(request.host, state.address, now)
        ]
        return clean or other or regular

    def _choose_trial(self, request, now):
        if not request.idempotent or request.attempt > 1:
            return None
        for state in self._states.values():
            if not (state.trial and state.open):
                continue
            if self._table.running(state.address):
                continue
            units = state.usable_units(self._table, now)
            if units and self._reaches(request.host, state, now):
                return state, units[0]
        return None

    def _reaches(self, host, state, now):
        """Return whether the host avoids no target of the same domain.

        A trial on a link that may be bad would say nothing about the
        target.
        """
        domain = state.target.domain
        return not any(
            other.target.domain == domain and self._avoided(host, address, now)
            for address, other in self._states.items()
        )

    def _choose_regular(self, allowed, request, now):
        shares = self._domain_shares()
        best = None
        best_key = None
        for state in allowed:
            if self._is_isolated(state):
                continue
            units = state.usable_units(self._table, now)
            if not units:
                continue
            key = (
                state.target.domain in request.excluded_domains,
                state.last_resort or state.draining,
                self._share_in_use(state, units),
                shares[state.target.domain],
                state.last_grant,
            )
            if best_key is None or key < best_key:
                best, best_key = (state, units[0]), key
        return best

    def _share_in_use(self, state, free_units):
        """Return the share of a target's usable units that are in use.

        Comparing counts of free units instead would never choose a cold
        target, which has few, while others are idle, so that it would
        never become warm.
        """
        running = self._table.running(state.address)
        return running / (running + len(free_units))

    def _choose_isolated(self, request, suspect_targets, now):
        """Choose a target for a request that may crash it.

        It is one that runs no other suspect, preferably nothing at all,
        and one that the request has not crashed yet, if there is any.
        """
        for holder in self._table.holders.values():
            if holder.digest == request.digest:
                return None
        allowed = self._allowed(request, now)
        fresh = [s for s in allowed if s.address not in suspect_targets]
        best = None
        for state in fresh or allowed:
            if self._is_isolated(state):
                continue
            units = state.usable_units(self._table, now)
            key = (self._table.running(state.address), state.last_grant)
            if units and (best is None or key < best[0]):
                best = (key, state, units[0])
        return None if best is None else best[1:]

    def _is_isolated(self, state):
        return self._table.isolated_on(state.address)

    def _domain_shares(self):
        """Return the share of units in use by failure domain."""
        held = collections.defaultdict(int)
        used = collections.defaultdict(int)
        for address, state in self._states.items():
            domain = state.target.domain
            held[domain] += len(self._table.units(address))
            used[domain] += self._table.running(address)
        return {
            domain: used[domain] / count if count else 1.0
            for domain, count in held.items()
        }
