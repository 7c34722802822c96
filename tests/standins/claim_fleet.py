"""Hosts that claim idempotency keys over a faulty network, and an oracle.

Each host has its own wall clock; any two of them differ by at most 5 s.
"""

import dataclasses
import uuid

from lavenderstile import claims
from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import messages

WORKSPACE = 'shop'
# Maximum time until a change is in force on every host.
SPREAD_LIMIT_S = 5.0
UUID7_FIXED_BITS = 7 << 76 | 2 << 62


class ViolationError(AssertionError):
    """The oracle found a key that ran twice."""


def make_key(created_unix, number):
    """Return a UUID of version 7."""
    milliseconds = round(created_unix * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | UUID7_FIXED_BITS | number))


class Host:
    """A host with its wall clock, its replica and its fleet list."""

    def __init__(self, address, clock, skew_s):
        self.address = address
        self.clock = clock
        self.skew_s = skew_s
        self.replica = None
        self.fleet_list = None

    def unix(self):
        return self.clock.unix() + self.skew_s


@dataclasses.dataclass(frozen=True)
class FleetList:
    """A published list of addresses."""

    version: str
    addresses: tuple[str, ...]
    published: float


class Attempt:
    """One arrival of a request at an entry host."""

    def __init__(self, request, quorum):
        self.request = request
        self.quorum = quorum
        self.is_finished = False


@dataclasses.dataclass(frozen=True)
class Claim:
    attempt: Attempt
    host: Host


@dataclasses.dataclass(frozen=True)
class Answer:
    attempt: Attempt
    host: Host
    answer: messages.ClaimAnswer


@dataclasses.dataclass(frozen=True)
class End:
    host: Host
    claim_end: messages.ClaimEnd


