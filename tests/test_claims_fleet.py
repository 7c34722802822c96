"""Tests of at-most-once execution over a faulty fleet."""

import dataclasses
import os
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavenderstile import claims
from tests.standins import claim_fleet

EXAMPLES = os.environ.get('LAVENDERSTILE_HYPOTHESIS_EXAMPLES')
SETTINGS = hypothesis.settings(
    max_examples=int(EXAMPLES or 200),
    stateful_step_count=50,
    derandomize=EXAMPLES is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
HOST_COUNT = 5
HOSTS = strategies.integers(0, HOST_COUNT - 1)
HOST_SETS = strategies.sets(HOSTS, max_size=2)
POSITIONS = strategies.sampled_from((0, -1, 1, 2, 3, 5, 8))
SKEWS_S = strategies.sampled_from((0.0, 0.0, 2.5, -2.5))
FLEETS = strategies.sampled_from(
    ((0, 1, 2), (1, 2, 3), (0, 1, 2, 3), (0, 1, 4), (2, 3, 4))
)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Random schedules of attempts, messages, restarts and fleet lists."""

    replica_class = claims.ClaimReplica
    quorum_class = claims.ClaimQuorum

    @stateful.initialize(
        skews_s=strategies.tuples(*[SKEWS_S] * HOST_COUNT), numbers=FLEETS
    )
    def set_up(self, skews_s, numbers):
        self.fleet = claim_fleet.ClaimFleet(
            skews_s, self.replica_class, self.quorum_class, numbers
        )
        self.fleet.make_key()

    @stateful.rule(
        seconds=strategies.sampled_from((0.1, 1.0, 4.9, 10.0, 300.0, 600.0))
    )
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(ahead_s=strategies.sampled_from((-60, -5, 0, 2.5, 5, 7.5)))
    def make_key(self, ahead_s):
        self.fleet.make_key(ahead_s)

    @stateful.rule(entry=HOSTS, newest=strategies.integers(1, 3))
    def start(self, entry, newest):
        key = self.fleet.keys[-min(newest, len(self.fleet.keys))]
        self.fleet.start(self.fleet.hosts[entry], key)

    @stateful.rule(
        entry=HOSTS,
        newest=strategies.integers(1, 2),
        lost=HOST_SETS,
        unanswered=HOST_SETS,
        ran=strategies.booleans(),
    )
    def start_and_finish(self, entry, newest, lost, unanswered, ran):
        hosts = self.fleet.hosts
        self.fleet.run_attempt(
            hosts[entry],
            self.fleet.keys[-min(newest, len(self.fleet.keys))],
            [hosts[number] for number in lost],
            [hosts[number] for number in unanswered],
            ran,
        )

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(position=POSITIONS, keep=strategies.booleans())
    def deliver(self, position, keep):
        count = len(self.fleet.in_flight)
        self.fleet.deliver(position % count, keep)

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(position=POSITIONS)
    def lose(self, position):
        self.fleet.lose(position % len(self.fleet.in_flight))

    @stateful.precondition(lambda self: self.fleet.attempts)
    @stateful.rule(
        newest=strategies.integers(1, 3),
        ran=strategies.booleans(),
        is_reported=strategies.booleans(),
    )
    def finish(self, newest, ran, is_reported):
        attempts = self.fleet.attempts
        attempt = attempts[-min(newest, len(attempts))]
        self.fleet.finish(attempt, ran, is_reported)

    @stateful.rule(host=HOSTS)
    def restart(self, host):
        self.fleet.restart(self.fleet.hosts[host])

    @stateful.rule(numbers=FLEETS)
    def publish(self, numbers):
        self.fleet.publish(numbers)

    @stateful.rule(host=HOSTS)
    def install_list(self, host):
        self.fleet.install_list(self.fleet.hosts[host])


def restart_with_early_clock(fleet):
    """A replica restarts just after a key with a future creation time ran.

    The entry host's clock is 5 s ahead of the clocks of the replicas.
    """
    entry, first, second, third, _ = fleet.hosts
    key = fleet.make_key(ahead_s=9.5)
    fleet.run_attempt(entry, key, lost=[third])
    fleet.restart(second)
    fleet.advance(0.1)
    fleet.run_attempt(entry, key, lost=[first])


def change_addresses_early(fleet):
    """A key with a future creation time comes again after a change.

    Two replicas by the old list have not received the new one when the key
    runs; the attempt after it uses the replicas by the new list.
    """
    entry = fleet.hosts[0]
    fleet.publish((0, 1, 2))
    for number in (0, 1):
        fleet.install_list(fleet.hosts[number])
    fleet.advance(4.9)
    key = fleet.make_key(ahead_s=4.9)
    fleet.run_attempt(fleet.hosts[3], key, lost=[fleet.hosts[1]])
    fleet.advance(0.2)
    fleet.run_attempt(entry, key)


def restart_replica(fleet):
    """A replica restarts after it has granted a key that ran."""
    entry, first, second, third, _ = fleet.hosts
    key = fleet.make_key()
    fleet.run_attempt(entry, key, lost=[third])
    fleet.restart(second)
    fleet.advance(1)
    fleet.run_attempt(entry, key, lost=[first])


def change_addresses(fleet):
    """A new list replaces two replicas of a key that ran."""
    entry = fleet.hosts[0]
    key = fleet.make_key()
    fleet.run_attempt(entry, key)
    fleet.publish((0, 1, 4))
    for host in fleet.hosts:
        fleet.install_list(host)
    fleet.advance(1)
    fleet.run_attempt(entry, key)


def restore_addresses(fleet):
    """A list is restored before two replicas receive its change."""
    entry = fleet.hosts[0]
    fleet.cut_off.update(fleet.hosts[2:4])
    fleet.publish((0, 1, 4))
    fleet.advance(30)
    key = fleet.make_key()
    fleet.run_attempt(entry, key)
    fleet.publish((1, 2, 3))
    for host in fleet.hosts:
        fleet.install_list(host)
    fleet.run_attempt(entry, key)


def change_at_start(fleet):
    """Replicas grant keys again 30 s after a change of the list."""
    fleet.publish((0, 1, 4))
    for host in fleet.hosts:
        fleet.install_list(host)
    fleet.advance(30)
    fleet.run_attempt(fleet.hosts[0], fleet.make_key())


def use_outdated_list(fleet):
    """A host that receives no changes asks the replicas of an old list."""
    entry, outdated = fleet.hosts[0], fleet.hosts[3]
    fleet.cut_off.add(outdated)
    fleet.publish((0, 1, 4))
    fleet.advance(60)
    key = fleet.make_key()
    fleet.run_attempt(entry, key, lost=[fleet.hosts[1]])
    fleet.run_attempt(outdated, key)


def resume_together(fleet):
    """Two replicas resume after a pause in which they missed a new list.

    One of them is the entry host of the next attempt.
    """
    entry, outdated = fleet.hosts[0], fleet.hosts[3]
    paused = fleet.hosts[2:4]
    fleet.cut_off.update(paused)
    fleet.publish((0, 1, 4))
    fleet.advance(60)
    key = fleet.make_key()
    fleet.run_attempt(entry, key)
    for host in paused:
        fleet.resume(host)
    fleet.run_attempt(outdated, key)


def retry_elsewhere(fleet):
    """A key that ran comes again while other replicas are reachable."""
    entry, first, second, *_ = fleet.hosts
    key = fleet.make_key()
    fleet.run_attempt(entry, key, lost=[second])
    fleet.run_attempt(entry, key, lost=[first])


def race_attempts(fleet):
    """The claims of two attempts reach the replicas in different orders."""
    entry, other = fleet.hosts[:2]
    key = fleet.make_key()
    one = fleet.start(entry, key)
    two = fleet.start(other, key)
    for position in (0, 3, 4):
        fleet.deliver(position)
    while fleet.in_flight:
        fleet.deliver(0)
    fleet.finish(one, ran=True)
    fleet.finish(two, ran=True)


def wait_for_expiry(fleet):
    """A key comes again when it is about to expire."""
    entry = fleet.hosts[0]
    key = fleet.make_key()
    fleet.run_attempt(entry, key)
    fleet.advance(899)
    fleet.run_attempt(entry, key)


def fill_memory(fleet):
    """Other keys fill the memory of the replicas after a key has run."""
    entry = fleet.hosts[0]
    first = fleet.make_key()
    fleet.run_attempt(entry, first)
    for _ in range(20):
        fleet.advance(0.1)
        fleet.run_attempt(entry, fleet.make_key())
    fleet.run_attempt(entry, first)


def end_other_attempt(fleet):
    """A refused attempt ends while another one has run."""
    entry = fleet.hosts[0]
    key = fleet.make_key()
    attempt = fleet.start(entry, key)
    for _ in range(6):
        fleet.deliver(0)
    fleet.run_attempt(entry, key)
    fleet.finish(attempt, ran=True, is_reported=False)
    fleet.run_attempt(entry, key)


def repeat_end(fleet):
    """The end of an attempt that did not run arrives a second time."""
    entry = fleet.hosts[0]
    key = fleet.make_key()
    attempt = fleet.start(entry, key)
    for _ in range(6):
        fleet.deliver(0)
    fleet.finish(attempt, ran=False)
    for position in range(3):
        fleet.deliver(position, keep=True)
    fleet.run_attempt(entry, key)
    while fleet.in_flight:
        fleet.deliver(0)
    fleet.run_attempt(entry, key)


def set_clocks_back(fleet):
    """The clocks of the replicas are set back after a key was evicted."""
    entry = fleet.hosts[0]
    key = fleet.make_key()
    fleet.run_attempt(entry, key)
    fleet.advance(920)
    fleet.run_attempt(entry, fleet.make_key())
    for host in fleet.hosts:
        host.skew_s -= 100
    fleet.run_attempt(entry, key)


class SmallReplica(claims.ClaimReplica):
    """Remembers 10 claims."""

    def __init__(self, *args):
        super().__init__(*args, max_claims=10)


class NoMemoryCheckReplica(claims.ClaimReplica):
    """Grants keys that are older than its memory."""

    def __init__(self, _began_unix, version, _since_unix):
        super().__init__(0.0, version, 0.0)


class NoFleetCheckReplica(claims.ClaimReplica):
    """Grants keys that are older than the list of addresses."""

    def set_fleet(self, version, _since_unix):
        super().set_fleet(version, 0.0)


class AnyFleetReplica(claims.ClaimReplica):
    """Answers entry hosts regardless of the list that they use."""

    def claim(self, request, now_unix):
        version = self._fleet_version
        request = dataclasses.replace(request, fleet_version=version)
        return super().claim(request, now_unix)


class NoPauseCheckReplica(claims.ClaimReplica):
    """Does not hold keys back after a pause."""

    def hold_back(self, now_unix):
        pass


class OneMarginReplica(claims.ClaimReplica):
    """Allows for one clock's skew, but not for the delay of changes."""

    def _covers(self, request, now_unix):
        began = max(self._memory_began_unix, self._fleet_since_unix)
        return request.created_unix >= began + claims.CLOCK_SKEW_S


class EarlyExpiryReplica(claims.ClaimReplica):
    """Evicts claims early and grants their keys again."""

    def expire(self, now_unix):
        super().expire(now_unix + 600)
        self._evicted_until_unix = 0.0


class ClockSetBackReplica(claims.ClaimReplica):
    """Grants evicted keys again when its clock is set back."""

    def expire(self, now_unix):
        super().expire(now_unix)
        self._evicted_until_unix = now_unix - 910


class EvictingReplica(SmallReplica):
    """Grants keys again that it evicted for lack of space."""

    def _covers(self, request, now_unix):
        self._evicted_until_unix = 0.0
        return super()._covers(request, now_unix)


class AnyEndReplica(claims.ClaimReplica):
    """Frees a claim when any attempt ends."""

    def end(self, claim_end, now_unix):
        if not claim_end.ran:
            self._claims.pop((claim_end.workspace, claim_end.key), None)
        super().end(claim_end, now_unix)


class OneGrantQuorum(claims.ClaimQuorum):
    """Needs one grant."""

    def __init__(self, request, replicas):
        super().__init__(request, replicas)
        self._majority = 1


class ReusedVersionFleet(claim_fleet.ClaimFleet):
    """Uses the addresses of a list as its version."""

    def _name_version(self, fleet_list):
        return ','.join(fleet_list.addresses)


def make_fleet(**options):
    """Return a fleet in which h1, h2 and h3 are the replicas of all keys."""
    return claim_fleet.ClaimFleet(numbers=(1, 2, 3), **options)


def make_early_fleet(**options):
    """Return a fleet in which the clock of h0 is ahead by 5 s."""
    skews_s = (5.0, 0.0, 0.0, 0.0, 0.0)
    return make_fleet(skews_s=skews_s, **options)


SCENARIOS = (
    (make_early_fleet, restart_with_early_clock),
    *(
        (make_fleet, scenario)
        for scenario in (
            restart_replica,
            change_addresses,
            change_addresses_early,
            change_at_start,
            restore_addresses,
            use_outdated_list,
            resume_together,
            retry_elsewhere,
            race_attempts,
            wait_for_expiry,
            fill_memory,
            end_other_attempt,
            repeat_end,
            set_clocks_back,
        )
    ),
)
WEAKENED = (
    (NoMemoryCheckReplica, make_fleet, restart_replica),
    (NoFleetCheckReplica, make_fleet, change_addresses),
    (AnyFleetReplica, make_fleet, use_outdated_list),
    (NoPauseCheckReplica, make_fleet, resume_together),
    (OneMarginReplica, make_early_fleet, restart_with_early_clock),
    (OneMarginReplica, make_fleet, change_addresses_early),
    (EarlyExpiryReplica, make_fleet, wait_for_expiry),
    (ClockSetBackReplica, make_fleet, set_clocks_back),
    (EvictingReplica, make_fleet, fill_memory),
    (AnyEndReplica, make_fleet, end_other_attempt),
)


class AtMostOnceTest(unittest.TestCase):
    """Guards against a request that runs twice for one key.

    Replicas lose their memory in restarts, and hosts may use different lists
    of replicas, while messages are lost, delayed or repeated.
    """

    def assert_violation(self, scenario, fleet, name):
        with self.assertRaises(claim_fleet.ViolationError, msg=name):
            scenario(fleet)

    def test_no_schedule_runs_a_key_twice(self):
        stateful.run_state_machine_as_test(ClaimsMachine, settings=SETTINGS)

    def test_no_scenario_runs_a_key_twice(self):
        for make, scenario in SCENARIOS:
            scenario(make())
            scenario(make(replica_class=SmallReplica))

    def test_oracle_finds_each_weakened_home(self):
        # The oracle must find the violation, or its checks prove nothing.
        for weakened, make, scenario in WEAKENED:
            fleet = make(replica_class=weakened)
            self.assert_violation(scenario, fleet, weakened.__name__)

    def test_oracle_finds_a_quorum_of_one(self):
        for scenario in (retry_elsewhere, race_attempts):
            fleet = make_fleet(quorum_class=OneGrantQuorum)
            self.assert_violation(scenario, fleet, scenario.__name__)

    def test_oracle_finds_reused_fleet_versions(self):
        fleet = ReusedVersionFleet(numbers=(1, 2, 3))
        self.assert_violation(restore_addresses, fleet, 'reused versions')


class AvailabilityTest(unittest.TestCase):
    """Guards against keys that are refused needlessly."""

    def test_key_runs_although_one_home_is_unreachable(self):
        fleet = make_fleet()
        for number in (1, 2, 3):
            key = fleet.make_key()
            fleet.run_attempt(fleet.hosts[0], key, lost=[fleet.hosts[number]])
            self.assertEqual(fleet.run_counts[key], 1)

    def test_key_runs_after_an_attempt_that_got_too_few_answers(self):
        fleet = make_fleet()
        entry, first, second, *_ = fleet.hosts
        key = fleet.make_key()
        sent = fleet.run_attempt(entry, key, unanswered=[first, second])
        self.assertFalse(sent)
        self.assertTrue(fleet.run_attempt(entry, key))

    def test_key_runs_after_an_attempt_that_the_target_did_not_run(self):
        fleet = make_fleet()
        key = fleet.make_key()
        self.assertTrue(fleet.run_attempt(fleet.hosts[0], key, ran=False))
        self.assertTrue(fleet.run_attempt(fleet.hosts[0], key))

    def test_keys_run_again_after_a_change_of_addresses(self):
        fleet = make_fleet()
        change_at_start(fleet)
        self.assertEqual(list(fleet.run_counts.values()), [1])
