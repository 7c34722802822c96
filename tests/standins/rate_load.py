"""Simulated load on the rates of a fleet, with three ways to enforce them.

All hosts use one clock and have the same view, except while hosts join, and
no message is lost: the simulation measures refused requests, not safety.
"""

import functools
import heapq
import random

from lavenderstile import borrowing
from lavenderstile import lending
from lavenderstile import messages
from lavenderstile import models
from lavenderstile import rates
from lavenderstile import shares

HOSTS = tuple(f'10.0.0.{number}' for number in range(1, 49))
# A few large workspaces and several small ones.
WORKSPACES = tuple(
    models.Workspace(f'w{number}', (), rate, rate / 2)
    for number, rate in enumerate((400, 200, 100, 60, 40, 30, 20, 10))
)
# Time until the quarantines have ended and the buckets are full.
WARM_UP_S = 8.0
EXCHANGE_INTERVAL_S = 1.0
DETECTION_S = 3.0
# How long hosts also ask the owners according to their former view.
FORMER_OWNER_S = 3.0
# Time between the first and the last host that detects a new host.
JOIN_SPREAD_S = 1.0


class ConservedRates:
    """The real lenders and borrowers of all hosts.

    The exchanges of the pairs of hosts are distributed over each second.
    Options let borrowers acknowledge a reduced lease at once, and hosts ask
    the owners according to their former view for `FORMER_OWNER_S`, too.
    """

    def __init__(
        self,
        find_owner=shares.find_owner,
        acknowledges=True,
        asks_former=True,
        absent=(),
    ):
        self._find_owner = find_owner
        self._acknowledges = acknowledges
        self._asks_former = asks_former
        self._running = set(HOSTS)
        view = tuple(host for host in HOSTS if host not in absent)
        self._views = dict.fromkeys(HOSTS, view)
        self._former = dict.fromkeys(HOSTS, (view, 0.0))
        self._owners = {}
        self._lenders = {host: lending.Lender(host, 0.0) for host in HOSTS}
        self._borrowers = {host: borrowing.Borrower(host, 1) for host in HOSTS}
        self.calls = 0
        for host, lender in self._lenders.items():
            own_shares = shares.share_rates(WORKSPACES, HOSTS, host)
            lender.set_rights(own_shares, frozenset(), 0.0, in_force_s=60.0)
        rng = random.Random(0)
        self._due = [
            (rng.random(), borrower, lender)
            for borrower in HOSTS
            for lender in HOSTS
        ]
        heapq.heapify(self._due)

    def find_owners(self, workspace, view):
        """Return each host's first owner according to a view."""
        key = (workspace.name, view)
        if key not in self._owners:
            self._owners[key] = {
                host: self._find_owner(workspace, host, view) for host in HOSTS
            }
        return self._owners[key]

    def kill(self, host):
        """Stop a host; the others keep it in their view."""
        self._running.remove(host)

    def set_view(self, host, view, now):
        """Change one host's view of the fleet."""
        self._former[host] = (self._views[host], now + FORMER_OWNER_S)
        self._views[host] = view

    def run_until(self, now):
        """Run the exchanges that are due."""
        while self._due[0][0] <= now:
            at, borrower, lender = self._due[0]
            if {borrower, lender} <= self._running:
                is_reduced = self._exchange(borrower, lender, at)
                if is_reduced and self._acknowledges:
                    self._exchange(borrower, lender, at)
            heapq.heapreplace(
                self._due, (at + EXCHANGE_INTERVAL_S, borrower, lender)
            )

    def take(self, host, workspace, now):
        """Take a token from the owner that the host lends to, or another."""
        owners = self.find_owners(workspace, self._views[host])
        order = [owners[host], *owners.values()]
        former, until = self._former[host]
        if self._asks_former and now < until:
            order += self.find_owners(workspace, former).values()
        for owner in dict.fromkeys(order):
            self.calls += 1
            if owner not in self._running:
                continue
            answer = self._borrowers[owner].take_token(workspace.name, now)
            if answer == messages.Taken():
                return True
        return False

    def _exchange(self, borrower, lender, now):
        view = self._views[lender]
        owned = frozenset(
            workspace.name
            for workspace in WORKSPACES
            if self.find_owners(workspace, view)[lender] == borrower
        )
        request = self._borrowers[borrower].make_request(lender)
        grant = self._lenders[lender].grant(request, owned, frozenset(), now)
        return self._borrowers[borrower].accept(lender, 1, now, grant, now)


class FixedShares:
    """Each host uses its own share of each rate: the baseline."""

    def __init__(self):
        own_shares = shares.share_rates(WORKSPACES, HOSTS)
        self._buckets = {
            (host, name): rates.Bucket(0.0, *share)
            for host in HOSTS
            for name, share in own_shares.items()
        }

    def run_until(self, now):
        """Do nothing: the hosts exchange no messages."""

    def take(self, host, workspace, now):
        """Take a token from the host's own share."""
        bucket = self._buckets[host, workspace.name]
        bucket.refill(now)
        if bucket.level_micro < messages.MICRO:
            return False
        bucket.remove(messages.MICRO)
        return True


