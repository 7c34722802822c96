"""Fuzz tests of ticket parsing."""

import unittest

import hypothesis
from hypothesis import strategies

from lavenderstile import errors
from lavenderstile import tickets
from tests import test_tickets


class FuzzTest(unittest.TestCase):
    """Guards against texts that make the parser raise other errors."""

    LINES = strategies.sampled_from(test_tickets.COMPLETE.splitlines())
    VALUES = strategies.sampled_from(
        (
            'ticket = 0x7',
            'fleet = []',
            'removed = true',
            '[[routes.orders]]',
            '[routes.orders.x]',
            'ticket.x = 1',
            'rate = 1e400',
            'addresses = ["::/0", 1, {}]',
            'key_digests = [[], {a = 1}, 1979-05-27T07:32:00Z]',
            'methods = [[1], [1]]',
            '"\\u0000" = ""',
            '[services.""]',
            'targets = [{address = 1}, 2]',
        )
    )

    def check(self, text):
        try:
            ticket = tickets.parse_ticket(text, 'fuzz')
        except errors.TicketError as error:
            self.assertTrue(error.faults)
            return
        self.assertGreater(ticket.number, 0)
        self.assertTrue(ticket.objects)

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.text())
    def test_any_text(self, text):
        self.check(text)
        self.check(f'ticket = 1\n{text}')
        self.check(f'ticket = 1\n[domains.{text}]\nin_service = true')

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.lists(LINES | VALUES, max_size=30))
    def test_shuffled_lines(self, lines):
        self.check('\n'.join(lines))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.integers(0, len(test_tickets.COMPLETE)),
        strategies.integers(0, 40),
        VALUES | strategies.text(max_size=8),
    )
    def test_damaged_ticket(self, start, length, text):
        self.check(
            test_tickets.COMPLETE[:start]
            + text
            + test_tickets.COMPLETE[start + length :]
        )
