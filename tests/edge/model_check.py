"""Random walks over the shared decisions of hosts, with injected faults.

    python -m tests.edge.model_check --steps 1000000 --seed 1

Hosts of one failure domain admit requests, retry some of them and send to a
cold target. Their updates are delayed, lost or dropped in one direction, and
hosts pause and restart. After each step the invariants are checked against the
numbers that a caller or a target would count. A violation is reported with the
seed of its walk, so that it can be replayed.
"""

import argparse
import collections
import heapq
import random
import sys

from lavenderstile.edge import balancing
from lavenderstile.edge import budgets
from lavenderstile.edge import directory
from lavenderstile.edge import fleet
from lavenderstile.edge import mesh
from lavenderstile.edge import messages
from lavenderstile.edge import models
from lavenderstile.edge import rate_limits
from lavenderstile.edge import settings
from tests.edge import builders

HOSTS = 6
WALK_STEPS = 5_000

# Limits of the platform: requests of a workspace in 5 s, retries in 10 s, and
# requests to a cold target in 1 s.
RATE, BURST = 40.0, 20.0
QUOTA_WINDOW_S, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.25, 20
BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_S = 0.2, 60, 10.0
COLD_RATE, COLD_OVERAGE, COLD_SLACK = 20.0, 1.5, 8

# Hosts report a request to their peers within `mesh.UPDATE_INTERVAL_S` plus
# the delay of a link in the domain, unless the datagram is lost.
MAX_DELAY_S = 0.02
LOSS_SHARE = 0.02
UPDATE_S = mesh.UPDATE_INTERVAL_S
EXPIRE_S = 0.25

MAX_PAUSE_S = 4.0
MAX_PARTITION_S = 4.0

COLD_TARGET = builders.make_target('i-cold', cold_left_s=1e6)


class InvariantViolation(Exception):
    """A walk reached a state that violates an invariant."""


class SlidingCount:
    """Number of events in a sliding window."""

    def __init__(self, window_s):
        self._window_s = window_s
        self._times = collections.deque()

    def add(self, now):
        """Add an event."""
        self._times.append(now)

    def get(self, now):
        """Return the number of events in the window that ends now."""
        while self._times and self._times[0] <= now - self._window_s:
            self._times.popleft()
        return len(self._times)


class ModelHost:
    """One process with the production decision objects of a host."""

    def __init__(self, number, started_ms, now):
        self.address = f'10.1.0.{number + 1}'
        self.started_ms = started_ms
        self.fleet = fleet.Fleet(self.address, 'a', started_ms)
        self.rate_limits = rate_limits.RateLimits()
        self.rate_limits.configure(
            [models.Workspace('club', ('key',), 0, RATE, BURST)], now
        )
        self.budgets = budgets.Budgets(
            settings.FleetLimits(
                retry_ratio=BUDGET_RATIO,
                retry_slack=BUDGET_SLACK,
                retry_window_s=BUDGET_WINDOW_S,
            ),
            now,
        )
        self.cold_start_limiter = balancing.ColdStartLimiter(self.fleet)
        self.paused_until = 0.0
        self.inbox = []

    def make_update(self):
        """Return a full update."""
        return messages.Update(
            self.address,
            'a',
            self.started_ms,
            {},
            [],
            {},
            [],
            dict(self.rate_limits.admitted),
            dict(self.budgets.own),
            1,
            0.0,
        )

    def apply_update(self, update, now):
        """Apply a peer's update as the mesh does."""
        added, sent, _ = self.fleet.apply_update(update, now)
        for service, (requests, retries, _) in sent.items():
            self.budgets.record_peer(service, requests, retries, now)
        self.rate_limits.record(added, now)

    def expire(self, now):
        """Remove lost peers and update the share of the limits."""
        self.fleet.expire(now)
        reachable = self.fleet.count_reachable(now)
        self.rate_limits.set_share(reachable, self.fleet.get_size(now))


