"""Tests of idempotency keys: parsing, replicas and the quorum of replicas."""

import unittest
import uuid

import uuid6

from lavenderstile import claims
from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import messages
from lavenderstile import verdicts

ADDRESSES = tuple(f'127.0.0.{number}' for number in range(1, 49))
REPLICAS = ADDRESSES[:3]
NOW = clocks.VirtualClock().unix()
GRANTED = messages.ClaimAnswer(messages.ClaimState.GRANTED)
CLAIMED = messages.ClaimAnswer(messages.ClaimState.CLAIMED)
UNKNOWN = messages.ClaimAnswer(messages.ClaimState.UNKNOWN)
MISMATCH = messages.ClaimAnswer(messages.ClaimState.MISMATCH)
WRONG_FLEET = messages.ClaimAnswer(messages.ClaimState.WRONG_FLEET)


def make_key(created_unix, number=0):
    milliseconds = round(created_unix * 1000)
    version = 7 << 76
    variant = 2 << 62
    return str(uuid.UUID(int=milliseconds << 80 | version | variant | number))


def make_request(attempt='one', digest='d', created=NOW, key='k', fleet='f'):
    return messages.ClaimRequest('w', key, attempt, digest, created, fleet)


def make_end(attempt='one', ran=False, status=None, key='k'):
    return messages.ClaimEnd('w', key, attempt, ran, status)


class ParseKeyTest(unittest.TestCase):
    """Guards against keys whose creation time is invalid or out of range."""

    def assert_refused(self, text, reason, verdict):
        with self.assertRaises(errors.RefusedError) as caught:
            claims.parse_key(text, NOW, 900.0)
        refusal = caught.exception.refusal
        self.assertEqual((refusal.reason, refusal.verdict), (reason, verdict))

    def assert_invalid(self, text):
        self.assert_refused(
            text,
            verdicts.Reason.IDEMPOTENCY_KEY_INVALID,
            verdicts.Verdict.NOT_RUN,
        )

    def test_returns_the_creation_time(self):
        key = make_key(NOW - 7.25)
        self.assertEqual(claims.parse_key(key, NOW, 900.0), NOW - 7.25)

    def test_accepts_keys_of_a_client_library(self):
        key = uuid6.uuid7()
        created_unix = claims.parse_key(str(key), key.time / 1000, 900.0)
        self.assertEqual(created_unix, key.time / 1000)

    def test_refuses_other_texts(self):
        for text in ('', 'order-7', str(uuid.UUID(int=0)), 'x' * 36):
            self.assert_invalid(text)

    def test_refuses_other_versions(self):
        self.assert_invalid('c232ab00-9414-11ec-b3c8-9f6bdeced846')

    def test_refuses_other_spellings_of_a_key(self):
        # Replicas compare keys as text, so a request sent with two spellings
        # of one key would run twice.
        key = make_key(NOW, number=0xABC)
        spellings = (
            key.upper(),
            key.replace('-', ''),
            f'{{{key}}}',
            f'urn:uuid:{key}',
        )
        for text in spellings:
            self.assert_invalid(text)

    def test_limits_the_creation_time_in_the_future(self):
        claims.parse_key(make_key(NOW + 5), NOW, 900.0)
        self.assert_invalid(make_key(NOW + 5.001))

    def test_limits_the_age(self):
        claims.parse_key(make_key(NOW - 900), NOW, 900.0)
        self.assert_refused(
            make_key(NOW - 900.001),
            verdicts.Reason.IDEMPOTENCY_KEY_EXPIRED,
            verdicts.Verdict.MAY_HAVE_RUN,
        )


class FindReplicasTest(unittest.TestCase):
    """Guards against hosts that ask different replicas about one key."""

    def test_three_replicas_whatever_the_order_of_addresses(self):
        replicas = claims.find_replicas('w', 'k', ADDRESSES)
        self.assertEqual(len(set(replicas)), 3)
        self.assertEqual(
            replicas, claims.find_replicas('w', 'k', ADDRESSES[::-1])
        )

    def test_small_fleet_has_fewer_replicas(self):
        replicas = claims.find_replicas('w', 'k', ADDRESSES[:1])
        self.assertEqual(replicas, ADDRESSES[:1])


