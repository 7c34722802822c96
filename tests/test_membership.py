"""Tests of the view of peer hosts."""

import unittest

from lavenderstile import membership

OWN = '127.0.0.1'
PEER = '127.0.0.2'
OTHER = '127.0.0.3'


def make_report(address=PEER, incarnation=5, **options):
    return membership.PeerReport(
        address, f'{address}:7001', 'north', incarnation, **options
    )


class MembershipTestCase(unittest.TestCase):
    """A host that knows two peers."""

    def setUp(self):
        self.membership = membership.Membership(OWN, 'north', 1)
        self.membership.add(PEER, f'{PEER}:7001')
        self.membership.add(OTHER, f'{OTHER}:7001')


class LivenessTest(MembershipTestCase):
    """Guards against a view with owners that cannot be reached."""

    def test_a_listed_peer_is_not_in_the_view_before_it_answers(self):
        self.membership.record_listing({PEER: (f'{PEER}:7001', False)}, 10.0)
        self.assertEqual(self.membership.view(10.0), (OWN,))

    def test_an_answering_peer_is_in_the_view(self):
        self.membership.record_success(make_report(), 10.0)
        self.assertEqual(self.membership.view(10.0), (OWN, PEER))

    def test_a_silent_peer_leaves_the_view_after_three_seconds(self):
        self.membership.record_success(make_report(), 10.0)
        self.assertIn(PEER, self.membership.view(13.0))
        self.assertNotIn(PEER, self.membership.view(13.1))

    def test_two_lost_exchanges_do_not_end_the_membership(self):
        self.membership.record_success(make_report(), 10.0)
        self.assertIn(PEER, self.membership.view(12.9))

    def test_hearing_a_peer_does_not_prove_that_it_can_be_asked(self):
        """In an asymmetric partition messages pass in one direction only."""
        self.membership.record_message(make_report(), 10.0)
        self.assertNotIn(PEER, self.membership.view(10.0))

    def test_a_peer_that_others_hear_is_relayed(self):
        report = make_report(OTHER, contacted=(PEER,))
        self.membership.record_success(report, 10.0)
        state = self.membership.state(PEER, 10.0)
        self.assertIs(state, membership.PeerState.RELAYED)
        self.assertNotIn(PEER, self.membership.view(10.0))

    def test_a_peer_without_any_contact_is_unreachable(self):
        self.membership.record_success(make_report(), 10.0)
        state = self.membership.state(PEER, 20.0)
        self.assertIs(state, membership.PeerState.UNREACHABLE)

    def test_a_peer_that_is_not_ready_owns_nothing(self):
        self.membership.record_success(make_report(ready=False), 10.0)
        self.assertEqual(self.membership.view(10.0), (OWN,))
        self.assertTrue(self.membership.has_contact(10.0))


class LeavingTest(MembershipTestCase):
    """Guards against new work for hosts that leave."""

    def test_a_leaving_peer_owns_nothing(self):
        self.membership.record_success(make_report(), 10.0)
        self.membership.record_message(make_report(leaving=True), 10.5)
        self.assertEqual(self.membership.view(10.5), (OWN,))

    def test_a_leaving_host_owns_nothing_itself(self):
        self.membership.record_success(make_report(), 10.0)
        self.membership.announce_leaving()
        self.assertEqual(self.membership.view(10.0), (PEER,))

    def test_a_stale_list_does_not_make_a_new_process_leave(self):
        self.membership.record_success(make_report(), 10.0)
        self.membership.record_listing({PEER: (f'{PEER}:7001', True)}, 10.5)
        self.assertIn(PEER, self.membership.view(10.5))


class IncarnationTest(MembershipTestCase):
    """Guards against acting on late messages of a replaced process."""

    def test_an_older_incarnation_is_ignored(self):
        self.membership.record_success(make_report(incarnation=6), 10.0)
        late = make_report(incarnation=5, leaving=True)
        self.assertFalse(self.membership.record_success(late, 10.1))
        self.assertIn(PEER, self.membership.view(10.1))

    def test_a_new_incarnation_has_to_answer_first(self):
        self.membership.record_success(make_report(incarnation=6), 10.0)
        self.membership.record_message(make_report(incarnation=7), 10.1)
        self.assertNotIn(PEER, self.membership.view(10.1))

    def test_a_new_incarnation_at_a_leaving_address_comes_back(self):
        leaving = make_report(incarnation=6, leaving=True)
        self.membership.record_success(leaving, 10.0)
        self.membership.record_success(make_report(incarnation=7), 11.0)
        self.assertIn(PEER, self.membership.view(11.0))


class ListingTest(MembershipTestCase):
    """Guards against peers that are never added or never removed."""

    def test_a_listed_host_becomes_known(self):
        hosts = {'127.0.0.9': ('127.0.0.9:7001', False)}
        self.membership.record_listing(hosts, 10.0)
        self.assertIn('127.0.0.9', self.membership.peers)

    def test_the_own_address_is_no_peer(self):
        self.membership.record_listing({OWN: (f'{OWN}:7001', False)}, 10.0)
        self.assertNotIn(OWN, self.membership.peers)

    def test_an_unlisted_silent_peer_is_removed(self):
        self.membership.record_success(make_report(), 10.0)
        self.membership.record_listing({}, 71.0)
        self.assertNotIn(PEER, self.membership.peers)

    def test_an_unlisted_peer_that_answers_stays(self):
        """The platform's list lags behind the hosts."""
        self.membership.record_success(make_report(), 70.0)
        self.membership.record_listing({}, 71.0)
        self.assertIn(PEER, self.membership.view(71.0))

    def test_the_endpoint_follows_the_list(self):
        hosts = {PEER: (f'{PEER}:9999', False)}
        self.membership.record_listing(hosts, 10.0)
        endpoint = self.membership.peers[PEER].endpoint
        self.assertEqual(endpoint, f'{PEER}:9999')
