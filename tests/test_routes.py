"""Tests of route lookup."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from lavenderstile import models
from lavenderstile import routes

SEGMENTS = strategies.sampled_from(('a', 'b', 'ab', 'c'))
PATHS = strategies.lists(SEGMENTS, max_size=4).map(
    lambda segments: '/' + '/'.join(segments)
)
METHODS = strategies.sampled_from(('GET', 'POST', 'PUT'))


def build_table(*definitions):
    """Return a table of (name, path, methods...) definitions."""
    return routes.RouteTable(
        {
            name: models.Route(name, path, 'orders', tuple(methods))
            for name, path, *methods in definitions
        }
    )


def match_linear(configured, method, path):
    """Return the matching route by comparing all prefixes."""
    known = [
        route
        for route in configured
        if (path + '/').startswith(route.path.rstrip('/') + '/')
    ]
    longest = max((len(route.path) for route in known), default=0)
    return min(
        (
            route
            for route in known
            if len(route.path) == longest
            and (not route.methods or method in route.methods)
        ),
        key=lambda route: route.name,
        default=None,
    )


class MatchTest(unittest.TestCase):
    """Guards against requests that reach the wrong service."""

    def check(self, table, method, path, name):
        route = table.match(method, path)
        self.assertEqual(route.name if route else None, name, path)

    def test_longest_prefix_wins(self):
        table = build_table(
            ('root', '/'), ('orders', '/orders'), ('old', '/orders/old')
        )
        self.check(table, 'GET', '/', 'root')
        self.check(table, 'GET', '/order', 'root')
        self.check(table, 'GET', '/orders', 'orders')
        self.check(table, 'GET', '/orders/', 'orders')
        self.check(table, 'GET', '/orders/7?q=1', 'orders')
        self.check(table, 'GET', '/orders/old/7', 'old')
        self.check(table, 'GET', '/orders/older', 'orders')

    def test_unknown_paths_have_no_route(self):
        table = build_table(('old', '/orders/old'))
        for path in ('/', '/orders', '/orders/olde', '', '*', 'orders/old'):
            self.check(table, 'GET', path, None)
            self.assertEqual(table.allowed_methods(path), ())

    def test_prefix_with_trailing_slash_is_the_same(self):
        table = build_table(('orders', '/orders/'))
        self.check(table, 'GET', '/orders', 'orders')
        self.check(table, 'GET', '/orders/7', 'orders')

    def test_encoded_letters_do_not_evade_a_route(self):
        table = build_table(('root', '/'), ('orders', '/orders'))
        self.check(table, 'GET', '/%6frders/7', 'orders')

    def test_ambiguous_paths_have_no_route(self):
        table = build_table(('open', '/open'), ('root', '/'))
        for path in ('/open/../ledger', '/open/%2e%2e/ledger', '/open%2fx'):
            self.check(table, 'GET', path, None)

    def test_equal_paths_tie_by_name(self):
        definitions = [('c', '/x'), ('a', '/x/'), ('b', '/x', 'GET')]
        for order in itertools.permutations(definitions):
            self.check(build_table(*order), 'GET', '/x/y', 'a')


class MethodTest(unittest.TestCase):
    """Guards against a method that falls through to an open route."""

    def test_methods_of_one_path_may_differ(self):
        table = build_table(('r', '/x', 'GET', 'HEAD'), ('w', '/x', 'POST'))
        self.assertEqual(table.match('HEAD', '/x').name, 'r')
        self.assertEqual(table.match('POST', '/x').name, 'w')

    def test_refused_method_is_told_from_unknown_path(self):
        table = build_table(('root', '/'), ('orders', '/orders', 'POST'))
        self.assertIsNone(table.match('GET', '/orders/7'))
        self.assertEqual(table.allowed_methods('/orders/7'), ('POST',))
        self.assertEqual(table.match('GET', '/other').name, 'root')

    def test_methods_are_compared_exactly(self):
        table = build_table(('orders', '/orders', 'POST'))
        self.assertIsNone(table.match('post', '/orders'))


class LinearSearchTest(unittest.TestCase):
    """Guards against an index that differs from a linear search."""

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(PATHS, strategies.sets(METHODS)), max_size=12
        ),
        METHODS,
        PATHS,
    )
    def test_index_agrees_with_linear_search(self, defined, method, path):
        configured = {
            f'r{index}': models.Route(
                f'r{index}', prefix, 'orders', tuple(sorted(methods))
            )
            for index, (prefix, methods) in enumerate(defined)
        }
        self.assertEqual(
            routes.RouteTable(configured).match(method, path),
            match_linear(configured.values(), method, path),
        )


class RefreshTest(unittest.TestCase):
    """Guards against a refreshed table that differs from a new one."""

    STATES = strategies.dictionaries(
        strategies.sampled_from(('p', 'q', 'r', 's')),
        strategies.tuples(PATHS, strategies.sets(METHODS, max_size=1)),
    )

    def dump(self, node):
        children = node.children or {}
        return (
            [route.name for route in node.routes],
            {segment: self.dump(child) for segment, child in children.items()},
        )

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.lists(STATES, min_size=1, max_size=5))
    def test_refreshed_table_equals_a_new_one(self, states):
        configured = {}
        table = routes.RouteTable(configured)
        for state in states:
            previous = configured
            configured = {
                name: models.Route(name, path, 'orders', tuple(methods))
                for name, (path, methods) in state.items()
            }
            names = [
                name
                for name in previous.keys() | configured.keys()
                if previous.get(name) != configured.get(name)
            ]
            table.refresh(configured, names)
            new = routes.RouteTable(configured)
            # Equal trees also show that no empty node is left behind.
            self.assertEqual(self.dump(table._root), self.dump(new._root))
