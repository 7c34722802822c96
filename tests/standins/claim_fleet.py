"""Hosts that claim idempotency keys over a faulty network, and their oracle.

Every host has its own wall clock; two of them differ by at most 5 s.
"""

import dataclasses
import uuid

from lavenderstile import claims
from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import messages

WORKSPACE = 'shop'
# The system's stated limit for a change to be in force everywhere.
SPREAD_LIMIT_S = 5.0
UUID7_FIXED_BITS = 7 << 76 | 2 << 62


class ViolationError(AssertionError):
    """The oracle saw a key run twice."""


def make_key(created_unix, number):
    """Return a UUID of version 7."""
    milliseconds = round(created_unix * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | UUID7_FIXED_BITS | number))


class Host:
    """An address with its wall clock, its memory and its fleet list."""

    def __init__(self, address, clock, skew_s):
        self.address = address
        self.clock = clock
        self.skew_s = skew_s
        self.home = None
        self.plan = None

    def unix(self):
        return self.clock.unix() + self.skew_s


@dataclasses.dataclass(frozen=True)
class Plan:
    """A published list of addresses."""

    version: str
    addresses: tuple[str, ...]
    published: float


class Attempt:
    """One arrival of a request at an entry host."""

    def __init__(self, request, quorum):
        self.request = request
        self.quorum = quorum
        self.is_over = False


@dataclasses.dataclass(frozen=True)
class Claim:
    attempt: Attempt
    home: Host


@dataclasses.dataclass(frozen=True)
class Answer:
    attempt: Attempt
    home: Host
    answer: messages.ClaimAnswer


@dataclasses.dataclass(frozen=True)
class End:
    home: Host
    claim_end: messages.ClaimEnd


