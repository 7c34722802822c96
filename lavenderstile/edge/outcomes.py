"""Requests and failures by service, over the whole fleet."""

from . import budgets

WINDOW_S = 3.0

# Share of failed requests above which all sound targets are kept in use.
FAILING_SHARE = 0.07


class Outcomes:
    """Counts of the last seconds, and what this host's domain tells."""

    __slots__ = ('_failed', '_requests', '_totals')

    def __init__(self):
        self._requests = {}
        self._failed = {}
        self._totals = {}

    @property
    def totals(self):
        """Requests and failures of the domain, by service."""
        return self._totals

    def record(self, service, requests, failed, now, is_own_domain=True):
        """Count requests and failures; distant ones are not told on."""
        if is_own_domain:
            known = self._totals.get(service, (0, 0))
            self._totals[service] = (known[0] + requests, known[1] + failed)
        _count(self._requests, service, requests, now)
        _count(self._failed, service, failed, now)

    def get_failing_share(self, service, now):
        """Return the share of a service's requests that failed."""
        requests = self._requests.get(service)
        failed = self._failed.get(service)
        if requests is None or failed is None:
            return 0.0
        return failed.get(now) / max(1, requests.get(now))

    def is_failing(self, service, now):
        """Return whether many requests of a service fail."""
        return self.get_failing_share(service, now) > FAILING_SHARE


def _count(counts, service, count, now):
    if not count:
        return
    window = counts.get(service)
    if window is None:
        window = counts[service] = budgets.WindowCount(WINDOW_S)
    window.add(count, now)
