"""Tests of the conservation of rights in a faulty fleet."""

import itertools
import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavenderstile import borrowing
from lavenderstile import leases
from lavenderstile import lending
from lavenderstile import messages
from lavenderstile import rates
from tests.standins import rights_fleet

EXAMPLES = os.environ.get('LAVENDERSTILE_HYPOTHESIS_EXAMPLES')
SETTINGS = hypothesis.settings(
    max_examples=int(EXAMPLES or 150),
    stateful_step_count=60,
    derandomize=EXAMPLES is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
HOST_COUNT = 3
HOSTS = strategies.integers(0, HOST_COUNT - 1)
# Positions in the list of messages in flight: oldest, newest, or any.
POSITIONS = strategies.sampled_from((0, -1, 1, 2, 3, 5, 8))
# Ordinary steps, and steps that end just before and just after the expiry of a
# lease, by the fastest and by the slowest clock.
STEPS_S = strategies.sampled_from((0.1, 0.5, 1.0, 2.9, 3.05, 3.25, 3.35))
# A lender that holds for 10% longer than the lease must tolerate these.
CLOCK_RATES = strategies.sampled_from((1.0, 1 / 1.0999, 0.97))


class FleetMachine(stateful.RuleBasedStateMachine):
    """Random schedules of messages, faults, restarts and use."""

    lender_class = lending.Lender
    borrower_class = borrowing.Borrower

    @stateful.initialize(
        clock_rates=strategies.tuples(*[CLOCK_RATES] * HOST_COUNT)
    )
    def set_up(self, clock_rates):
        self.fleet = rights_fleet.RightsFleet(
            clock_rates, self.lender_class, self.borrower_class
        )
        # After this time the buckets are full.
        self.fleet.advance(12)
        self.fleet.exchange_all()

    @stateful.rule(seconds=STEPS_S)
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(
        seconds=strategies.integers(1, 12), use=strategies.booleans()
    )
    def run(self, seconds, use):
        for _ in range(seconds * 2):
            self.fleet.advance(0.5)
            self.fleet.exchange_all()
            if use:
                self.fleet.take_all()
            self.fleet.check_units()

    @stateful.rule(host=HOSTS, lender=HOSTS)
    def ask(self, host, lender):
        self.fleet.ask(self.fleet.hosts[host], self.fleet.hosts[lender])

    @stateful.rule(host=HOSTS, lender=HOSTS)
    def ask_and_hold_reply(self, host, lender):
        before = len(self.fleet.in_flight)
        self.ask(host, lender)
        if len(self.fleet.in_flight) > before:
            self.fleet.deliver(-1)

    @stateful.rule(host=HOSTS, lender=HOSTS)
    def exchange(self, host, lender):
        self.fleet.exchange(self.fleet.hosts[host], self.fleet.hosts[lender])

    @stateful.rule()
    def exchange_with_self(self):
        for host in self.fleet.hosts:
            self.fleet.exchange(host, host)

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(position=POSITIONS, keep=strategies.booleans())
    def deliver(self, position, keep):
        count = len(self.fleet.in_flight)
        self.fleet.deliver(position % count, keep)

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(position=POSITIONS)
    def lose(self, position):
        self.fleet.lose(position % len(self.fleet.in_flight))

    @stateful.rule(source=HOSTS, receiver=HOSTS)
    def cut_or_restore_link(self, source, receiver):
        addresses = self.fleet.addresses
        if source != receiver:
            self.fleet.cuts ^= {(addresses[source], addresses[receiver])}

    @stateful.rule(host=HOSTS)
    def set_view_to_self(self, host):
        isolate(self.fleet.hosts[host])

    @stateful.rule(host=HOSTS, other=HOSTS)
    def set_view_toggled(self, host, other):
        self.fleet.hosts[host].view ^= {self.fleet.addresses[other]}

    @stateful.rule(host=HOSTS)
    def pause_or_resume(self, host):
        host = self.fleet.hosts[host]
        if host.is_paused:
            self.fleet.resume(host)
        else:
            self.fleet.pause(host)

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.fleet.restart(self.fleet.hosts[host])

    @stateful.rule(host=HOSTS)
    def replace(self, host):
        self.fleet.replace(self.fleet.hosts[host])

    @stateful.rule(host=HOSTS)
    def stop(self, host):
        self.fleet.stop(self.fleet.hosts[host])

    @stateful.rule()
    def heal(self):
        self.fleet.heal()

    @stateful.rule(rate=strategies.sampled_from((3.0, 6.0, 12.0)))
    def change_rate(self, rate):
        self.fleet.publish(rate=rate, burst=rate * 1.5)

    @stateful.rule(
        numbers=strategies.sampled_from(((0,), (1,), (2,), (0, 1), (0, 1, 2)))
    )
    def change_addresses(self, numbers):
        self.fleet.publish(
            addresses=tuple(self.fleet.addresses[n] for n in numbers)
        )

    @stateful.rule(host=HOSTS)
    def install_newest(self, host):
        self.fleet.install_newest(self.fleet.hosts[host])

    @stateful.rule(host=HOSTS, count=strategies.integers(1, 20))
    def take(self, host, count):
        self.fleet.take(self.fleet.hosts[host].process, count)

    @stateful.rule()
    def take_all(self):
        self.fleet.take_all()

    @stateful.invariant()
    def check_units(self):
        if hasattr(self, 'fleet'):
            self.fleet.check_units()

    def teardown(self):
        """Check that no schedule leaves rights that no host can use."""
        if hasattr(self, 'fleet'):
            self.fleet.heal()
            run_until_settled(self.fleet)
            check_all_lent(self.fleet)


def start_fleet(
    lender_class=lending.Lender, borrower_class=borrowing.Borrower
):
    """Return a fleet whose rights are all lent to the owner, host h0.

    The owner's clock is the slowest that the lenders tolerate.
    """
    fleet = rights_fleet.RightsFleet(
        (1 / 1.0999, 1.0, 1.0), lender_class, borrower_class
    )
    fleet.advance(12)
    fleet.exchange_all()
    return fleet


def run_until_settled(fleet):
    """Run until changes and larger shares apply and leases are renewed."""
    for _ in range(16):
        fleet.advance(1)
        fleet.exchange_all()
        fleet.check_units()


def check_all_lent(fleet):
    """Check that the owner has the whole rate and all units."""
    owner = fleet.hosts[0].process.borrower
    configuration = fleet.configurations[-1][1]
    pool = owner.dump(fleet.hosts[0].now())['pools'][rights_fleet.WORKSPACE]
    expected = (
        configuration.rate * messages.MICRO,
        configuration.burst * messages.MICRO,
        configuration.targets,
    )
    units = owner.units(rights_fleet.SERVICE, fleet.hosts[0].now())
    found = (pool['rate_micro'], pool['capacity_micro'], len(units))
    if found != expected:
        raise AssertionError(f'{found} lent, not {expected}')


def isolate(*hosts):
    """Reduce the view of hosts to themselves, so that each owns all rights."""
    for host in hosts:
        host.view = {host.address}


def use_for(fleet, seconds, exchanges=()):
    """Take all tokens in steps of 0.1 s between exchanges."""
    for _ in range(round(seconds * 10)):
        fleet.advance(0.1)
        for host, lender in exchanges:
            fleet.exchange(host, lender)
        fleet.take_all()
        fleet.check_units()


def change_items(fleet, lender):
    """Change a lender's shares, so that its next grant lists them all."""
    fleet.publish(rate=5.9)
    fleet.install_newest(lender)


def let_lease_end(fleet):
    """A lender takes its rights back from an unreachable owner."""
    _, lender, _ = fleet.hosts
    isolate(lender)
    use_for(fleet, 6, [(lender, lender)])


def fill_while_lent(fleet):
    """An owner that kept its tokens uses them as its leases expire."""
    owner, lender, other = fleet.hosts
    isolate(lender, other)
    fleet.advance(3.25)
    fleet.take_all()
    use_for(fleet, 1, [(lender, lender), (other, other)])


def restart_lender(fleet):
    """A lender restarts while its rights are lent."""
    _, lender, _ = fleet.hosts
    isolate(lender)
    fleet.restart(lender)
    use_for(fleet, 9, [(lender, lender)])


def repeat_grant(fleet):
    """A grant with tokens arrives again after they were used."""
    owner, lender, other = fleet.hosts
    fleet.advance(12)
    for host in (lender, other):
        fleet.ask(owner, host)
        fleet.deliver(-1)
    for _ in range(3):
        for index in range(2):
            fleet.deliver(index, keep=True)
        fleet.take_all()


def delay_reply(fleet):
    """A reply arrives just before its lease expires at the lender."""
    owner, lender, _ = fleet.hosts
    fleet.ask(owner, lender)
    fleet.deliver(-1)
    fleet.advance(2.9)
    fleet.deliver(-1)
    isolate(lender)
    use_for(fleet, 2, [(lender, lender)])


def reorder_replies(fleet):
    """An older list of items arrives after the newer one has expired."""
    owner, lender, _ = fleet.hosts
    fleet.advance(0.1)
    fleet.ask(owner, lender)
    fleet.advance(0.5)
    fleet.ask(owner, lender)
    change_items(fleet, lender)
    fleet.deliver(1)
    isolate(lender)
    fleet.deliver(0)
    fleet.deliver(1)
    fleet.ask(owner, lender)
    fleet.deliver(1)
    fleet.exchange(lender, lender)
    fleet.check_units()
    fleet.advance(1.5)
    fleet.exchange(lender, lender)
    fleet.advance(1.75)
    fleet.exchange(owner, owner)
    fleet.deliver(0)
    fleet.check_units()


def change_owner(fleet):
    """A lender has another owner in view but reaches the former one."""
    owner, lender, _ = fleet.hosts
    isolate(lender)
    fleet.ask(owner, lender)
    fleet.deliver(-1)
    fleet.exchange(lender, lender)
    fleet.check_units()


def transfer_tokens(fleet):
    """Rights move with their remaining tokens while replies are repeated."""
    owner, lender, other = fleet.hosts
    fleet.take(owner.process, 3)
    for host in (lender, other):
        isolate(host)
        fleet.ask(owner, host)
        fleet.deliver(-1)
        fleet.deliver(-1, keep=True)
        fleet.ask(owner, host)
        fleet.deliver(-1, keep=True)
        fleet.exchange(host, host)
        fleet.take_all()
        fleet.deliver(-2)
        fleet.exchange(host, host)
        fleet.take_all()
        fleet.check_units()


def replace_borrower(fleet):
    """An owner is replaced while its earlier process is paused."""
    fleet.replace(fleet.hosts[0])
    fleet.exchange_all()
    fleet.check_units()


def change_addresses(fleet):
    """Rights move to another home; the former one receives the list late."""
    owner, home, lender = fleet.hosts
    fleet.publish(addresses=(home.address,))
    fleet.install_newest(home)
    isolate(home)
    use_for(fleet, 4.9, [(owner, owner), (owner, lender), (home, home)])
    use_for(fleet, 7, [(home, home)])


def add_address(fleet):
    """An address joins the fleet with a new process."""
    owner, lender, joining = fleet.hosts
    fleet.publish(addresses=(owner.address, lender.address))
    use_for(fleet, 12, [(owner, owner), (owner, lender)])
    fleet.publish(addresses=fleet.addresses)
    fleet.restart(joining)
    isolate(joining)
    use_for(fleet, 4.9, [(owner, lender), (owner, owner), (joining, joining)])
    use_for(fleet, 7, [(joining, joining)])


def miss_change(fleet):
    """A host misses a list of addresses because it is paused."""
    owner, home, _ = fleet.hosts
    fleet.pause(home)
    isolate(owner, home)
    fleet.publish(addresses=(owner.address,))
    use_for(fleet, 20, [(owner, owner)])
    fleet.publish(addresses=(home.address,))
    fleet.resume(home)
    use_for(fleet, 20, [(owner, owner), (home, home)])


def skip_change(fleet):
    """A host receives two lists at once, another one receives them late."""
    _, owner, home = fleet.hosts
    isolate(owner, home)
    exchanges = [(owner, owner), (home, home)]
    fleet.publish(addresses=(owner.address,))
    fleet.install_newest(owner)
    use_for(fleet, 4, exchanges)
    fleet.publish(addresses=(home.address,))
    fleet.install_newest(home)
    use_for(fleet, 20, exchanges)


def resume_after_pause(fleet):
    """An owner resumes after its leases have expired."""
    owner, lender, other = fleet.hosts
    fleet.pause(owner)
    isolate(lender, other)
    for _ in range(60):
        fleet.advance(0.1)
        fleet.exchange_all()
    fleet.resume(owner)
    fleet.take_all()
    fleet.check_units()


def return_twice(fleet):
    """A return is delivered again after its rights were lent again."""
    owner, lender, other = fleet.hosts
    fleet.publish(addresses=(lender.address, other.address))
    for _ in range(20):
        fleet.advance(1)
        fleet.exchange_all()
    fleet.stop(owner)
    isolate(lender, other)
    for index in range(2):
        fleet.deliver(index, keep=True)
    for host in (lender, other):
        fleet.exchange(host, host)
    fleet.take_all()
    lender.view = {lender.address, other.address}
    for index in range(2):
        fleet.deliver(index, keep=True)
    fleet.exchange(other, lender)
    fleet.take_all()
    fleet.check_units()


def save_tokens(fleet):
    """An owner keeps its tokens while most of its leases expire."""
    owner, lender, other = fleet.hosts
    isolate(lender, other)
    for _ in range(9):
        fleet.advance(1)
        for host in fleet.hosts:
            fleet.exchange(host, host)
    fleet.take_all()


def stop_with_late_reply(fleet):
    """A grant arrives at an owner that has returned all rights."""
    owner, lender, _ = fleet.hosts
    change_items(fleet, lender)
    fleet.ask(owner, lender)
    fleet.deliver(-1)
    fleet.stop(owner)
    isolate(lender)
    for message in fleet.in_flight[1:]:
        fleet.deliver(fleet.in_flight.index(message))
    fleet.exchange(lender, lender)
    fleet.deliver(0)
    fleet.check_units()


def acknowledge_after_restart(fleet):
    """A request from before a lender's restart arrives after it."""
    owner, lender, _ = fleet.hosts
    for _ in range(3):
        lender.view ^= {owner.address}
        fleet.exchange(owner, lender)
        fleet.exchange(owner, lender)
    fleet.ask(owner, lender)
    fleet.restart(lender)
    lender.view = set(fleet.addresses)
    for _ in range(5):
        fleet.advance(1)
        fleet.exchange(owner, lender)
    isolate(lender)
    fleet.ask(owner, lender)
    fleet.deliver(1)
    fleet.deliver(0)
    fleet.exchange(lender, lender)
    fleet.check_units()


SCENARIOS = (
    let_lease_end,
    fill_while_lent,
    restart_lender,
    repeat_grant,
    delay_reply,
    reorder_replies,
    change_owner,
    transfer_tokens,
    replace_borrower,
    change_addresses,
    add_address,
    miss_change,
    skip_change,
    resume_after_pause,
    return_twice,
    save_tokens,
    stop_with_late_reply,
    acknowledge_after_restart,
)


class NoQuarantineLender(lending.Lender):
    """Lends immediately after its start."""

    def __init__(self, address, now):
        super().__init__(address, now)
        self._quarantine_until = now


class ShortHoldLender(lending.Lender):
    """Holds for less than the lease lasts."""

    def grant(self, request, workspaces, services, now):
        grant = super().grant(request, workspaces, services, now)
        for lease in self._leases.values():
            lease.until = min(lease.until, now + 2.0)
        return grant


class NoDriftMarginLender(lending.Lender):
    """Holds for as long as the lease lasts, on its own clock."""

    def grant(self, request, workspaces, services, now):
        grant = super().grant(request, workspaces, services, now)
        for lease in self._leases.values():
            lease.until = min(lease.until, now + leases.LEASE_DURATION_S)
        return grant


class FullBucketLender(lending.Lender):
    """Starts with a full bucket after a lease has expired."""

    def _refresh(self, now):
        lent = {key for key, right in self._rights.items() if right.lease}
        super()._refresh(now)
        for key in lent & self._rights.keys():
            if isinstance(key, str) and self._rights[key].lease is None:
                self._rights[key].bucket.put(self._rights[key].share[1])


class UnacknowledgedLender(lending.Lender):
    """Lends a removed right without the borrower's acknowledgement."""

    def _update_items(self, lease, workspaces, services, now):
        super()._update_items(lease, workspaces, services, now)
        acknowledgement = messages.BorrowRequest('', 0, 0, lease.version)
        self._acknowledge(lease, acknowledgement, now)


class NoAcknowledgementLender(lending.Lender):
    """Ignores acknowledgements, so that renewed leases keep their rights."""

    def _acknowledge(self, lease, request, now):
        pass


class NoIncarnationHoldLender(lending.Lender):
    """Ends the lease of a borrower's earlier incarnation at once."""

    def _find_lease(self, request):
        lease = super()._find_lease(request)
        for ended in [*self._superseded_leases]:
            self._remove_lease(ended)
            for key in ended.usable_keys():
                self._rights[key].reclaim(0.0, 0)
        return lease


class ShortGrowthDelayLender(lending.Lender):
    """Applies larger shares before older leases have expired.

    Every host has the list in force by then.
    """

    def set_rights(self, shares, units, now, in_force_s, fleet_version):
        early_s = leases.GROWTH_DELAY_S - leases.SPREAD_LIMIT_S
        super().set_rights(
            shares, units, now, in_force_s + early_s, fleet_version
        )


class LeaseOnlyGrowthDelayLender(lending.Lender):
    """Applies larger shares when older leases have expired.

    The next list may not be in force on every host by then.
    """

    def set_rights(self, shares, units, now, in_force_s, fleet_version):
        delay_s = leases.SPREAD_LIMIT_S + leases.LENDER_HOLD_S
        early_s = leases.GROWTH_DELAY_S - delay_s
        super().set_rights(
            shares, units, now, in_force_s + early_s, fleet_version
        )


class NoStartDelayLender(lending.Lender):
    """Treats the list that it starts with as long in force."""

    def set_rights(self, shares, units, now, in_force_s, fleet_version):
        if not self._rights:
            in_force_s = leases.GROWTH_DELAY_S
        super().set_rights(shares, units, now, in_force_s, fleet_version)


class NoPauseCheckLender(lending.Lender):
    """Does not notice that it was paused."""

    def hold_back(self, now):
        pass


class ReusedLeaseIdLender(lending.Lender):
    """Numbers its leases from 1 after each start."""

    def __init__(self, address, now):
        super().__init__(address, now)
        self._last_lease_id = 0


class DoubleReturnLender(lending.Lender):
    """Applies returned tokens also for leases that have ended."""

    def take_back(self, rights_return, now):
        super().take_back(rights_return, now)
        for item in rights_return.tokens:
            right = self._rights.get(item.workspace)
            if right is not None and right.lease is not None:
                right.reclaim(now, item.tokens_micro)


class RepeatedTokensBorrower(borrowing.Borrower):
    """Counts the tokens of a grant each time it arrives."""

    def accept(self, lender, lender_incarnation, sent_at, grant, now):
        if grant.items is not None:
            self._holdings.pop(lender, None)
        super().accept(lender, lender_incarnation, sent_at, grant, now)


class KeptTokensBorrower(borrowing.Borrower):
    """Keeps the tokens that it returns with a right."""

    def _remove_shares(self, lender, holding, keys, now):
        returned = super()._remove_shares(lender, holding, keys, now)
        for item in returned:
            pool = self._pools[item.workspace]
            pool.bucket.put(item.tokens_micro)
        return returned


class ArrivalTimeBorrower(borrowing.Borrower):
    """Counts the lease from the arrival of the grant."""

    def accept(self, lender, lender_incarnation, sent_at, grant, now):
        super().accept(lender, lender_incarnation, now, grant, now)


class NoRetentionBorrower(borrowing.Borrower):
    """Drops the version of a lease when the lease has expired."""

    def _drop_expired(self, now):
        super()._drop_expired(now)
        ended = [
            lender
            for lender, holding in self._holdings.items()
            if not holding.is_active
        ]
        for lender in ended:
            del self._holdings[lender]


class NoExpiryCheckBorrower(borrowing.Borrower):
    """Does not check the expiry of a right before it uses it."""

    def take_token(self, workspace, now):
        if workspace in self._pools:
            self._pools[workspace]._check_at = float('inf')
        return super().take_token(workspace, now)

    def units(self, service, now):
        return super().units(service, 0.0)


class KeptLevelBucket(rates.Bucket):
    """Keeps tokens above its capacity."""

    __slots__ = ()

    def _add(self, tokens_micro):
        grown = min(self._level_micro + tokens_micro, self._capacity_micro)
        self._level_micro = max(self._level_micro, grown)


class KeptLevelBorrower(borrowing.Borrower):
    """Keeps the tokens of shares that leave a pool."""

    def _add_item(self, lender, holding, item, tokens_micro, now):
        super()._add_item(lender, holding, item, tokens_micro, now)
        for pool in self._pools.values():
            pool.bucket.__class__ = KeptLevelBucket


class ContinuingBorrower(borrowing.Borrower):
    """Continues to borrow after it has returned all rights."""

    def make_returns(self, now):
        returns = super().make_returns(now)
        self._is_stopped = False
        return returns


WEAKENED = {
    NoQuarantineLender: restart_lender,
    ShortHoldLender: let_lease_end,
    NoDriftMarginLender: let_lease_end,
    FullBucketLender: fill_while_lent,
    UnacknowledgedLender: change_owner,
    NoIncarnationHoldLender: replace_borrower,
    ShortGrowthDelayLender: change_addresses,
    LeaseOnlyGrowthDelayLender: skip_change,
    NoStartDelayLender: add_address,
    NoPauseCheckLender: miss_change,
    ReusedLeaseIdLender: acknowledge_after_restart,
    DoubleReturnLender: return_twice,
    RepeatedTokensBorrower: repeat_grant,
    KeptTokensBorrower: transfer_tokens,
    ArrivalTimeBorrower: delay_reply,
    NoRetentionBorrower: reorder_replies,
    NoExpiryCheckBorrower: resume_after_pause,
    KeptLevelBorrower: save_tokens,
    ContinuingBorrower: stop_with_late_reply,
}


class ConservationTest(unittest.TestCase):
    """Guards against exceeded rates, and slot units used at two hosts.

    Messages are lost, delayed and repeated, and hosts pause and restart while
    they exchange leases.
    """

    def test_no_schedule_uses_a_right_twice(self):
        stateful.run_state_machine_as_test(FleetMachine, settings=SETTINGS)

    def test_rights_return_to_the_owner_after_a_partition(self):
        fleet = start_fleet()
        isolate(*fleet.hosts)
        fleet.cuts = set(itertools.permutations(fleet.addresses, 2))
        use_for(fleet, 10, [(host, host) for host in fleet.hosts])
        with self.assertRaises(AssertionError):
            check_all_lent(fleet)
        fleet.heal()
        run_until_settled(fleet)
        check_all_lent(fleet)

    def test_liveness_check_finds_rights_that_are_never_returned(self):
        for lender_class, is_settled in (
            (lending.Lender, True),
            (NoAcknowledgementLender, False),
        ):
            fleet = start_fleet(lender_class)
            isolate(fleet.hosts[1])
            run_until_settled(fleet)
            fleet.heal()
            run_until_settled(fleet)
            if is_settled:
                check_all_lent(fleet)
            else:
                with self.assertRaises(AssertionError):
                    check_all_lent(fleet)

    def test_no_scenario_uses_a_right_twice(self):
        for scenario in SCENARIOS:
            scenario(start_fleet())

    def test_oracle_finds_each_weakening(self):
        # The oracle must find the violation, or its checks prove nothing.
        for weakened, scenario in WEAKENED.items():
            is_lender = issubclass(weakened, lending.Lender)
            role = 'lender_class' if is_lender else 'borrower_class'
            fleet = start_fleet(**{role: weakened})
            with self.assertRaises(
                rights_fleet.ViolationError, msg=weakened.__name__
            ):
                scenario(fleet)
