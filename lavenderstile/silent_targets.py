"""Targets that accept requests and answer none."""

import dataclasses

# A request has run for this long, and nothing has been answered since it
# began. Slow callers can cause that too, so a target is only suspect.
SILENCE_TIMEOUT_S = 2.0
# A request that has waited longer than this times the slowest answer of the
# service counts as failed before its deadline: with 3 slots and deadlines of
# 5 s, a silent target has less than one outcome a second.
OVERDUE_FACTOR = 1.5
SLOWEST_PERIOD_S = 600.0
# Failures without any answer that confirm the suspicion. A silent target
# gets few requests, as its slots stay in use until the timeout.
MIN_FAILURES = 3
MIN_HOSTS = 2
# Overdue requests that confirm it without any failure. Placement prefers
# targets with free slots, so the third slot of a silent one fills slowly.
MIN_OVERDUE_REQUESTS = 2


class _Silence:
    """A silent target, and the failures since it was noticed.

    Overdue requests are (time, host) as failures are, but they are found
    anew with each review.
    """

    __slots__ = ('failures', 'overdue')

    def __init__(self):
        self.failures = []
        self.overdue = []


class _SlowestResponse:
    """The longest time until an answer within the last minutes."""

    __slots__ = ('_by_period',)

    def __init__(self):
        self._by_period = {}

    def record(self, latency_s, now):
        """Count an answer."""
        period = int(now // SLOWEST_PERIOD_S)
        if latency_s > self._by_period.get(period, 0.0):
            self._by_period[period] = latency_s
            for old in [key for key in self._by_period if key < period - 1]:
                del self._by_period[old]

    def get(self):
        """Return the longest time, 0 without answers."""
        return max(self._by_period.values(), default=0.0)


class SilentTargetDetector:
    """Remembers the silent targets until they answer."""

    __slots__ = ('_answered_at', '_silences', '_slowest')

    def __init__(self):
        self._silences = {}
        self._slowest = _SlowestResponse()
        self._answered_at = {}

    def clear(self):
        """Forget all targets."""
        self._silences.clear()
        self._answered_at.clear()

    def record(self, target, host, failed, now, latency_s=None):
        """Count the outcome of a request."""
        if latency_s is not None:
            self._slowest.record(latency_s, now)
        if not failed:
            self._answered_at[target] = now
            self._silences.pop(target, None)
        elif target in self._silences:
            self._silences[target].failures.append((now, host))

    def review(self, addresses, table, now):
        """Return the silent ones of `addresses`, with the new ones."""
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
        """Return the judgement, made bad if a silent target only fails."""
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
            reason=f'no answer, and {len(failures)} requests failed or wait',
            bad_times=tuple(at for at, _ in failures),
        )
