"""Trial of ways to choose a target, with the real decision objects.

Plays the hosts of a fleet without a network: each has its own `Balancer`,
`HealthTracker` and `Fleet`, and hears of the others by packed updates and
digests with the delays of the mesh. Targets differ in speed, a third of them
work slower as they fill, and each fails for a part of every cycle. The demand
moves between the domains. It weighs decisions; it simulates no cluster.

Run `python -m tests.edge.even_load --seed 1`.
"""

import argparse
import collections
import dataclasses
import functools
import heapq
import itertools
import json
import math
import random
import statistics
import time

from lavenderstile.edge import balancing
from lavenderstile.edge.evidence import reports
from lavenderstile.edge import health as health_module
from lavenderstile.edge import mesh
from lavenderstile.edge import messages
from lavenderstile.edge.room import fleet_balancer
from lavenderstile import hashing
from tests.edge import builders

SERVICE = 'ledger'
# Requests that wait at a target before it rejects more.
TARGET_QUEUE = 16
ERROR_S = 0.003
POLL_S = 0.03
MAX_WAIT_S = 1.2
MAX_ATTEMPTS = 3
SAMPLE_S = 0.02
WARM_UP_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A fleet, its targets and the requests; `load` is a share of capacity.

    The capacity is that of the targets that are not failing.
    """

    hosts: int = 35
    domains: int = 3
    targets: int = 51
    slots: int = 3
    work_s: float = 0.4
    load: float = 0.85
    idempotent_share: float = 0.3
    cycle_s: float = 9.0
    failing_s: float = 2.7
    duration_s: float = 15.0


FLEETS = {35: Load(), 130: Load(130, 4, 64, 4)}


class Noise(random.Random):
    """Random numbers with ten times the noise in the present cost."""

    def random(self):
        """Return a number that the balancer scales to 0.1 s."""
        return 10 * super().random()


class WeightedBalancer(fleet_balancer.FleetBalancer):
    """Draws a proven target with a weight of its estimated free room."""

    __slots__ = ()

    def _try_proven(self, search, pool):
        if pool is not self._pools[SERVICE].own:
            return super()._try_proven(search, pool)
        proven = {}
        for instance in pool.draw_proven(1000):
            penalty_s = self._health.get_penalty(instance, False, search.now)
            if penalty_s <= fleet_balancer.PROVEN_PENALTY_S:
                proven[instance] = penalty_s
        targets = [self._directory.targets[instance] for instance in proven]
        rooms = [
            self.estimate_room(known.target, search.now) for known in targets
        ]
        weights = [max(0.0, room.free) / room.work_s for room in rooms]
        if not any(weights):
            return super()._try_proven(search, pool)
        for known in self._random.choices(targets, weights, k=4):
            penalty_s = proven[known.target.instance]
            if self._consider(search, known, penalty_s) is not None:
                return True
        return False


def draw(samples):
    """Return a maker of balancers that take the best of some targets."""
    return functools.partial(fleet_balancer.FleetBalancer, samples=samples)


POLICIES = {
    'lowest cost': balancing.Balancer,
    'more noise': balancing.Balancer,
    'subsets': balancing.Balancer,
    'two draws': draw(2),
    'three draws': draw(3),
    'five draws': draw(5),
    'eight draws': draw(8),
    'weighted': WeightedBalancer,
}


class ModelTarget:
    """Slots and queue of a target that fails in turns."""

    def __init__(self, number, load, rng):
        self.domain = f'd{number % load.domains}'
        self.slots = load.slots
        self.speed = 3 ** rng.uniform(-0.5, 0.5)
        self.slows = rng.random() < 1 / 3
        self._load = load
        self._phase_s = rng.random() * load.cycle_s
        self.running = 0
        self.queue = collections.deque()

    def is_failing(self, now):
        """Return whether the target fails most requests now."""
        offset_s = (now + self._phase_s) % self._load.cycle_s
        return offset_s < self._load.failing_s

    def draw_work(self, rng):
        """Return the time of the request that just got a slot."""
        work_s = self._load.work_s * self.speed * rng.uniform(0.6, 1.4)
        if self.slows:
            work_s *= 0.75 + 0.5 * self.running / self.slots
        return work_s


class ModelHost(builders.BalancerFixture):
    """Decision objects of one host, and what it has to report."""

    def __init__(self, number, load, targets, policy, seed):
        domain = f'd{number % load.domains}'
        address = f'10.{number % load.domains}.0.{number // load.domains:03}'
        make_rng = Noise if policy == 'more noise' else random.Random
        if policy == 'subsets':
            targets = self._choose_subset(targets, address)
        super().__init__(
            targets, address, domain, make_rng(seed), POLICIES[policy]
        )
        self.reports = reports.Reports()
        self.totals = [0, 0, 0]
        self.domain_totals = [0, 0]
        self.sent_at = 0.0
        self.due_at = math.inf

    def _choose_subset(self, targets, address):
        """Return 8 targets of each domain by rendezvous hashing."""
        by_domain = collections.defaultdict(list)
        for target in targets:
            by_domain[target.domain].append(target)
        return [
            target
            for some in by_domain.values()
            for target in sorted(
                some, key=lambda t: -hashing.score(address, t.instance)
            )[:8]
        ]

    def make_update(self):
        """Return the packed update with all news since the last one."""
        faults, successes = self.reports.take()
        update = builders.make_update(
            self.fleet.address,
            domain=self.fleet.domain,
            running=dict(self.balancer.own_running),
            faults=list(faults),
            successes=successes,
            sends={SERVICE: tuple(self.totals)},
        )
        return messages.pack(update)

    def apply_update(self, now, update):
        """Apply a peer's update as the mesh does."""
        _, sent, _ = self.fleet.apply_update(update, now)
        for service, (requests, _, failed) in sent.items():
            self.outcomes.record(service, requests, failed, now)
        self.balancer.record_use(update.running, now)
        for instance, success in update.successes.items():
            service, latency_s, remote = success
            self.health.record_success(
                instance, service, latency_s, now, is_own=False
            )
            if remote is not None:
                self.balancer.record_remote_load(instance, remote, now)
        for fault in update.faults:
            kind = health_module.FaultKind(fault.kind)
            self.health.record_fault(fault.instance, kind, now)


