"""Order of the requests that wait for a target with a free slot.

Hosts of a failure domain compete for the same slots. Each tells the others how
many requests wait by priority, and lets more urgent ones go first.
"""

import asyncio
import itertools

# A request that has waited for this share of its longest wait no longer lets
# more urgent ones go first, so that no kind of request is starved.
YIELDING_SHARE = 0.6

# Hosts report deferrable requests under their priority plus this number. An
# older build takes them for the least urgent ones. Priorities are within
# 2**31 on both sides of zero.
DEFERRABLE_OFFSET = 2**33


class WaitingRequest:
    """One request that waits; `priority` 0 is the most urgent.

    A request that `is_deferrable` may use fewer places at targets than others
    of its service. `has_slot` is set when it leaves the queue for a target.
    """

    __slots__ = (
        'has_slot',
        'is_deferrable',
        'number',
        'priority',
        'service',
        'wakeup',
        'workspace',
        'yields_until',
    )

    def __init__(
        self,
        number,
        service,
        priority,
        workspace,
        yields_until,
        is_deferrable,
    ):
        self.number = number
        self.service = service
        self.priority = priority
        self.workspace = workspace
        self.yields_until = yields_until
        self.is_deferrable = is_deferrable
        self.has_slot = False
        self.wakeup = asyncio.Event()

    @property
    def reported_priority(self):
        """The priority under which peers learn of the request."""
        return self.priority + DEFERRABLE_OFFSET * self.is_deferrable


class WaitingRequests:
    """The waiting requests of this host.

    They go by priority. Within one, the workspaces whose requests got the
    fewest slots since the queue was last empty go first, then the oldest.
    Others do not wait for deferrable requests, which cannot use the places
    that are left at targets.
    """

    __slots__ = ('_fleet', '_granted', '_numbers', '_waiting')

    def __init__(self, fleet):
        self._fleet = fleet
        self._waiting = {}
        self._granted = {}
        self._numbers = itertools.count()

    @property
    def counts(self):
        """Number of waiting requests by service and reported priority."""
        counts = {}
        for service, entries in self._waiting.items():
            by_priority = counts[service] = {}
            for entry in entries:
                reported = entry.reported_priority
                by_priority[reported] = by_priority.get(reported, 0) + 1
        return counts

    def add(
        self,
        service,
        priority,
        workspace,
        now,
        longest_wait_s,
        is_deferrable=False,
    ):
        """Add a request; return its `WaitingRequest`."""
        entry = WaitingRequest(
            next(self._numbers),
            service,
            priority,
            workspace,
            now + YIELDING_SHARE * longest_wait_s,
            is_deferrable,
        )
        self._waiting.setdefault(service, []).append(entry)
        return entry

    def remove(self, entry):
        """Remove a request."""
        entries = self._waiting[entry.service]
        entries.remove(entry)
        granted = self._granted.setdefault(entry.service, {})
        if entry.has_slot:
            granted[entry.workspace] = granted.get(entry.workspace, 0) + 1
        if not entries:
            del self._waiting[entry.service]
            del self._granted[entry.service]

    def must_yield(self, service, priority, is_deferrable=False):
        """Return whether a new request has to wait for more urgent ones."""
        own = self._waiting.get(service, ())
        return any(
            entry.priority <= priority
            and (is_deferrable or not entry.is_deferrable)
            for entry in own
        ) or self._has_more_urgent_peer(service, priority, is_deferrable)

    def _has_more_urgent_peer(self, service, priority, is_deferrable):
        """Return whether a request that goes first waits at a peer."""
        if self._fleet.has_more_urgent(service, priority):
            return True
        return is_deferrable and self._fleet.has_more_urgent(
            service, priority + DEFERRABLE_OFFSET, DEFERRABLE_OFFSET // 2
        )

    def is_next(self, entry, now):
        """Return whether a waiting request may look for a slot now."""
        if now >= entry.yields_until:
            return True
        entries = self._waiting[entry.service]
        if not entry.is_deferrable:
            entries = [other for other in entries if not other.is_deferrable]
        first = min(entries, key=self._get_turn)
        return first is entry and not self._has_more_urgent_peer(
            entry.service, entry.priority, entry.is_deferrable
        )

    def _get_turn(self, entry):
        granted = self._granted.get(entry.service, {})
        return (
            entry.priority,
            entry.is_deferrable,
            granted.get(entry.workspace, 0),
            entry.number,
        )

    def wake(self):
        """Let the next requests of each service look for a slot.

        These are the first of all and the first that is not deferrable.
        """
        for entries in self._waiting.values():
            first = min(entries, key=self._get_turn)
            first.wakeup.set()
            if first.is_deferrable:
                others = [each for each in entries if not each.is_deferrable]
                if others:
                    min(others, key=self._get_turn).wakeup.set()

    async def wait(self, entry, timeout_s):
        """Wait until a slot may be free, for `timeout_s` at most."""
        try:
            async with asyncio.timeout(timeout_s):
                await entry.wakeup.wait()
        except TimeoutError:
            return
        entry.wakeup.clear()
