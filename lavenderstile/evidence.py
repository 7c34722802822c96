"""Outcomes of requests by target and host, compared between targets.

docs/decisions/ejection.md gives the statistics behind the constants.
"""

import collections
import dataclasses
import math
import statistics

# The long window finds rare failures; the short one finds frequent failures
# before they are a large share of the long one.
LONG_WINDOW_S = 10.0
SHORT_WINDOW_S = 3.0
# At 10 requests/s a target has 100 samples in the long window. More samples
# than this limit hardly improve the estimate.
MAX_SAMPLES = 400
# Normal quantile of the 99% confidence interval; its lower bound is used.
FAILURE_Z = 2.576
MIN_FAILURES = 4
MIN_FAILURE_SHARE = 0.1
PEER_FAILURE_FACTOR = 2.0
# Quantile for the share of slow requests: higher, as latencies can be bimodal
# and the median of a few samples jumps between the two modes.
LATENCY_Z = 4.0
MIN_LATENCY_SAMPLES = 20
# A fixed number of latest samples shows a change sooner than a fixed time
# window, as a slow target responds less often.
RECENT_LATENCY_SAMPLES = 12
LATENCY_FACTOR = 3.0
# Differences under this are scheduling noise.
MIN_LATENCY_EXCESS_S = 0.005


def wilson_lower(count, total, z=FAILURE_Z):
    """Return the lower Wilson bound of the share `count` / `total`."""
    if not total:
        return 0.0
    share = count / total
    margin = z * math.sqrt(
        share * (1 - share) / total + z * z / (4 * total * total)
    )
    return (share + z * z / (2 * total) - margin) / (1 + z * z / total)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The outcome of one attempt; `latency_s` is None if unknown."""

    at: float
    host: str
    failed: bool
    latency_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Result of comparing a target with its peers.

    `severity` orders bad targets; `reason` is empty for good ones.
    `bad_times` are the times of the failed or slow requests behind the
    reason, and `slow` is true if they were slow rather than failed.
    """

    target: str
    samples: int
    failures: int
    median_s: float | None = None
    peer_median_s: float | None = None
    severity: float = 0.0
    reason: str = ''
    bad_times: tuple[float, ...] = ()
    slow: bool = False

    @property
    def bad(self):
        """Whether the target looks bad."""
        return bool(self.reason)


class EvidenceWindow:
    """The samples of the last LONG_WINDOW_S seconds, by target."""

    __slots__ = ('_samples',)

    def __init__(self):
        self._samples = {}

    def record(self, target, host, failed, latency_s, now):
        """Add the outcome of an attempt."""
        samples = self._samples.get(target)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self._samples[target] = samples
        samples.append(Sample(now, host, failed, latency_s))

    def remove_target(self, target):
        """Drop the samples of one target."""
        self._samples.pop(target, None)

    def remove_hosts(self, target, hosts):
        """Drop the samples of some hosts on one target."""
        samples = self._samples.get(target, ())
        kept = [sample for sample in samples if sample.host not in hosts]
        self._samples[target] = collections.deque(kept, maxlen=MAX_SAMPLES)

    def clear(self):
        """Drop all samples."""
        self._samples.clear()

    def samples(self, target, now):
        """Return the samples of a target's long window."""
        samples = self._samples.get(target)
        if not samples:
            return ()
        while samples and now - samples[0].at > LONG_WINDOW_S:
            samples.popleft()
        return samples

    def compare(self, targets, now):
        """Return a judgement for each of `targets`."""
        samples = {target: self.samples(target, now) for target in targets}
        faulty = find_faulty_hosts(samples)
        if faulty:
            samples = {
                target: [s for s in own_samples if s.host not in faulty]
                for target, own_samples in samples.items()
            }
        return _Comparison(samples, now).judge()


def find_faulty_hosts(samples):
    """Return the hosts whose requests fail on most of their targets.

    Such a host has a bad network link: its failures say nothing about the
    targets unless other hosts see them too.
    """
    failures = collections.defaultdict(collections.Counter)
    for target, own_samples in samples.items():
        for sample in own_samples:
            if sample.failed:
                failures[sample.host][target] += 1
    all_total = sum(len(own_samples) for own_samples in samples.values())
    all_failed = sum(count.total() for count in failures.values())
    faulty = set()
    for host, failed in failures.items():
        if len(failed) < 2:
            continue
        requests = {
            target: sum(sample.host == host for sample in own_samples)
            for target, own_samples in samples.items()
        }
        total = sum(requests.values())
        other_total = all_total - total
        other_share = (
            (all_failed - failed.total()) / other_total if other_total else 1.0
        )
        lower = wilson_lower(failed.total(), total)
        is_widespread = 2 * len(failed) > sum(
            count > 0 for count in requests.values()
        )
        if is_widespread and lower > max(
            MIN_FAILURE_SHARE, PEER_FAILURE_FACTOR * other_share
        ):
            faulty.add(host)
    return faulty


