"""Budget of sends beyond the first, kept by the hosts of a domain together.

A service may get a share of its requests, and a slack, as further sends in
each window. Each domain uses its part of the slack; its hosts tell each other
what they have sent.
"""

import collections

# Part of the published ratio and slack that is used; the rest covers what the
# hosts of a domain send before they hear of each other.
USED_SHARE = 0.85

# Counts are kept in slices of this length.
SLICE_S = 0.5


class WindowCount:
    """A count over the last seconds, in slices."""

    __slots__ = ('_slices', '_total', '_window_s')

    def __init__(self, window_s):
        self._window_s = window_s
        self._slices = collections.deque()
        self._total = 0

    def add(self, count, now):
        """Count events that happen now."""
        number = int(now / SLICE_S)
        if self._slices and self._slices[-1][0] == number:
            self._slices[-1][1] += count
        else:
            self._slices.append([number, count])
        self._total += count

    def get(self, now):
        """Return the events of the window."""
        first = int((now - self._window_s) / SLICE_S)
        while self._slices and self._slices[0][0] < first:
            self._total -= self._slices.popleft()[1]
        return self._total


class RetryBudget:
    """Budget of one service; counts are of the whole failure domain."""

    __slots__ = (
        '_ratio',
        '_requests',
        '_retries',
        '_slack',
        '_started_at',
        '_window_s',
    )

    def __init__(self, ratio, slack, window_s, started_at):
        self._ratio = ratio * USED_SHARE
        self._slack = slack * USED_SHARE
        self._window_s = window_s
        self._started_at = started_at
        self._requests = WindowCount(window_s)
        self._retries = WindowCount(window_s)

    def record(self, requests, retries, now):
        """Count requests and further sends of any host of the domain."""
        if requests:
            self._requests.add(requests, now)
        if retries:
            self._retries.add(retries, now)

    def has_room(self, now, part, hosts):
        """Return whether one more send is allowed.

        `part` is the domain's part of the fleet, `hosts` the number of its
        hosts. A process that has run for less than a window does not know
        what was sent before it started; it has only its own part of the
        slack at first.
        """
        known = min(1.0, (now - self._started_at) / self._window_s)
        known = max(known, 1 / hosts)
        slack = self._slack * part * known
        allowed = self._requests.get(now) * self._ratio + slack
        return self._retries.get(now) + 1 <= allowed


class Budgets:
    """The retry budgets by service, and what this host has used."""

    __slots__ = ('_budgets', '_limits', '_own', '_started_at')

    def __init__(self, limits, started_at):
        self._limits = limits
        self._started_at = started_at
        self._budgets = {}
        self._own = {}

    @property
    def own(self):
        """Requests, further sends and failures of this host, by service."""
        return self._own

    def _get(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self._limits.retry_ratio,
                self._limits.retry_slack,
                self._limits.retry_window_s,
                self._started_at,
            )
        return budget

    def _add_own(self, service, requests, retries, failed):
        known = self._own.get(service, (0, 0, 0))
        self._own[service] = (
            known[0] + requests,
            known[1] + retries,
            known[2] + failed,
        )

    def record_request(self, service, now):
        """Count a request of a caller of this host."""
        self._add_own(service, 1, 0, 0)
        self._get(service).record(1, 0, now)

    def record_failure(self, service):
        """Count a request of this host that failed."""
        self._add_own(service, 0, 0, 1)

    def take(self, service, now, part, hosts):
        """Use one further send; return whether the budget allows it."""
        budget = self._get(service)
        if not budget.has_room(now, part, hosts):
            return False
        self._add_own(service, 0, 1, 0)
        budget.record(0, 1, now)
        return True

    def record_peer(self, service, requests, retries, now):
        """Count what a peer has done since it last told."""
        self._get(service).record(requests, retries, now)
