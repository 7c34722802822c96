"""Tests of rendezvous hashing."""

import unittest

from lavenderstile import hashing

MEMBERS = [f'127.0.0.{number}' for number in range(1, 49)]


class RankTest(unittest.TestCase):
    """Guards against unnecessary changes of owner."""

    def test_losing_a_member_moves_only_its_items(self):
        lost = MEMBERS[7]
        remaining = [member for member in MEMBERS if member != lost]
        for number in range(500):
            item = f'workspace-{number}'
            before = hashing.rank(item, MEMBERS)[0]
            if before != lost:
                self.assertEqual(before, hashing.rank(item, remaining)[0])

    def test_order_of_members_does_not_matter(self):
        self.assertEqual(
            hashing.rank('orders', MEMBERS),
            hashing.rank('orders', reversed(MEMBERS)),
        )

    def test_items_spread_over_all_members(self):
        owners = {hashing.top(f'item-{n}', MEMBERS) for n in range(2000)}
        self.assertEqual(owners, set(MEMBERS))

    def test_top_is_the_first_of_the_ranking(self):
        for number in range(100):
            self.assertEqual(
                hashing.top(number, MEMBERS), hashing.rank(number, MEMBERS)[0]
            )

    def test_top_of_no_members_is_none(self):
        self.assertIsNone(hashing.top('item', []))
