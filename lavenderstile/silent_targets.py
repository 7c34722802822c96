"""Detection of targets that accept requests and respond to none."""

import dataclasses

# A target is silent if a request has run for this long and nothing has been
# answered since it began. Slow callers can cause that too, so the target is
# only suspect.
SILENCE_TIMEOUT_S = 2.0
# A request that has waited longer than this factor times the slowest response
# of the service counts as failed before its deadline: with 3 slots and
# deadlines of 5 s, a silent target has less than one outcome per second.
OVERDUE_FACTOR = 1.5
SLOWEST_PERIOD_S = 600.0
# Failures without any response that confirm the suspicion, and the number of
# hosts that have to see them. A silent target gets few requests, as its slots
# stay in use until the time-out.
MIN_FAILURES = 3
MIN_HOSTS = 2
# Overdue requests that confirm the suspicion without any failure. Placement
# prefers targets with free slots, so the third slot of a silent target fills
# slowly.
MIN_OVERDUE_REQUESTS = 2


class _Silence:
    """Failures on a silent target since it was detected, as (time, host).

    Overdue requests have the same form, but are determined again in each
    review.
    """

    __slots__ = ('failures', 'overdue')

    def __init__(self):
        self.failures = []
        self.overdue = []


class _SlowestResponse:
    """The longest response time within this period and the last one."""

    __slots__ = ('_by_period',)

    def __init__(self):
        self._by_period = {}

    def record(self, latency_s, now):
        """Record a response."""
        period = int(now // SLOWEST_PERIOD_S)
        if latency_s > self._by_period.get(period, 0.0):
            self._by_period[period] = latency_s
            for old in [key for key in self._by_period if key < period - 1]:
                del self._by_period[old]

    def get(self):
        """Return the longest time, or 0 without responses."""
        return max(self._by_period.values(), default=0.0)


class SilentTargetDetector:
    """Tracks silent targets until they respond."""

    __slots__ = ('_answered_at', '_silences', '_slowest')

    def __init__(self):
        self._silences = {}
        self._slowest = _SlowestResponse()
        self._answered_at = {}

    def clear(self):
        """Remove all targets."""
        self._silences.clear()
        self._answered_at.clear()

    def record(self, target, host, failed, now, latency_s=None):
        """Record the outcome of a request."""
        if latency_s is not None:
            self._slowest.record(latency_s, now)
        if not failed:
            self._answered_at[target] = now
            self._silences.pop(target, None)
        elif target in self._silences:
            self._silences[target].failures.append((now, host))

    def review(self, addresses, table, now):
        """Update the silent targets among `addresses` and return them."""
        for address in self._silences.keys() - set(addresses):
            del self._silences[address]
        for address in self._answered_at.keys() - set(addresses):
            del self._answered_at[address]
        for address in addresses:
            oldest = min(
                (holder.granted_at for holder in table.holders_on(address)),
                default=now,
            )
            answered_at = self._answered_at.get(address, oldest)
            if now - oldest >= SILENCE_TIMEOUT_S and answered_at <= oldest:
                self._silences.setdefault(address, _Silence())
        for address, silence in self._silences.items():
            silence.overdue = self._find_overdue(address, table, now)
        return frozenset(self._silences)

    def _find_overdue(self, address, table, now):
        limit_s = max(SILENCE_TIMEOUT_S, OVERDUE_FACTOR * self._slowest.get())
        return [
            (now, holder.host)
            for holder in table.holders_on(address)
            if holder.waiting_since is not None
            and now - holder.waiting_since >= limit_s
        ]

    def judge(self, judgement):
        """Return the judgement, made bad if the silence is confirmed."""
        silence = self._silences.get(judgement.target)
        if silence is None or judgement.bad:
            return judgement
        failures = silence.failures + silence.overdue
        hosts = {host for _, host in failures}
        enough = (
            len(failures) >= MIN_FAILURES
            or len(silence.overdue) >= MIN_OVERDUE_REQUESTS
        )
        if not enough or len(hosts) < MIN_HOSTS:
            return judgement
        return dataclasses.replace(
            judgement,
            severity=1.0,
            reason=f'no response; {len(failures)} requests failed or overdue',
            bad_times=tuple(at for at, _ in failures),
        )