class ClaimReplicaTest(unittest.TestCase):
    """Guards against a replica that grants a key to two attempts.

    A restart, an eviction or a change of the fleet can remove the record of
    the first attempt.
    """

    def setUp(self):
        self.replica = claims.ClaimReplica(NOW - 1000, 'f', NOW - 1000)

    def claim(self, now=NOW, **fields):
        return self.replica.claim(make_request(**fields), now)

    def test_second_attempt_learns_of_the_first(self):
        self.assertEqual(self.claim(), GRANTED)
        self.assertEqual(self.claim(attempt='two'), CLAIMED)

    def test_repeated_claim_of_one_attempt_is_granted_again(self):
        self.claim()
        self.assertEqual(self.claim(), GRANTED)

    def test_outcome_is_kept(self):
        self.claim()
        self.replica.end(make_end(ran=True, status=201), NOW)
        answer = messages.ClaimAnswer(messages.ClaimState.CLAIMED, 201)
        self.assertEqual(self.claim(attempt='two'), answer)
        self.assertEqual(self.claim(), answer)

    def test_run_is_not_undone_by_a_late_end(self):
        self.claim()
        self.replica.end(make_end(ran=True, status=201), NOW)
        self.replica.end(make_end(ran=False), NOW)
        self.assertEqual(self.claim(attempt='two').status, 201)

    def test_other_request_with_the_key_is_a_mismatch(self):
        self.claim()
        answer = self.claim(attempt='two', digest='other')
        self.assertEqual(answer, MISMATCH)

    def test_workspaces_do_not_share_keys(self):
        self.claim()
        request = messages.ClaimRequest('x', 'k', 'two', 'd', NOW, 'f')
        self.assertEqual(self.replica.claim(request, NOW), GRANTED)

    def test_freed_claim_can_be_claimed(self):
        self.claim()
        self.replica.end(make_end(), NOW)
        self.assertEqual(self.claim(attempt='two', digest='other'), GRANTED)

    def test_end_of_another_attempt_frees_nothing(self):
        self.claim()
        self.replica.end(make_end('two'), NOW)
        self.assertEqual(self.claim(attempt='three'), CLAIMED)

    def test_end_before_its_claim_leaves_no_claim(self):
        self.replica.end(make_end(), NOW)
        self.assertEqual(self.claim(), UNKNOWN)
        self.assertEqual(self.claim(attempt='two'), GRANTED)

    def test_claim_sent_again_after_its_end_leaves_no_claim(self):
        self.claim()
        self.replica.end(make_end(), NOW)
        self.claim()
        self.assertEqual(self.claim(attempt='two'), GRANTED)

    def test_new_memory_grants_no_older_keys(self):
        self.replica = claims.ClaimReplica(NOW, 'f', NOW - 1000)
        self.assertEqual(self.claim(now=NOW + 1), UNKNOWN)
        self.assertEqual(self.claim(created=NOW + 60, now=NOW + 60), GRANTED)

    def test_key_older_than_the_window_is_unknown(self):
        self.claim()
        self.assertEqual(self.claim(NOW + 1000, attempt='two'), UNKNOWN)
        self.assertEqual(len(self.replica), 0)

    def test_clock_set_back_does_not_make_evicted_keys_usable(self):
        self.claim()
        self.replica.expire(NOW + 1000)
        self.assertEqual(self.claim(attempt='two'), UNKNOWN)

    def test_full_memory_evicts_the_oldest_and_grants_none_so_old(self):
        self.replica = claims.ClaimReplica(
            NOW - 1000, 'f', NOW - 1000, max_claims=2
        )
        for number in range(3):
            created = NOW - 3 + number
            answer = self.claim(key=str(number), created=created)
            self.assertEqual(answer, GRANTED)
        self.assertEqual(len(self.replica), 2)
        answer = self.claim(key='0', created=NOW - 3, attempt='two')
        self.assertEqual(answer, UNKNOWN)

    def test_key_claimed_and_freed_often_takes_one_entry(self):
        self.replica = claims.ClaimReplica(
            NOW - 1000, 'f', NOW - 1000, max_claims=2
        )
        self.claim(key='other', created=NOW - 1)
        for number in range(10):
            self.claim(attempt=str(number))
            self.replica.end(make_end(str(number)), NOW)
        answer = self.claim(key='other', created=NOW - 1, attempt='two')
        self.assertEqual(answer, CLAIMED)

    def test_other_fleet_is_refused(self):
        self.assertEqual(self.claim(fleet='g'), WRONG_FLEET)

    def test_new_fleet_makes_older_keys_unknown(self):
        self.replica.set_fleet('g', NOW)
        self.assertEqual(self.claim(fleet='g'), UNKNOWN)

    def test_replica_that_was_paused_grants_only_younger_keys(self):
        self.replica.hold_back(NOW)
        self.assertEqual(self.claim(), UNKNOWN)
        later = NOW + claims.FLEET_MARGIN_S + 0.1
        self.assertEqual(self.claim(later, created=later), GRANTED)

    def test_repeated_fleet_changes_nothing(self):
        self.replica.set_fleet('f', NOW)
        self.assertEqual(self.claim(), GRANTED)


