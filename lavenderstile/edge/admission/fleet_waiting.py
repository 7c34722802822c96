"""Order of the requests that wait, with scope `FLEET`.

The hosts of a domain tell each other until when their first requests have to
start, and leave free slots to the requests of peers that have to start sooner.
"""

import functools
import heapq
import math

from . import urgency
from . import waiting

# Hosts report deferrable requests under their priority plus this number. An
# older build takes them for the least urgent ones. Priorities are within
# 2**31 on both sides of zero.
DEFERRABLE_OFFSET = 2**33

# Requests beyond the share of their workspace are reported with this number on
# top, which is larger than the sum of the others.
SURPLUS_OFFSET = 2**36

# Number of requests by service and priority whose latest starts are reported.
REPORTED_STARTS = 4

# For each request of a peer that goes first, a host leaves a free slot unused
# for this time, in which the peer takes it and reports that. Hosts send
# updates at most every 12 ms. The number of such requests is bounded, since
# some peers may not be able to use the slot.
HANDOFF_S = 0.02
MAX_HANDOFFS = 4

# The first requests of a service are found anew after a change of its queue,
# and after this time, since a long wait changes the order. All waiting
# requests poll, so that finding them each time would cost the square of their
# number.
ORDER_LIFETIME_S = 0.01


class FleetWaitingRequests(waiting.WaitingRequests):
    """The waiting requests of this host, with scope `FLEET`.

    They go by priority. Within one, those within the share of their workspace
    go first, then those that have to start first to meet their objective, then
    the workspaces whose requests got the fewest slots. A new request so goes
    after those whose wait was estimated before. Others do not wait for
    deferrable requests, which cannot use the places that are left at targets.
    """

    __slots__ = ('_clock', '_firsts')

    def __init__(self, fleet, clock):
        super().__init__(fleet)
        self._clock = clock
        self._firsts = {}

    @property
    def counts(self):
        """Number of waiting requests by service and reported priority."""
        counts = {}
        for service, entries in self._waiting.items():
            by_priority = counts[service] = {}
            for entry in entries:
                reported = _get_reported_priority(entry)
                by_priority[reported] = by_priority.get(reported, 0) + 1
        return counts

    @property
    def starts(self):
        """The soonest latest starts by service and reported priority.

        They are in milliseconds from now.
        """
        now = self._clock.now()
        starts = {}
        for service, entries in self._waiting.items():
            by_priority = starts[service] = {}
            for entry in entries:
                start_ms = round((entry.turn.starts_by - now) * 1000)
                by_priority.setdefault(
                    _get_reported_priority(entry), []
                ).append(start_ms)
            for priority, found in by_priority.items():
                by_priority[priority] = heapq.nsmallest(REPORTED_STARTS, found)
        return starts

    def describe(self):
        """Return the queue by service, kind and priority for operators."""
        queue = {}
        for service, counts in self.counts.items():
            kinds = queue[service] = {}
            for reported, count in counts.items():
                priority, is_deferrable, _ = _parse_priority(reported)
                kind = 'deferrable' if is_deferrable else 'urgent'
                by_priority = kinds.setdefault(kind, {})
                by_priority[priority] = by_priority.get(priority, 0) + count
        return queue

    def must_yield(self, service, priority, turn=None):
        """Return whether a new request has to wait for others."""
        own = self._waiting.get(service, ())
        return any(
            _is_before(entry.priority, entry.turn, priority, turn)
            for entry in own
        ) or bool(self._count_ahead(service, priority, turn))

    def count_before(self, service, priority, turn):
        """Count the requests of the domain that go before a new one."""
        own = sum(
            _is_before(entry.priority, entry.turn, priority, turn)
            for entry in self._waiting.get(service, ())
        )
        return own + sum(
            count
            for peer in self._fleet.peers.values()
            for reported, count in peer.waiting.get(service, {}).items()
            if _is_reported_before(reported, priority, turn)
        )

    def add(self, service, *args, **kwargs):
        """Add a request; return its `WaitingRequest`."""
        self._firsts.pop(service, None)
        return super().add(service, *args, **kwargs)

    def remove(self, entry):
        """Remove a request."""
        self._firsts.pop(entry.service, None)
        super().remove(entry)

    def is_next(self, entry, now):
        """Return whether a waiting request may look for a slot now."""
        first, first_urgent = self._find_firsts(entry.service, now)
        if entry.turn.is_deferrable:
            return entry is first
        return entry is first_urgent

    def get_handoff_wait(self, entry, now):
        """Return how long to leave a free slot to peers, in seconds."""
        if entry.offered_at is None:
            entry.offered_at = now
        ahead = self._count_ahead(
            entry.service, _get_priority(entry, now), entry.turn
        )
        return max(0.0, entry.offered_at + ahead * HANDOFF_S - now)

    def wake(self):
        """Let the next requests of each service look for a slot.

        These are the first of all and the first that is not deferrable.
        """
        now = self._clock.now()
        for service in self._waiting:
            for entry in self._find_firsts(service, now):
                if entry is not None:
                    entry.wakeup.set()

    def _find_firsts(self, service, now):
        """Return the first request and the first that is not deferrable."""
        found_at, firsts = self._firsts.get(service, (-math.inf, None))
        if now - found_at < ORDER_LIFETIME_S:
            return firsts
        entries = self._waiting[service]
        key = functools.partial(self._get_key, now)
        first = first_urgent = min(entries, key=key)
        if first.turn.is_deferrable:
            urgent = [each for each in entries if not each.turn.is_deferrable]
            first_urgent = min(urgent, key=key, default=None)
        firsts = first, first_urgent
        self._firsts[service] = now, firsts
        return firsts

    def _get_key(self, now, entry):
        granted = self._granted.get(entry.service, {})
        turn = entry.turn
        return (
            _get_priority(entry, now),
            turn.is_deferrable,
            turn.is_surplus,
            turn.starts_by // turn.close_s,
            granted.get(entry.workspace, 0),
            entry.number,
        )

    def _count_ahead(self, service, priority, turn):
        """Count the requests of peers that go first, up to a bound."""
        ahead = 0
        own_key = (
            priority,
            turn.is_deferrable,
            turn.is_surplus,
            turn.starts_by - turn.close_s,
        )
        for peer in self._fleet.peers.values():
            if not peer.waiting:
                continue
            for key in _list_keys(peer, service):
                _, is_deferrable, _, _ = key
                if is_deferrable and not turn.is_deferrable:
                    continue
                ahead += key < own_key
                if ahead == MAX_HANDOFFS:
                    return ahead
        return ahead


