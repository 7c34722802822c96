"""Tests of lending and borrowing rights with a single lender."""

import unittest

from lavenderstile import borrowing
from lavenderstile import leases
from lavenderstile import lending
from lavenderstile import messages
from lavenderstile import models
from lavenderstile import shares

MICRO = messages.MICRO
UNIT = messages.SlotUnit('orders', '10.0.0.1:80', 0)
SHARE = (2 * MICRO, 6 * MICRO)
# Time in seconds at which a lender that started at 0 has a full bucket.
FULL_AT_S = 10.0


def make_lender(units=frozenset(), start=0.0, until=FULL_AT_S):
    """Return a lender that was called every second up to `until`."""
    lender = lending.Lender('a', start)
    lender.set_rights(
        {'w': SHARE}, units, start, in_force_s=60.0, fleet_version='f'
    )
    for second in range(int(start), int(until)):
        lender.dump(second)
    return lender


class Link:
    """A borrower that calls a lender directly."""

    def __init__(self, lender, name='b', incarnation=1):
        self.lender = lender
        self.lender_incarnation = 1
        self.borrower = borrowing.Borrower(name, incarnation)
        self.owns = True

    def request_grant(self, now):
        """Return the lender's grant for a request sent and received now."""
        return self.lender.grant(
            self.borrower.make_request('a'),
            frozenset({'w'} if self.owns else ()),
            frozenset({'orders'} if self.owns else ()),
            now,
        )

    def accept(self, grant, sent_at, now):
        return self.borrower.accept(
            'a', self.lender_incarnation, sent_at, grant, now
        )

    def exchange(self, now):
        return self.accept(self.request_grant(now), now, now)

    def take_all(self, now):
        count = 0
        while self.borrower.take_token('w', now) == messages.Taken():
            count += 1
        return count


class SharesTest(unittest.TestCase):
    """Guards against shares whose sum exceeds the limit."""

    ADDRESSES = tuple(f'127.0.0.{number}' for number in range(1, 49))

    def test_shares_sum_to_at_most_the_limit(self):
        workspace = models.Workspace('w', (), rate=100.0, burst=50.0)
        own_shares = shares.share_rates([workspace], self.ADDRESSES)
        rate_micro, burst_micro = own_shares['w']
        self.assertLessEqual(rate_micro * 48, 100 * MICRO)
        self.assertGreater((rate_micro + 1) * 48, 100 * MICRO)
        self.assertLessEqual(burst_micro * 48, 50 * MICRO)

    def test_shares_by_address_sum_to_the_limit_exactly(self):
        # If the shares of a burst of 1 were rounded down, they would sum to
        # less than one token, and no request would run.
        workspace = models.Workspace('w', (), rate=100.0, burst=1.0)
        own_shares = [
            shares.share_rates([workspace], self.ADDRESSES, address)['w']
            for address in self.ADDRESSES
        ]
        self.assertEqual(sum(rate for rate, _ in own_shares), 100 * MICRO)
        self.assertEqual(sum(burst for _, burst in own_shares), MICRO)
        self.assertLessEqual(max(own_shares)[0] - min(own_shares)[0], 1)

    def test_address_outside_the_fleet_has_no_share(self):
        workspace = models.Workspace('w', (), rate=1.0, burst=1.0)
        own_shares = shares.share_rates(
            [workspace], self.ADDRESSES, '192.0.2.1'
        )
        self.assertEqual(own_shares, {})

    def test_no_fleet_has_no_shares(self):
        workspace = models.Workspace('w', (), rate=1.0, burst=1.0)
        self.assertEqual(shares.share_rates([workspace], ()), {})
        self.assertEqual(shares.share_rates([workspace], (), 'a'), {})

    def test_each_unit_has_one_home(self):
        targets = tuple(
            models.Target(f'10.0.0.{number}:80', 'd', slots=3)
            for number in range(12)
        )
        service = models.Service('heat-sheets', targets)
        units_by_host = [
            shares.home_units(address, [service], self.ADDRESSES)
            for address in self.ADDRESSES
        ]
        self.assertEqual(sum(map(len, units_by_host)), 36)
        self.assertEqual(len(frozenset().union(*units_by_host)), 36)


