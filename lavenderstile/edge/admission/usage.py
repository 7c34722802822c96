"""Usual and present request rates of workspaces, to find sudden surpluses."""

import math

# Time constants of the present and of the usual rate.
PRESENT_TIME_S = 1.0
USUAL_TIME_S = 60.0

# The usual rate is not known before a workspace was seen for this time.
WARMUP_S = 5.0

# A workspace may send at this multiple of its usual rate, plus this number of
# standard deviations of the present rate, before requests are surplus.
SURPLUS_FACTOR = 1.5
SURPLUS_DEVIATIONS = 2.0


class _Rate:
    """Requests per second, with exponentially falling weights."""

    __slots__ = ('_count', '_started_at', '_time_s', '_updated_at')

    def __init__(self, time_s, now):
        self._time_s = time_s
        self._count = 0.0
        self._started_at = now
        self._updated_at = now

    def add(self, count, now):
        """Count requests that arrive now."""
        self._count = self._get_count(now) + count
        self._updated_at = now

    def get(self, now):
        """Return the rate; a short history counts for its length."""
        weight = 1 - math.exp(-(now - self._started_at) / self._time_s)
        return self._get_count(now) / (self._time_s * max(weight, 1e-3))

    def _get_count(self, now):
        return self._count * math.exp(-(now - self._updated_at) / self._time_s)


class _Workspace:
    """Rates of one workspace, and the part of a request it has left."""

    __slots__ = ('credit', 'first_at', 'present', 'usual')

    def __init__(self, now):
        self.first_at = now
        self.present = _Rate(PRESENT_TIME_S, now)
        self.usual = _Rate(USUAL_TIME_S, now)
        self.credit = 0.0

    def get_allowed_share(self, now):
        """Return the rate that it may send over the present one."""
        if now - self.first_at < WARMUP_S:
            return 1.0
        usual = self.usual.get(now)
        deviation = math.sqrt(usual / (2 * PRESENT_TIME_S))
        allowed = SURPLUS_FACTOR * usual + SURPLUS_DEVIATIONS * deviation
        # A single request is never surplus, however seldom they come.
        allowed += 1 / PRESENT_TIME_S
        return allowed / max(self.present.get(now), 1e-9)


class WorkspaceUsage:
    """Tells which requests exceed the usual rate of their workspace by far.

    Requests of all hosts count that report what they admit, which they do for
    workspaces with a rate limit.
    """

    __slots__ = ('_workspaces',)

    def __init__(self):
        self._workspaces = {}

    def record(self, name, count, now):
        """Count requests that this or another host has admitted."""
        workspace = self._workspaces.get(name)
        if workspace is None:
            workspace = self._workspaces[name] = _Workspace(now)
        workspace.present.add(count, now)
        # A sudden load raises the usual rate only slowly.
        allowed_share = min(1.0, workspace.get_allowed_share(now))
        workspace.usual.add(count * allowed_share, now)

    def keep(self, names):
        """Remove workspaces that are not in `names`."""
        for name in self._workspaces.keys() - names:
            del self._workspaces[name]

    def is_surplus(self, name, now):
        """Return whether a new request is beyond the workspace's own share.

        Of each workspace that sends too much, as many requests are within the
        share as it may send.
        """
        workspace = self._workspaces.get(name)
        if workspace is None:
            return False
        allowed_share = workspace.get_allowed_share(now)
        if allowed_share >= 1.0:
            return False
        workspace.credit += allowed_share
        if workspace.credit < 1.0:
            return True
        workspace.credit -= 1.0
        return False
