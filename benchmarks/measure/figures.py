"""Figures computed from the events of a run."""

from hdrh import histogram

MAX_DURATION_MS = 600_000
SIGNIFICANT_DIGITS = 3


class Durations:
    """Histogram of durations in seconds."""

    def __init__(self):
        self._histogram = histogram.HdrHistogram(
            1, MAX_DURATION_MS * 10, SIGNIFICANT_DIGITS
        )

    def record(self, seconds):
        """Add a duration; the resolution is 0.1 ms."""
        self._histogram.record_value(max(1, round(seconds * 10_000)))

    def percentile(self, percent):
        """Return a percentile in seconds, or None if nothing was recorded."""
        if not self._histogram.get_total_count():
            return None
        value = self._histogram.get_value_at_percentile(percent)
        return round(value / 10_000, 4)


def find_overshoot(times, rate, burst):
    """Return the largest excess over the limit in any window, in requests.

    A window of t seconds may hold rate * t + burst requests. With the
    times in order, the worst window that ends at each request starts at
    the request with the lowest `index - rate * time`.
    """
    worst = 0.0
    lowest = float('inf')
    for index, time in enumerate(times):
        lowest = min(lowest, index - rate * time)
        worst = max(worst, index + 1 - rate * time - lowest - burst)
    # An excess of up to 0.001 requests is a rounding error of the float times.
    return worst if worst > 0.001 else 0.0


def compute_fair_shares(demands, capacity):
    """Return each name's max-min fair share of the capacity."""
    shares = {}
    remaining = capacity
    for count, name in enumerate(sorted(demands, key=demands.get)):
        equal = remaining / (len(demands) - count)
        shares[name] = min(demands[name], equal)
        remaining -= shares[name]
    return shares
