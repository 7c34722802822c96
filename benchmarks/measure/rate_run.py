"""Rates of workspaces on a fleet of hosts that exchange leases."""

import collections
import types

from lavenderstile import borrowing
from lavenderstile import lending
from lavenderstile import membership
from lavenderstile import messages
from lavenderstile import ownership
from lavenderstile import rates
from lavenderstile import shares

from . import engine as engine_module
from . import figures
from . import sizes

LOSS = 0.01
# Age of a configuration that is in force everywhere.
SETTLED_S = 3600.0
CALL_TIMEOUT_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
DEADLINE_S = 5.0
LOAD = 0.8
# The entry host keeps a denial at most this long (`gate`).
MAX_HINT_S = 1.0
FOREVER = types.SimpleNamespace(until=float('inf'))


def make_pool(rate, burst, now):
    """Return a full pool that needs no lease."""
    pool = rates.TokenPool(now)
    rate_micro = round(rate * messages.MICRO)
    burst_micro = round(burst * messages.MICRO)
    share = rates.Share(FOREVER, rate_micro, burst_micro)
    pool.put_share('', share, burst_micro, now)
    return pool


class Process:
    """The process that runs at one address; a restart replaces it."""

    def __init__(self, address, incarnation, configuration, now):
        self.membership = membership.Membership(
            address, sizes.host_domain(address), incarnation
        )
        self.ownership = ownership.Ownership(self.membership, configuration)
        self.lender = lending.Lender(address, now)
        self.borrower = borrowing.Borrower(address, incarnation)
        # Until when a workspace's requests are refused here.
        self.denied_until = collections.Counter()
        fleet = configuration.fleet
        own_shares = shares.share_rates(
            configuration.workspaces.values(), fleet
        )
        # The configuration has been in force for long.
        self.lender.set_rights(own_shares, frozenset(), now, SETTLED_S)

    def report(self, now):
        """Return what the process says of itself in an exchange."""
        own = self.membership
        return membership.PeerReport(
            own.address,
            '',
            '',
            own.incarnation,
            contacted=own.list_contacted(now),
        )

    def lend(self, request, now):
        """Answer a borrower."""
        owned = self.ownership.lent_to(request.borrower, now)
        return self.lender.grant(request, *owned, now)

    def lend_to_self(self, now):
        """Borrow from the process's own rights."""
        address = self.membership.address
        grant = self.lend(self.borrower.make_request(address), now)
        incarnation = self.membership.incarnation
        self.borrower.accept(address, incarnation, now, grant, now)


