"""Choice of the target and slot unit for a request."""

import collections


class Placement:
    """Chooses among the targets of a service.

    `is_path_avoided(host, target, now)` says whether requests from the host
    to the target are known to fail; `table` is the owner's slot table.
    """

    __slots__ = ('_is_path_avoided', '_states', '_table')

    def __init__(self, states, table, is_path_avoided):
        self._states = states
        self._table = table
        self._is_path_avoided = is_path_avoided

    def choose(self, request, suspect_targets, now):
        """Return (state, unit) for the request, or None if none is free.

        `suspect_targets` are the targets that earlier runs of the same
        request have crashed, or None; such a request runs isolated.
        """
        if suspect_targets is not None:
            return self._choose_isolated(request, suspect_targets, now)
        trial = self._choose_trial(request, now)
        if trial is not None:
            return trial
        return self._choose_regular(self._allowed(request, now), request, now)

    def has_free_unit(self, now):
        """Return whether any target can take one more request."""
        return any(
            state.open
            and (state.trial or not state.ejected)
            and state.usable_units(self._table, now)
            for state in self._states.values()
        )

    def _allowed(self, request, now):
        """Return the targets that may run the request, free or not.

        A failed target or a bad path is used again only if the service has
        no other.
        """
        eligible = [
            state
            for state in self._states.values()
            if state.eligible and self._table.units(state.address)
        ]
        other = [
            state
            for state in eligible
            if state.address not in request.excluded_targets
        ]
        on_good_paths = [
            state
            for state in other
            if not self._is_path_avoided(request.host, state.address, now)
        ]
        return on_good_paths or other or eligible

    def _choose_trial(self, request, now):
        if not request.idempotent or request.attempt > 1:
            return None
        for state in self._states.values():
            if not (state.trial and state.open):
                continue
            if self._table.running(state.address):
                continue
            units = state.usable_units(self._table, now)
            if units and self._has_good_paths(request.host, state, now):
                return state, units[0]
        return None

    def _has_good_paths(self, host, state, now):
        """Return whether the host avoids no target of the same domain.

        A trial over a network path that may be bad would not tell whether
        the target is good.
        """
        domain = state.target.domain
        return not any(
            other.target.domain == domain
            and self._is_path_avoided(host, address, now)
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

        If counts of free units were compared instead, a cold target, which
        has few units, would never be chosen while others are idle, and so
        would never become warm.
        """
        running = self._table.running(state.address)
        return running / (running + len(free_units))

    def _choose_isolated(self, request, suspect_targets, now):
        """Choose a target for a request that may crash it.

        The target runs no other suspect and as few requests as possible. If
        there is any, it is one that the request has not crashed yet.
        """
        for holder in self._table.holders.values():
            if holder.digest == request.digest:
                return None
        allowed = self._allowed(request, now)
        not_crashed = [s for s in allowed if s.address not in suspect_targets]
        best = None
        for state in not_crashed or allowed:
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
