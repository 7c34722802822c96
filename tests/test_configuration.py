"""Tests of the configuration in force."""

import functools
import unittest

from lavenderstile import configuration
from lavenderstile import models
from lavenderstile import tickets


@functools.cache
def parse(text):
    """Return the ticket in `text`; a parsed ticket never changes."""
    return tickets.parse_ticket(text, 'test')


def domain_ticket(number, *names, in_service=True, note=''):
    """Return a ticket that sets failure domains."""
    flag = str(in_service).lower()
    tables = ''.join(
        f'[domains.{name}]\nin_service = {flag}\n' for name in names
    )
    return parse(f'# {note}\nticket = {number}\n{tables}')


def removal_ticket(number, *names):
    """Return a ticket that removes failure domains."""
    tables = ''.join(f'[domains.{name}]\nremoved = true\n' for name in names)
    return parse(f'ticket = {number}\n{tables}')


def apply_all(*batch):
    """Return a configuration with the tickets applied one by one."""
    state = configuration.Configuration()
    for ticket in batch:
        state.apply(ticket)
    return state


class ApplyTest(unittest.TestCase):
    """Guards against a configuration that reverts or mixes tickets (I11)."""

    def test_starts_empty(self):
        state = configuration.Configuration()
        self.assertEqual(state.newest, 0)
        self.assertEqual(state.digest, bytes(32))
        self.assertEqual(state.fleet.addresses, ())
        self.assertEqual(state.fleet_version, '')
        self.assertEqual(state.list_missing_texts(()), [])

    def test_newer_ticket_replaces_the_whole_object(self):
        state = apply_all(
            parse(
                'ticket = 1\n[services.s]\ntargets = []\nfloor = 0.5\n'
                'timeout_ms = 7\n'
            ),
            parse('ticket = 2\n[services.s]\ntargets = []\nfloor = 0.6\n'),
        )
        self.assertEqual(
            state.services, {'s': models.Service('s', (), floor=0.6)}
        )

    def test_stale_ticket_changes_only_what_nothing_newer_set(self):
        state = apply_all(domain_ticket(2, 'a', in_service=False))
        result = state.apply(domain_ticket(1, 'a', 'b'))
        self.assertEqual(result.changed, (('domains', 'b'),))
        self.assertEqual(result.ignored, (('domains', 'a'),))
        self.assertFalse(state.domains['a'].in_service)
        self.assertTrue(state.domains['b'].in_service)
        self.assertEqual(state.domains_out, {'a'})
        self.assertEqual(state.newest, 2)

    def test_removed_object_stays_removed(self):
        state = apply_all(domain_ticket(1, 'a'), removal_ticket(2, 'a'))
        self.assertEqual(state.domains, {})
        state.apply(domain_ticket(1, 'a'))
        self.assertEqual(state.domains, {})
        self.assertEqual(len(state.list_missing_texts(())), 1)
        state.apply(domain_ticket(3, 'a'))
        self.assertIn('a', state.domains)

    def test_removal_before_the_object_is_known(self):
        state = apply_all(removal_ticket(2, 'a'), domain_ticket(1, 'a'))
        self.assertEqual(state.domains, {})

    def test_second_arrival_changes_nothing(self):
        state = apply_all(domain_ticket(1, 'a'))
        before = (state.snapshot, state.digest, state.generation)
        result = state.apply(domain_ticket(1, 'a'))
        self.assertEqual(result.changed, ())
        self.assertEqual(result.ignored, (('domains', 'a'),))
        self.assertEqual(
            (state.snapshot, state.digest, state.generation), before
        )

    def test_generation_grows_with_each_change(self):
        state = configuration.Configuration()
        seen = [state.generation]
        for number in (1, 2, 3):
            state.apply(domain_ticket(number, 'a'))
            seen.append(state.generation)
        self.assertEqual(sorted(set(seen)), seen)

    def test_readers_keep_a_consistent_snapshot(self):
        # A request that waits while a ticket arrives must not see the
        # route of one ticket with the service of another.
        old = parse(
            'ticket = 1\n[services.s]\ntargets = []\n[domains.a]\n'
            'in_service = true\n[routes.r]\npath = "/"\nservice = "s"\n'
        )
        new = parse(
            'ticket = 2\n[services.s]\nremoved = true\n[domains.a]\n'
            'in_service = false\n[routes.r]\nremoved = true\n'
        )
        state = apply_all(old)
        snapshot = state.snapshot
        held = (state.services, state.routes, state.domains)
        copies = tuple(map(dict, held))
        state.apply(new)
        self.assertEqual(held, copies)
        self.assertEqual(snapshot.services, copies[0])
        self.assertEqual(snapshot.domains_out, frozenset())
        self.assertEqual(state.services, {})
        self.assertEqual(state.domains_out, {'a'})

    def test_batch_equals_single_tickets(self):
        batch = [
            domain_ticket(3, 'a', in_service=False),
            domain_ticket(1, 'a', 'b'),
            removal_ticket(2, 'b'),
            domain_ticket(3, 'c', note='other'),
        ]
        one = configuration.Configuration()
        results = one.apply_all(batch)
        other = configuration.Configuration()
        self.assertEqual(results, [other.apply(item) for item in batch])
        self.assertEqual(one.generation, 1)
        for name in ('domains', 'domains_out', 'digest', 'versions'):
            self.assertEqual(getattr(one, name), getattr(other, name))


