"""Choice of the target for a request."""

import dataclasses
import math
import random

from .. import hashing

# Requests that a target may have waiting beside those in its slots before
# hosts keep further ones back; targets queue a few.
QUEUE_PER_SLOT = 1.5

# Sending a request to another failure domain costs bandwidth; expressed as
# the waiting time that is preferred to it. Besides, what the own domain's
# targets do is known sooner. A lost upload costs more than its bytes.
CROSSING_S = 0.25
CROSSING_S_PER_KB = 0.004

# What a target told of its load counts less with its age.
LOAD_MEMORY_S = 0.8

# A new connection costs the target a handshake.
CONNECTING_S = 0.03

# Targets are kept in use: one that had no request for this long is preferred
# by this much. They count as unused after two seconds. Requests that can be
# sent again come first, because a target that still fails loses the others.
UNUSED_S = 1.5
REPEATABLE_UNUSED_S = 1.0
KEPT_IN_USE_S = 1.0

# Share of a target's slots from which on each request there matters for what
# other hosts choose.
TIGHT_SHARE = 0.5

# A target is in doubt above this belief, about two seconds after its last
# answer.
DOUBT_BELIEF = 0.1

# Hosts that may send to a cold target; each has this part of its rate.
COLD_OWNERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The target for a request and the wait that is expected there."""

    known: object
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """Every target has as much as it can queue."""

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target may get the request."""


class ColdGate:
    """Keeps the fleet's rate to a cold target within what it bears.

    Few hosts, found by hashing, may send to a cold target, and each of
    them spaces its requests, so that their sum is bounded without any
    message between them.
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
    """Chooses the target with the shortest expected time."""

    __slots__ = (
        '_cold_gate',
        '_directory',
        '_distant_load',
        '_fleet',
        '_floor_share',
        '_health',
        '_outcomes',
        '_own_running',
        '_random',
        '_used_at',
    )

    def __init__(
        self, directory, fleet, health, outcomes, floor_share, rng=None
    ):
        self._directory = directory
        self._fleet = fleet
        self._health = health
        self._outcomes = outcomes
        self._floor_share = floor_share
        self._used_at = {}
        self._distant_load = {}
        self._own_running = {}
        self._cold_gate = ColdGate(fleet)
        self._random = rng or random.Random()

    @property
    def own_running(self):
        """Unanswered requests of this host, by instance."""
        return self._own_running

    def begin(self, known, now):
        """Count a request that goes to a target."""
        instance = known.target.instance
        self._own_running[instance] = self._own_running.get(instance, 0) + 1
        self._used_at[instance] = now
        if known.cold_until > now:
            self._cold_gate.record(known, now)

    def record_use(self, instances, now):
        """Note targets that other hosts of the domain use."""
        for instance in instances:
            self._used_at[instance] = now

    def keep(self, instances):
        """Forget the targets that are not among `instances`."""
        for known in (self._used_at, self._distant_load):
            for instance in known.keys() - instances:
                del known[instance]

    def _find_unused(self, service, is_repeatable, now):
        """Return the targets that are to be put to use.

        A service whose requests fail may not be left with few of its sound
        targets, however well these do. Not all failures are seen by hosts,
        so targets without doubt are always used. While failures are seen,
        as many targets are as the floor demands, doubtful ones too.
        """
        own = [
            known.target.instance
            for known in self._directory.list_targets(service)
            if known.target.domain == self._fleet.domain
        ]
        least = 0
        if self._outcomes.is_failing(service, now):
            own.sort(
                key=lambda each: self._health.get_failure_probability(
                    each, now
                )
            )
            least = math.ceil(self._floor_share * len(own))
        kept = own[:least] + [
            each
            for each in own[least:]
            if not self._health.is_avoided(each, now)
        ]
        limit_s = REPEATABLE_UNUSED_S if is_repeatable else UNUSED_S
        oldest = now - limit_s
        return frozenset(
            each for each in kept if self._used_at.get(each, 0.0) < oldest
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
        """Note what a target told of its load with an answer.

        Returns what other domains run there, or None if it is not known.
        """
        if load is None:
            return None
        # The answered request itself is still counted on both sides.
        distant = max(0, sum(load) - self.get_running(instance))
        self._distant_load[instance] = (distant, now)
        return distant

    def record_remote_load(self, instance, distant, now):
        """Note what a peer found that other domains run on a target."""
        self._distant_load[instance] = (distant, now)

    def _estimate_running(self, instance, now):
        running = self.get_running(instance)
        distant, at = self._distant_load.get(instance, (0, 0.0))
        if distant and now - at < LOAD_MEMORY_S:
            running += distant * (1 - (now - at) / LOAD_MEMORY_S)
        return running

    def get_running(self, instance):
        """Return the requests of the domain's hosts on a target."""
        own = self._own_running.get(instance, 0)
        return own + self._fleet.get_running(instance)

    def is_critical(self, known, now):
        """Return whether other hosts should know at once what happens there.

        They would send to a target without free slots, or try one in doubt
        themselves.
        """
        instance = known.target.instance
        tight = self.get_running(instance) > known.target.slots * TIGHT_SHARE
        return (
            tight
            or self._health.get_failure_probability(instance, now)
            > DOUBT_BELIEF
        )

    def choose(
        self, service, now, kilobytes, is_repeatable, excluded, has_connection
    ):
        """Return `Chosen`, `Full` or `Nowhere` for a request.

        `excluded` are instances that have had the request.
        `has_connection(instance)` tells where no handshake is needed.
        """
        best = None
        best_score = None
        fullest_s = None
        cold_rate = self._get_cold_rate(service)
        unused = self._find_unused(service, is_repeatable, now)
        for known in self._directory.list_targets(service):
            target = known.target
            instance = target.instance
            if instance in excluded:
                continue
            if known.cold_until > now and not self._cold_gate.may_send(
                known, cold_rate, now
            ):
                continue
            running = self._estimate_running(instance, now)
            work_s = self._health.estimate_latency(instance, service, now)
            waiting = running + 1 - target.slots
            wait_s = max(0, waiting) * work_s / target.slots
            if waiting > QUEUE_PER_SLOT * target.slots:
                fullest_s = min(fullest_s or wait_s, wait_s)
                continue
            score = (
                wait_s
                + work_s
                + running / target.slots * 0.1 * work_s
                + self._health.get_penalty(instance, is_repeatable, now)
                + self._random.random() * 0.01
            )
            if target.domain != self._fleet.domain:
                score += CROSSING_S + kilobytes * CROSSING_S_PER_KB
            if instance in unused:
                score -= KEPT_IN_USE_S
            if not has_connection(instance):
                score += CONNECTING_S
            if best is None or score < best_score:
                best = Chosen(known, wait_s)
                best_score = score
        if best is not None:
            return best
        return NoTarget() if fullest_s is None else Full(fullest_s)

    def _get_cold_rate(self, service):
        configuration = self._directory.configuration
        found = configuration and configuration.services.get(service)
        return found.cold_rate if found else 1.0