class _Comparison:
    """One comparison of all targets, at one time."""

    __slots__ = ('_long', '_medians', '_recent_latencies', '_short')

    def __init__(self, samples, now):
        self._long = samples
        self._short = {
            target: [s for s in own_samples if now - s.at <= SHORT_WINDOW_S]
            for target, own_samples in samples.items()
        }
        self._recent_latencies = {
            target: self._select_recent_latencies(target) for target in samples
        }
        self._medians = {
            target: statistics.median(s.latency_s for s in own_samples)
            for target, own_samples in self._recent_latencies.items()
            if own_samples
        }

    def judge(self):
        """Return the judgements by target."""
        shares = [
            {
                target: _failure_share(own_samples)
                for target, own_samples in window.items()
                if own_samples
            }
            for window in (self._short, self._long)
        ]
        return {
            target: self._judge_target(target, shares) for target in self._long
        }

    def _judge_target(self, target, shares):
        own_samples = self._long[target]
        peer_median = _median_of_others(self._medians, target)
        if not own_samples:
            return Judgement(target, 0, 0, None, peer_median)
        finding = None
        for window, window_shares in zip((self._short, self._long), shares):
            peer_share = _median_of_others(window_shares, target)
            finding = judge_failures(window[target], peer_share or 0.0)
            if finding is not None:
                break
        if finding is None and peer_median is not None:
            finding = self._judge_latency(target, peer_median)
        return Judgement(
            target,
            len(own_samples),
            sum(sample.failed for sample in own_samples),
            self._medians.get(target),
            peer_median,
            *(finding or ()),
        )

    def _select_recent_latencies(self, target):
        """Return the latest samples with a latency, [] if they are too few."""
        answered = [s for s in self._long[target] if s.latency_s is not None]
        if len(answered) < MIN_LATENCY_SAMPLES:
            return []
        return answered[-RECENT_LATENCY_SAMPLES:]

    def _judge_latency(self, target, peer_median):
        threshold = max(
            peer_median * LATENCY_FACTOR, peer_median + MIN_LATENCY_EXCESS_S
        )
        if self._medians.get(target, 0.0) < threshold:
            return None
        kept = _without_worst_host(
            self._recent_latencies[target], lambda s: s.latency_s > threshold
        )
        if not kept:
            return None
        median = statistics.median(s.latency_s for s in kept)
        if median < threshold:
            return None
        slow = [s.at for s in kept if s.latency_s > threshold]
        peers = [
            s.latency_s > threshold
            for peer, samples in self._recent_latencies.items()
            if peer != target
            for s in samples
        ]
        peer_slow = sum(peers) / len(peers) if peers else 1.0
        if wilson_lower(len(slow), len(kept), LATENCY_Z) <= peer_slow:
            return None
        reason = (
            f'median latency {median * 1000:.1f} ms, '
            f'its peers {peer_median * 1000:.1f} ms'
        )
        return 1 - peer_median / median, reason, tuple(slow), True


def judge_failures(samples, peer_share):
    """Return severity, reason and times if too many failed, else None.

    The host with the most failures is left out, so that at least two hosts
    have to see failures.
    """
    kept = _without_worst_host(samples, lambda sample: sample.failed)
    failed = [sample.at for sample in kept if sample.failed]
    if len(failed) < MIN_FAILURES:
        return None
    lower = wilson_lower(len(failed), len(kept))
    if lower <= max(MIN_FAILURE_SHARE, PEER_FAILURE_FACTOR * peer_share):
        return None
    reason = (
        f'{len(failed)} of {len(kept)} requests failed, '
        f'its peers {peer_share * 100:.1f}%'
    )
    return lower, reason, tuple(failed)


def _without_worst_host(samples, is_bad):
    """Return the samples of all hosts but the one with most bad ones."""
    bad = collections.Counter(s.host for s in samples if is_bad(s))
    if not bad:
        return list(samples)
    worst = max(bad, key=lambda host: (bad[host], host))
    return [sample for sample in samples if sample.host != worst]


def _failure_share(samples):
    return sum(sample.failed for sample in samples) / len(samples)


def _median_of_others(values, target):
    others = [value for name, value in values.items() if name != target]
    return statistics.median(others) if others else None