def _list_keys(peer, service):
    """Yield the places in the order of a peer's waiting requests.

    Peers of an older build report no starts; they go by priority only.
    """
    starts = peer.starts.get(service)
    if starts is None:
        starts = dict.fromkeys(peer.waiting.get(service, ()), (math.inf,))
    for reported, found in starts.items():
        key = _parse_priority(reported)
        for start in found:
            yield *key, start


def _get_reported_priority(entry):
    return (
        entry.priority
        + DEFERRABLE_OFFSET * entry.turn.is_deferrable
        + SURPLUS_OFFSET * entry.turn.is_surplus
    )


def _parse_priority(reported):
    """Return priority, whether deferrable, and whether beyond the share."""
    is_surplus = reported > SURPLUS_OFFSET // 2
    reported -= SURPLUS_OFFSET * is_surplus
    is_deferrable = reported > DEFERRABLE_OFFSET // 2
    reported -= DEFERRABLE_OFFSET * is_deferrable
    return reported, is_deferrable, is_surplus


def _is_before(other_priority, other, priority, turn):
    """Return whether a waiting request goes before a new one."""
    if other.is_deferrable and not turn.is_deferrable:
        return False
    if other.is_deferrable == turn.is_deferrable and other.is_surplus:
        return other_priority <= priority and turn.is_surplus
    return other_priority <= priority


def _is_reported_before(reported, priority, turn):
    """Return whether waiting requests of a peer go before a new one."""
    other_priority, is_deferrable, is_surplus = _parse_priority(reported)
    other = urgency.Turn(is_deferrable, 0.0, 0.0, is_surplus)
    return _is_before(other_priority, other, priority, turn)


def _get_priority(entry, now):
    """Return the priority that counts; a long wait makes it the highest.

    So no kind of request is starved.
    """
    return -math.inf if now >= entry.yields_until else entry.priority
