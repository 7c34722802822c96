"""Tests of the comparison of hosts."""

import unittest

from lavenderstile import admin_responses
from lavenderstile import differences


def build_answer(*entries):
    """Return an answer with (name, ticket, digest) of some routes."""
    objects = [
        admin_responses.ObjectEntry('routes', *entry) for entry in entries
    ]
    return admin_responses.ConfigurationResponse(0, '', objects)


class FindDifferencesTest(unittest.TestCase):
    """Guards against differing hosts that are reported as equal."""

    def find(self, **answers):
        return list(differences.find_differences(answers))

    def test_none_or_one_host_has_no_difference(self):
        self.assertEqual(self.find(), [])
        self.assertEqual(self.find(a=build_answer(('r', 1, 'x'))), [])

    def test_order_is_no_difference(self):
        one = build_answer(('r', 1, 'x'), ('s', 2, 'y'))
        two = build_answer(('s', 2, 'y'), ('r', 1, 'x'))
        self.assertEqual(self.find(a=one, b=two), [])

    def test_differing_digest_number_or_presence(self):
        one = build_answer(('d', 1, 'x'), ('n', 1, 'x'), ('p', 1, 'x'))
        two = build_answer(('d', 1, 'y'), ('n', 2, 'x'))
        found = self.find(a=one, b=two, c=one)
        self.assertEqual([item.name for item in found], ['d', 'n', 'p'])
        self.assertEqual(
            found[2].versions, {'a': (1, 'x'), 'b': None, 'c': (1, 'x')}
        )