class OwnersTest(unittest.TestCase):
    """Guards against needless changes of owners, and too small pools.

    A pool that holds too few tokens refuses requests within the rate.
    """

    MEMBERS = SharesTest.ADDRESSES

    def make_workspace(self, burst):
        return models.Workspace('w', (), rate=100.0, burst=burst)

    def test_number_of_owners_follows_the_burst(self):
        for burst, count in ((0, 1), (23, 1), (24, 2), (48, 4), (500, 4)):
            owners = shares.list_owners(
                self.make_workspace(burst), self.MEMBERS
            )
            self.assertEqual(len(owners), count)

    def test_small_fleet_has_fewer_owners(self):
        workspace = self.make_workspace(500)
        self.assertEqual(shares.list_owners(workspace, ['a']), ['a'])
        self.assertIsNone(shares.find_owner(workspace, 'a', []))

    def test_each_owner_gets_lenders(self):
        workspace = self.make_workspace(500)
        found = {
            shares.find_owner(workspace, address, self.MEMBERS)
            for address in self.MEMBERS
        }
        owners = shares.list_owners(workspace, self.MEMBERS)
        self.assertEqual(found, set(owners))

    def test_losing_an_owner_moves_only_its_lenders(self):
        workspace = self.make_workspace(500)
        lost_owner = shares.list_owners(workspace, self.MEMBERS)[1]
        remaining = [member for member in self.MEMBERS if member != lost_owner]
        new_owner = (
            set(shares.list_owners(workspace, remaining))
            - set(shares.list_owners(workspace, self.MEMBERS))
        ).pop()
        for address in remaining:
            before = shares.find_owner(workspace, address, self.MEMBERS)
            after = shares.find_owner(workspace, address, remaining)
            if before != lost_owner:
                self.assertIn(after, (before, new_owner))


class QuarantineTest(unittest.TestCase):
    """Guards against a restarted lender that lends a right twice.

    The process before the restart may have lent it just before.
    """

    def test_nothing_is_lent_during_the_quarantine(self):
        link = Link(make_lender(frozenset({UNIT}), until=3.0))
        link.exchange(3.2)
        self.assertEqual(link.borrower.workspaces(3.2), frozenset())
        self.assertEqual(link.borrower.units('orders', 3.2), frozenset())

    def test_bucket_is_empty_after_the_quarantine(self):
        link = Link(make_lender(frozenset({UNIT}), until=3.0))
        link.exchange(3.3)
        self.assertEqual(link.borrower.workspaces(3.3), {'w'})
        self.assertEqual(link.borrower.units('orders', 3.3), {UNIT})
        self.assertEqual(link.take_all(3.3), 0)


