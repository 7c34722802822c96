"""Rates and bursts of workspaces, counted over the whole fleet.

Each host keeps a bucket per workspace and takes out of it what it admits and
what the others tell that they admitted. The delay of that news is the
overshoot; the bucket then stays in debt until the rate has paid for it.
"""

# Share of the allowance that is admitted: news from other hosts is late by
# less than this, and a workspace at its limit loses nothing to rounding.
HEADROOM = 1.04

# Longest debt, in seconds of the rate; limits what old news can refuse.
MAX_DEBT_S = 2.0

# A new process does not know what was admitted before it started.
START_SHARE = 0.5

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class TokenBucket:
    """The bucket of one workspace."""

    __slots__ = ('_burst', '_level', '_rate', '_settled_at')

    def __init__(self, rate, burst, now):
        self._rate = rate
        self._burst = max(1.0, burst)
        self._level = max(1.0, self._burst * START_SHARE)
        self._settled_at = now

    @property
    def level(self):
        """Requests that may be admitted at once; negative in debt."""
        return self._level

    def resize(self, rate, burst, now, share):
        """Take over a new limit."""
        self._settle(now, share)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._level = min(self._level, self._burst)

    def record(self, count, now, share):
        """Take out what other hosts admitted."""
        self._settle(now, share)
        self._level = max(self._level - count, -MAX_DEBT_S * self._rate)

    def take(self, now, share):
        """Admit one request; return 0, or the seconds until the next."""
        self._settle(now, share)
        if self._level >= 1.0:
            self._level -= 1.0
            return 0.0
        rate = max(self._rate * share, 0.01)
        wait_s = (1.0 - self._level) / rate
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _settle(self, now, share):
        elapsed_s = max(0.0, now - self._settled_at)
        self._settled_at = now
        gained = elapsed_s * self._rate * HEADROOM * share
        limit = max(1.0, self._burst * share)
        self._level = min(limit, self._level + gained)


class RateLimits:
    """The buckets of all workspaces, and what this host admitted."""

    __slots__ = ('_admitted', '_buckets', '_limits', '_share')

    def __init__(self):
        self._buckets = {}
        self._limits = {}
        self._admitted = {}
        self._share = 1.0

    @property
    def admitted(self):
        """Requests admitted by this host, by workspace."""
        return self._admitted

    def set_share(self, heard, size):
        """Keep to a part of each limit while hosts are out of reach."""
        self._share = min(1.0, heard / max(1, size))

    def configure(self, workspaces, now):
        """Take over the limits of a configuration."""
        limits = {
            space.name: (space.rate, space.burst)
            for space in workspaces
            if space.rate
        }
        for name, (rate, burst) in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate, burst, now)
            elif self._limits.get(name) != (rate, burst):
                bucket.resize(rate, burst, now, self._share)
        for name in self._buckets.keys() - limits.keys():
            del self._buckets[name]
        self._limits = limits

    def take(self, workspace, now):
        """Admit a request; return 0, or the seconds until the next."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0
        wait_s = bucket.take(now, self._share)
        if not wait_s:
            self._admitted[workspace] = self._admitted.get(workspace, 0) + 1
        return wait_s

    def describe(self, workspace):
        """Return what decides on a workspace's requests, for the log."""
        rate, burst = self._limits[workspace]
        return {
            'level': round(self._buckets[workspace].level, 2),
            'rate': rate,
            'burst': burst,
            'share': round(self._share, 3),
        }

    def record(self, added, now):
        """Count what other hosts admitted."""
        for workspace, count in added.items():
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.record(count, now, self._share)
