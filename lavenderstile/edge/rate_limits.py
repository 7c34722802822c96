"""Rate limits of workspaces, enforced over the whole fleet.

Each host has a token bucket per workspace. It takes a token for each request
that it admits and for each that other hosts report as admitted. Reports arrive
late, so the fleet can overshoot a limit; the bucket then has a negative level
until the refill has covered the excess.
"""

import copy

# Factor on the refill rate, so that a workspace at its limit loses nothing to
# rounding. Reports from other hosts are late by less than this margin.
HEADROOM = 1.04

# Largest debt of a bucket, in seconds of its rate. It limits for how long late
# reports can cause refusals.
MAX_DEBT_S = 2.0

# Share of the burst in a new bucket: a new process does not know how many
# requests were admitted before its start.
INITIAL_FILL_SHARE = 0.5

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class TokenBucket:
    """Token bucket of one workspace or target."""

    __slots__ = ('_burst', '_level', '_max_debt_s', '_rate', '_refilled_at')

    def __init__(self, rate, burst, now, max_debt_s=MAX_DEBT_S):
        self._max_debt_s = max_debt_s
        self._rate = rate
        self._burst = max(1.0, burst)
        self._level = max(1.0, self._burst * INITIAL_FILL_SHARE)
        self._refilled_at = now

    @property
    def level(self):
        """Number of tokens; negative while the bucket is in debt."""
        return self._level

    def resize(self, rate, burst, now, share):
        """Apply a changed limit."""
        self._refill(now, share)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._level = min(self._level, self._burst)

    def record(self, count, now, share):
        """Take tokens for requests that were admitted without asking."""
        self._refill(now, share)
        lowest = -self._max_debt_s * self._rate
        self._level = max(self._level - count, lowest)

    def take(self, now, share):
        """Admit a request; return 0, or the seconds until one is allowed."""
        wait_s = self.get_wait(now, share)
        if not wait_s:
            self._level -= 1.0
        return wait_s

    def get_wait(self, now, share):
        """Return 0 if a request is allowed, or the seconds until one is."""
        self._refill(now, share)
        if self._level >= 1.0:
            return 0.0
        rate = max(self._rate * share, 0.01)
        wait_s = (1.0 - self._level) / rate
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _refill(self, now, share):
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refill = elapsed_s * self._rate * HEADROOM * share
        limit = max(1.0, self._burst * share)
        self._level = min(limit, self._level + refill)


class RateLimits:
    """Token buckets of all workspaces, and the requests this host admitted.

    `usage`, if given, learns of the admitted requests of all hosts.
    """

    __slots__ = ('_admitted', '_buckets', '_limits', '_share', '_usage')

    def __init__(self, usage=None):
        self._usage = usage
        self._buckets = {}
        self._limits = {}
        self._admitted = {}
        self._share = 1.0

    @property
    def admitted(self):
        """Requests admitted by this host, by workspace."""
        return self._admitted

    def set_share(self, reachable, size):
        """Reduce each limit to the reachable share of the fleet."""
        self._share = min(1.0, reachable / max(1, size))

    def configure(self, workspaces, now):
        """Apply the limits of a configuration."""
        limits = {
            workspace.name: (workspace.rate, workspace.burst)
            for workspace in workspaces
            if workspace.rate
        }
        for name, (rate, burst) in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(rate, burst, now)
            elif self._limits.get(name) != (rate, burst):
                bucket.resize(rate, burst, now, self._share)
        for name in self._buckets.keys() - limits.keys():
            del self._buckets[name]
        if self._usage is not None:
            self._usage.keep(limits.keys())
        self._limits = limits

    def take(self, workspace, now):
        """Admit a request; return 0, or the seconds until one is allowed."""
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0
        wait_s = bucket.take(now, self._share)
        if not wait_s:
            self._admitted[workspace] = self._admitted.get(workspace, 0) + 1
            if self._usage is not None:
                self._usage.record(workspace, 1, now)
        return wait_s

    def preview(self, workspace, now):
        """Return what `take` and `describe` would, and change nothing.

        The state is None for a workspace without a limit.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return 0.0, None
        bucket = copy.copy(bucket)
        wait_s = bucket.get_wait(now, self._share)
        return wait_s, self._describe(workspace, bucket)

    def describe(self, workspace):
        """Return the state of a workspace's bucket, for the log."""
        return self._describe(workspace, self._buckets[workspace])

    def _describe(self, workspace, bucket):
        rate, burst = self._limits[workspace]
        return {
            'level': round(bucket.level, 2),
            'rate': rate,
            'burst': burst,
            'share': round(self._share, 3),
        }

    def record(self, admitted, now):
        """Count requests that other hosts admitted, by workspace."""
        for workspace, count in admitted.items():
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.record(count, now, self._share)
                if self._usage is not None:
                    self._usage.record(workspace, count, now)
