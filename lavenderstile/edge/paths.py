"""Whether this host reaches the targets, from its new connections."""

import eliot

# Targets, or all if there are fewer, that have to refuse or time out new
# connections, with no success in between, before the host counts as cut off
# from the targets.
CUT_TARGETS = 2

# Failures that are older do not count.
EVIDENCE_S = 10.0

# A cut that has lasted for this time is confirmed: tests of the paths have
# failed as well. A shorter one may be two targets that have crashed.
CONFIRMED_S = 0.5

MAX_LOGGED_TARGETS = 4


class Paths:
    """Evidence of new connections to targets that failed or succeeded.

    A request on a kept connection is no evidence: the connection may live on
    while new ones are refused.
    """

    __slots__ = ('_cut_since', '_failed_at', '_failures')

    def __init__(self):
        self._failed_at = {}
        self._failures = 0
        self._cut_since = None

    @property
    def is_cut(self):
        """Whether this host probably reaches no target."""
        return self._cut_since is not None

    def is_confirmed(self, now):
        """Return whether tests have confirmed that this host is cut off."""
        return self.is_cut and self.get_cut_duration(now) >= CONFIRMED_S

    def get_cut_duration(self, now):
        """Return for how many seconds this host has been cut off."""
        return 0.0 if self._cut_since is None else now - self._cut_since

    def record_failure(self, instance, detail, targets, now):
        """Record that a connection to one of `targets` was not established.

        Returns whether the host counts as cut off from now on.
        """
        self._failed_at = {
            failed: at
            for failed, at in self._failed_at.items()
            if now - at < EVIDENCE_S
        }
        self._failed_at[instance] = now
        self._failures += 1
        needed = max(1, min(CUT_TARGETS, targets))
        if self.is_cut or len(self._failed_at) < needed:
            return False
        self._cut_since = now
        eliot.log_message(
            'targets_lost',
            failed=list(self._failed_at)[:MAX_LOGGED_TARGETS],
            detail=detail,
            first_s=round(now - min(self._failed_at.values()), 3),
        )
        return True

    def record_success(self, instance, now):
        """Record a new connection to a target.

        Returns whether a confirmed cut has ended.
        """
        was_confirmed = self.is_confirmed(now)
        if self.is_cut:
            eliot.log_message(
                'targets_regained',
                target=instance,
                after_s=round(self.get_cut_duration(now), 3),
                failures=self._failures,
            )
        self._failed_at.clear()
        self._failures = 0
        self._cut_since = None
        return was_confirmed
