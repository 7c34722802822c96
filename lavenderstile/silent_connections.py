"""Detection of connections that went silent while newer ones work."""

# A target has at most one such event per period. Until then, time-outs on
# connections that the event did not cover count against the target, so that a
# target that stalls requests at random is still detected.
EVENT_PERIOD_S = 60.0

# Number of connections whose last response time is kept.
MAX_TRACKED_CONNECTIONS = 64


class SilentConnectionDetector:
    """Distinguishes silent connections from a target that stalls requests.

    Connections are numbered in the order in which they were opened.
    """

    __slots__ = (
        '_event_at',
        '_first_working',
        '_new_connection_timeout_at',
        '_responded_at',
    )

    def __init__(self):
        self._responded_at = {}
        self._event_at = float('-inf')
        self._first_working = 0
        self._new_connection_timeout_at = float('-inf')

    @property
    def first_working(self):
        """Lowest connection number that the last event did not cover."""
        return self._first_working

    def record_response(self, number, now):
        """Record that the target responded on a connection."""
        self._responded_at[number] = now
        if len(self._responded_at) > MAX_TRACKED_CONNECTIONS:
            del self._responded_at[min(self._responded_at)]

    def judge_timeout(self, number, is_reused, sent_at, now):
        """Return whether a request timed out on a silent connection.

        That is the case if the connection worked before and the target
        responded on a newer one while the request waited.
        """
        if not is_reused:
            self._new_connection_timeout_at = now
            return False
        if now - self._new_connection_timeout_at < EVENT_PERIOD_S:
            return False
        if now - self._event_at < EVENT_PERIOD_S:
            return number < self._first_working
        working = self._find_newer_working(number, sent_at)
        if not working:
            return False
        self._event_at = now
        self._first_working = max(working)
        return True

    def has_newer_working(self, number, since):
        """Return whether the target responded on a newer connection."""
        return bool(self._find_newer_working(number, since))

    def _find_newer_working(self, number, since):
        return [
            other
            for other, responded_at in self._responded_at.items()
            if other > number and responded_at >= since
        ]
