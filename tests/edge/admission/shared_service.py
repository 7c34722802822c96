"""Load of two kinds of requests on one service, with the real decisions."""

import collections
import dataclasses
import heapq
import random

from lavenderstile.edge.admission import expected_wait
from lavenderstile.edge.admission import fleet_waiting
from lavenderstile.edge.admission import urgency
from lavenderstile.edge.admission import waiting
from lavenderstile.edge import balancing
from lavenderstile.edge import health
from lavenderstile.edge import models
from lavenderstile.edge import settings
from tests.edge import builders

SERVICE = 'ledger'
STEP_S = 0.01

# Age of what hosts know of each other.
UPDATE_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; `load` is its work over the slots of all targets."""

    name: str
    work_s: float
    objective_s: float
    timeout_s: float
    load: float

    def make_route(self):
        """Return the route of the kind."""
        return builders.make_route(
            self.name,
            idempotent=True,
            objective_s=self.objective_s,
            timeout_s=self.timeout_s,
        )


READS = Kind('reads', 0.8, 4.0, 6.0, 1.1)
WRITES = Kind('writes', 0.26, 1.0, 2.0, 0.1)


class Target:
    """A target that serves in order of arrival and rejects beyond a queue."""

    QUEUE_PER_SLOT = 2

    def __init__(self, slots):
        self._free_at = [0.0] * slots
        self._ends = []

    def start(self, now, work_s):
        """Return when a request that arrives now ends, or None if shed."""
        self._ends = [end for end in self._ends if end > now]
        slots = len(self._free_at)
        if len(self._ends) >= slots * (1 + self.QUEUE_PER_SLOT):
            return None
        end = max(now, heapq.heappop(self._free_at)) + work_s
        heapq.heappush(self._free_at, end)
        self._ends.append(end)
        return end


class Host:
    """A host of the domain."""

    def __init__(self, address, targets, scope, routes, rng):
        self.address = address
        self.fixture = builders.BalancerFixture(
            targets,
            address=address,
            rng=rng,
            configuration=builders.make_configuration(routes=routes),
        )
        fleet = self.fixture.fleet
        self.queue = (
            waiting.WaitingRequests(fleet)
            if scope is settings.Scope.DOMAIN
            else fleet_waiting.FleetWaitingRequests(fleet, self.fixture.clock)
        )
        directory = self.fixture.directory
        tracker = self.fixture.health
        self.kind_urgency = urgency.KindUrgency(directory, tracker, scope)
        self.expected_waits = expected_wait.ExpectedWaits(
            directory, fleet, tracker, self.queue, scope
        )

    def make_update(self):
        """Return the update that the peers get."""
        return builders.make_update(
            self.address,
            running=dict(self.fixture.balancer.own_running),
            waiting=self.queue.counts,
            starts=self.queue.starts,
        )


class SharedServiceLoad:
    """A domain whose hosts get both kinds of requests for `DURATION_S`.

    The kinds have the same priority. `latencies` has those of the requests
    served within their time limit, `lost` counts the others. Of these,
    `late_refusals` counts those refused after a wait, and `retry_times` has
    when the callers refused on arrival are told to come back.
    """

    DURATION_S = 12.0
    HOSTS = 6
    TARGETS = 6
    SLOTS = 4

    def __init__(self, seed, scope, kinds=(READS, WRITES)):
        self._rng = random.Random(seed)
        self._arrivals = random.Random(seed)
        self._kinds = kinds
        self._routes = {kind: kind.make_route() for kind in kinds}
        targets = [
            builders.make_target(f'i-{number}', slots=self.SLOTS)
            for number in range(self.TARGETS)
        ]
        self._targets = {
            target.instance: Target(self.SLOTS) for target in targets
        }
        self._hosts = [
            Host(
                f'10.1.0.{number}',
                targets,
                scope,
                self._routes.values(),
                self._rng,
            )
            for number in range(1, self.HOSTS + 1)
        ]
        self._queued = []
        self._running = []
        self.latencies = collections.defaultdict(list)
        self.lost = collections.Counter()
        self.late_refusals = collections.Counter()
        self.retry_times = collections.defaultdict(list)

    def run(self):
        """Play the load until the last request has ended."""
        step = 0
        while (now := step * STEP_S) < self.DURATION_S or self._queued:
            self._end_runs(self._hosts[0].fixture.clock.now())
            if now < self.DURATION_S:
                self._add_arrivals()
            self._start_runs()
            for host in self._hosts:
                host.fixture.clock.advance(STEP_S)
            if step % round(UPDATE_INTERVAL_S / STEP_S) == 0:
                self._send_updates()
            step += 1
        self._end_runs(float('inf'))
        return self

    def get_quantile(self, kind, share):
        """Return a quantile of a kind's latencies; lost ones count as inf."""
        latencies = sorted(self.latencies[kind])
        index = int(share * (len(latencies) + self.lost[kind]))
        return latencies[index] if index < len(latencies) else float('inf')

    def get_served_share(self, kind):
        """Return the share of a kind's requests that were served."""
        served = len(self.latencies[kind])
        return served / (served + self.lost[kind])

    def get_timely_share(self, kind):
        """Return the share of requests that were served in the objective."""
        latencies = self.latencies[kind]
        timely = sum(each <= kind.objective_s for each in latencies)
        return timely / (len(latencies) + self.lost[kind])

    def _add_arrivals(self):
        for kind in self._kinds:
            slots = self.TARGETS * self.SLOTS
            expected = kind.load * slots / kind.work_s * STEP_S
            count = int(expected) + (self._arrivals.random() < expected % 1)
            for _ in range(count):
                host = self._arrivals.choice(self._hosts)
                self._add_request(host, kind)

    def _add_request(self, host, kind):
        route = self._routes[kind]
        now = host.fixture.clock.now()
        longest_wait_s = host.kind_urgency.get_longest_wait(
            SERVICE, route, kind.timeout_s
        )
        turn = host.kind_urgency.make_turn(
            SERVICE, route, now, now + kind.timeout_s
        )
        if host.queue.must_yield(SERVICE, 1, turn):
            match host.expected_waits.check(
                SERVICE, 1, turn, longest_wait_s, now
            ):
                case expected_wait.Refused(_, _, retry_after_s):
                    self.lost[kind] += 1
                    self.retry_times[kind].append(now + retry_after_s)
                    return
        entry = host.queue.add(SERVICE, 1, 'club', now, longest_wait_s, turn)
        self._queued.append((now, host, kind, entry))

    def _start_runs(self):
        self._rng.shuffle(self._queued)
        for item in list(self._queued):
            arrived_at, host, kind, entry = item
            now = host.fixture.clock.now()
            is_first = host.queue.is_next(entry, now)
            choice = self._choose(host, kind) if is_first else None
            if not isinstance(choice, balancing.Chosen):
                entry.offered_at = None
            elif not host.queue.get_handoff_wait(entry, now):
                entry.has_slot = self._send(host, kind, arrived_at, choice)
            longest_s = host.kind_urgency.get_longest_wait(
                SERVICE, self._routes[kind], kind.timeout_s
            )
            if not entry.has_slot and now - arrived_at > longest_s:
                self.lost[kind] += 1
                self.late_refusals[kind] += 1
            elif not entry.has_slot:
                continue
            host.queue.remove(entry)
            self._queued.remove(item)

    def _choose(self, host, kind):
        return host.fixture.choose(
            is_idempotent=True,
            queue_per_slot=host.kind_urgency.get_queue_per_slot(
                SERVICE, self._routes[kind]
            ),
        )

    def _send(self, host, kind, arrived_at, choice):
        """Send a request to a target; return whether it was accepted."""
        fixture = host.fixture
        now = fixture.clock.now()
        instance = choice.known.target.instance
        end = self._targets[instance].start(now, kind.work_s)
        if end is None:
            fixture.health.record_fault(
                instance, health.FaultKind.SHED, fixture.clock.now()
            )
            return False
        fixture.balancer.begin(choice.known, fixture.clock.now())
        run = (end, now, arrived_at, host, choice.known, kind)
        self._running.append(run)
        return True

    def _end_runs(self, now):
        for run in [run for run in self._running if run[0] <= now]:
            self._running.remove(run)
            end, sent_at, arrived_at, host, known, kind = run
            host.fixture.balancer.end(known)
            for other in self._hosts:
                other.fixture.health.record_success(
                    known.target.instance,
                    SERVICE,
                    end - sent_at,
                    other.fixture.clock.now(),
                )
            if end - arrived_at <= kind.timeout_s:
                self.latencies[kind].append(end - arrived_at)
            else:
                self.lost[kind] += 1

    def _send_updates(self):
        for host in self._hosts:
            update = host.make_update()
            for other in self._hosts:
                if other is not host:
                    now = other.fixture.clock.now()
                    other.fixture.fleet.apply_update(update, now)


def make_split_routes():
    """Return routes of which two share a service and one has its own."""
    archive = (models.WeightedService('archive', 1.0),)
    return {
        'reads': READS.make_route(),
        'writes': WRITES.make_route(),
        'scans': builders.make_route(
            'scans', objective_s=9.0, weighted_services=archive
        ),
    }


FLEET = settings.Scope.FLEET
DOMAIN = settings.Scope.DOMAIN
