"""Choice among the targets of all failure domains by estimated room."""

import enum
import math

from .. import balancing
from .. import health
from .. import metrics as metrics_module
from ..evidence import retests
from . import pools
from . import rooms

# Targets with a free slot among which a request takes the one with the lowest
# cost. A few make long queues rare, while the best of all is the same one for
# every host with the same knowledge.
SAMPLES = 2

# Targets to look at for these, before the choice takes a queue or walks over
# all targets.
MAX_DRAWS = 8

# Targets to look at among those that are not proven.
UNPROVEN_DRAWS = 4

# Targets of other domains to look at, if a choice considers them at all. Their
# share of the requests costs bandwidth.
REMOTE_DRAWS = 3

# Targets of other domains are considered if the best of the own domain costs
# more than this share of the service's mean latency and the penalty of another
# domain: some targets of a service are twice as fast as its mean.
FAST_SHARE = 0.5

# Noise of the cost; without it, the worst of equal targets would get nothing.
NOISE_S = 0.01

# Targets of each pool that each choice checks for the proven subset, in turn,
# and one after a time without choices.
CHECKED_PER_CHOICE = 3
MAX_CHECKED = 24
CHECK_INTERVAL_S = 0.1

# Unused targets to look at in one choice.
MAX_UNUSED = 4

# A target whose penalty is at most this is proven healthy: it responded
# within about two seconds. A smaller limit leaves so few targets that hosts
# with the same knowledge meet at the one that responded last.
PROVEN_PENALTY_S = balancing.DOUBT_PROBABILITY * health.POOLED_COSTS.usual_s

# Cost of a kilobyte on the way to another domain, where more requests go to
# than if domains are kept apart: a large body uses the thin links of two hosts
# for longer than most requests take.
CROSS_DOMAIN_PENALTY_S_PER_KB = 0.015

# Additional weights of the doubt about proven targets, for requests that are
# not idempotent and for targets of other domains. The penalty grows slowly in
# the first seconds after a response, in which many failures begin; the last
# responses of targets in other domains are older.
UNSAFE_DOUBT_WEIGHT = 0.5
REMOTE_DOUBT_WEIGHT = 1.0

# The walks over all targets of a service for unused ones are this far apart
# for each target, so that their cost does not grow with the service. The
# maximum is short beside the time after which a target counts as unused.
UNUSED_WALK_S_PER_TARGET = 0.001
MAX_UNUSED_WALK_S = 0.25

# After a walk has found a service full, one look for each of this many targets
# is left to the draws, for a limited time. A request that waits looks about
# 30 times a second.
TARGETS_PER_LOOK = 16
FULL_WALK_INTERVAL_S = 2.0


class ChoiceKind(enum.Enum):
    """How a choice was made."""

    PROVEN = 'proven'
    QUEUED = 'queued'
    OTHER_DOMAIN = 'other_domain'
    UNUSED = 'unused'
    UNPROVEN = 'unproven'
    FULL = 'full'
    NO_TARGET = 'no_target'


class _Search:
    """The best target so far for one request."""

    __slots__ = (
        'best',
        'domain_cost_s',
        'excluded',
        'full_wait_s',
        'has_connection',
        'is_idempotent',
        'now',
        'queue_per_slot',
        'score',
        'service',
        'wait_s',
    )

    def __init__(
        self,
        service,
        now,
        domain_cost_s,
        is_idempotent,
        excluded,
        has_connection,
        queue_per_slot,
    ):
        self.service = service
        self.now = now
        self.domain_cost_s = domain_cost_s
        self.is_idempotent = is_idempotent
        self.excluded = excluded
        self.has_connection = has_connection
        self.queue_per_slot = queue_per_slot
        self.best = None
        self.score = math.inf
        self.wait_s = 0.0
        self.full_wait_s = math.inf


