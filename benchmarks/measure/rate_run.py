"""Rate limits of workspaces in a fleet whose hosts lend each other rights."""

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

MESSAGE_LOSS_SHARE = 0.01
# The configuration is old enough to be in force on all hosts.
CONFIGURATION_AGE_S = 3600.0
CALL_TIMEOUT_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.1
DEADLINE_S = 5.0
# Demand of a quiet workspace as a share of its rate.
QUIET_LOAD_FACTOR = 0.8
# An entry host refuses requests after a denial for at most this time, as in
# `gate`.
MAX_DENIAL_S = 1.0
UNLIMITED_LEASE = types.SimpleNamespace(until=float('inf'))


def make_pool(rate, burst, now):
    """Return a full token pool whose lease does not expire."""
    pool = rates.TokenPool(now)
    rate_micro = round(rate * messages.MICRO)
    burst_micro = round(burst * messages.MICRO)
    share = rates.Share(UNLIMITED_LEASE, rate_micro, burst_micro)
    pool.put_share('', share, burst_micro, now)
    return pool


class Process:
    """State of the process at an address; a restart replaces the object."""

    def __init__(self, address, incarnation, configuration, now):
        self.membership = membership.Membership(
            address, sizes.host_domain(address), incarnation
        )
        self.ownership = ownership.Ownership(self.membership, configuration)
        self.lender = lending.Lender(address, now)
        self.borrower = borrowing.Borrower(address, incarnation)
        # Time until which a workspace's requests are refused on this host.
        self.denied_until = collections.Counter()
        fleet = configuration.fleet
        own_shares = shares.share_rates(
            configuration.workspaces.values(), fleet
        )
        self.lender.set_rights(
            own_shares, frozenset(), now, CONFIGURATION_AGE_S
        )

    def report(self, now):
        """Return the process's report for an exchange."""
        own_membership = self.membership
        return membership.PeerReport(
            own_membership.address,
            '',
            '',
            own_membership.incarnation,
            contacted=own_membership.list_contacted(now),
        )

    def lend(self, request, now):
        """Return the grant of leases for a borrower."""
        lent_objects = self.ownership.lent_to(request.borrower, now)
        return self.lender.grant(request, *lent_objects, now)

    def lend_to_self(self, now):
        """Borrow from the rights that the process itself lends."""
        address = self.membership.address
        grant = self.lend(self.borrower.make_request(address), now)
        incarnation = self.membership.incarnation
        self.borrower.accept(address, incarnation, now, grant, now)