class ClaimFleet:
    """The hosts, the network between them and the oracle."""

    def __init__(
        self,
        skews_s=(0.0,) * 5,
        replica_class=claims.ClaimReplica,
        quorum_class=claims.ClaimQuorum,
        numbers=(0, 1, 2),
    ):
        self._replica_class = replica_class
        self._quorum_class = quorum_class
        self.clock = clocks.VirtualClock()
        self.hosts = [
            Host(f'h{number}', self.clock, skew_s)
            for number, skew_s in enumerate(skews_s)
        ]
        # Hosts that do not receive changes within `SPREAD_LIMIT_S`.
        self.cut_off = set()
        self.in_flight = []
        self.keys = []
        self.attempts = []
        self.run_counts = {}
        self.fleet_lists = [self._make_fleet_list(numbers)]
        for host in self.hosts:
            self.restart(host)
        # After this time the memories are old enough to grant new keys.
        self.advance(60)

    def advance(self, seconds):
        """Advance the clock; hosts receive changes within the limit."""
        end = self.clock.now() + seconds
        for fleet_list in self.fleet_lists[1:]:
            at = fleet_list.published + SPREAD_LIMIT_S
            if self.clock.now() <= at <= end:
                self.clock.advance(at - self.clock.now())
                for host in set(self.hosts) - self.cut_off:
                    if host.fleet_list.published < fleet_list.published:
                        self.install_list(host, fleet_list)
        self.clock.advance(max(0.0, end - self.clock.now()))

    def publish(self, numbers):
        """Publish a list of addresses; hosts receive it later."""
        self.fleet_lists.append(self._make_fleet_list(numbers))

    def install_list(self, host, fleet_list=None):
        """Apply a list of addresses, by default the newest."""
        host.fleet_list = fleet_list or self.fleet_lists[-1]
        host.replica.set_fleet(
            self._name_version(host.fleet_list), host.unix()
        )

    def resume(self, host):
        """End a pause of a host that has not received any change yet."""
        host.replica.hold_back(host.unix())

    def restart(self, host):
        """Start a process with an empty memory."""
        host.fleet_list = self.fleet_lists[-1]
        host.replica = self._replica_class(
            host.unix(), self._name_version(host.fleet_list), host.unix()
        )

    def make_key(self, ahead_s=0.0):
        """Return a new key of a caller whose clock is ahead."""
        key = make_key(self.clock.unix() + ahead_s, len(self.keys))
        self.keys.append(key)
        self.run_counts[key] = 0
        return key

    def start(self, entry, key, digest='d'):
        """Send the claims of a request; return None if its key is refused."""
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
            self._name_version(entry.fleet_list),
        )
        replicas = claims.find_replicas(
            WORKSPACE, key, entry.fleet_list.addresses
        )
        attempt = Attempt(request, self._quorum_class(request, replicas))
        self.attempts.append(attempt)
        for address in replicas:
            self.in_flight.append(Claim(attempt, self._find_host(address)))
        return attempt

    def run_attempt(self, entry, key, lost=(), unanswered=(), ran=True):
        """Run an attempt without delays; return whether it was granted.

        Claims to hosts in `lost` do not arrive. Claims to hosts in
        `unanswered` do, but their answers are lost.
        """
        before = len(self.in_flight)
        attempt = self.start(entry, key)
        if attempt is None:
            return False
        pending = self.in_flight[before:]
        del self.in_flight[before:]
        for message in pending:
            if message.host in lost:
                self.record_unreachable(attempt, message.host)
                continue
            self._receive(message)
            answer = self.in_flight.pop()
            if message.host in unanswered:
                self.record_unreachable(attempt, message.host)
            else:
                self._receive(answer)
        is_granted = self.is_granted(attempt)
        self.finish(attempt, ran)
        self._deliver_ends(attempt, lost)
        return is_granted

    def record_unreachable(self, attempt, host):
        """Record a replica as unreachable."""
        attempt.quorum.record(host.address, None)

    def is_granted(self, attempt):
        return attempt.quorum.decision is messages.ClaimState.GRANTED

    def finish(self, attempt, ran, is_reported=True):
        """Send a granted request, or end a refused attempt.

        `ran` is whether the target ran the request, `is_reported` whether
        the entry host sends the end to the replicas before it fails.
        """
        if attempt.is_finished or attempt.quorum.decision is None:
            return
        attempt.is_finished = True
        ran = ran and self.is_granted(attempt)
        request = attempt.request
        if ran:
            self.run_counts[request.key] += 1
            if self.run_counts[request.key] > 1:
                raise ViolationError('an idempotency key ran twice')
        if is_reported:
            claim_end = messages.ClaimEnd(
                WORKSPACE,
                request.key,
                request.attempt_id,
                ran,
                200 if ran else None,
            )
            for address in attempt.quorum.replicas:
                self.in_flight.append(End(self._find_host(address), claim_end))

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
            self.record_unreachable(message.attempt, message.host)

    def _receive(self, message):
        match message:
            case Claim(attempt, host):
                answer = host.replica.claim(attempt.request, host.unix())
                self.in_flight.append(Answer(attempt, host, answer))
            case Answer(attempt, host, answer):
                attempt.quorum.record(host.address, answer)
            case End(host, claim_end):
                host.replica.end(claim_end, host.unix())

    def _deliver_ends(self, attempt, lost):
        ends = [
            message
            for message in self.in_flight
            if isinstance(message, End)
            and message.claim_end.attempt_id == attempt.request.attempt_id
        ]
        for message in ends:
            self.in_flight.remove(message)
            if message.host not in lost:
                self._receive(message)

    def _make_fleet_list(self, numbers):
        addresses = tuple(self.hosts[number].address for number in numbers)
        return FleetList(
            f'v{len(getattr(self, "fleet_lists", ()))}',
            addresses,
            self.clock.now(),
        )

    def _name_version(self, fleet_list):
        return fleet_list.version

    def _find_host(self, address):
        return next(host for host in self.hosts if host.address == address)
