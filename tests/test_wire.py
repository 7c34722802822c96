"""Tests of the conversion of messages to their protobuf form."""

import unittest

from lavenderstile import messages
from lavenderstile.proto import peer_pb2
from lavenderstile import verdicts
from lavenderstile import wire

UNIT = messages.SlotUnit('orders', '127.0.0.9:80', 2)
RATE = messages.RateItem('shop', 1_500_000, 4_000_000, 250_000)


def reparse(message):
    """Return a message after serializing and parsing it."""
    return type(message).FromString(message.SerializeToString())


class LeaseTest(unittest.TestCase):
    """Guards against rights that the conversion loses or duplicates."""

    def check(self, grant):
        packed = reparse(wire.pack_lease(grant))
        self.assertEqual(wire.unpack_lease(packed), grant)

    def test_a_full_grant(self):
        self.check(messages.LeaseGrant(3, 4, 3.0, (RATE, UNIT)))

    def test_no_items_differ_from_unchanged_items(self):
        self.check(messages.LeaseGrant(3, 4, 3.0, ()))
        self.check(messages.LeaseGrant(3, 4, 3.0, None))

    def test_a_borrow_request(self):
        request = messages.BorrowRequest('127.0.0.1', 7, 3, 4, (RATE,))
        packed = reparse(wire.pack_borrow(request))
        self.assertEqual(wire.unpack_borrow(packed, '127.0.0.1', 7), request)

    def test_a_return(self):
        returned = messages.RightsReturn('127.0.0.1', 7, 3, (RATE,))
        packed = reparse(wire.pack_return(returned))
        self.assertEqual(wire.unpack_return(packed), returned)


class AdmitTest(unittest.TestCase):
    """Guards against deadlines on the wrong host's clock."""

    def make_request(self, deadline):
        return messages.AdmitRequest(
            'r.1',
            '127.0.0.1',
            'orders',
            'shop',
            deadline,
            'd1',
            True,
            2,
            ('127.0.0.9:80',),
            ('north',),
            False,
        )

    def test_the_remaining_time_is_sent(self):
        packed = reparse(wire.pack_admit(self.make_request(103.0), 100.0))
        unpacked = wire.unpack_admit(packed, 5000.0)
        self.assertEqual(unpacked, self.make_request(5003.0))

    def test_a_passed_deadline_stays_passed(self):
        packed = wire.pack_admit(self.make_request(99.0), 100.0)
        self.assertEqual(wire.unpack_admit(packed, 50.0).deadline, 50.0)

    def test_a_grant(self):
        grant = messages.Grant('g1', 'r.1', UNIT, 'north', True)
        packed = reparse(wire.pack_decision(grant, '127.0.0.1'))
        self.assertEqual(
            wire.unpack_decision(packed, 'r.1'), (grant, '127.0.0.1')
        )

    def test_every_reason_and_verdict_passes(self):
        for reason in verdicts.Reason:
            for verdict in verdicts.Verdict:
                refusal = verdicts.Refusal(reason, 'why', verdict, 1.5)
                packed = reparse(wire.pack_decision(refusal, ''))
                self.assertEqual(
                    wire.unpack_decision(packed, 'r.1'), (refusal, '')
                )

    def test_no_retry_after_differs_from_zero(self):
        for retry_after_s in (None, 0.0):
            refusal = verdicts.Refusal(
                verdicts.Reason.NO_CAPACITY,
                'why',
                retry_after_s=retry_after_s,
            )
            packed = reparse(wire.pack_refusal(refusal))
            self.assertEqual(wire.unpack_refusal(packed), refusal)


class ReleaseTest(unittest.TestCase):
    """Guards against outcomes and latencies that the conversion alters."""

    def test_every_outcome_passes(self):
        for outcome in messages.Outcome:
            for latency_s in (None, 0.0, 0.25):
                report = messages.ReleaseReport(
                    'g1', 'h', UNIT, 'd', outcome, latency_s, True, 'i7'
                )
                packed = reparse(wire.pack_release(report))
                self.assertEqual(wire.unpack_release(packed), report)


class TokenTest(unittest.TestCase):
    """Guards against an empty reply that is parsed as a token."""

    def test_every_result_passes(self):
        results = (
            messages.Taken(),
            messages.Denied(0.5),
            messages.NoRights(),
        )
        for result in results:
            packed = reparse(wire.pack_token(result))
            self.assertEqual(wire.unpack_token(packed), result)

    def test_an_empty_reply_is_no_token(self):
        self.assertEqual(
            wire.unpack_token(peer_pb2.TokenReply()), messages.NoRights()
        )


class ClaimTest(unittest.TestCase):
    """Guards against claims that the conversion alters."""

    def test_a_claim(self):
        claim = messages.ClaimRequest('shop', 'k', 'a', 'd', 1.5, '7')
        packed = reparse(wire.pack_claim(claim))
        self.assertEqual(wire.unpack_claim(packed), claim)

    def test_every_answer_passes(self):
        for state in messages.ClaimState:
            for status in (None, 201):
                answer = messages.ClaimAnswer(state, status)
                packed = reparse(wire.pack_claim_answer(answer))
                self.assertEqual(wire.unpack_claim_answer(packed), answer)

    def test_an_end(self):
        for ran, status in ((False, None), (True, None), (True, 200)):
            end = messages.ClaimEnd('shop', 'k', 'a', ran, status)
            packed = reparse(wire.pack_claim_end(end))
            self.assertEqual(wire.unpack_claim_end(packed), end)


class SummaryTest(unittest.TestCase):
    """Guards against ejections that are lost when a successor takes over."""

    def test_a_summary(self):
        summary = messages.ServiceSummary(
            'orders',
            (
                messages.EjectionNote(
                    'orders', '127.0.0.9:80', 'ejected', 4.5, 2, 'errors'
                ),
            ),
            (messages.CrashNote('orders', 'd', ('127.0.0.9:80',), 3.0),),
        )
        packed = reparse(wire.pack_summary(summary))
        self.assertEqual(wire.unpack_summary(packed), summary)

    def test_running_grants(self):
        grants = [
            messages.RunningGrant('g1', '127.0.0.1', UNIT, waiting_s)
            for waiting_s in (None, 0.0, 2.5)
        ]
        packed = wire.pack_running(grants)
        self.assertEqual(wire.unpack_running(packed, '127.0.0.1'), grants)