@dataclasses.dataclass(slots=True)
class Request:
    """A request at a host; `excluded` are the targets already tried."""

    host: ModelHost
    arrived_at: float
    is_idempotent: bool
    excluded: set
    sent_at: float = 0.0


class Trial:
    """Plays one load with one policy."""

    def __init__(self, load, policy, seed):
        self._load = load
        self._rng = random.Random(seed)
        self._targets = {
            f't{n}': ModelTarget(n, load, self._rng)
            for n in range(load.targets)
        }
        targets = [
            builders.make_target(name, domain=target.domain, slots=load.slots)
            for name, target in self._targets.items()
        ]
        self._hosts = [
            ModelHost(n, load, targets, policy, seed + n)
            for n in range(load.hosts)
        ]
        self._events, self._order = [], itertools.count()
        self._latencies = []
        self._counts = collections.Counter()
        self._choice_s = 0.0
        self._queue_beside_idle = 0

    def run(self):
        """Play all requests; return the measures by name."""
        rate = self._load.load * self._get_capacity()
        at = 0.0
        while at < self._load.duration_s:
            at += self._rng.expovariate(rate)
            self._push(at, self._arrive)
        for host in self._hosts:
            self._push(self._rng.random() * 0.5, self._heartbeat, host)
        self._push(0.0, self._sample)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            if at > self._load.duration_s + 4:
                break
            action(at, *arguments)
        return self._summarize()

    def _get_capacity(self):
        load = self._load
        healthy = 1 - load.failing_s / load.cycle_s
        return healthy * sum(
            load.slots / (load.work_s * target.speed)
            for target in self._targets.values()
        )

    def _push(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._order), action, arguments)
        )

    def _arrive(self, now):
        weights = [
            1 + 0.6 * math.sin(0.6 * now + 2 * math.pi * n / len(self._hosts))
            for n in range(self._load.domains)
        ]
        domain = self._rng.choices(range(len(weights)), weights)[0]
        host = self._rng.choice(self._hosts[domain :: self._load.domains])
        is_idempotent = self._rng.random() < self._load.idempotent_share
        self._counts['arrivals'] += now > WARM_UP_S
        self._choose(now, Request(host, now, is_idempotent, set()))

    def _choose(self, now, request):
        host = request.host
        began = time.thread_time()
        choice = host.balancer.choose(
            SERVICE,
            now,
            1.0,
            request.is_idempotent,
            request.excluded,
            lambda instance: True,
        )
        if now > WARM_UP_S:
            self._choice_s += time.thread_time() - began
            self._counts['choices'] += 1
        if isinstance(choice, balancing.Chosen):
            self._send(now, request, choice.known)
        elif now - request.arrived_at > MAX_WAIT_S:
            self._finish(now, request, 'refused')
        else:
            self._push(now + POLL_S, self._choose, request)

    def _send(self, now, request, known):
        host, target = request.host, self._targets[known.target.instance]
        host.balancer.begin(known, now)
        request.excluded.add(known.target.instance)
        request.sent_at = now
        is_remote = target.domain != host.fleet.domain
        self._counts['sends'] += now > WARM_UP_S
        self._counts['cross'] += is_remote and now > WARM_UP_S
        self._schedule(now, host, host.balancer.is_critical(known, now))
        delay_s = 0.002 if is_remote else 0.001
        self._push(now + delay_s, self._reach, request, known, target)

    def _reach(self, now, request, known, target):
        is_error = self._rng.random() < (
            0.9 if target.is_failing(now) else 0.01
        )
        if is_error:
            fault = health_module.FaultKind.ERROR
            self._push(now + ERROR_S, self._end, request, known, fault, None)
        elif target.running < target.slots:
            self._begin_work(now, request, known, target)
        elif len(target.queue) < TARGET_QUEUE:
            target.queue.append((request, known))
        else:
            self._counts['rejected'] += now > WARM_UP_S
            fault = health_module.FaultKind.SHED
            self._push(now + ERROR_S, self._end, request, known, fault, None)

    def _begin_work(self, now, request, known, target):
        target.running += 1
        work_s = target.draw_work(self._rng)
        self._push(now + work_s, self._end_work, request, known, target)

    def _end_work(self, now, request, known, target):
        load = target.running, len(target.queue)
        target.running -= 1
        if target.queue:
            self._begin_work(now, *target.queue.popleft(), target)
        self._push(now + 0.001, self._end, request, known, None, load)

    def _end(self, now, request, known, fault, load):
        host, instance = request.host, known.target.instance
        is_urgent = host.balancer.is_critical(known, now)
        if fault is None:
            latency_s = now - request.sent_at
            remote = host.balancer.record_load(instance, load, now)
            host.health.record_success(instance, SERVICE, latency_s, now)
            host.reports.add_success(instance, SERVICE, latency_s, remote)
        else:
            host.health.record_fault(instance, fault, now)
            host.reports.add_fault(instance, fault)
            is_urgent = True
        host.balancer.end(known)
        self._schedule(now, host, is_urgent)
        is_shed = fault is health_module.FaultKind.SHED
        if fault is None:
            self._finish(now, request, 'served')
        elif len(request.excluded) < MAX_ATTEMPTS and (
            is_shed or request.is_idempotent
        ):
            self._choose(now, request)
        else:
            self._finish(now, request, 'lost')

    def _finish(self, now, request, outcome):
        totals = request.host.totals
        totals[0] += 1
        totals[2] += outcome != 'served'
        request.host.outcomes.record(SERVICE, 1, outcome != 'served', now)
        if request.arrived_at > WARM_UP_S:
            self._counts[outcome] += 1
            if outcome == 'served':
                self._latencies.append(now - request.arrived_at)

    def _schedule(self, now, host, is_urgent):
        wait_s = host.sent_at + mesh.UPDATE_INTERVAL_S - now
        if not is_urgent:
            excess = max(0, len(host.fleet.peers) - mesh.FULL_RATE_PEERS)
            delay_s = min(excess * mesh.DELAY_S_PER_PEER, mesh.MAX_DELAY_S)
            wait_s = max(wait_s, delay_s)
        due_at = now + max(0.0, wait_s)
        if due_at < host.due_at:
            host.due_at = due_at
            self._push(due_at, self._send_update, host)

    def _send_update(self, now, host):
        if now < host.due_at:
            return
        host.due_at, host.sent_at = math.inf, now
        update = messages.unpack(host.make_update())
        number = self._hosts.index(host) % self._load.domains
        for peer in self._hosts[number :: self._load.domains]:
            if peer is not host:
                self._counts['datagrams'] += now > WARM_UP_S
                delay_s = 0.001 + 0.002 * self._rng.random()
                self._push(now + delay_s, peer.apply_update, update)

    def _heartbeat(self, now, host):
        host.fleet.expire(now)
        if now - host.sent_at >= mesh.HEARTBEAT_INTERVAL_S:
            host.due_at = now
            self._send_update(now, host)
        if host.fleet.primary == host.fleet.address:
            self._send_digest(now, host)
        self._push(now + 0.5, self._heartbeat, host)

    def _send_digest(self, now, host):
        digest = builders.make_digest(
            host.fleet.address,
            host.fleet.domain,
            outcomes=dict(host.outcomes.totals),
        )
        for other in self._hosts:
            if other.fleet.domain != host.fleet.domain:
                self._counts['datagrams'] += now > WARM_UP_S
                self._push(now + 0.004, self._apply_digest, other, digest)

    def _apply_digest(self, now, host, digest):
        _, outcomes = host.fleet.apply_digest(digest, now)
        for service, (requests, failed) in outcomes.items():
            host.outcomes.record(service, requests, failed, now, False)

    def _sample(self, now):
        """Compare the longest queue with the idle slots of its domain."""
        if now > WARM_UP_S:
            idle = collections.Counter()
            queues = collections.defaultdict(int)
            waiting = collections.Counter()
            for target in self._targets.values():
                if not any(
                    target.is_failing(now - age_s) for age_s in (0, 1, 2)
                ):
                    idle[target.domain] += target.slots - target.running
                longest = max(queues[target.domain], len(target.queue))
                queues[target.domain] = longest
                waiting[target.domain] += len(target.queue)
            for domain, count in idle.items():
                if count:
                    self._queue_beside_idle = max(
                        self._queue_beside_idle, queues[domain]
                    )
                self._counts['beside'] += min(count, waiting[domain])
            self._counts['samples'] += 1
        if now < self._load.duration_s:
            self._push(now + SAMPLE_S, self._sample)

    def _summarize(self):
        counts = self._counts
        arrivals = max(1, counts['arrivals'])
        latencies = sorted(self._latencies)
        seconds = self._load.duration_s - WARM_UP_S
        return {
            'rejected': round(counts['rejected'] / arrivals, 4),
            'refused': round(counts['refused'] / arrivals, 4),
            'lost': round(counts['lost'] / arrivals, 4),
            'queue_beside_idle': self._queue_beside_idle,
            'waiting_beside_idle': round(
                counts['beside'] / max(1, counts['samples']), 2
            ),
            'p50_s': round(latencies[len(latencies) // 2], 3),
            'p99_s': round(latencies[int(len(latencies) * 0.99)], 3),
            'other_domain': round(counts['cross'] / counts['sends'], 3),
            'datagrams_per_s': round(counts['datagrams'] / seconds),
            'choices': counts['choices'],
            'us_per_choice': round(
                1e6 * self._choice_s / max(1, counts['choices'])
            ),
        }


def main():
    """Play the policies on the command line; print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--hosts', type=int, choices=FLEETS, action='append')
    parser.add_argument('--policy', choices=POLICIES, action='append')
    parser.add_argument('--load', type=float)
    arguments = parser.parse_args()
    for hosts in arguments.hosts or FLEETS:
        load = FLEETS[hosts]
        if arguments.load:
            load = dataclasses.replace(load, load=arguments.load)
        for policy in arguments.policy or POLICIES:
            results = [
                Trial(load, policy, arguments.seed + number).run()
                for number in range(arguments.seeds)
            ]
            means = {
                name: round(statistics.mean(r[name] for r in results), 4)
                for name in results[0]
            }
            print(hosts, load.load, policy, json.dumps(means), flush=True)


if __name__ == '__main__':
    main()
