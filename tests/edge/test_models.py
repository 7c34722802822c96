"""Tests of the look-up of routes."""

import unittest

from tests.edge import builders


class RouteTest(unittest.TestCase):
    """Guards against requests that match the wrong route."""

    def setUp(self):
        self.configuration = builders.make_configuration(
            routes=[
                builders.make_route('outer', prefix='/a/'),
                builders.make_route('inner', prefix='/a/b/'),
                builders.make_route('all', prefix='/', host='other.example'),
            ]
        )

    def find(self, path, host='races.example'):
        """Return the name of the route of a path."""
        route = self.configuration.find_route(host, path)
        return route and route.name

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.find('/a/b/c'), 'inner')
        self.assertEqual(self.find('/a/bc/d'), 'outer')
        self.assertEqual(self.find('/a/b'), 'outer')

    def test_a_prefix_needs_its_slash(self):
        self.assertIsNone(self.find('/a'))
        self.assertIsNone(self.find('/ab/c'))

    def test_hosts_have_their_own_routes(self):
        self.assertEqual(self.find('/a/b/c', 'other.example'), 'all')
        self.assertIsNone(self.find('/a/b/c', 'unknown.example'))
