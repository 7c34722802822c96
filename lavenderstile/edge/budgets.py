"""Budget of sends beyond the first, as this host's part of the fleet's."""

# Part of the published ratio that is used; the rest covers requests that
# were counted here but do not reach the service.
RATIO_SHARE = 0.85

# Part of the published slack that all hosts use together.
SLACK_SHARE = 0.8

# A full bucket holds this part of the host's slack and gains the rest in one
# window, so that no window has more than the slack.
FULL_SHARE = 0.75


class RetryBudget:
    """A bucket that requests fill and second sends empty."""

    __slots__ = ('_ratio', '_slack', '_tokens', '_window_s', '_settled_at')

    def __init__(self, ratio, slack, window_s, now):
        self._ratio = ratio * RATIO_SHARE
        self._slack = slack * SLACK_SHARE
        self._window_s = window_s
        self._tokens = 1.0
        self._settled_at = now

    @property
    def tokens(self):
        """Second sends that are allowed now."""
        return self._tokens

    def record_request(self):
        """Count a request of a caller."""
        self._tokens += self._ratio

    def take(self, now, hosts):
        """Use one second send; return whether the budget allows it."""
        part = self._slack / max(1, hosts)
        elapsed_s = max(0.0, now - self._settled_at)
        self._settled_at = now
        gained = elapsed_s * part * (1 - FULL_SHARE) / self._window_s
        full = max(1.0, part * FULL_SHARE)
        self._tokens = min(self._tokens + gained, full)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
