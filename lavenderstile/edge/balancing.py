"""Choice of the target for a request."""

import dataclasses
import math
import random

from .. import hashing

# Requests that may wait at a target, per slot; beyond that, hosts hold further
# requests back. Targets have a short queue of their own.
QUEUE_PER_SLOT = 1.5

# Penalty for sending a request to another failure domain, as an equivalent
# wait. It uses bandwidth, a lost upload costs more than its bytes, and the
# state of targets in the own domain is known sooner.
CROSS_DOMAIN_PENALTY_S = 0.25
CROSS_DOMAIN_PENALTY_S_PER_KB = 0.004

# The weight of a load report falls linearly to zero over this time.
LOAD_REPORT_LIFETIME_S = 0.8

# Penalty for a new connection, which costs the target a handshake.
CONNECT_PENALTY_S = 0.03

# A target counts as out of use after two seconds without a request. One that
# had no request for these times gets the bonus. The time is shorter for
# idempotent requests: these can be retried if the target still fails, others
# would be lost.
UNUSED_AFTER_S = 1.5
IDEMPOTENT_UNUSED_AFTER_S = 1.0
UNUSED_BONUS_S = 1.0

# Share of a target's slots in use above which each further request affects
# the choices of other hosts.
CRITICAL_LOAD_SHARE = 0.5

# A target is in doubt above this failure probability, which it reaches about
# two seconds after its last response.
DOUBT_PROBABILITY = 0.1

