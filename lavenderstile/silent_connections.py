"""Recognition of connections that went silent while new ones work."""

# A target gets one such event per period. Later timeouts on connections
# opened after the event count as timeouts, so that a target that stalls
# requests at random is still judged by them.
EVENT_PERIOD_S = 60.0

# Answers are remembered for this many connections.
MEMORY = 64


class SilentConnectionDetector:
    """Tells a silent connection to a target from a target that stalls.

    Connections are numbered in the order in which they were opened.
    """

    __slots__ = ('_answers', '_event_at', '_first_good', '_fresh_timeout_at')

    def __init__(self):
        self._answers = {}
        self._event_at = float('-inf')
        self._first_good = 0
        self._fresh_timeout_at = float('-inf')

    @property
    def first_good(self):
        """Lowest connection number that the last event did not cover."""
        return self._first_good

    def record_response(self, number, now):
        """Record that the target answered on a connection."""
        self._answers[number] = now
        if len(self._answers) > MEMORY:
            del self._answers[min(self._answers)]

    def judge_timeout(self, number, is_reused, sent_at, now):
        """Return whether a request timed out on a silent connection.

        That is so if the connection worked before and the target answered
        on a newer one while the request waited.
        """
        if not is_reused:
            self._fresh_timeout_at = now
            return False
        if now - self._fresh_timeout_at < EVENT_PERIOD_S:
            return False
        if now - self._event_at < EVENT_PERIOD_S:
            return number < self._first_good
        working = self._find_newer(number, sent_at)
        if not working:
            return False
        self._event_at = now
        self._first_good = max(working)
        return True

    def is_newer_working(self, number, since):
        """Return whether the target answered on a newer connection."""
        return bool(self._find_newer(number, since))

    def _find_newer(self, number, since):
        return [
            other
            for other, answered_at in self._answers.items()
            if other > number and answered_at >= since
        ]
