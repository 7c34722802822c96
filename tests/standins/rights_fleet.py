"""Hosts that lend and borrow over a faulty network, and an oracle.

The fastest clock is the reference. Each host's clock runs at its own fraction
of the reference rate.
"""

import dataclasses

from lavenderstile import borrowing
from lavenderstile import clocks
from lavenderstile import hashing
from lavenderstile import lending
from lavenderstile import messages
from lavenderstile import models
from lavenderstile import shares

# Both are owned by host h0 while it is in the view.
WORKSPACE = 'shop'
SERVICE = 'catalogue'
# Maximum time until a change is in force on every host.
SPREAD_LIMIT_S = 5.0
# How long a borrower may still use a share that its lender has reduced: a
# lease of 3 s on the slowest clock.
LEASE_END_S = 3.3
# Rounding error of the clocks, in tokens.
TOLERANCE = 1e-3


class ViolationError(AssertionError):
    """The oracle found a right that was used twice."""


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A configuration: the limits and the published addresses."""

    rate: float
    burst: float
    addresses: tuple[str, ...]
    targets: int = 6

    def share(self, address):
        """Return the rates and the units of one address."""
        if address not in self.addresses:
            return {}, frozenset()
        workspace = models.Workspace(WORKSPACE, (), self.rate, self.burst)
        targets = tuple(
            models.Target(f't{number}', 'd', 1)
            for number in range(self.targets)
        )
        services = [models.Service(SERVICE, targets)]
        return (
            shares.share_rates([workspace], self.addresses, address),
            shares.home_units(address, services, self.addresses),
        )


class Process:
    """One process of a host; an earlier process may still be paused."""

    def __init__(self, host, incarnation, fleet):
        self.host = host
        self.incarnation = incarnation
        self.is_stopped = False
        self.lender = fleet.lender_class(host.address, host.now())
        self.borrower = fleet.borrower_class(host.address, incarnation)

    def now(self):
        return self.host.now()


class Host:
    """A host with its clock, its view and its current process."""

    def __init__(self, address, clock, clock_rate):
        self.address = address
        self.clock = clock
        self.clock_rate = clock_rate
        self.process = None
        self.view = set()
        self.is_paused = False
        self.configuration_index = 0

    def now(self):
        return self.clock.now() * self.clock_rate


@dataclasses.dataclass(frozen=True)
class Request:
    process: Process
    lender: Host
    borrow: messages.BorrowRequest
    sent_at: float


@dataclasses.dataclass(frozen=True)
class Reply:
    process: Process
    lender: Host
    lender_incarnation: int
    sent_at: float
    grant: messages.LeaseGrant


@dataclasses.dataclass(frozen=True)
class Return:
    lender: Host
    rights_return: messages.RightsReturn


class Oracle:
    """Checks the taken tokens with one bucket for the whole fleet.

    A bucket that starts full suffices for all takes if and only if every
    window of length T has at most rate * T + burst of them.
    """

    def __init__(self, now, rate, burst):
        self._now = now
        self._rate = rate
        self._burst = burst
        self._level = burst
        self.taken = 0

    def set_limit(self, now, rate, burst):
        """Set the limit that applies from `now` on."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def take(self, now):
        """Record a taken token."""
        self._refill(now)
        self._level -= 1
        self.taken += 1
        if self._level < -TOLERANCE:
            raise ViolationError(
                f'limit exceeded by {-self._level:.3f} tokens'
            )

    def _refill(self, now):
        grown = self._level + self._rate * (now - self._now)
        self._level = min(self._burst, grown)
        self._now = now