class FleetBalancer(balancing.Balancer):
    """Chooses by room from a few targets that it draws at random.

    Hosts with the same knowledge spread, because each draws other targets.
    It draws from the targets proven healthy first, those of its own domain
    before others, and the cost of a choice does not grow with the service.
    """

    __slots__ = (
        '_metrics',
        '_pools',
        '_rooms',
        '_samples',
        '_unused',
    )

    def __init__(self, *arguments, samples=SAMPLES, metrics=None, **options):
        super().__init__(*arguments, **options)
        self._samples = samples
        self._metrics = metrics or metrics_module.EdgeMetrics()
        self._rooms = rooms.Rooms()
        self._pools = {}
        self._unused = {}

    def keep(self, instances):
        """Remove the state of targets that are not in `instances`."""
        super().keep(instances)
        self._rooms.keep(instances)

    def record_load(self, instance, load, now):
        """Record the load that a target reported in a response."""
        remote = super().record_load(instance, load, now)
        self._record_response(instance, remote, now)
        return remote

    def record_remote_load(self, instance, remote, now):
        """Record a peer's report of the load from other domains."""
        super().record_remote_load(instance, remote, now)
        self._record_response(instance, remote, now)

    def _record_response(self, instance, remote, now):
        known = self._directory.targets.get(instance)
        if known is None:
            return
        target = known.target
        if remote is not None:
            self._rooms.record(target, remote, now)
        found = self._get_pools(target.service)
        found.own.add_proven(instance)
        found.others.add_proven(instance)

    def record_rejection(self, instance, service, now):
        """Count a rejection if another target seems to have a free slot."""
        for name in self._get_pools(service).own.draw_proven(MAX_DRAWS):
            target = self._directory.targets[name].target
            if name != instance and self.estimate_room(target, now).free >= 1:
                self._metrics.count_rejection_beside_idle(service)
                return

    def estimate_room(self, target, now):
        """Return the `rooms.Room` of a target."""
        instance = target.instance
        return self._rooms.estimate(
            target,
            self._own_running.get(instance, 0),
            self._fleet.get_running(instance),
            self._health.estimate_latency(instance, target.service, now),
            now,
        )

    def describe_room(self, target, now):
        """Return what is known about the room of a target, for operators."""
        room = self.estimate_room(target, now)
        return {
            'slots': room.slots,
            'work_s': round(room.work_s, 3),
            'own': room.own,
            'peers': room.peers,
            'remote': round(room.remote, 2),
            'uncertainty': round(room.uncertainty, 2),
            'report_age_s': (
                None if room.age_s == math.inf else round(room.age_s, 2)
            ),
            'free': round(room.free, 2),
        }

    def choose(
        self,
        service,
        now,
        kilobytes,
        is_idempotent,
        excluded,
        has_connection,
        queue_per_slot=balancing.QUEUE_PER_SLOT,
    ):
        """Return `Chosen`, `Full` or `NoTarget` for a request.

        See `balancing.Balancer.choose`.
        """
        search = _Search(
            service,
            now,
            self._get_domain_cost(kilobytes),
            is_idempotent,
            excluded,
            has_connection,
            queue_per_slot,
        )
        found = self._get_pools(service)
        self._check_some(found, now)
        kind = self._search(search, found)
        self._metrics.count_choice(service, kind.value)
        if search.best is not None:
            return balancing.Chosen(search.best, search.wait_s)
        if kind is ChoiceKind.FULL:
            return balancing.Full(search.full_wait_s)
        return balancing.NoTarget()

    def _search(self, search, found):
        """Look for a target in the order of preference; return the kind."""
        self._try_unused(search, found)
        if search.best is not None:
            return ChoiceKind.UNUSED
        self._try_proven(search, found.own)
        proven = search.best
        base_s = FAST_SHARE * self._health.get_mean_latency(search.service)
        if search.score > base_s + search.domain_cost_s:
            # Beside a target of the own domain, random ones do: few of the
            # others are proven, and hosts would meet at them.
            if proven is not None or not self._try_proven(
                search, found.others
            ):
                self._try_all(search, found.others.draw(REMOTE_DRAWS))
        # Less proven targets are an alternative to a queue or another domain,
        # at the cost of their doubt, but never to a free slot that was not
        # drawn.
        if search.best is not proven or proven is None or search.wait_s:
            unproven = [
                instance
                for instance in found.own.draw(MAX_DRAWS)
                if not found.own.is_proven(instance)
            ]
            self._try_all(search, unproven[:UNPROVEN_DRAWS])
        if search.best is None:
            self._walk(search, found)
        return self._classify(search, proven)

    def _classify(self, search, proven):
        if search.best is None:
            is_full = search.full_wait_s < math.inf
            return ChoiceKind.FULL if is_full else ChoiceKind.NO_TARGET
        if not self._is_own(search.best.target):
            return ChoiceKind.OTHER_DOMAIN
        if search.best is not proven:
            return ChoiceKind.UNPROVEN
        return ChoiceKind.QUEUED if search.wait_s else ChoiceKind.PROVEN

    def _try_unused(self, search, found):
        """Consider the targets that would otherwise be out of use."""
        unused = self._list_unused(search, found)
        if len(unused) > MAX_UNUSED:
            unused = self._random.sample(unused, MAX_UNUSED)
        for instance in unused:
            # It may have left since the walk.
            if instance not in found.own:
                continue
            known = self._directory.targets[instance]
            penalty_s = self._health.get_penalty(
                instance, search.is_idempotent, search.now
            )
            # It is tested whatever is known of its health.
            if penalty_s < health.BLOCKED_PENALTY_S:
                self._consider(search, known, 0.0)

    def _list_unused(self, search, found):
        """Return the unused targets, from a walk a short time ago."""
        key = search.service, search.is_idempotent
        expires_at, unused = self._unused.get(key, (0.0, ()))
        if search.now >= expires_at:
            unused = list(self._find_unused(*key, search.now))
            interval_s = min(
                UNUSED_WALK_S_PER_TARGET * len(found.source), MAX_UNUSED_WALK_S
            )
            self._unused[key] = search.now + interval_s, unused
            return unused
        limit_s = (
            balancing.IDEMPOTENT_UNUSED_AFTER_S
            if search.is_idempotent
            else balancing.UNUSED_AFTER_S
        )
        oldest = search.now - limit_s
        return [
            instance
            for instance in unused
            if self._used_at.get(instance, 0.0) < oldest
        ]

    def _try_proven(self, search, pool):
        """Consider proven targets until enough of them have a free slot.

        Returns whether there were enough.
        """
        left = self._samples
        stale = []
        for instance in pool.draw_proven(MAX_DRAWS):
            penalty_s = self._health.get_penalty(instance, False, search.now)
            if penalty_s > PROVEN_PENALTY_S:
                stale.append(instance)
                continue
            known = self._directory.targets[instance]
            room = self._consider(search, known, penalty_s)
            if room is not None and room.free >= 1:
                left -= 1
                if not left:
                    break
        for instance in stale:
            pool.remove_proven(instance)
        return not left

    def _find_unused(self, service, is_idempotent, now):
        """Return the targets of the own domain to test; see `retests`."""
        own = [
            known.target.instance
            for known in self._directory.list_targets(service)
            if self._is_own(known.target)
        ]
        due = retests.list_due(self._health, own, is_idempotent, now)
        failing_share = self._outcomes.get_failing_share(service, now)
        if failing_share > retests.FAILING_SHARE:
            due += retests.list_floor(
                self._health, own, is_idempotent, self._floor_share, now
            )
        return self._select_unused(due, is_idempotent, now)

    def _try_all(self, search, instances, allows_failing=False):
        for instance in instances:
            if not allows_failing and retests.is_failing(
                self._health, instance, search.now
            ):
                continue
            penalty_s = self._health.get_penalty(
                instance, search.is_idempotent, search.now
            )
            known = self._directory.targets[instance]
            self._consider(search, known, penalty_s)

    def _walk(self, search, found):
        """Consider all targets, unless a walk just found them full."""
        found.looks_left -= 1
        if (
            found.looks_left >= 0
            and search.now < found.full_until
            and search.queue_per_slot <= found.full_queue_per_slot
        ):
            search.full_wait_s = min(search.full_wait_s, found.full_wait_s)
            return
        names = [known.target.instance for known in found.source]
        self._try_all(search, names)
        if search.best is None and (
            search.is_idempotent or search.full_wait_s == math.inf
        ):
            self._try_all(search, names, allows_failing=True)
        if search.best is None and not search.excluded:
            found.full_wait_s = search.full_wait_s
            found.full_until = search.now + FULL_WALK_INTERVAL_S
            found.full_queue_per_slot = search.queue_per_slot
            found.looks_left = len(names) // TARGETS_PER_LOOK

    def _consider(self, search, known, penalty_s):
        """Take a target if it is better; return its room if it has some."""
        target, now = known.target, search.now
        instance = target.instance
        if instance in search.excluded:
            return None
        if known.cold_until > now and not self._cold_start_limiter.may_send(
            known, self._get_cold_rate(search.service), now
        ):
            return None
        limit_wait_s = max(
            self._target_limits.get_wait(target, now),
            self._pauses.get_wait(target, now),
        )
        if limit_wait_s:
            search.full_wait_s = min(search.full_wait_s, limit_wait_s)
            return None
        room = self.estimate_room(target, now)
        wait_s = room.wait_s
        if 1 - room.free > search.queue_per_slot * target.slots:
            search.full_wait_s = min(search.full_wait_s, wait_s)
            return None
        load_share = room.running / target.slots
        score = (
            wait_s
            + (1 + 0.1 * load_share) * room.work_s
            + penalty_s
            + self._random.random() * NOISE_S
        )
        if not self._is_own(target):
            score += search.domain_cost_s
            score += REMOTE_DOUBT_WEIGHT * min(penalty_s, PROVEN_PENALTY_S)
        elif not search.is_idempotent:
            score += UNSAFE_DOUBT_WEIGHT * min(penalty_s, PROVEN_PENALTY_S)
        if not search.has_connection(instance):
            score += balancing.CONNECT_PENALTY_S
        if score < search.score:
            search.best, search.score, search.wait_s = known, score, wait_s
        return room

    def _get_pools(self, service):
        found = self._pools.get(service)
        if found is None:
            found = self._pools[service] = pools.ServicePools(self._random)
        targets = self._directory.list_targets(service)
        if targets is not found.source:
            found.update(targets, self._fleet.domain)
        return found

    def _check_some(self, found, now):
        """Check the next targets for the proven subset."""
        count = CHECKED_PER_CHOICE
        if now - found.checked_at > CHECK_INTERVAL_S:
            count = MAX_CHECKED
        found.checked_at = now
        for pool in (found.own, found.others):
            for instance in pool.next_members(count):
                penalty_s = self._health.get_penalty(instance, False, now)
                if penalty_s <= PROVEN_PENALTY_S:
                    pool.add_proven(instance)

    def _get_domain_cost(self, kilobytes):
        """Return the cost of sending a request to another domain."""
        return (
            balancing.CROSS_DOMAIN_PENALTY_S
            + kilobytes * CROSS_DOMAIN_PENALTY_S_PER_KB
        )

    def _estimate_running(self, instance, now):
        """Return the expected requests in flight, for explanations."""
        target = self._directory.targets[instance].target
        return self.estimate_room(target, now).running

    def _find_exclusion(self, known, wait_s, now):
        """Return why a target is not chosen, or None, and for how long."""
        exclusion, full_s = super()._find_exclusion(known, wait_s, now)
        instance = known.target.instance
        if exclusion is None and retests.is_failing(
            self._health, instance, now
        ):
            age_s = self._health.get_fault_age(instance, now)
            return f'failed a request {age_s:.1f} s ago', wait_s
        return exclusion, full_s

    def _is_own(self, target):
        return target.domain == self._fleet.domain