# Number of hosts that may send to a cold target; they share its rate equally.
COLD_OWNERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The chosen target and the expected wait in its queue."""

    known: object
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """The queues of all targets are full."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target may receive the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """What a target would cost a request, for explanations.

    `parts` add up to the cost in seconds without its random part. A target
    with an `exclusion` is not chosen; it counts as full for `full_s`, or has
    to be left alone if that is infinite.
    """

    known: object
    parts: dict[str, float]
    exclusion: str | None
    full_s: float

    @property
    def cost_s(self):
        """The whole cost."""
        return sum(self.parts.values())


class ColdStartLimiter:
    """Limits the fleet's request rate to a target in cold start.

    Only `COLD_OWNERS` hosts, selected by hashing, send to a cold target.
    Each spaces its requests, which bounds the sum without coordination
    messages.
    """

    __slots__ = ('_fleet', '_last')

    def __init__(self, fleet):
        self._fleet = fleet
        self._last = {}

    def may_send(self, known, rate, now):
        """Return whether this host may send to a cold target now."""
        target = known.target
        hosts = self._list_hosts(target.domain)
        owners = hashing.rank(target.instance, hosts)[:COLD_OWNERS]
        if self._fleet.address not in owners:
            return False
        spacing_s = COLD_OWNERS / max(rate, 0.1)
        return now - self._last.get(target.instance, -1e9) >= spacing_s

    def record(self, known, now):
        """Record that a request goes to a cold target."""
        if len(self._last) > 1000:
            self._last.clear()
        self._last[known.target.instance] = now

    def _list_hosts(self, domain):
        if domain == self._fleet.domain:
            return self._fleet.members
        return self._fleet.contacts.get(domain) or [self._fleet.address]


class Balancer:
    """Chooses the target with the lowest expected cost in seconds."""

    __slots__ = (
        '_cold_start_limiter',
        '_directory',
        '_fleet',
        '_floor_share',
        '_health',
        '_outcomes',
        '_own_running',
        '_pauses',
        '_random',
        '_remote_load',
        '_target_limits',
        '_used_at',
    )

    def __init__(
        self,
        directory,
        fleet,
        health,
        outcomes,
        target_limits,
        pauses,
        floor_share,
        rng=None,
    ):
        self._directory = directory
        self._fleet = fleet
        self._health = health
        self._target_limits = target_limits
        self._pauses = pauses
        self._outcomes = outcomes
        self._floor_share = floor_share
        self._used_at = {}
        self._remote_load = {}
        self._own_running = {}
        self._cold_start_limiter = ColdStartLimiter(fleet)
        self._random = rng or random.Random()

    @property
    def own_running(self):
        """Requests in flight from this host, by instance."""
        return self._own_running

    def begin(self, known, now):
        """Count a request that is sent to a target."""
        instance = known.target.instance
        self._own_running[instance] = self._own_running.get(instance, 0) + 1
        self._used_at[instance] = now
        if known.cold_until > now:
            self._cold_start_limiter.record(known, now)
        self._target_limits.record_send(instance, now)

    def record_use(self, instances, now):
        """Record that other hosts of the domain use these targets."""
        for instance in instances:
            self._used_at[instance] = now

    def keep(self, instances):
        """Remove the state of targets that are not in `instances`."""
        for entries in (self._used_at, self._remote_load):
            for instance in entries.keys() - instances:
                del entries[instance]

    def _find_unused(self, service, is_idempotent, now):
        """Return the unused targets that should receive a request.

        A service whose requests fail must keep most of its healthy targets
        in use, even if a few of them serve all requests well. Hosts do not
        see all failures, so targets that are not avoided are always kept
        in use. While the service fails, at least the floor share of its
        targets is kept in use, avoided ones included.
        """
        own = [
            known.target.instance
            for known in self._directory.list_targets(service)
            if known.target.domain == self._fleet.domain
        ]
        floor_count = 0
        if self._outcomes.is_failing(service, now):
            own.sort(
                key=lambda instance: self._health.get_failure_probability(
                    instance, now
                )
            )
            floor_count = math.ceil(self._floor_share * len(own))
        kept = own[:floor_count] + [
            instance
            for instance in own[floor_count:]
            if not self._health.is_avoided(instance, now)
        ]
        return self._select_unused(kept, is_idempotent, now)

    def _select_unused(self, kept, is_idempotent, now):
        limit_s = (
            IDEMPOTENT_UNUSED_AFTER_S if is_idempotent else UNUSED_AFTER_S
        )
        oldest = now - limit_s
        return frozenset(
            instance
            for instance in kept
            if self._used_at.get(instance, 0.0) < oldest
        )

    def end(self, known):
        """Count the end of a request."""
        instance = known.target.instance
        left = self._own_running.get(instance, 0) - 1
        if left > 0:
            self._own_running[instance] = left
        else:
            self._own_running.pop(instance, None)

    def record_load(self, instance, load, now):
        """Record the load that a target reported in a response.

        Returns the load from other domains, or None without a report.
        """
        if load is None:
            return None
        # Both counts still include the request of this response.
        remote = max(0, sum(load) - self.get_running(instance))
        self._remote_load[instance] = (remote, now)
        return remote

    def record_remote_load(self, instance, remote, now):
        """Record a peer's report of the load from other domains."""
        self._remote_load[instance] = (remote, now)

    def record_rejection(self, instance, service, now):
        """Record that a target has turned a request away."""

    def describe_room(self, target, now):
        """Return the room of a target for operators, or None if not kept."""

    def _estimate_running(self, instance, now):
        running = self.get_running(instance)
        remote, at = self._remote_load.get(instance, (0, 0.0))
        if remote and now - at < LOAD_REPORT_LIFETIME_S:
            running += remote * (1 - (now - at) / LOAD_REPORT_LIFETIME_S)
        return running

    def get_running(self, instance):
        """Return the requests in flight from the domain's hosts."""
        own = self._own_running.get(instance, 0)
        return own + self._fleet.get_running(instance)

    def is_critical(self, known, now):
        """Return whether events at this target are reported without delay.

        Otherwise other hosts might send to a target without free slots, or
        each try a target in doubt, or each use the tokens of a limited one.
        """
        instance = known.target.instance
        if self._target_limits.get_rate(instance) is not None:
            return True
        is_loaded = (
            self.get_running(instance)
            > known.target.slots * CRITICAL_LOAD_SHARE
        )
        return (
            is_loaded
            or self._health.get_failure_probability(instance, now)
            > DOUBT_PROBABILITY
        )

    def choose(
        self,
        service,
        now,
        kilobytes,
        is_idempotent,
        excluded,
        has_connection,
        queue_per_slot=QUEUE_PER_SLOT,
    ):
        """Return `Chosen`, `Full` or `NoTarget` for a request.

        `excluded` are the instances already tried.
        `has_connection(instance)` says whether an idle connection exists.
        At most `queue_per_slot` requests may wait at a target, per slot.
        """
        best = None
        best_score = None
        shortest_full_wait_s = math.inf
        cold_rate = self._get_cold_rate(service)
        unused = self._find_unused(service, is_idempotent, now)
        for known in self._directory.list_targets(service):
            target = known.target
            instance = target.instance
            if instance in excluded:
                continue
            if (
                known.cold_until > now
                and not self._cold_start_limiter.may_send(
                    known, cold_rate, now
                )
            ):
                continue
            limit_wait_s = max(
                self._target_limits.get_wait(target, now),
                self._pauses.get_wait(target, now),
            )
            if limit_wait_s:
                shortest_full_wait_s = min(shortest_full_wait_s, limit_wait_s)
                continue
            running = self._estimate_running(instance, now)
            latency_s = self._health.estimate_latency(instance, service, now)
            waiting = running + 1 - target.slots
            wait_s = max(0, waiting) * latency_s / target.slots
            if waiting > queue_per_slot * target.slots:
                shortest_full_wait_s = min(shortest_full_wait_s, wait_s)
                continue
            score = (
                wait_s
                + latency_s
                + running / target.slots * 0.1 * latency_s
                + self._health.get_penalty(instance, is_idempotent, now)
                + self._random.random() * 0.01
            )
            if target.domain != self._fleet.domain:
                score += self._get_domain_cost(kilobytes)
            if instance in unused:
                score -= UNUSED_BONUS_S
            if not has_connection(instance):
                score += CONNECT_PENALTY_S
            if best is None or score < best_score:
                best = Chosen(known, wait_s)
                best_score = score
        if best is not None:
            return best
        return (
            NoTarget()
            if shortest_full_wait_s == math.inf
            else Full(shortest_full_wait_s)
        )

    def _get_cold_rate(self, service):
        configuration = self._directory.configuration
        found = configuration and configuration.services.get(service)
        return found.cold_rate if found else 1.0

    def assess(self, service, now, kilobytes, is_idempotent, has_connection):
        """Return an `Assessment` of each target that `choose` looks at.

        It records no use and takes no token. It is slower than `choose`.
        """
        unused = self._find_unused(service, is_idempotent, now)
        assessments = []
        for known in self._directory.list_targets(service):
            instance = known.target.instance
            parts = self._list_cost_parts(known, now, kilobytes)
            parts['health'] = self._health.get_penalty(
                instance, is_idempotent, now
            )
            if instance in unused:
                parts['unused'] = -UNUSED_BONUS_S
            if not has_connection(instance):
                parts['connect'] = CONNECT_PENALTY_S
            exclusion, full_s = self._find_exclusion(known, parts['wait'], now)
            assessments.append(Assessment(known, parts, exclusion, full_s))
        return assessments

    def _list_cost_parts(self, known, now, kilobytes):
        target = known.target
        running = self._estimate_running(target.instance, now)
        latency_s = self._health.estimate_latency(
            target.instance, target.service, now
        )
        waiting = max(0, running + 1 - target.slots)
        parts = {
            'wait': waiting * latency_s / target.slots,
            'latency': latency_s,
            'load': running / target.slots * 0.1 * latency_s,
        }
        if target.domain != self._fleet.domain:
            parts['domain'] = self._get_domain_cost(kilobytes)
        return parts

    def _get_domain_cost(self, kilobytes):
        """Return the cost of sending a request to another domain."""
        return (
            CROSS_DOMAIN_PENALTY_S + kilobytes * CROSS_DOMAIN_PENALTY_S_PER_KB
        )

    def _find_exclusion(self, known, wait_s, now):
        """Return why a target is not chosen, or None, and for how long."""
        target = known.target
        cold_s = known.cold_until - now
        if cold_s > 0 and not self._cold_start_limiter.may_send(
            known, self._get_cold_rate(target.service), now
        ):
            return f'cold for {cold_s:.1f} s more', math.inf
        limit_s = self._target_limits.get_wait(target, now)
        pause_s = self._pauses.get_wait(target, now)
        full_s = max(limit_s, pause_s)
        if limit_s == math.inf:
            return 'limited, and left to hosts of other domains', full_s
        if pause_s:
            return f'paused for {pause_s:.2f} s more', full_s
        if limit_s:
            return f'limited, free in {limit_s:.2f} s', full_s
        running = self._estimate_running(target.instance, now)
        if running + 1 - target.slots > QUEUE_PER_SLOT * target.slots:
            detail = f'full: {running:.1f} requests at {target.slots} slots'
            return detail, wait_s
        return None, 0.0
