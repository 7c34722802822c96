"""Targets that accept requests and answer none."""

import dataclasses

# A request has run for this long, and nothing has been answered since it
# began. Slow callers can cause that too, so a target is only suspect.
SILENT_S = 2.0
# Failures without any answer that confirm the suspicion. A silent target
# gets few requests, as its slots stay in use until the timeout.
SILENT_FAILURES = 3
SILENT_HOSTS = 2


class _Silence:
    """A silent target, and the failures since it was noticed."""

    __slots__ = ('failures',)

    def __init__(self):
        self.failures = []


class SilenceWatch:
    """Remembers the silent targets until they answer."""

    __slots__ = ('_answered_at', '_silences')

    def __init__(self):
        self._silences = {}
        self._answered_at = {}

    def clear(self):
        """Forget all targets."""
        self._silences.clear()
        self._answered_at.clear()

    def record(self, target, host, failed, now):
        """Count the outcome of a request."""
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
            if now - oldest >= SILENT_S and answered_at <= oldest:
                self._silences.setdefault(address, _Silence())
        return frozenset(self._silences)

    def judge(self, judgement):
        """Return the judgement, made bad if a silent target only fails."""
        silence = self._silences.get(judgement.target)
        if silence is None or judgement.bad:
            return judgement
        failures = silence.failures
        hosts = {host for _, host in failures}
        if len(failures) < SILENT_FAILURES or len(hosts) < SILENT_HOSTS:
            return judgement
        return dataclasses.replace(
            judgement,
            severity=1.0,
            reason=f'no answer, and {len(failures)} requests failed',
            bad_times=tuple(at for at, _ in failures),
        )