class ClaimFleet:
    """Hosts, network and oracle."""

    def __init__(
        self,
        skews_s=(0.0,) * 5,
        home_class=claims.ClaimReplica,
        quorum_class=claims.ClaimQuorum,
        numbers=(0, 1, 2),
    ):
        self._home_class = home_class
        self._quorum_class = quorum_class
        self.clock = clocks.VirtualClock()
        self.hosts = [
            Host(f'h{number}', self.clock, skew_s)
            for number, skew_s in enumerate(skews_s)
        ]
        # Hosts that changes do not reach in time, against the stated limit.
        self.cut_off = set()
        self.in_flight = []
        self.keys = []
        self.attempts = []
        self.runs = {}
        self.plans = [self._make_plan(numbers)]
        for host in self.hosts:
            self.restart(host)
        # Past the start, so that new keys are granted.
        self.advance(60)

    def advance(self, seconds):
        """Move time; changes reach every host within the limit."""
        end = self.clock.now() + seconds
        for plan in self.plans[1:]:
            at = plan.published + SPREAD_LIMIT_S
            if self.clock.now() <= at <= end:
                self.clock.advance(at - self.clock.now())
                for host in set(self.hosts) - self.cut_off:
                    if host.plan.published < plan.published:
                        self.learn(host, plan)
        self.clock.advance(max(0.0, end - self.clock.now()))

    def publish(self, numbers):
        """Publish a list of addresses; hosts learn it later."""
        self.plans.append(self._make_plan(numbers))

    def learn(self, host, plan=None):
        """Apply a list of addresses, the newest by default."""
        host.plan = plan or self.plans[-1]
        host.home.set_fleet(self._name_version(host.plan), host.unix())

    def wake(self, host):
        """End a pause of a host, which has heard of no change yet."""
        host.home.hold_back(host.unix())

    def restart(self, host):
        """Start a process with an empty memory."""
        host.plan = self.plans[-1]
        host.home = self._home_class(
            host.unix(), self._name_version(host.plan), host.unix()
        )

    def make_key(self, ahead_s=0.0):
        """Let a caller make a key with a clock that is ahead."""
        key = make_key(self.clock.unix() + ahead_s, len(self.keys))
        self.keys.append(key)
        self.runs[key] = 0
        return key

    def start(self, entry, key, digest='d'):
        """Let a request arrive; its claims are sent, or None returned."""
        try:
            created_unix = claims.parse_key(key, entry.unix(), 900.0)
        except errors.RefusedError:
            return None
        request = messages.ClaimRequest(
            WORKSPACE,
            key,
            f'attempt-{len(self.attempts)}',
            digest,
            created_unix,
            self._name_version(entry.plan),
        )
        homes = claims.find_replicas(WORKSPACE, key, entry.plan.addresses)
        attempt = Attempt(request, self._quorum_class(request, homes))
        self.attempts.append(attempt)
        for address in homes:
            self.in_flight.append(Claim(attempt, self._find(address)))
        return attempt

    def try_at_once(self, entry, key, lost=(), unanswered=(), ran=True):
        """Make an attempt without delays; return whether it was sent.

        Claims to `lost` hosts do not arrive; those to `unanswered` hosts
        do, but the answers are lost.
        """
        before = len(self.in_flight)
        attempt = self.start(entry, key)
        if attempt is None:
            return False
        pending = self.in_flight[before:]
        del self.in_flight[before:]
        for message in pending:
            if message.home in lost:
                self.give_up(attempt, message.home)
                continue
            self._receive(message)
            answer = self.in_flight.pop()
            if message.home in unanswered:
                self.give_up(attempt, message.home)
            else:
                self._receive(answer)
        is_granted = self.is_granted(attempt)
        self.finish(attempt, ran)
        self._deliver_ends(attempt, lost)
        return is_granted

    def give_up(self, attempt, home):
        """Record a home as unreachable."""
        attempt.quorum.record(home.address, None)

    def is_granted(self, attempt):
        return attempt.quorum.decision is messages.ClaimState.GRANTED

    def finish(self, attempt, ran, is_told=True):
        """Send a granted request, or end a refused attempt.

        `ran` is whether the target ran the request; `is_told` whether the
        entry host lives to tell the homes.
        """
        if attempt.is_over or attempt.quorum.decision is None:
            return
        attempt.is_over = True
        ran = ran and self.is_granted(attempt)
        request = attempt.request
        if ran:
            self.runs[request.key] += 1
            if self.runs[request.key] > 1:
                raise ViolationError('key ran twice')
        if is_told:
            claim_end = messages.ClaimEnd(
                WORKSPACE,
                request.key,
                request.attempt_id,
                ran,
                200 if ran else None,
            )
            for address in attempt.quorum.homes:
                self.in_flight.append(End(self._find(address), claim_end))

    def deliver(self, position, keep=False):
        """Deliver a message; `keep` leaves a duplicate in flight."""
        message = self.in_flight[position]
        if not keep:
            del self.in_flight[position]
        self._receive(message)

    def lose(self, position):
        """Lose a message; a lost claim or answer counts as unreachable."""
        message = self.in_flight.pop(position)
        if not isinstance(message, End):
            self.give_up(message.attempt, message.home)

    def _receive(self, message):
        match message:
            case Claim(attempt, home):
                answer = home.home.claim(attempt.request, home.unix())
                self.in_flight.append(Answer(attempt, home, answer))
            case Answer(attempt, home, answer):
                attempt.quorum.record(home.address, answer)
            case End(home, claim_end):
                home.home.end(claim_end, home.unix())

    def _deliver_ends(self, attempt, lost):
        ends = [
            message
            for message in self.in_flight
            if isinstance(message, End)
            and message.claim_end.attempt_id == attempt.request.attempt_id
        ]
        for message in ends:
            self.in_flight.remove(message)
            if message.home not in lost:
                self._receive(message)

    def _make_plan(self, numbers):
        addresses = tuple(self.hosts[number].address for number in numbers)
        return Plan(
            f'v{len(getattr(self, "plans", ()))}', addresses, self.clock.now()
        )

    def _name_version(self, plan):
        return plan.version

    def _find(self, address):
        return next(host for host in self.hosts if host.address == address)
