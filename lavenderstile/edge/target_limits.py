"""Limits that targets state for the requests of all hosts together.

The hosts of a failure domain tell each other what targets state and how many
requests they send to limited targets. Each takes a token from its own bucket
for each of them, so that the sum keeps to the limit.
"""

import dataclasses
import enum
import math

import eliot

from . import messages
from . import parsed_headers
from . import rate_limits

# A target that takes fewer requests still gets some at this rate, because only
# a response can show that the limit was lifted.
MIN_REQUESTS_PER_S = 0.2

BURST_REQUESTS = 1.0

# Largest debt after several hosts have used the same token, in seconds of the
# limit: a window of a few seconds must not hold two such excesses.
MAX_DEBT_S = 10.0

# Lifted limits are reported for this time, so that hosts that missed the first
# reports do not keep them.
LIFT_RETENTION_S = 30.0


class Source(enum.IntEnum):
    """Where a host learned of a statement."""

    RESPONSE = 0
    PEER = 1
    OTHER_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The newest limit of a target; `rate` None means that it was lifted."""

    rate: float | None
    stated_at: float
    source: Source


_NO_STATEMENT = Statement(None, float('-inf'), Source.RESPONSE)


class TargetLimits:
    """Limits of targets, and this host's tokens for each limited target."""

    __slots__ = ('_buckets', '_directory', '_fleet', '_sends', '_statements')

    def __init__(self, directory, fleet):
        self._directory = directory
        self._fleet = fleet
        self._statements = {}
        self._buckets = {}
        self._sends = {}

    @property
    def sends(self):
        """Total requests of this host to targets while they were limited."""
        return self._sends

    def get_rate(self, instance):
        """Return a target's limit in requests a second, or None."""
        return self._statements.get(instance, _NO_STATEMENT).rate

    def get_wait(self, target, now):
        """Return the seconds until this host may send to a target.

        Infinite if the target is left to the hosts of other domains.
        """
        bucket = self._buckets.get(target.instance)
        if bucket is None:
            return 0.0
        share = self._get_share(target, now)
        return bucket.get_wait(now, share) if share else math.inf

    def _get_share(self, target, now):
        """Return the part of a target's limit that this domain may use.

        Only hosts of one domain learn of each other's requests in time, so
        the limit is divided between domains by their number of hosts. Domains
        with targets of their own leave those of others alone.
        """
        supplied = self._directory.get_domains(target.service)
        sizes = {
            domain: size
            for domain, size in self._fleet.get_domain_sizes(now).items()
            if domain == target.domain or domain not in supplied
        }
        return sizes.get(self._fleet.domain, 0) / max(1, sum(sizes.values()))

    def record(self, instance, limit, sent_at, now):
        """Record what the response to a request says about a limit.

        A response without a limit lifts one only if its request was sent
        after the limit was stated; an earlier one may have been overtaken.
        """
        match limit:
            case parsed_headers.Limited(rate):
                self._update(instance, rate, now, Source.RESPONSE, now)
            case parsed_headers.Unlimited():
                if self.get_rate(instance) is not None:
                    self._update(instance, None, sent_at, Source.RESPONSE, now)
            case parsed_headers.UnreadableLimit(text):
                eliot.log_message(
                    'target_limit_unreadable', target=instance, text=text
                )

    def record_reports(self, reports, source, now):
        """Record what other hosts know about the limits of targets."""
        for instance, report in reports.items():
            self._update(
                instance, report.rate, now - report.age_s, source, now
            )

    def record_send(self, instance, now):
        """Count a request that this host sends to a target."""
        if instance in self._buckets:
            self._sends[instance] = self._sends.get(instance, 0) + 1
            self._take(instance, 1, now)

    def record_peer_sends(self, counts, now):
        """Count requests that hosts of the domain sent to limited targets."""
        for instance, count in counts.items():
            if instance in self._buckets:
                self._take(instance, count, now)

    def _take(self, instance, count, now):
        known = self._directory.targets.get(instance)
        share = self._get_share(known.target, now) if known else 0.0
        self._buckets[instance].record(count, now, share)

    def get_reports(self, farthest, now):
        """Return the limits, and those lifted lately, for other hosts.

        Statements from farther sources than `farthest` are left out: one that
        came back to its reporter would seem newer by the time on the way.
        """
        return {
            instance: messages.LimitReport(
                statement.rate, round(max(0.0, now - statement.stated_at), 3)
            )
            for instance, statement in self._statements.items()
            if statement.source <= farthest
            and (
                statement.rate is not None
                or now - statement.stated_at < LIFT_RETENTION_S
            )
        }

    def keep(self, instances):
        """Remove the state of targets that are not in `instances`."""
        for entries in (self._statements, self._buckets, self._sends):
            for instance in entries.keys() - instances:
                del entries[instance]

    def _update(self, instance, rate, stated_at, source, now):
        before = self._statements.get(instance, _NO_STATEMENT)
        if stated_at <= before.stated_at:
            return
        self._statements[instance] = Statement(rate, stated_at, source)
        if rate == before.rate:
            return
        eliot.log_message(
            'target_limit_changed',
            target=instance,
            limit=rate,
            before=before.rate,
            source=source.name.lower(),
        )
        self._resize_bucket(instance, rate, now)

    def _resize_bucket(self, instance, rate, now):
        if rate is None:
            self._buckets.pop(instance, None)
            return
        rate = max(rate, MIN_REQUESTS_PER_S)
        bucket = self._buckets.get(instance)
        if bucket is None:
            self._buckets[instance] = rate_limits.TokenBucket(
                rate, BURST_REQUESTS, now, MAX_DEBT_S
            )
        else:
            bucket.resize(rate, BURST_REQUESTS, now, 1.0)