class ClaimQuorumTest(unittest.TestCase):
    """Guards against runs without a majority, and wrong verdicts."""

    def decide(self, *answers, replicas=REPLICAS):
        self.quorum = claims.ClaimQuorum(make_request(), replicas)
        for replica, answer in zip(replicas, answers, strict=False):
            self.quorum.record(replica, answer)
        return self.quorum.decision

    def assert_refused(self, decision, reason, verdict):
        self.assertEqual(
            (decision.reason, decision.verdict), (reason, verdict)
        )

    def test_two_grants_decide(self):
        self.assertIsNone(self.decide(GRANTED))
        decision = self.decide(GRANTED, None, GRANTED)
        self.assertEqual(decision, messages.ClaimState.GRANTED)
        self.assertEqual(
            self.quorum.granted_replicas, (REPLICAS[0], REPLICAS[2])
        )

    def test_one_refusing_replica_does_not_decide(self):
        for answer in (None, CLAIMED, UNKNOWN, MISMATCH, WRONG_FLEET):
            self.assertIsNone(self.decide(answer))
            decision = self.decide(answer, GRANTED, GRANTED)
            self.assertEqual(decision, messages.ClaimState.GRANTED)

    def test_mismatch_takes_precedence(self):
        self.assert_refused(
            self.decide(CLAIMED, MISMATCH),
            verdicts.Reason.IDEMPOTENCY_KEY_REUSED,
            verdicts.Verdict.NOT_RUN,
        )

    def test_claimed_key_may_have_run(self):
        self.assert_refused(
            self.decide(CLAIMED, None),
            verdicts.Reason.ALREADY_CLAIMED,
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def test_known_outcome_has_run(self):
        outcome = messages.ClaimAnswer(messages.ClaimState.CLAIMED, 201)
        decision = self.decide(CLAIMED, outcome)
        self.assert_refused(
            decision,
            verdicts.Reason.ALREADY_CLAIMED,
            verdicts.Verdict.RAN,
        )
        self.assertIn('201', decision.detail)

    def test_unknown_key_may_have_run(self):
        self.assert_refused(
            self.decide(UNKNOWN, None),
            verdicts.Reason.ALREADY_CLAIMED,
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def test_unreachable_replicas_ran_nothing(self):
        for answer in (None, WRONG_FLEET):
            self.assert_refused(
                self.decide(answer, GRANTED, None),
                verdicts.Reason.CLAIMS_UNREACHABLE,
                verdicts.Verdict.NOT_RUN,
            )

    def test_late_grant_is_listed_but_does_not_change_the_decision(self):
        decision = self.decide(None, None)
        self.quorum.record(REPLICAS[0], GRANTED)
        self.quorum.record(REPLICAS[1], GRANTED)
        self.assertEqual(self.quorum.decision, decision)
        self.assertEqual(self.quorum.granted_replicas, REPLICAS[:2])

    def test_repeated_answer_counts_once(self):
        self.decide(GRANTED)
        self.quorum.record(REPLICAS[0], GRANTED)
        self.assertIsNone(self.quorum.decision)

    def test_answer_of_another_host_does_not_count(self):
        self.decide(GRANTED)
        self.quorum.record('192.0.2.1', GRANTED)
        self.assertIsNone(self.quorum.decision)

    def test_single_replica_decides_alone(self):
        decision = self.decide(GRANTED, replicas=REPLICAS[:1])
        self.assertEqual(decision, messages.ClaimState.GRANTED)

    def test_two_replicas_must_agree(self):
        self.assertIsNone(self.decide(GRANTED, replicas=REPLICAS[:2]))
