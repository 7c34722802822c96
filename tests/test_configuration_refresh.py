"""Tests of the refresh of indexes after configuration changes."""

import unittest

import hypothesis
from hypothesis import strategies

from lavenderstile import configuration
from lavenderstile import errors
from lavenderstile import keys
from lavenderstile import routes
from tests.test_configuration import domain_ticket
from tests.test_configuration import parse
from tests.test_configuration import removal_ticket


def parse_or_none(text):
    """Return the ticket in `text`, or None when it has a fault."""
    try:
        return parse(text)
    except errors.TicketError:
        return None


class CollectNamesTest(unittest.TestCase):
    """Guards against indexes that miss a changed object."""

    def test_names_of_one_kind(self):
        state = configuration.Configuration()
        results = state.apply_all(
            [
                domain_ticket(1, 'a', 'b'),
                removal_ticket(2, 'b'),
                parse('ticket = 3\n[services.s]\ntargets = []\n'),
                domain_ticket(1, 'a'),
            ]
        )
        self.assertEqual(
            configuration.collect_names(results, 'domains'), {'a', 'b'}
        )
        self.assertEqual(
            configuration.collect_names(results, 'services'), {'s'}
        )


class RefreshTest(unittest.TestCase):
    """Guards against a withdrawn key or route left in an index (I2)."""

    DIGESTS = strategies.sampled_from(('0' * 64, '1' * 64, '2' * 64))
    TABLES = strategies.dictionaries(
        strategies.sampled_from(('a', 'b', 'c')),
        strategies.none() | strategies.lists(DIGESTS, max_size=2, unique=True),
        min_size=1,
    )
    BATCHES = strategies.lists(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 9), TABLES), max_size=3
        ),
        max_size=5,
    )

    def parse_tables(self, number, tables):
        parts = [f'ticket = {number}']
        for name, digests in tables.items():
            parts.append(f'[workspaces.{name}]')
            if digests is None:
                parts.append('removed = true')
                continue
            parts.append(f'key_digests = {digests}\nrate = 1\nburst = 1')
            parts.append(f'[routes.{name}]\nservice = "s"')
            parts.append(f'path = "/{len(digests)}"')
        return parse_or_none('\n'.join(parts))

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(BATCHES)
    def test_refreshed_indexes_agree_with_new_ones(self, batches):
        state = configuration.Configuration()
        ring = keys.KeyRing.from_workspaces(state.workspaces)
        table = routes.RouteTable(state.routes)
        for batch in batches:
            parsed = [self.parse_tables(*item) for item in batch]
            results = state.apply_all([item for item in parsed if item])
            names = configuration.collect_names(results, 'workspaces')
            ring.refresh(state.workspaces, names)
            names = configuration.collect_names(results, 'routes')
            table.refresh(state.routes, names)
        new_ring = keys.KeyRing.from_workspaces(state.workspaces)
        new_table = routes.RouteTable(state.routes)
        self.assertEqual(ring.ambiguous, new_ring.ambiguous)
        for digest in ('0' * 64, '1' * 64, '2' * 64):
            self.assertEqual(
                ring.find_digest(digest), new_ring.find_digest(digest)
            )
        for path in ('/0', '/1', '/2'):
            self.assertEqual(
                table.match('GET', path), new_table.match('GET', path)
            )
