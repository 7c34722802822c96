"""Counts of requests and failures by service, over the whole fleet."""

from . import budgets

WINDOW_S = 3.0

# Share of failed requests above which a service counts as failing and all its
# healthy targets are kept in use.
FAILING_SHARE = 0.07


class Outcomes:
    """Recent counts of the fleet, and totals of the own failure domain."""

    __slots__ = ('_failed', '_requests', '_totals')

    def __init__(self):
        self._requests = {}
        self._failed = {}
        self._totals = {}

    @property
    def totals(self):
        """Requests and failures of the own failure domain, by service."""
        return self._totals

    def record(self, service, requests, failed, now, is_own_domain=True):
        """Count requests and failures.

        Only those of the own domain are added to the totals that it reports
        to other domains.
        """
        if is_own_domain:
            total = self._totals.get(service, (0, 0))
            self._totals[service] = (total[0] + requests, total[1] + failed)
        _count(self._requests, service, requests, now)
        _count(self._failed, service, failed, now)

    def get_failing_share(self, service, now):
        """Return the recent share of failed requests of a service."""
        requests = self._requests.get(service)
        failed = self._failed.get(service)
        if requests is None or failed is None:
            return 0.0
        return failed.get(now) / max(1, requests.get(now))

    def is_failing(self, service, now):
        """Return whether too many requests of a service fail."""
        return self.get_failing_share(service, now) > FAILING_SHARE


def _count(counts, service, count, now):
    if not count:
        return
    window = counts.get(service)
    if window is None:
        window = counts[service] = budgets.WindowCount(WINDOW_S)
    window.add(count, now)