class TokensTest(unittest.TestCase):
    """Guards against tokens that are counted twice.

    Grants and returns can be repeated, lost or delayed on the network.
    """

    def test_tokens_move_with_the_lease(self):
        link = Link(make_lender())
        link.exchange(FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 6)
        self.assertEqual(link.take_all(FULL_AT_S + 1), 2)

    def test_repeated_grant_moves_no_tokens_again(self):
        link = Link(make_lender())
        grant = link.request_grant(FULL_AT_S)
        for _ in range(3):
            link.accept(grant, FULL_AT_S, FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 6)
        link.accept(grant, FULL_AT_S, FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 0)

    def test_tokens_of_a_lost_reply_come_with_the_next(self):
        link = Link(make_lender())
        link.request_grant(FULL_AT_S)
        link.exchange(FULL_AT_S + 1)
        self.assertEqual(link.take_all(FULL_AT_S + 1), 6)

    def test_lease_revived_at_the_borrower_brings_no_tokens(self):
        # The borrower's lease expires at 13. The lender has renewed it at 12
        # for a request whose reply was lost.
        link = Link(make_lender())
        link.exchange(FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 6)
        link.request_grant(FULL_AT_S + 2)
        self.assertEqual(link.take_all(FULL_AT_S + 4), 0)
        self.assertEqual(link.borrower.workspaces(FULL_AT_S + 4), frozenset())
        link.exchange(FULL_AT_S + 4)
        self.assertEqual(link.borrower.workspaces(FULL_AT_S + 4), {'w'})
        self.assertEqual(link.take_all(FULL_AT_S + 4), 0)

    def test_lender_starts_at_zero_after_an_ended_lease(self):
        lender = make_lender()
        Link(lender).exchange(FULL_AT_S)
        successor = Link(lender, 'c')
        successor.exchange(FULL_AT_S + 3.3)
        self.assertEqual(successor.borrower.workspaces(FULL_AT_S + 3.3), {'w'})
        self.assertEqual(successor.take_all(FULL_AT_S + 3.3), 0)

    def test_returned_tokens_are_lent_again(self):
        lender = make_lender()
        link = Link(lender)
        link.exchange(FULL_AT_S)
        link.borrower.take_token('w', FULL_AT_S)
        returns = link.borrower.make_returns(FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 0)
        lender.take_back(returns['a'], FULL_AT_S)
        successor = Link(lender, 'c')
        successor.exchange(FULL_AT_S)
        self.assertEqual(successor.take_all(FULL_AT_S), 5)

    def test_tokens_go_to_the_next_owner(self):
        lender = make_lender()
        link = Link(lender)
        link.exchange(FULL_AT_S)
        link.borrower.take_token('w', FULL_AT_S)
        link.owns = False
        link.exchange(FULL_AT_S)
        link.exchange(FULL_AT_S)
        successor = Link(lender, 'c')
        successor.exchange(FULL_AT_S)
        self.assertEqual(successor.take_all(FULL_AT_S), 5)

    def test_tokens_returned_with_a_lost_request_are_sent_again(self):
        link = Link(make_lender())
        link.exchange(FULL_AT_S)
        link.owns = False
        link.exchange(FULL_AT_S)
        for _ in range(2):
            (item,) = link.borrower.make_request('a').returned
            self.assertEqual(item.tokens_micro, 6 * MICRO)
        link.exchange(FULL_AT_S + 1)
        self.assertEqual(link.borrower.make_request('a').returned, ())

    def test_borrower_is_told_to_acknowledge_at_once(self):
        link = Link(make_lender())
        self.assertFalse(link.exchange(FULL_AT_S))
        link.owns = False
        self.assertTrue(link.exchange(FULL_AT_S))
        self.assertFalse(link.exchange(FULL_AT_S))

    def test_repeated_return_changes_nothing(self):
        lender = make_lender()
        link = Link(lender)
        link.exchange(FULL_AT_S)
        returns = link.borrower.make_returns(FULL_AT_S)
        lender.take_back(returns['a'], FULL_AT_S)
        successor = Link(lender, 'c')
        successor.exchange(FULL_AT_S)
        lender.take_back(returns['a'], FULL_AT_S)
        third = Link(lender, 'd')
        third.exchange(FULL_AT_S)
        self.assertEqual(third.borrower.workspaces(FULL_AT_S), frozenset())

    def test_grant_that_arrives_after_the_return_is_ignored(self):
        link = Link(make_lender())
        grant = link.request_grant(FULL_AT_S)
        link.exchange(FULL_AT_S)
        link.borrower.make_returns(FULL_AT_S)
        link.accept(grant, FULL_AT_S, FULL_AT_S)
        self.assertEqual(link.take_all(FULL_AT_S), 0)
        self.assertEqual(link.borrower.workspaces(FULL_AT_S), frozenset())