class FleetTest(unittest.TestCase):
    """Guards against different fleets with the same version."""

    def fleet_ticket(self, number, addresses, note=''):
        return parse(
            f'# {note}\nticket = {number}\n[fleet]\naddresses = {addresses}'
        )

    def test_networks_are_expanded(self):
        state = apply_all(self.fleet_ticket(1, ['127.0.0.8/30']))
        self.assertEqual(state.fleet.addresses, ('127.0.0.9', '127.0.0.10'))

    def test_version_changes_with_every_fleet_ticket(self):
        state = configuration.Configuration()
        versions = [state.fleet_version]
        for ticket in (
            self.fleet_ticket(1, ['127.0.0.1']),
            self.fleet_ticket(2, ['127.0.0.2']),
            self.fleet_ticket(3, ['127.0.0.1']),
        ):
            state.apply(ticket)
            versions.append(state.fleet_version)
        state.apply(domain_ticket(4, 'a'))
        self.assertEqual(state.fleet_version, versions[-1])
        self.assertEqual(len(set(versions)), 4)

    def test_version_is_independent_of_arrival_order(self):
        one = self.fleet_ticket(1, ['127.0.0.1'])
        two = self.fleet_ticket(1, ['127.0.0.2'])
        self.assertEqual(
            apply_all(one, two).fleet_version,
            apply_all(two, one).fleet_version,
        )


class ConflictTest(unittest.TestCase):
    """Guards against two tickets with one number that go unreported."""

    def setUp(self):
        super().setUp()
        pair = [
            domain_ticket(5, 'a', 'b', in_service=True),
            domain_ticket(5, 'a', 'c', in_service=False),
        ]
        self.low, self.high = sorted(pair, key=lambda item: item.digest)

    def test_higher_digest_wins_in_any_order(self):
        expected = self.high.objects[('domains', 'a')]
        digests = set()
        for batch in ((self.low, self.high), (self.high, self.low)):
            state = apply_all(*batch)
            self.assertEqual(state.domains['a'], expected)
            self.assertEqual(set(state.domains), {'a', 'b', 'c'})
            digests.add(state.digest)
        self.assertEqual(len(digests), 1)

    def test_conflict_is_reported_once_and_shown(self):
        conflict = configuration.Conflict(
            5, (self.low.digest, self.high.digest)
        )
        for batch in ((self.low, self.high), (self.high, self.low)):
            state = configuration.Configuration()
            found = [state.apply(item).conflicts for item in batch * 2]
            self.assertEqual(found, [(), (conflict,), (), ()])
            self.assertEqual(state.conflicts, (conflict,))
        self.assertIn('number 5', str(conflict))

    def test_fully_superseded_ticket_is_reported_in_any_order(self):
        pair = (domain_ticket(5, 'a'), domain_ticket(5, 'a', note='x'))
        for one, two in (pair, reversed(pair)):
            state = apply_all(one)
            self.assertEqual(len(state.apply(two).conflicts), 1)
            self.assertEqual(len(state.conflicts), 1)

    def test_conflict_ends_when_both_tickets_are_superseded(self):
        state = apply_all(self.low, self.high)
        state.apply(domain_ticket(6, 'a', 'b'))
        self.assertEqual(len(state.conflicts), 1)
        state.apply(domain_ticket(7, 'c'))
        self.assertEqual(state.conflicts, ())


class TextTest(unittest.TestCase):
    """Guards against texts withheld from peers, and against memory leaks."""

    def test_missing_texts(self):
        one, two = domain_ticket(1, 'a'), domain_ticket(2, 'b')
        state = apply_all(one, two)
        self.assertEqual(
            sorted(state.list_missing_texts(())), sorted((one.text, two.text))
        )
        self.assertEqual(state.list_missing_texts({one.digest}), [two.text])
        self.assertEqual(state.list_missing_texts(state.tickets), [])

    def test_superseded_texts_are_dropped(self):
        state = apply_all(domain_ticket(1, 'a', 'b'), domain_ticket(2, 'a'))
        self.assertEqual(len(state.tickets), 2)
        last = domain_ticket(3, 'a', 'b')
        state.apply(last)
        self.assertEqual(state.tickets, {last.digest: last.text})

    def test_ignored_tickets_are_not_kept(self):
        # A host reads stale tickets as long as it runs; its memory use must
        # not grow with their number.
        last = domain_ticket(1000, 'a')
        state = apply_all(last)
        for number in range(1, 200):
            state.apply(domain_ticket(number, 'a'))
        self.assertEqual(state.tickets, {last.digest: last.text})
        self.assertEqual(len(state._digests_by_number), 1)
        self.assertEqual(len(state._use_counts), 1)


class UnresolvedTest(unittest.TestCase):
    """Guards against a misspelt reference that is not reported."""

    def test_references_resolve_across_tickets(self):
        state = apply_all(
            parse(
                'ticket = 1\n[routes.r]\npath = "/"\nservice = "s"\n'
                '[services.t]\ntargets = [{address = "127.0.0.1:1", '
                'domain = "north", slots = 1}]\n'
            )
        )
        self.assertEqual(
            [str(item) for item in state.unresolved],
            [
                'routes.r refers to services.s, which is not configured',
                'services.t refers to domains.north, which is not configured',
            ],
        )
        state.apply(domain_ticket(2, 'north'))
        self.assertEqual(len(state.unresolved), 1)
        state.apply(parse('ticket = 3\n[services.s]\ntargets = []\n'))
        self.assertEqual(state.unresolved, ())
        state.apply(removal_ticket(4, 'north'))
        self.assertEqual(len(state.unresolved), 1)
