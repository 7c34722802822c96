"""Load on the rates of a fleet, with three ways to enforce them.

All hosts share one view and one clock, and no message is lost: this
measures requests refused, not safety.
"""

import heapq
import random

from lavenderstile import messages
from lavenderstile import models
from lavenderstile import rates
from lavenderstile import rights

HOSTS = tuple(f'10.0.0.{number}' for number in range(1, 49))
# A few large workspaces and several small ones.
WORKSPACES = tuple(
    models.Workspace(f'w{number}', (), rate, rate / 2)
    for number, rate in enumerate((400, 200, 100, 60, 40, 30, 20, 10))
)
# Time for quarantines to end and buckets to fill.
WARM_UP_S = 20.0
EXCHANGE_INTERVAL_S = 1.0
DETECTION_S = 3.0


class ConservedRates:
    """The real lenders and borrowers of all hosts."""

    def __init__(self, find_owner=rights.find_owner):
        self._find_owner = find_owner
        self._now = 0.0
        self._alive = list(HOSTS)
        self._view = HOSTS
        self._owners = {}
        self._lenders = {host: rights.Lender(host, 0.0) for host in HOSTS}
        self._borrowers = {host: rights.Borrower(host, 1) for host in HOSTS}
        self.calls = 0
        shares = rights.share_rates(WORKSPACES, HOSTS)
        for lender in self._lenders.values():
            lender.set_rights(shares, frozenset(), 0.0, in_force_s=60.0)

    def find_owners(self, workspace):
        """Return the owners by the present view, with a host's own first."""
        if workspace.name not in self._owners:
            self._owners[workspace.name] = {
                host: self._find_owner(workspace, host, self._view)
                for host in HOSTS
            }
        return self._owners[workspace.name]

    def kill(self, host):
        """End a host; the others keep it in their view."""
        self._alive.remove(host)

    def detect(self):
        """Remove dead hosts from the view."""
        self._view = tuple(self._alive)
        self._owners.clear()

    def tick(self, now):
        """Exchange between all pairs of hosts."""
        for lender in self._alive:
            owned = {}
            for workspace in WORKSPACES:
                owner = self.find_owners(workspace)[lender]
                owned.setdefault(owner, set()).add(workspace.name)
            for borrower in self._alive:
                grant = self._lenders[lender].grant(
                    self._borrowers[borrower].make_request(lender),
                    owned.get(borrower, frozenset()),
                    frozenset(),
                    now,
                )
                self._borrowers[borrower].accept(lender, 1, now, grant, now)

    def take(self, host, workspace, now):
        """Ask the owner that the host lends to, then the others."""
        owners = self.find_owners(workspace)
        for owner in dict.fromkeys((owners[host], *owners.values())):
            self.calls += 1
            if owner not in self._alive:
                continue
            answer = self._borrowers[owner].take_token(workspace.name, now)
            if answer == messages.Taken():
                return True
        return False


class FixedShares:
    """Each host spends its own share of each rate: the baseline."""

    def __init__(self):
        shares = rights.share_rates(WORKSPACES, HOSTS)
        self._buckets = {
            (host, name): rates.Bucket(0.0, *share)
            for host in HOSTS
            for name, share in shares.items()
        }

    def tick(self, now):
        """Do nothing: hosts do not talk to each other."""

    def take(self, host, workspace, now):
        """Take a token of the host's own share."""
        bucket = self._buckets[host, workspace.name]
        bucket.settle(now)
        if bucket.level_micro < messages.MICRO:
            return False
        bucket.remove(messages.MICRO)
        return True


class SingleBucket:
    """One bucket for the whole fleet: the definition of the limit."""

    def __init__(self):
        shares = rights.share_rates(WORKSPACES, HOSTS[:1])
        self._buckets = {
            name: rates.Bucket(0.0, *share) for name, share in shares.items()
        }

    def tick(self, now):
        """Do nothing."""

    def take(self, _host, workspace, now):
        """Take a token."""
        bucket = self._buckets[workspace.name]
        bucket.settle(now)
        if bucket.level_micro < messages.MICRO:
            return False
        bucket.remove(messages.MICRO)
        return True


def find_single_owner(workspace, _address, members):
    """Return the only owner of a workspace, for comparison."""
    return rights.find_owner(
        models.Workspace(workspace.name, (), 0.0, 0.0), '', members
    )


def run_load(system, seconds, seed, load=0.9, kill_at=None):
    """Return {workspace: (requests, refused)} of Poisson arrivals.

    Hosts get an uneven part of the requests: their weights follow a Pareto
    distribution. At `kill_at` an owner of the largest workspace dies.
    """
    chance = random.Random(seed)
    weights = [chance.paretovariate(1.5) for _ in HOSTS]
    arrivals = []
    for number, workspace in enumerate(WORKSPACES):
        gap = chance.expovariate(workspace.rate * load)
        arrivals.append((WARM_UP_S + gap, number))
    heapq.heapify(arrivals)
    counts = {workspace.name: [0, 0] for workspace in WORKSPACES}
    dead = None
    for tick in range(round(WARM_UP_S + seconds)):
        if kill_at is not None and tick == WARM_UP_S + kill_at:
            dead = system.find_owners(WORKSPACES[0])[HOSTS[0]]
            system.kill(dead)
        if dead and tick == WARM_UP_S + kill_at + DETECTION_S:
            system.detect()
        system.tick(float(tick))
        while arrivals[0][0] < tick + EXCHANGE_INTERVAL_S:
            now, number = arrivals[0]
            workspace = WORKSPACES[number]
            gap = chance.expovariate(workspace.rate * load)
            heapq.heapreplace(arrivals, (now + gap, number))
            host = chance.choices(HOSTS, weights)[0]
            if host == dead:
                host = HOSTS[HOSTS.index(host) - 1]
            counts[workspace.name][0] += 1
            if not system.take(host, workspace, now):
                counts[workspace.name][1] += 1
    return {name: tuple(count) for name, count in counts.items()}


def sum_counts(counts):
    """Return requests and refusals over all workspaces."""
    requests = sum(requests for requests, _ in counts.values())
    return requests, sum(refused for _, refused in counts.values())
