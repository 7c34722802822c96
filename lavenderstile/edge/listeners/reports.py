"""Log lines and counters about limits that clients reach."""

import eliot

# Time between two log lines about the same limit. Each event is counted.
LOG_INTERVAL_S = 1.0


class LimitReports:
    """Reports that limits were reached, with a bounded number of log lines."""

    __slots__ = ('_clock', '_logged_at', '_metrics', '_unlogged')

    def __init__(self, clock, metrics=None):
        self._clock = clock
        self._metrics = metrics
        self._logged_at = {}
        self._unlogged = {}

    def record(self, limit, **fields):
        """Count an event at a limit; log it unless one was just logged."""
        if self._metrics is not None:
            self._metrics.count_listener_limit(limit)
        now = self._clock.now()
        logged_at = self._logged_at.get(limit)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            self._unlogged[limit] = self._unlogged.get(limit, 0) + 1
            return
        self._logged_at[limit] = now
        eliot.log_message(
            'listener_limit',
            limit=limit,
            unlogged=self._unlogged.pop(limit, 0),
            **fields,
        )
