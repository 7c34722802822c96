"""Tests of the share of refused requests under an uneven load."""

import unittest

from tests.standins import rate_load

SEED = 1


def run_load(system, **options):
    counts = rate_load.run_load(system, seconds=8, seed=SEED, **options)
    requests, refused = rate_load.sum_counts(counts)
    return refused / requests, counts


class UtilisationTest(unittest.TestCase):
    """Guards against refused requests that are within the rate.

    Fixed shares refuse them where a host gets more than its share of the
    requests.
    """

    def test_fixed_shares_refuse_much_of_an_uneven_load(self):
        refused, _ = run_load(rate_load.FixedShares())
        self.assertGreater(refused, 0.3)

    def test_one_owner_refuses_what_a_single_bucket_refuses(self):
        single, _ = run_load(rate_load.SingleBucket())
        conserved, _ = run_load(
            rate_load.ConservedRates(rate_load.find_single_owner)
        )
        self.assertLessEqual(conserved, single + 0.001)

    def test_several_owners_refuse_little_more(self):
        single, _ = run_load(rate_load.SingleBucket())
        conserved, counts = run_load(rate_load.ConservedRates())
        self.assertLessEqual(conserved, single + 0.002)
        self.assertEqual(counts['w0'][1], 0)

    def test_overload_gets_the_rate_and_the_burst(self):
        system = rate_load.ConservedRates()
        _, counts = run_load(system, load=5.0)
        for workspace in rate_load.WORKSPACES:
            requests, refused = counts[workspace.name]
            limit = workspace.rate * 8 + workspace.burst
            self.assertLessEqual(requests - refused, limit + 1)
            self.assertGreater(requests - refused, 0.95 * limit)


class OwnerLossTest(unittest.TestCase):
    """Guards against the loss of an owner that stops a whole workspace."""

    def count_refused(self, system):
        _, counts = run_load(system, events=rate_load.plan_owner_loss(system))
        return counts['w0'][1]

    def test_several_owners_keep_most_of_the_rate(self):
        one = self.count_refused(
            rate_load.ConservedRates(rate_load.find_single_owner)
        )
        several = self.count_refused(rate_load.ConservedRates())
        self.assertGreater(one, 500)
        self.assertLess(several, one / 4)


class JoinTest(unittest.TestCase):
    """Guards against refused requests while rights move to new hosts."""

    def count_refused(self, **options):
        system = rate_load.ConservedRates(
            absent=rate_load.HOSTS[:16], **options
        )
        events = rate_load.plan_join(system, SEED)
        _, counts = run_load(system, events=events)
        return rate_load.sum_counts(counts)[1]

    def test_moving_rights_refuse_little(self):
        slow = self.count_refused(acknowledges=False, asks_former=False)
        self.assertLess(self.count_refused(), slow / 4)