class RateRun:
    """Entry hosts that take tokens for Poisson arrivals.

    `partitioned_links` holds pairs (sender, receiver) whose messages are
    lost. With `fixed_share` each host has a fixed share of every rate (the
    baseline).
    """

    def __init__(self, seed, deployment, fixed_share):
        self.engine = engine_module.Engine(seed)
        self.deployment = deployment
        self.hosts = list(deployment.host_names)
        self.weights = deployment.host_weights
        self.engine.rng.shuffle(self.weights)
        self.partitioned_links = set()
        workspaces = {w.name: w for w in deployment.workspaces()}
        self.configuration = types.SimpleNamespace(
            workspaces=workspaces, services={}, generation=1, fleet=self.hosts
        )
        self.processes = {}
        self.ready = {}
        self.granted_times = collections.defaultdict(list)
        self.allowed_counts = collections.Counter()
        self.false_refusal_counts = collections.Counter()
        self._counting = False
        self._ideal_pools = self._fixed_pools = None
        self._fixed_share = fixed_share
        for host in self.hosts:
            self.start(host)
            self.engine.after(self.engine.rng.random(), self._exchange, host)

    def start_load_after(self, start_s):
        """Schedule the start of the load, with full token buckets."""
        self.engine.after(start_s, self._start_load)

    def start(self, host):
        """Start a process without state on a host."""
        now = self.engine.now
        process = Process(host, int(now * 1000), self.configuration, now)
        self.processes[host] = process
        for peer in self.hosts:
            process.membership.add(peer, '')
        self.ready[host] = now + 2.0

    def stop(self, host):
        """Kill the process on a host."""
        self.processes[host] = None

    def _start_load(self):
        now = self.engine.now
        count = len(self.hosts)
        workspaces = self.configuration.workspaces.values()
        self._ideal_pools = {
            w.name: make_pool(w.rate, w.burst, now) for w in workspaces
        }
        # A burst of less than one token would never admit a request.
        self._fixed_pools = {
            (host, w.name): make_pool(
                w.rate / count, max(1.0, w.burst / count), now
            )
            for host in self.hosts
            for w in workspaces
        }
        for workspace in workspaces:
            factor = (
                sizes.NOISY_FACTOR
                if workspace.name == sizes.NOISY_WORKSPACE
                else QUIET_LOAD_FACTOR
            )
            self._plan_arrival(workspace.name, workspace.rate * factor)

    # Messages between hosts.

    def _is_delivered(self, sender, receiver):
        lost = self.engine.rng.random() < MESSAGE_LOSS_SHARE
        return (sender, receiver) not in self.partitioned_links and not lost

    def _exchange(self, host):
        self.engine.after(1.0, self._exchange, host)
        process = self.processes[host]
        if process is None:
            return
        process.lend_to_self(self.engine.now)
        for peer in self.hosts:
            if peer != host:
                self._send_exchange(process, host, peer, 2)

    def _send_exchange(self, process, host, peer, attempts_left):
        if process is not self.processes[host] or not attempts_left:
            return
        delay_s = self.deployment.delay_s
        request_arrives = self._is_delivered(host, peer)
        if request_arrives and self._is_delivered(peer, host):
            self.engine.after(
                delay_s, self._handle_exchange, process, peer, self.engine.now
            )
            return
        if request_arrives:
            self.engine.after(
                delay_s, self._handle_exchange, process, peer, None
            )
        self.engine.after(
            EXCHANGE_TIMEOUT_S,
            self._send_exchange,
            process,
            host,
            peer,
            attempts_left - 1,
        )

    def _handle_exchange(self, process, peer, sent_at):
        """Handle an exchange at the peer.

        The reply is lost if `sent_at` is None.
        """
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
                self._handle_reply,
                process,
                peer,
                other.report(now),
                sent_at,
                grant,
            )

    def _handle_reply(self, process, peer, report, sent_at, grant):
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
        # The load balancer skips hosts that are down or not ready.
        weights = [
            weight * bool(self.processes[host] and self.ready[host] <= now)
            for host, weight in zip(self.hosts, self.weights, strict=True)
        ]
        host = sizes.choose_host(self.engine.rng, self.hosts, weights)
        ideal_result = self._ideal_pools[workspace].take(now)
        is_within_limit = isinstance(ideal_result, messages.Taken)
        self.allowed_counts[workspace] += is_within_limit

        def finish(taken):
            if taken:
                self.granted_times[workspace].append(self.engine.now)
            else:
                self.false_refusal_counts[workspace] += is_within_limit

        if self._fixed_share:
            result = self._fixed_pools[host, workspace].take(now)
            finish(isinstance(result, messages.Taken))
        elif self.processes[host].denied_until[workspace] > now:
            finish(False)
        else:
            self._take_token(host, workspace, now + DEADLINE_S, [], [], finish)

    def _take_token(
        self, host, workspace, deadline, asked_peers, denials, finish
    ):
        """Ask the hosts one after the other for a token.

        If no host grants or denies one, start again after a delay.
        """
        now = self.engine.now
        process = self.processes[host]
        if process is None or now >= deadline:
            finish(False)
            return
        peers = process.ownership.list_token_hosts(workspace, now)
        peers = [peer for peer in peers if peer not in asked_peers]
        if not peers and denials:
            until = now + min(*denials, MAX_DENIAL_S)
            process.denied_until[workspace] = until
            finish(False)
            return
        if not peers:
            next_call = (host, workspace, deadline, [], [], finish)
            self.engine.after(RETRY_DELAY_S, self._take_token, *next_call)
            return
        peer = peers[0]
        next_call = (
            host,
            workspace,
            deadline,
            [*asked_peers, peer],
            denials,
            finish,
        )
        if peer == host:
            self._handle_token_call(peer, workspace, next_call)
        elif self._is_delivered(host, peer) and self._is_delivered(peer, host):
            self.engine.after(
                self.deployment.delay_s,
                self._handle_token_call,
                peer,
                workspace,
                next_call,
            )
        else:
            self.engine.after(CALL_TIMEOUT_S, self._take_token, *next_call)

    def _handle_token_call(self, peer, workspace, next_call):
        *_, denials, finish = next_call
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
        self.engine.after(
            self.deployment.delay_s, self._take_token, *next_call
        )

    def results(self):
        """Return the figures of the run."""
        limits = self.configuration.workspaces
        overshoot = max(
            figures.find_overshoot(
                sorted(times), limits[name].rate, limits[name].burst
            )
            for name, times in self.granted_times.items()
        )
        refused_shares = {
            name: self.false_refusal_counts[name] / allowed
            for name, allowed in self.allowed_counts.items()
            if name != sizes.NOISY_WORKSPACE
        }
        allowed_total = sum(
            self.allowed_counts[name] for name in refused_shares
        )
        refused_total = sum(
            self.false_refusal_counts[name] for name in refused_shares
        )
        noisy_share = (
            len(self.granted_times[sizes.NOISY_WORKSPACE])
            / self.allowed_counts[sizes.NOISY_WORKSPACE]
        )
        return {
            'overshoot requests': round(overshoot, 3),
            'false refusals %': round(100 * refused_total / allowed_total, 4),
            'false refusals of the worst workspace %': round(
                100 * max(refused_shares.values()), 4
            ),
            'noisy workspace, part of its rate': round(noisy_share, 4),
        }


def run_rates(deployment, seed, scale, fixed_share, event):
    """Return the figures of a run, with or without an event.

    `event` is `rest` (none), `restarts` of hosts, or `cut`, a partition in
    one direction.
    """
    run = RateRun(seed, deployment, fixed_share)
    start_s = scale['rates_warm_s']
    run.start_load_after(start_s)
    if event == 'restarts':
        for host in run.hosts[::6]:
            run.engine.after(start_s + 5.0, run.stop, host)
            run.engine.after(start_s + 10.0, run.start, host)
    elif event == 'cut':
        isolated_hosts = set(run.hosts[::3])
        pairs = {
            (sender, other)
            for sender in isolated_hosts
            for other in run.hosts
            if other not in isolated_hosts
        }
        run.engine.after(start_s + 5.0, run.partitioned_links.update, pairs)
        run.engine.after(start_s + 15.0, run.partitioned_links.clear)
    run.engine.run(start_s + scale['rates_s'])
    return run.results()
