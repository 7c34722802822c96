"""Tests of token buckets and pools."""

import types
import unittest

from lavenderstile import messages
from lavenderstile import rates

MICRO = messages.MICRO


def make_lease(until):
    return types.SimpleNamespace(until=until)


def put_share(pool, lender, until, rate, burst, tokens, now=0.0):
    lease = make_lease(until)
    share = rates.Share(lease, rate * MICRO, burst * MICRO)
    pool.put_share(lender, share, tokens * MICRO, now)
    return lease


def count_taken(pool, now):
    count = 0
    while pool.take(now) == messages.Taken():
        count += 1
    return count


class BucketTest(unittest.TestCase):
    """Guards against tokens lost or created by rounding."""

    def test_frequent_settlement_loses_nothing(self):
        bucket = rates.Bucket(0.0, 20_833, 10 * MICRO)
        for millisecond in range(1, 48_001):
            bucket.refill(millisecond / 1000)
        self.assertIn(bucket.level_micro, (48 * 20_833 - 1, 48 * 20_833))

    def test_settlement_creates_nothing(self):
        bucket = rates.Bucket(0.0, 7 * MICRO // 3, 1000 * MICRO)
        for step in range(1, 1001):
            bucket.refill(step * 0.0137)
        self.assertLessEqual(bucket.level_micro, 7 * MICRO // 3 * 13.7)

    def test_a_clock_that_steps_back_creates_nothing(self):
        bucket = rates.Bucket(10.0, MICRO, 5 * MICRO)
        bucket.refill(8.0)
        bucket.refill(10.0)
        self.assertEqual(bucket.level_micro, 0)

    def test_level_stays_within_a_smaller_capacity(self):
        bucket = rates.Bucket(0.0, MICRO, 5 * MICRO, 5 * MICRO)
        bucket.resize(MICRO, 2 * MICRO)
        bucket.resize(MICRO, 5 * MICRO)
        self.assertEqual(bucket.level_micro, 2 * MICRO)


class TokenPoolTest(unittest.TestCase):
    """Guards against pools that hold more tokens than their shares allow."""

    def test_sums_shares(self):
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 3.0, 2, 4, 4)
        put_share(pool, 'b', 3.0, 2, 4, 4)
        self.assertEqual(count_taken(pool, 0.0), 8)
        self.assertEqual(count_taken(pool, 1.0), 4)

    def test_ended_share_takes_capacity_and_level_along(self):
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 1.0, 0, 4, 4)
        put_share(pool, 'b', 3.0, 0, 4, 4)
        self.assertEqual(count_taken(pool, 1.0), 4)

    def test_paused_process_refills_only_until_each_end(self):
        # Between 1 s and 3 s only one of the two shares accrues tokens,
        # although both were held before the pause.
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 1.0, 2, 100, 0)
        put_share(pool, 'b', 9.0, 2, 100, 0)
        self.assertEqual(count_taken(pool, 3.0), 2 + 2 + 4)

    def test_capacity_limits_the_level_at_each_end_in_turn(self):
        # The level is cut from 10 to 5 at 1 s, and to 1 at 2 s.
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 1.0, 0, 5, 5)
        put_share(pool, 'b', 2.0, 0, 4, 4)
        put_share(pool, 'c', 9.0, 0, 1, 1)
        self.assertEqual(count_taken(pool, 5.0), 1)

    def test_renewed_share_stays(self):
        pool = rates.TokenPool(0.0)
        lease = put_share(pool, 'a', 1.0, 0, 4, 4)
        lease.until = 5.0
        self.assertEqual(count_taken(pool, 2.0), 4)
        self.assertEqual(pool.take(5.0), messages.NoRights())

    def test_retry_after_follows_the_rate(self):
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 9.0, 4, 4, 0)
        self.assertEqual(pool.take(0.0), messages.Denied(0.25))

    def test_capacity_under_one_token_runs_nothing(self):
        pool = rates.TokenPool(0.0)
        share = rates.Share(make_lease(1e9), MICRO, MICRO - 1)
        pool.put_share('a', share, 0, 0.0)
        denied = messages.Denied(rates.EMPTY_RETRY_S)
        self.assertEqual(pool.take(1e6), denied)

    def test_split_gives_each_lender_its_part(self):
        pool = rates.TokenPool(0.0)
        put_share(pool, 'a', 9.0, 0, 6, 3)
        put_share(pool, 'b', 9.0, 0, 2, 1)
        parts = {'a': 3 * MICRO, 'b': MICRO}
        self.assertEqual(pool.split(0.0), parts)
        self.assertEqual(count_taken(pool, 0.0), 0)