class RightsFleet:
    """The hosts, the network between them and the oracle."""

    def __init__(
        self,
        clock_rates=(1.0, 0.95, 0.91),
        lender_class=lending.Lender,
        borrower_class=borrowing.Borrower,
        rate=6.0,
        burst=9.0,
    ):
        self.lender_class = lender_class
        self.borrower_class = borrower_class
        self.clock = clocks.VirtualClock()
        self.hosts = [
            Host(f'h{number}', self.clock, clock_rate)
            for number, clock_rate in enumerate(clock_rates)
        ]
        self.addresses = tuple(host.address for host in self.hosts)
        # Publication time of the newest list of addresses, and its version.
        self._list_published_at = 0.0
        self.configurations = [
            (0.0, Configuration(rate, burst, self.addresses))
        ]
        self.oracle = Oracle(self.clock.now(), rate, burst)
        self.in_flight = []
        self.cuts = set()
        # Earlier processes of hosts, which are paused and may resume.
        self.superseded_processes = []
        for host in self.hosts:
            host.view = set(self.addresses)
            self.start(host)

    # Time and configuration.

    def advance(self, seconds):
        """Advance the clock; running hosts receive changes in time."""
        end = self.clock.now() + seconds
        deadlines = self._list_deadlines(end)
        for at in sorted([*deadlines, *self._list_ticks(end), end]):
            self.clock.advance(max(0.0, at - self.clock.now()))
            self._tick()
            if at in deadlines:
                self._install_overdue()
                self._update_limit()

    def publish(self, rate=None, burst=None, addresses=None):
        """Publish a change; hosts apply it later."""
        configuration = self.configurations[-1][1]
        changes = {
            name: value
            for name, value in (
                ('rate', rate),
                ('burst', burst),
                ('addresses', addresses),
            )
            if value is not None
        }
        if addresses is not None:
            self._list_published_at = self.clock.now()
        configuration = dataclasses.replace(configuration, **changes)
        self.configurations.append((self.clock.now(), configuration))
        self._update_limit()

    def install_newest(self, host, in_force_s=0.0):
        """Apply the newest configuration at a host."""
        if host.process is None or host.is_paused:
            return
        host.configuration_index = len(self.configurations) - 1
        shares, units = self.configurations[-1][1].share(host.address)
        host.process.lender.set_rights(
            shares, units, host.now(), in_force_s, self._list_published_at
        )

    def _list_ticks(self, end):
        now = self.clock.now()
        return [now + second for second in range(1, int(end - now) + 1)]

    def _tick(self):
        # A running daemon calls its lender every second.
        for host in self.hosts:
            if self.is_running(host):
                host.process.lender.dump(host.now())

    def _list_deadlines(self, end):
        times = {
            published + extra
            for published, _ in self.configurations[1:]
            for extra in (SPREAD_LIMIT_S, SPREAD_LIMIT_S + LEASE_END_S)
        }
        return sorted(t for t in times if self.clock.now() <= t <= end)

    def _install_overdue(self):
        overdue = [
            index
            for index, (published, _) in enumerate(self.configurations)
            if published + SPREAD_LIMIT_S <= self.clock.now()
        ]
        for host in self.hosts:
            if host.configuration_index < max(overdue, default=0):
                self.install_newest(host)

    def _update_limit(self):
        # A replaced configuration is valid until its leases have expired.
        now = self.clock.now()
        grace = SPREAD_LIMIT_S + LEASE_END_S
        valid = [self.configurations[-1][1]]
        for (_, configuration), (replaced, _) in zip(
            self.configurations, self.configurations[1:], strict=False
        ):
            if now < replaced + grace:
                valid.append(configuration)
        self.oracle.set_limit(
            now,
            max(configuration.rate for configuration in valid),
            max(configuration.burst for configuration in valid),
        )

    # Processes.

    def start(self, host):
        """Start a new process at a host that has none."""
        incarnation = host.process.incarnation + 1 if host.process else 1
        host.process = Process(host, incarnation, self)
        host.is_paused = False
        self.install_newest(host, self.clock.now() - self._list_published_at)

    def restart(self, host):
        """Replace a host's process; the earlier one has ended."""
        host.process.is_stopped = True
        self.start(host)

    def replace(self, host):
        """Replace a host's process while the earlier one is paused."""
        if not host.process.is_stopped:
            self.superseded_processes.append(host.process)
        self.start(host)

    def stop(self, host):
        """Let a process return all rights; it still runs and lends."""
        process = host.process
        if not self.is_running(host):
            return
        for address, message in process.borrower.make_returns(
            process.now()
        ).items():
            lender = self.find(address)
            if lender is host:
                process.lender.take_back(message, process.now())
            elif (host.address, address) not in self.cuts:
                self.in_flight.append(Return(lender, message))

    def pause(self, host):
        host.is_paused = True

    def resume(self, host):
        """Resume a process; it receives overdue changes first."""
        host.is_paused = False
        self._install_overdue()

    def heal(self):
        """End all faults; restart hosts that have returned their rights."""
        self.cuts.clear()
        for host in self.hosts:
            host.view = set(self.addresses)
            if host.is_paused:
                self.resume(host)
            if host.process.borrower.dump(host.now())['stopped']:
                self.restart(host)

    def is_running(self, host):
        return not host.is_paused and not host.process.is_stopped

    def find(self, address):
        return next(host for host in self.hosts if host.address == address)

    # Messages.

    def ask(self, host, lender):
        """Send a request for rights; a host calls its own lender directly."""
        if not self.is_running(host):
            return
        process = host.process
        request = Request(
            process,
            lender,
            process.borrower.make_request(lender.address),
            process.now(),
        )
        if host is lender:
            self._receive(request)
            self._receive(self.in_flight.pop())
        elif (host.address, lender.address) not in self.cuts:
            self.in_flight.append(request)

    def exchange(self, host, lender):
        """Run an exchange without delay; messages on cut links are lost."""
        if not self.is_running(lender):
            return
        before = len(self.in_flight)
        self.ask(host, lender)
        while len(self.in_flight) > before:
            self.deliver(len(self.in_flight) - 1)

    def exchange_all(self):
        """Run all exchanges of one second."""
        for host in self.hosts:
            for lender in self.hosts:
                self.exchange(host, lender)

    def deliver(self, index, keep=False):
        """Deliver a message; `keep` leaves a duplicate in flight."""
        message = self.in_flight[index]
        if message.lender.is_paused and not isinstance(message, Reply):
            # The message stays in the socket until the process resumes.
            return
        if not keep:
            del self.in_flight[index]
        self._receive(message)

    def lose(self, index):
        del self.in_flight[index]

    def _receive(self, message):
        match message:
            case Request(process, lender, borrow, sent_at):
                if not self.is_running(lender):
                    return
                grant = lender.process.lender.grant(
                    borrow, *self._list_owned(lender, borrow), lender.now()
                )
                if (lender.address, borrow.borrower) not in self.cuts:
                    self.in_flight.append(
                        Reply(
                            process,
                            lender,
                            lender.process.incarnation,
                            sent_at,
                            grant,
                        )
                    )
            case Reply(process, lender, incarnation, sent_at, grant):
                if not process.is_stopped:
                    process.borrower.accept(
                        lender.address,
                        incarnation,
                        sent_at,
                        grant,
                        process.now(),
                    )
            case Return(lender, rights_return):
                if self.is_running(lender):
                    lender.process.lender.take_back(
                        rights_return, lender.now()
                    )

    def _list_owned(self, lender, borrow):
        view = sorted(lender.view | {lender.address})
        return tuple(
            frozenset({name})
            if hashing.top(name, view) == borrow.borrower
            else frozenset()
            for name in (WORKSPACE, SERVICE)
        )

    # Use.

    def processes(self):
        """Return all processes that have not ended, including paused ones."""
        current = [
            host.process for host in self.hosts if not host.process.is_stopped
        ]
        return current + self.superseded_processes

    def take(self, process, count=1):
        """Take up to `count` tokens at one process."""
        for taken in range(count):
            answer = process.borrower.take_token(WORKSPACE, process.now())
            if answer != messages.Taken():
                return taken
            self.oracle.take(self.clock.now())
        return count

    def take_all(self):
        """Take all tokens of the fleet; return their number."""
        return sum(self.take(process, 1000) for process in self.processes())

    def check_units(self):
        """Check that no slot unit is usable in two processes."""
        users = {}
        for process in self.processes():
            for unit in process.borrower.units(SERVICE, process.now()):
                other = users.setdefault(unit, process)
                if other is not process:
                    raise ViolationError(
                        f'{unit.target} usable at {other.host.address} and'
                        f' {process.host.address}'
                    )
        return len(users)