class SingleBucket:
    """One bucket for the whole fleet, which defines the limit."""

    def __init__(self):
        own_shares = shares.share_rates(WORKSPACES, HOSTS[:1])
        self._buckets = {
            name: rates.Bucket(0.0, *share)
            for name, share in own_shares.items()
        }

    def run_until(self, now):
        """Do nothing."""

    def take(self, _host, workspace, now):
        """Take a token."""
        bucket = self._buckets[workspace.name]
        bucket.refill(now)
        if bucket.level_micro < messages.MICRO:
            return False
        bucket.remove(messages.MICRO)
        return True


def find_single_owner(workspace, _address, members):
    """Return the only owner of a workspace, for comparison."""
    return shares.find_owner(
        models.Workspace(workspace.name, (), 0.0, 0.0), '', members
    )


def run_load(system, seconds, seed, load=0.9, events=()):
    """Return {workspace: (requests, refused)} of Poisson arrivals.

    The requests are distributed unevenly: the weights of the hosts follow a
    Pareto distribution. `events` are pairs of a time and a function that is
    called with the time.
    """
    rng = random.Random(seed)
    weights = [rng.paretovariate(1.5) for _ in HOSTS]
    arrivals = []
    for number, workspace in enumerate(WORKSPACES):
        gap = rng.expovariate(workspace.rate * load)
        arrivals.append((WARM_UP_S + gap, number))
    heapq.heapify(arrivals)
    counts = {workspace.name: [0, 0] for workspace in WORKSPACES}
    events = sorted(events, key=lambda event: event[0])
    while arrivals[0][0] < WARM_UP_S + seconds:
        now, number = arrivals[0]
        workspace = WORKSPACES[number]
        gap = rng.expovariate(workspace.rate * load)
        heapq.heapreplace(arrivals, (now + gap, number))
        while events and events[0][0] <= now:
            at, action = events.pop(0)
            system.run_until(at)
            action(at)
        system.run_until(now)
        host = rng.choices(HOSTS, weights)[0]
        counts[workspace.name][0] += 1
        if not system.take(host, workspace, now):
            counts[workspace.name][1] += 1
    return {name: tuple(count) for name, count in counts.items()}


def plan_owner_loss(system, at=3.0):
    """Return the events of the loss of an owner of the largest workspace.

    The redistribution of its callers is not modelled: their requests still
    pass through the lost host, as if the load balancer had moved them to a
    host with the same view.
    """
    lost_owner = system.find_owners(WORKSPACES[0], HOSTS)[HOSTS[0]]
    remaining = tuple(host for host in HOSTS if host != lost_owner)
    lost_at = WARM_UP_S + at
    detected_at = lost_at + DETECTION_S
    return [
        (lost_at, lambda _now: system.kill(lost_owner)),
        *(
            (detected_at, functools.partial(system.set_view, host, remaining))
            for host in HOSTS
        ),
    ]


def plan_join(system, seed, at=3.0):
    """Return the events by which all hosts get the whole fleet in view."""
    rng = random.Random(seed)
    return [
        (
            WARM_UP_S + at + rng.random() * JOIN_SPREAD_S,
            functools.partial(system.set_view, host, HOSTS),
        )
        for host in HOSTS
    ]


def sum_counts(counts):
    """Return requests and refusals over all workspaces."""
    requests = sum(requests for requests, _ in counts.values())
    return requests, sum(refused for _, refused in counts.values())


def print_table():
    """Print the refused requests of all variants."""
    one = find_single_owner
    several = shares.find_owner
    owner = (shares.find_owner(WORKSPACES[0], HOSTS[0], HOSTS),)
    single_owner = (one(WORKSPACES[0], HOSTS[0], HOSTS),)

    def show(label, make, plan=None, seconds=12, **options):
        for seed in (1, 2, 3, 4, 5):
            system = make()
            events = plan(system, seed) if plan else ()
            counts = run_load(system, seconds, seed, events=events, **options)
            requests, refused = sum_counts(counts)
            calls = getattr(system, 'calls', 0) / requests
            print(
                f'{label}: seed {seed}, {refused} of {requests}'
                f' ({refused / requests:.2%}), largest workspace'
                f' {counts["w0"][1]} of {counts["w0"][0]},'
                f' {calls:.2f} calls per request',
                flush=True,
            )

    show('single bucket', SingleBucket, seconds=60)
    show('fixed share', FixedShares, seconds=60)
    for name, find in (('one owner', one), ('several owners', several)):
        make = functools.partial(ConservedRates, find)
        show(name, make, seconds=60)
        show(f'{name}, 5 times the rate', make, load=5.0)
        show(
            f'{name}, owner lost',
            make,
            lambda system, _: plan_owner_loss(system),
        )
        for event, absent in (
            ('owner joins', single_owner if find is one else owner),
            ('16 hosts join', HOSTS[:16]),
        ):
            for acknowledges, asks_former in (
                (False, False),
                (True, False),
                (True, True),
            ):
                show(
                    f'{name}, {event}, acknowledges at once {acknowledges},'
                    f' asks former owners {asks_former}',
                    functools.partial(
                        ConservedRates,
                        find,
                        acknowledges,
                        asks_former,
                        absent,
                    ),
                    plan_join,
                )


if __name__ == '__main__':
    print_table()