class FleetWalk:
    """Hosts, the datagrams between them, and counts of callers and targets."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.now = 0.0
        self._started = 1
        self.hosts = [ModelHost(n, 1, 0.0) for n in range(HOSTS)]
        self._in_flight = []
        self._cut_until = {}
        self._sequence = 0
        self._next_update_at = 0.0
        self._next_expiry_at = 0.0
        self.admitted = SlidingCount(QUOTA_WINDOW_S)
        self.requests = SlidingCount(2 * BUDGET_WINDOW_S)
        self.retries = SlidingCount(BUDGET_WINDOW_S)
        self.cold = SlidingCount(1.0)
        self._known = directory.KnownTarget(COLD_TARGET, 0.0, 1e9)
        for _ in range(4):
            self.send_updates()
            self.now += 2 * MAX_DELAY_S
            self.deliver()
        for host in self.hosts:
            host.expire(self.now)

    def step(self):
        """Make one random event happen and check the invariants."""
        self.now += self._random.expovariate(200.0)
        self.deliver()
        if self.now >= self._next_update_at:
            self._next_update_at = self.now + UPDATE_S
            self.send_updates()
        if self.now >= self._next_expiry_at:
            self._next_expiry_at = self.now + EXPIRE_S
            for host in self.list_running():
                host.expire(self.now)
        chance = self._random.random()
        if chance < 0.0005:
            self.restart()
        elif chance < 0.001:
            self.pause()
        elif chance < 0.002:
            self.cut_link()
        else:
            self.request()
        self.check()

    def list_running(self):
        """Return the hosts that are not paused."""
        return [host for host in self.hosts if host.paused_until <= self.now]

    def request(self):
        """Let a host admit a request, or send one and perhaps retry it."""
        running = self.list_running()
        if not running:
            return
        host = self._random.choice(running)
        if self._random.random() < 0.5:
            if not host.rate_limits.take('club', self.now):
                self.admitted.add(self.now)
            return
        host.budgets.record_request('ledger', self.now)
        self.requests.add(self.now)
        domain_share = host.fleet.get_domain_share(self.now)
        hosts = len(host.fleet.members)
        if host.budgets.take('ledger', self.now, domain_share, hosts):
            self.retries.add(self.now)
        if host.cold_start_limiter.may_send(self._known, COLD_RATE, self.now):
            host.cold_start_limiter.record(self._known, self.now)
            self.cold.add(self.now)

    def send_updates(self):
        """Send each running host's update to the others."""
        for host in self.list_running():
            data = messages.pack(host.make_update())
            for number, other in enumerate(self.hosts):
                if other is host or self._random.random() < LOSS_SHARE:
                    continue
                if (
                    self._cut_until.get((host.address, other.address), 0)
                    > self.now
                ):
                    continue
                self._sequence += 1
                at = self.now + self._random.random() * MAX_DELAY_S
                heapq.heappush(
                    self._in_flight, (at, self._sequence, number, data)
                )

    def deliver(self):
        """Deliver due datagrams; paused hosts process them on resume."""
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, number, data = heapq.heappop(self._in_flight)
            self.hosts[number].inbox.append(messages.unpack(data))
        for host in self.list_running():
            inbox, host.inbox = host.inbox, []
            for update in inbox:
                host.apply_update(update, self.now)

    def restart(self):
        """Replace a process by one without state."""
        number = self._random.randrange(HOSTS)
        self._started += 1
        self.hosts[number] = ModelHost(number, self._started, self.now)

    def pause(self):
        """Pause a process for a random time."""
        host = self._random.choice(self.hosts)
        host.paused_until = self.now + self._random.random() * MAX_PAUSE_S

    def cut_link(self):
        """Drop all datagrams from one host to another for a random time."""
        source, target = self._random.sample(self.hosts, 2)
        until = self.now + self._random.random() * MAX_PARTITION_S
        self._cut_until[source.address, target.address] = until

    def check(self):
        """Raise `InvariantViolation` if a limit is exceeded."""
        limit = RATE * QUOTA_WINDOW_S + BURST
        limit = limit * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
        count = self.admitted.get(self.now)
        if count > limit:
            raise InvariantViolation(
                f'{count} requests admitted, limit is {limit:.0f}'
            )
        limit = self.requests.get(self.now) * BUDGET_RATIO + BUDGET_SLACK
        count = self.retries.get(self.now)
        if count > limit:
            raise InvariantViolation(f'{count} retries, limit is {limit:.0f}')
        limit = COLD_RATE * COLD_OVERAGE + COLD_SLACK
        count = self.cold.get(self.now)
        if count > limit:
            raise InvariantViolation(
                f'{count} requests to a cold target, limit is {limit:.0f}'
            )


