"""Retry budgets, shared by the hosts of a failure domain.

In each window a service may have retries up to a ratio of its requests plus a
slack. Each domain uses its share of the slack; its hosts exchange the numbers
of their requests and retries.
"""

import collections

# Share of the configured ratio and slack that is used. The rest covers retries
# that hosts of a domain send before they learn of each other's.
USED_SHARE = 0.85

# Resolution of the sliding windows.
SLICE_S = 0.5


class WindowCount:
    """Number of events in a sliding window."""

    __slots__ = ('_slices', '_total', '_window_s')

    def __init__(self, window_s):
        self._window_s = window_s
        self._slices = collections.deque()
        self._total = 0

    def add(self, count, now):
        """Add events that happen now."""
        number = int(now / SLICE_S)
        if self._slices and self._slices[-1][0] == number:
            self._slices[-1][1] += count
        else:
            self._slices.append([number, count])
        self._total += count

    def get(self, now):
        """Return the number of events in the window."""
        first = int((now - self._window_s) / SLICE_S)
        while self._slices and self._slices[0][0] < first:
            self._total -= self._slices.popleft()[1]
        return self._total


class RetryBudget:
    """Retry budget of one service; it counts for the whole failure domain."""

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
        """Count requests and retries of any host of the domain."""
        if requests:
            self._requests.add(requests, now)
        if retries:
            self._retries.add(retries, now)

    def allows_retry(self, now, domain_share, hosts):
        """Return whether the budget allows one more retry.

        `domain_share` is the domain's share of the fleet, `hosts` the number
        of its hosts. A process that has run for less than a window does not
        know the retries from before its start. It begins with one host's
        share of the slack, which grows to all of it over the window.
        """
        known_share = min(1.0, (now - self._started_at) / self._window_s)
        known_share = max(known_share, 1 / hosts)
        slack = self._slack * domain_share * known_share
        allowed = self._requests.get(now) * self._ratio + slack
        return self._retries.get(now) + 1 <= allowed


class Budgets:
    """Retry budgets by service, and the counts of this host."""

    __slots__ = ('_budgets', '_limits', '_own', '_started_at')

    def __init__(self, limits, started_at):
        self._limits = limits
        self._started_at = started_at
        self._budgets = {}
        self._own = {}

    @property
    def own(self):
        """Requests, retries and failures of this host, by service."""
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
        counts = self._own.get(service, (0, 0, 0))
        self._own[service] = (
            counts[0] + requests,
            counts[1] + retries,
            counts[2] + failed,
        )

    def record_request(self, service, now):
        """Count a request that a caller sent to this host."""
        self._add_own(service, 1, 0, 0)
        self._get(service).record(1, 0, now)

    def record_failure(self, service):
        """Count a request of this host that failed."""
        self._add_own(service, 0, 0, 1)

    def take(self, service, now, domain_share, hosts):
        """Use one retry of the budget; return whether it is allowed."""
        budget = self._get(service)
        if not budget.allows_retry(now, domain_share, hosts):
            return False
        self._add_own(service, 0, 1, 0)
        budget.record(0, 1, now)
        return True

    def record_peer(self, service, requests, retries, now):
        """Count requests and retries since the last update of a peer."""
        self._get(service).record(requests, retries, now)