class RateRun:
    """Entry hosts that take tokens for Poisson arrivals.

    `cut` holds pairs (sender, receiver) whose messages are lost. With
    `fixed_share` each host has its own part of every rate (the baseline).
    """

    def __init__(self, seed, deployment, fixed_share):
        self.engine = engine_module.Engine(seed)
        self.deployment = deployment
        self.hosts = list(deployment.host_names)
        self.weights = deployment.host_weights
        self.engine.rng.shuffle(self.weights)
        self.cut = set()
        workspaces = {w.name: w for w in deployment.workspaces()}
        self.configuration = types.SimpleNamespace(
            workspaces=workspaces, services={}, generation=1, fleet=self.hosts
        )
        self.processes = {}
        self.ready = {}
        self.taken = collections.defaultdict(list)
        self.allowed = collections.Counter()
        self.refused = collections.Counter()
        self._counting = False
        self._ideal = self._shares = None
        self._fixed_share = fixed_share
        for host in self.hosts:
            self.start(host)
            self.engine.after(self.engine.rng.random(), self._exchange, host)

    def count_from(self, start_s):
        """Plan the load, with all buckets full at the start."""
        self.engine.after(start_s, self._begin)

    def start(self, host):
        """Start a process with empty memory at a host."""
        now = self.engine.now
        process = Process(host, int(now * 1000), self.configuration, now)
        self.processes[host] = process
        for peer in self.hosts:
            process.membership.add(peer, '')
        self.ready[host] = now + 2.0

    def stop(self, host):
        """End the process at a host without notice."""
        self.processes[host] = None

    def _begin(self):
        now = self.engine.now
        count = len(self.hosts)
        workspaces = self.configuration.workspaces.values()
        self._ideal = {
            w.name: make_pool(w.rate, w.burst, now) for w in workspaces
        }
        # A share under one request would never let anything run.
        self._shares = {
            (host, w.name): make_pool(
                w.rate / count, max(1.0, w.burst / count), now
            )
            for host in self.hosts
            for w in workspaces
        }
        for workspace in workspaces:
            factor = (
                sizes.NOISY_FACTOR if workspace.name == sizes.NOISY else LOAD
            )
            self._plan_arrival(workspace.name, workspace.rate * factor)

    # Messages between hosts.

    def _passes(self, sender, receiver):
        lost = self.engine.rng.random() < LOSS
        return (sender, receiver) not in self.cut and not lost

    def _exchange(self, host):
        self.engine.after(1.0, self._exchange, host)
        process = self.processes[host]
        if process is None:
            return
        process.lend_to_self(self.engine.now)
        for peer in self.hosts:
            if peer != host:
                self._send_exchange(process, host, peer, 2)

    def _send_exchange(self, process, host, peer, tries):
        if process is not self.processes[host] or not tries:
            return
        delay_s = self.deployment.delay_s
        there = self._passes(host, peer)
        if there and self._passes(peer, host):
            self.engine.after(
                delay_s, self._answer, process, peer, self.engine.now
            )
            return
        if there:
            self.engine.after(delay_s, self._answer, process, peer, None)
        self.engine.after(
            EXCHANGE_TIMEOUT_S,
            self._send_exchange,
            process,
            host,
            peer,
            tries - 1,
        )

    def _answer(self, process, peer, sent_at):
        """Answer at the peer; without `sent_at` the reply is lost."""
        other = self.processes[peer]
        now = self.engine.now
        if other is None or not other.membership.record_message(
            process.report(now), now
        ):
            return
        grant = other.lend(process.borrower.make_request(peer), now)
        if sent_at is not None:
            self.engine.after(
                self.deployment.delay_s,
                self._accept,
                process,
                peer,
                other.report(now),
                sent_at,
                grant,
            )

    def _accept(self, process, peer, report, sent_at, grant):
        now = self.engine.now
        if process.membership.record_success(report, now):
            process.borrower.accept(
                peer, report.incarnation, sent_at, grant, now
            )

    # Requests.

    def _plan_arrival(self, workspace, rate):
        delay_s = self.engine.rng.expovariate(rate)
        self.engine.after(delay_s, self._arrive, workspace, rate)

    def _arrive(self, workspace, rate):
        self._plan_arrival(workspace, rate)
        now = self.engine.now
        # The balancer avoids hosts that are down or not ready.
        weights = [
            weight * bool(self.processes[host] and self.ready[host] <= now)
            for host, weight in zip(self.hosts, self.weights, strict=True)
        ]
        host = sizes.choose_host(self.engine.rng, self.hosts, weights)
        ideal = self._ideal[workspace].take(now)
        within = isinstance(ideal, messages.Taken)
        self.allowed[workspace] += within

        def finish(taken):
            if taken:
                self.taken[workspace].append(self.engine.now)
            else:
                self.refused[workspace] += within

        if self._fixed_share:
            result = self._shares[host, workspace].take(now)
            finish(isinstance(result, messages.Taken))
        elif self.processes[host].denied_until[workspace] > now:
            finish(False)
        else:
            self._take(host, workspace, now + DEADLINE_S, [], [], finish)

    def _take(self, host, workspace, deadline, asked, denials, finish):
        """Ask the hosts in turn; without an answer wait and ask again."""
        now = self.engine.now
        process = self.processes[host]
        if process is None or now >= deadline:
            finish(False)
            return
        peers = process.ownership.list_token_hosts(workspace, now)
        peers = [peer for peer in peers if peer not in asked]
        if not peers and denials:
            until = now + min(*denials, MAX_HINT_S)
            process.denied_until[workspace] = until
            finish(False)
            return
        if not peers:
            again = (host, workspace, deadline, [], [], finish)
            self.engine.after(RETRY_DELAY_S, self._take, *again)
            return
        peer = peers[0]
        again = (host, workspace, deadline, [*asked, peer], denials, finish)
        if peer == host:
            self._decide(peer, workspace, again)
        elif self._passes(host, peer) and self._passes(peer, host):
            self.engine.after(
                self.deployment.delay_s, self._decide, peer, workspace, again
            )
        else:
            self.engine.after(CALL_TIMEOUT_S, self._take, *again)

    def _decide(self, peer, workspace, again):
        *_, denials, finish = again
        now = self.engine.now
        result = messages.NoRights()
        if self.processes[peer] is not None:
            result = self.processes[peer].borrower.take_token(workspace, now)
        match result:
            case messages.Taken():
                finish(True)
                return
            case messages.Denied(retry_after_s):
                denials.append(retry_after_s)
        self.engine.after(self.deployment.delay_s, self._take, *again)

    def results(self):
        """Return the figures of the run."""
        limits = self.configuration.workspaces
        overshoot = max(
            figures.find_overshoot(
                sorted(times), limits[name].rate, limits[name].burst
            )
            for name, times in self.taken.items()
        )
        refused_parts = {
            name: self.refused[name] / allowed
            for name, allowed in self.allowed.items()
            if name != sizes.NOISY
        }
        quiet = sum(self.allowed[name] for name in refused_parts)
        refused = sum(self.refused[name] for name in refused_parts)
        got = len(self.taken[sizes.NOISY]) / self.allowed[sizes.NOISY]
        return {
            'overshoot requests': round(overshoot, 3),
            'false refusals %': round(100 * refused / quiet, 4),
            'false refusals of the worst workspace %': round(
                100 * max(refused_parts.values()), 4
            ),
            'noisy workspace, part of its rate': round(got, 4),
        }


def run_rates(deployment, seed, length, fixed_share, event):
    """Return the figures at rest, with restarts or with a one-way cut."""
    run = RateRun(seed, deployment, fixed_share)
    start_s = length['rates_warm_s']
    run.count_from(start_s)
    if event == 'restarts':
        for host in run.hosts[::6]:
            run.engine.after(start_s + 5.0, run.stop, host)
            run.engine.after(start_s + 10.0, run.start, host)
    elif event == 'cut':
        third = set(run.hosts[::3])
        pairs = {
            (one, other)
            for one in third
            for other in run.hosts
            if other not in third
        }
        run.engine.after(start_s + 5.0, run.cut.update, pairs)
        run.engine.after(start_s + 15.0, run.cut.clear)
    run.engine.run(start_s + length['rates_s'])
    return run.results()
