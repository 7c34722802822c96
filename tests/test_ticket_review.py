"""Tests of the review of tickets against what is in force."""

import unittest

from lavenderstile import admin_responses
from lavenderstile import ticket_review
from lavenderstile import tickets


def parse(text):
    """Return the pair (source, ticket) of a text."""
    ticket = tickets.parse_ticket(text, 'test')
    return f'{ticket.number}.toml', ticket


def entry(name, number, digest, removed=False):
    """Return a failure domain in force."""
    return admin_responses.ObjectEntry(
        'domains', name, number, digest, removed
    )


def domain(number, name):
    """Return a ticket that sets a failure domain."""
    return parse(f'ticket = {number}\n[domains.{name}]\nin_service = true\n')


class ReviewTest(unittest.TestCase):
    """Guards against a review that differs from what hosts will apply."""

    def review(self, batch, *entries):
        return [
            (list(review.changed), len(review.problems))
            for review in ticket_review.review_tickets(batch, list(entries))
        ]

    def test_precedence_is_that_of_the_merge(self):
        north = ['domains.north']
        low, high = '0' * 64, 'f' * 64
        for old, expected in (
            (entry('north', 4, high), (north, 0)),
            (entry('north', 6, low), ([], 1)),
            # The number is in use, so the higher digest wins.
            (entry('north', 5, low), (north, 1)),
            (entry('north', 5, high), ([], 2)),
        ):
            self.assertEqual(
                self.review([domain(5, 'north')], old), [expected]
            )

    def test_tombstones_are_compared_too(self):
        old = entry('north', 6, '0' * 64, True)
        self.assertEqual(self.review([domain(5, 'north')], old), [([], 1)])

    def test_batch_is_applied_in_order(self):
        batch = [domain(6, 'north'), domain(5, 'north')]
        self.assertEqual(self.review(batch), [(['domains.north'], 0), ([], 1)])
        self.assertEqual(
            self.review(reversed(batch)),
            [(['domains.north'], 0), (['domains.north'], 0)],
        )


class ReusedNumberTest(unittest.TestCase):
    """Guards against two tickets with the same number in a batch."""

    def test_same_text_twice_is_one_ticket(self):
        batch = [domain(5, 'north'), domain(5, 'north'), domain(6, 'north')]
        self.assertEqual(list(ticket_review.find_reused_numbers(batch)), [])

    def test_other_text_is_named_with_the_first(self):
        batch = [domain(5, 'north'), domain(5, 'south')]
        self.assertEqual(
            list(ticket_review.find_reused_numbers(batch)),
            ['5.toml: ticket: number 5 is also used by 5.toml'],
        )