class LeaseTest(unittest.TestCase):
    """Guards against rights that are usable at two hosts.

    This can result from late messages, pauses, and restarts.
    """

    def setUp(self):
        self.lender = make_lender(frozenset({UNIT}))
        self.link = Link(self.lender)

    def units(self, now, link=None):
        return (link or self.link).borrower.units('orders', now)

    def test_borrower_counts_from_the_send(self):
        grant = self.link.request_grant(FULL_AT_S + 1)
        self.link.accept(grant, FULL_AT_S, FULL_AT_S + 2)
        self.assertEqual(self.units(FULL_AT_S + 2.9), {UNIT})
        self.assertEqual(self.units(FULL_AT_S + 3), frozenset())

    def test_grant_that_is_too_late_is_ignored(self):
        self.link.accept(
            self.link.request_grant(FULL_AT_S), FULL_AT_S, FULL_AT_S + 3
        )
        self.assertEqual(self.units(FULL_AT_S + 3), frozenset())
        self.assertEqual(self.link.take_all(FULL_AT_S + 3), 0)

    def test_paused_borrower_wakes_without_rights(self):
        self.link.exchange(FULL_AT_S)
        self.assertEqual(self.link.take_all(FULL_AT_S + 60), 0)
        self.assertEqual(self.units(FULL_AT_S + 60), frozenset())
        self.assertEqual(
            self.link.borrower.services(FULL_AT_S + 60), frozenset()
        )

    def test_lease_is_remembered_for_a_limited_time(self):
        # Addresses change over months; memory use must not grow with them.
        self.link.exchange(FULL_AT_S)
        for age, is_known in ((600, True), (604, False)):
            self.link.borrower.dump(FULL_AT_S + age)
            request = self.link.borrower.make_request('a')
            self.assertEqual(request.known_lease != 0, is_known)

    def test_unchanged_items_are_not_sent_again(self):
        self.link.exchange(FULL_AT_S)
        self.assertIsNone(self.link.request_grant(FULL_AT_S + 1).items)

    def test_next_owner_waits_for_the_acknowledgement(self):
        self.link.exchange(FULL_AT_S)
        successor = Link(self.lender, 'c')
        self.link.owns = False
        grant = self.link.request_grant(FULL_AT_S + 1)
        successor.exchange(FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1, successor), frozenset())
        self.link.accept(grant, FULL_AT_S + 1, FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1), frozenset())
        successor.exchange(FULL_AT_S + 1.5)
        self.assertEqual(self.units(FULL_AT_S + 1.5, successor), frozenset())
        self.link.exchange(FULL_AT_S + 2)
        successor.exchange(FULL_AT_S + 2)
        self.assertEqual(self.units(FULL_AT_S + 2, successor), {UNIT})

    def test_next_owner_waits_for_the_hold_time(self):
        self.link.exchange(FULL_AT_S)
        successor = Link(self.lender, 'c')
        successor.exchange(FULL_AT_S + 3.2)
        self.assertEqual(self.units(FULL_AT_S + 3.2, successor), frozenset())
        successor.exchange(FULL_AT_S + 3.3)
        self.assertEqual(self.units(FULL_AT_S + 3.3, successor), {UNIT})

    def test_next_owner_gets_returned_rights_at_once(self):
        self.link.exchange(FULL_AT_S)
        successor = Link(self.lender, 'c')
        successor.exchange(FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1, successor), frozenset())
        self.lender.take_back(
            self.link.borrower.make_returns(FULL_AT_S + 1)['a'], FULL_AT_S + 1
        )
        successor.exchange(FULL_AT_S + 1.5)
        self.assertEqual(self.units(FULL_AT_S + 1.5, successor), {UNIT})

    def test_older_version_is_ignored_after_the_lease_ended(self):
        # The request sent at 12 overtakes the one sent at 11, so its grant
        # is the older version. It arrives after the newer version has removed
        # the unit, was acknowledged and has expired.
        self.link.exchange(FULL_AT_S)
        request = self.link.borrower.make_request('a')
        owned = frozenset({'w'}), frozenset({'orders'})
        smaller = {'w': (MICRO, MICRO)}
        self.lender.set_rights(smaller, frozenset({UNIT}), FULL_AT_S + 2)
        late_grant = self.lender.grant(request, *owned, FULL_AT_S + 2)
        self.assertIn(UNIT, late_grant.items)
        no_rights = frozenset(), frozenset()
        grant = self.lender.grant(request, *no_rights, FULL_AT_S + 2)
        self.link.accept(grant, FULL_AT_S + 1, FULL_AT_S + 2)
        self.link.owns = False
        self.link.request_grant(FULL_AT_S + 2.5)
        successor = Link(self.lender, 'c')
        successor.exchange(FULL_AT_S + 4.5)
        self.assertEqual(self.units(FULL_AT_S + 4.5, successor), {UNIT})
        self.link.accept(late_grant, FULL_AT_S + 2, FULL_AT_S + 4.5)
        self.assertEqual(self.units(FULL_AT_S + 4.5), frozenset())

    def test_new_incarnation_does_not_end_the_old_lease(self):
        # The old process may only be paused.
        self.link.exchange(FULL_AT_S)
        restarted = Link(self.lender, incarnation=2)
        restarted.exchange(FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1, restarted), frozenset())
        restarted.exchange(FULL_AT_S + 3.3)
        self.assertEqual(self.units(FULL_AT_S + 3.3, restarted), {UNIT})

    def test_old_incarnation_gets_nothing(self):
        old = Link(self.lender, incarnation=1)
        Link(self.lender, incarnation=2).exchange(FULL_AT_S)
        self.assertEqual(old.request_grant(FULL_AT_S), lending.NO_GRANT)
        old.exchange(FULL_AT_S)
        self.assertEqual(self.units(FULL_AT_S, old), frozenset())

    def test_late_return_does_not_end_a_restarted_lenders_lease(self):
        self.link.exchange(FULL_AT_S)
        rights_return = self.link.borrower.make_returns(FULL_AT_S)['a']
        lender = make_lender(frozenset({UNIT}), start=FULL_AT_S)
        link = Link(lender)
        link.lender_incarnation = 2
        link.exchange(FULL_AT_S + 4)
        self.assertEqual(self.units(FULL_AT_S + 4, link), {UNIT})
        lender.take_back(rights_return, FULL_AT_S + 4)
        successor = Link(lender, 'c')
        successor.exchange(FULL_AT_S + 4)
        self.assertEqual(self.units(FULL_AT_S + 4, successor), frozenset())

    def test_grant_of_an_older_lender_process_is_ignored(self):
        grant = self.link.request_grant(FULL_AT_S)
        lender = make_lender(frozenset({UNIT}), start=FULL_AT_S)
        self.link.lender = lender
        self.link.lender_incarnation = 2
        self.link.exchange(FULL_AT_S)
        self.link.lender_incarnation = 1
        self.link.accept(grant, FULL_AT_S, FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1), frozenset())


