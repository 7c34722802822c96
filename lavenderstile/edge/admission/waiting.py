"""Order of the requests that wait for a target with a free slot.

Hosts of a failure domain compete for the same slots. Each tells the others how
many requests wait by priority, and lets more urgent ones go first.
"""

import asyncio
import itertools

# A request that has waited for this share of its longest wait no longer lets
# more urgent ones go first, so that no kind of request is starved.
YIELDING_SHARE = 0.6


class WaitingRequest:
    """One request that waits; `priority` 0 is the most urgent.

    `turn` is its `urgency.Turn`, which only scope `FLEET` uses. `offered_at`
    is the time since which it leaves a slot to requests of peers. `has_slot`
    is set when it leaves the queue for a target.
    """

    __slots__ = (
        'has_slot',
        'number',
        'offered_at',
        'priority',
        'service',
        'turn',
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
        turn,
    ):
        self.number = number
        self.service = service
        self.priority = priority
        self.workspace = workspace
        self.yields_until = yields_until
        self.turn = turn
        self.offered_at = None
        self.has_slot = False
        self.wakeup = asyncio.Event()


class WaitingRequests:
    """The waiting requests of this host, with scope `DOMAIN`.

    They go by priority. Within one, the workspaces whose requests got the
    fewest slots since the queue was last empty go first, then the oldest.
    """

    __slots__ = ('_fleet', '_granted', '_numbers', '_waiting')

    def __init__(self, fleet):
        self._fleet = fleet
        self._waiting = {}
        self._granted = {}
        self._numbers = itertools.count()

    @property
    def counts(self):
        """Number of waiting requests by service and priority."""
        counts = {}
        for service, entries in self._waiting.items():
            by_priority = counts[service] = {}
            for entry in entries:
                by_priority[entry.priority] = (
                    by_priority.get(entry.priority, 0) + 1
                )
        return counts

    def describe(self):
        """Return the queue for operators."""
        return self.counts

    @property
    def starts(self):
        """Nothing; peers learn only the counts."""
        return {}

    def add(
        self,
        service,
        priority,
        workspace,
        now,
        longest_wait_s,
        turn=None,
    ):
        """Add a request; return its `WaitingRequest`."""
        entry = WaitingRequest(
            next(self._numbers),
            service,
            priority,
            workspace,
            now + YIELDING_SHARE * longest_wait_s,
            turn,
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

    def must_yield(self, service, priority, turn=None):
        """Return whether a new request has to wait for more urgent ones."""
        own = self._waiting.get(service, ())
        return any(entry.priority <= priority for entry in own) or (
            self._fleet.has_more_urgent(service, priority)
        )

    def is_next(self, entry, now):
        """Return whether a waiting request may look for a slot now."""
        if now >= entry.yields_until:
            return True
        first = min(self._waiting[entry.service], key=self._get_turn)
        return first is entry and not self._fleet.has_more_urgent(
            entry.service, entry.priority
        )

    def _get_turn(self, entry):
        granted = self._granted.get(entry.service, {})
        return (
            entry.priority,
            granted.get(entry.workspace, 0),
            entry.number,
        )

    def get_handoff_wait(self, entry, now):
        """Return how long to leave a free slot to peers, in seconds."""
        return 0.0

    def wake(self):
        """Let the next request of each service look for a slot."""
        for entries in self._waiting.values():
            min(entries, key=self._get_turn).wakeup.set()

    async def wait(self, entry, timeout_s):
        """Wait until a slot may be free, for `timeout_s` at most."""
        try:
            async with asyncio.timeout(timeout_s):
                await entry.wakeup.wait()
        except TimeoutError:
            return
        entry.wakeup.clear()