class DirectoryWalk:
    """A directory that gets changes of the registry late and repeatedly."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.now = 0.0
        self.directory = directory.Directory()
        self._history = []
        self._expected_targets = {}
        self._version = 0
        self._newest_version = 0
        self._newest_revision = 0

    def step(self):
        """Write to the registry, deliver some changes, or read all of it."""
        self.now += self._random.random()
        chance = self._random.random()
        if chance < 0.4:
            self.write()
        elif chance < 0.95:
            self.deliver()
        elif chance < 0.99 or not self._history:
            self.read_all(len(self._history))
        else:
            # The registry has lost its last writes, which are then repeated.
            self._newest_revision = self._random.randrange(len(self._history))
            self.read_all(self._newest_revision)
        self.check()

    def write(self):
        """Write the next change to the registry."""
        revision = len(self._history) + 1
        name = f'i-{self._random.randrange(8)}'
        chance = self._random.random()
        if chance < 0.3:
            self._version += self._random.randrange(1, 4)
            event = models.Configuration(self._version, None, [], [], [])
        elif chance < 0.7 or name not in self._expected_targets:
            event = builders.make_target(
                name, address=f'10.9.0.{name[2:]}', started_ms=revision
            )
            self._expected_targets[name] = event
        else:
            del self._expected_targets[name]
            event = directory.TargetRemoved(name)
        self._history.append((revision, event))

    def deliver(self):
        """Deliver a slice of the history; it may be old but leaves no gap."""
        known = self.directory.revision
        first = self._random.randrange(max(0, known - 5), known + 1)
        last = min(len(self._history), first + self._random.randrange(1, 10))
        changes = directory.Changes(
            last, tuple(self._history[first:last]), b''
        )
        self.directory.apply_changes(changes, self.now)

    def read_all(self, revision):
        """Read the registry as it was at a revision."""
        configuration = None
        targets = {}
        for _, event in self._history[:revision]:
            match event:
                case models.Configuration():
                    configuration = event
                case models.Target():
                    targets[event.instance] = event
                case directory.TargetRemoved(instance):
                    targets.pop(instance, None)
        snapshot = directory.Snapshot(
            revision, configuration, tuple(targets.values()), frozenset()
        )
        self.directory.apply_snapshot(snapshot, self.now)

    def check(self):
        """Raise `InvariantViolation` if the directory reverts or differs."""
        configuration = self.directory.configuration
        version = configuration.version if configuration else 0
        if version < self._newest_version:
            raise InvariantViolation(
                f'version {version} after version {self._newest_version}'
            )
        self._newest_version = version
        revision = self.directory.revision
        if revision < self._newest_revision:
            raise InvariantViolation(
                f'revision {revision} after revision {self._newest_revision}'
            )
        self._newest_revision = revision
        if revision == len(self._history):
            found = {
                name: known.target
                for name, known in self.directory.targets.items()
            }
            if found != self._expected_targets:
                raise InvariantViolation(
                    'targets of the directory differ from the registry'
                )


WALKS = {'fleet': FleetWalk, 'directory': DirectoryWalk}


def run_walk(make_walk, seed, steps):
    """Run one walk; raises `InvariantViolation` with the seed and the step."""
    walk = make_walk(seed)
    for number in range(steps):
        try:
            walk.step()
        except InvariantViolation as error:
            raise InvariantViolation(
                f'{make_walk.__name__} seed {seed} step {number}: {error}'
            ) from None


def main():
    """Run walks with fresh seeds until all steps are done."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--steps', type=int, default=1_000_000)
    parser.add_argument('--seed', type=int, default=None)
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(2**32)
    violations = 0
    for name, make_walk in WALKS.items():
        for number in range(arguments.steps // WALK_STEPS):
            try:
                run_walk(make_walk, first + number, WALK_STEPS)
            except InvariantViolation as error:
                violations += 1
                print(f'invariant violated: {error}')
        print(f'{name}: {arguments.steps} steps from seed {first}')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