class ShareChangeTest(unittest.TestCase):
    """Guards against exceeded limits while hosts apply a change.

    Hosts apply it at different times, so that a right whose home changes
    could be lent by both homes.
    """

    LARGER = {'w': (4 * MICRO, 12 * MICRO)}
    OTHER = messages.SlotUnit('orders', '10.0.0.1:80', 1)

    def setUp(self):
        self.lender = make_lender(frozenset({UNIT}))
        self.link = Link(self.lender)
        self.link.exchange(FULL_AT_S)

    def set_rights(self, own_shares, units, now, version='f', in_force_s=0.0):
        self.lender.set_rights(
            own_shares, frozenset(units), now, in_force_s, version
        )

    def exchange_until(self, end):
        """Exchange every second and just before `end`."""
        for second in range(int(FULL_AT_S) + 1, int(end)):
            self.link.exchange(second)
        self.link.exchange(end - 0.1)

    def units(self, now):
        return self.link.borrower.units('orders', now)

    def test_smaller_share_applies_at_once(self):
        self.set_rights({'w': (MICRO, 2 * MICRO)}, (), FULL_AT_S + 1, 'g')
        self.link.exchange(FULL_AT_S + 1)
        self.assertEqual(self.link.take_all(FULL_AT_S + 1), 2)
        self.assertEqual(self.units(FULL_AT_S + 1), frozenset())

    def test_larger_share_applies_at_once_under_the_same_list(self):
        # A higher limit or a new target must apply without delay, as no
        # right moves to another host.
        self.set_rights(self.LARGER, {UNIT, self.OTHER}, FULL_AT_S + 1)
        self.link.exchange(FULL_AT_S + 1)
        self.assertEqual(self.units(FULL_AT_S + 1), {UNIT, self.OTHER})
        self.link.take_all(FULL_AT_S + 1)
        self.assertEqual(self.link.take_all(FULL_AT_S + 2), 4)

    def test_larger_share_waits_under_a_new_list(self):
        at = FULL_AT_S + 1 + leases.GROWTH_DELAY_S
        self.set_rights(self.LARGER, {UNIT, self.OTHER}, FULL_AT_S + 1, 'g')
        self.exchange_until(at)
        self.assertEqual(self.link.take_all(at - 0.1), 6)
        self.assertEqual(self.units(at - 0.1), {UNIT})
        self.link.exchange(at)
        self.assertEqual(self.units(at), {UNIT, self.OTHER})
        self.assertEqual(self.link.take_all(at + 1), 4)

    def test_list_without_a_version_is_a_new_one(self):
        self.set_rights(self.LARGER, {UNIT, self.OTHER}, FULL_AT_S + 1, None)
        self.set_rights(self.LARGER, {UNIT, self.OTHER}, FULL_AT_S + 2, None)
        self.exchange_until(FULL_AT_S + 1 + leases.GROWTH_DELAY_S)
        self.link.exchange(FULL_AT_S + 1 + leases.GROWTH_DELAY_S)
        self.assertEqual(
            self.units(FULL_AT_S + 1 + leases.GROWTH_DELAY_S), {UNIT}
        )

    def test_age_of_a_list_shortens_the_delay(self):
        self.set_rights(
            self.LARGER, {UNIT, self.OTHER}, FULL_AT_S + 1, 'g', 9.0
        )
        self.link.exchange(FULL_AT_S + 1.9)
        self.assertEqual(self.units(FULL_AT_S + 1.9), {UNIT})
        self.link.exchange(FULL_AT_S + 2)
        self.assertEqual(self.units(FULL_AT_S + 2), {UNIT, self.OTHER})

    def test_other_changes_do_not_postpone_growth(self):
        at = FULL_AT_S + 1 + leases.GROWTH_DELAY_S
        for second in range(1, 11):
            now = FULL_AT_S + second
            self.set_rights(self.LARGER, {UNIT}, now, 'g')
            self.link.exchange(now)
        self.link.exchange(at)
        self.link.take_all(at)
        self.assertEqual(self.link.take_all(at + 1), 4)

    def test_lender_that_was_paused_holds_its_rights_back(self):
        # A list of addresses that it missed may have moved the rights to
        # another host.
        resumed_at = FULL_AT_S + 60
        self.link.exchange(resumed_at)
        self.assertEqual(self.units(resumed_at), frozenset())
        for second in range(1, 10):
            self.link.exchange(resumed_at + second)
        self.assertEqual(self.units(resumed_at + 9), frozenset())
        self.link.exchange(resumed_at + leases.GROWTH_DELAY_S)
        self.assertEqual(
            self.units(resumed_at + leases.GROWTH_DELAY_S), {UNIT}
        )

    def test_rights_held_back_are_taken_from_their_borrower(self):
        self.lender.hold_back(FULL_AT_S + 1)
        self.assertTrue(self.link.exchange(FULL_AT_S + 1))
        self.assertEqual(self.units(FULL_AT_S + 1), frozenset())
        self.assertEqual(self.link.take_all(FULL_AT_S + 1), 0)
        self.exchange_until(FULL_AT_S + 1 + leases.GROWTH_DELAY_S)
        at = FULL_AT_S + 1 + leases.GROWTH_DELAY_S
        self.assertEqual(self.units(at - 0.1), frozenset())
        self.link.exchange(at)
        self.assertEqual(self.units(at), {UNIT})
        self.assertEqual(self.link.take_all(at), 0)

    def test_removed_workspace_leaves_no_state(self):
        self.lender.set_rights({}, frozenset(), FULL_AT_S + 1)
        self.link.exchange(FULL_AT_S + 1)
        self.link.exchange(FULL_AT_S + 2)
        self.link.exchange(FULL_AT_S + 3)
        self.assertEqual(self.lender.dump(FULL_AT_S + 3)['rates'], {})
        self.assertEqual(self.lender.dump(FULL_AT_S + 3)['units'], [])
        self.assertEqual(self.link.borrower.dump(FULL_AT_S + 3)['pools'], {})
