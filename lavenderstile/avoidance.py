"""Avoidance of targets that fail for one host but not for the others."""

import collections

# With 1% random errors, three consecutive failures have a probability of one
# in a million.
CONSECUTIVE_FAILURES = 3
# Failures further apart than this are not counted as consecutive. Longer than
# the longest avoidance, so that a failure after one still counts.
FAILURE_RESET_S = 120.0
FIRST_AVOIDANCE_S = 5.0
MAX_AVOIDANCE_S = 60.0
# If other hosts have used the target, it must work for them: they have sent at
# least this many requests, and less than this share of them failed.
MIN_OTHER_SAMPLES = 3
MAX_OTHER_FAILURE_SHARE = 0.3
# If most paths of a host have failed within this time, its network link is
# bad, not a path.
RECENT_FAILURE_S = 10.0
MAX_PATHS = 10_000


class _Path:
    """State of the path from one host to one target."""

    __slots__ = (
        'avoidances',
        'avoided_until',
        'failed_at',
        'failures',
        'group',
    )

    def __init__(self):
        self.failures = 0
        self.failed_at = 0.0
        self.avoidances = 0
        # Targets that the host avoids together.
        self.group = ()
        self.avoided_until = 0.0


class PathAvoidance:
    """Makes hosts avoid targets that fail only for them.

    An avoidance ends after a time that doubles whenever the path fails again.
    A host that fails on most targets has a bad network link and avoids none.
    """

    __slots__ = ('_paths',)

    def __init__(self):
        self._paths = collections.OrderedDict()

    def __len__(self):
        return len(self._paths)

    def record(self, host, target, failed, now):
        """Record an outcome on a path.

        Return whether it is a failure on a path that is known to be bad. If
        its avoidance had ended, the host avoids the path and its group again.
        """
        key = (host, target)
        path = self._paths.get(key)
        if not failed:
            if path is not None and path.avoided_until <= now:
                del self._paths[key]
            return False
        path = self._get_or_add(host, target)
        if now - path.failed_at > FAILURE_RESET_S:
            path.failures = 0
            path.avoidances = 0
        path.failures += 1
        path.failed_at = now
        if not path.avoidances:
            return False
        if path.avoided_until <= now:
            group = [
                name for name in path.group if (host, name) in self._paths
            ]
            self.avoid(host, group, now)
        return True

    def _get_or_add(self, host, target):
        path = self._paths.get((host, target))
        if path is None:
            while len(self._paths) >= MAX_PATHS:
                self._paths.popitem(last=False)
            path = self._paths[host, target] = _Path()
        return path

    def is_avoided(self, host, target, now):
        """Return whether the host avoids the target."""
        path = self._paths.get((host, target))
        return path is not None and now < path.avoided_until

    def avoided(self, now):
        """Return the avoided paths as (host, target)."""
        return [
            key
            for key, path in self._paths.items()
            if now < path.avoided_until
        ]

    def remove_target(self, target):
        """Remove the paths to a target."""
        for key in [key for key in self._paths if key[1] == target]:
            del self._paths[key]

    def clear(self):
        """Remove all paths."""
        self._paths.clear()

    def avoid(self, host, targets, now):
        """Make a host avoid a group of targets."""
        for target in targets:
            path = self._get_or_add(host, target)
            path.group = tuple(targets)
            path.failed_at = now
            path.avoided_until = now + min(
                MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**path.avoidances
            )
            path.avoidances += 1

    def review(self, window, targets, now):
        """Avoid the paths that have become bad; return the new ones."""
        failing = collections.defaultdict(list)
        for (host, target), path in self._paths.items():
            recent = now - path.failed_at <= RECENT_FAILURE_S
            if target in targets and path.failures and recent:
                failing[host].append((target, path))
        found = []
        for host, paths in failing.items():
            if 2 * len(paths) > len(targets):
                continue
            for target, path in paths:
                if path.avoidances or path.failures < CONSECUTIVE_FAILURES:
                    continue
                samples = window.samples(target, now)
                if not _is_path_fault(samples, host):
                    continue
                self.avoid(host, (target,), now)
                found.append((host, target))
        return found


def _is_path_fault(samples, host):
    others = [sample for sample in samples if sample.host != host]
    if not others:
        # A bad path cannot be told from a bad target then, and avoiding the
        # target is right in both cases. With few hosts and a fixed order of
        # requests, one host may send all of a target's requests forever.
        return True
    failed = sum(sample.failed for sample in others)
    return len(
        others
    ) >= MIN_OTHER_SAMPLES and failed < MAX_OTHER_FAILURE_SHARE * len(others)
