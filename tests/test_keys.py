"""Tests of key digests and the key ring."""

import contextlib
import hmac
import io
import traceback
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from lavenderstile import configuration
from lavenderstile import keys
from lavenderstile import models
from lavenderstile import tickets

KEY = 'heat-sheets-key-4711'


def build_ring(**key_names):
    """Return a ring of workspaces with the given lists of keys."""
    workspaces = {
        name: models.Workspace(
            name, tuple(keys.digest_key(key) for key in names), 1, 1
        )
        for name, names in key_names.items()
    }
    return keys.KeyRing.from_workspaces(workspaces)


class DigestKeyTest(unittest.TestCase):
    """Guards against digests that differ from those of other tools."""

    def test_is_sha_256(self):
        # Test vector of FIPS 180-2, appendix B.1.
        self.assertEqual(
            keys.digest_key('abc'),
            'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
        )


class ExtractBearerTest(unittest.TestCase):
    """Guards against a key that is read from a malformed header."""

    def test_reads_the_key(self):
        for header in (
            f'Bearer {KEY}',
            f'bearer  {KEY} ',
            f'BEARER {KEY}'.encode(),
        ):
            self.assertEqual(keys.extract_bearer(header), KEY)

    def test_refuses_malformed_headers(self):
        for header in (
            None,
            '',
            'Bearer',
            'Bearer ',
            KEY,
            f'Basic {KEY}',
            f'Bearer {KEY} {KEY}',
            f'Bearer {KEY}, Bearer other',
            f'Bearer {KEY}\n',
            b'Bearer \xff',
            'Bearer ' + 'k' * keys.MAX_HEADER_CHARS,
        ):
            self.assertIsNone(keys.extract_bearer(header))


class KeyRingTest(unittest.TestCase):
    """Guards against a request that runs for another workspace (I2)."""

    def test_finds_each_key_of_each_workspace(self):
        ring = build_ring(races=['one', 'two'], ledger=['three'])
        self.assertEqual(ring.find('one'), 'races')
        self.assertEqual(ring.find('two'), 'races')
        self.assertEqual(ring.find('three'), 'ledger')
        self.assertEqual(ring.find_digest(keys.digest_key('three')), 'ledger')

    def test_unknown_keys_are_not_found(self):
        ring = build_ring(races=['one'])
        for key in ('', 'on', 'one ', 'ONE', keys.digest_key('one')):
            self.assertIsNone(ring.find(key))
        digest = keys.digest_key('one')
        for digest in (
            '',
            digest[:-1],
            digest + '0',
            digest.upper(),
            '\u00e9',
        ):
            self.assertIsNone(ring.find_digest(digest))

    def test_digests_that_share_the_indexed_part_are_told_apart(self):
        prefix = 'a' * keys.INDEX_DIGITS
        one = prefix + 'b' * (64 - keys.INDEX_DIGITS)
        two = prefix + 'c' * (64 - keys.INDEX_DIGITS)
        ring = keys.KeyRing.from_workspaces(
            {
                'races': models.Workspace('races', (one,), 1, 1),
                'ledger': models.Workspace('ledger', (two,), 1, 1),
            }
        )
        self.assertEqual(ring.find_digest(one), 'races')
        self.assertEqual(ring.find_digest(two), 'ledger')
        self.assertIsNone(
            ring.find_digest(prefix + 'd' * (64 - keys.INDEX_DIGITS))
        )
        self.assertEqual(ring.ambiguous, frozenset())

    def test_a_key_of_two_workspaces_belongs_to_none(self):
        ring = build_ring(races=['one', 'two'], ledger=['one'])
        self.assertIsNone(ring.find('one'))
        self.assertEqual(ring.find('two'), 'races')
        self.assertEqual(ring.ambiguous, {'races', 'ledger'})

    def test_a_digest_listed_twice_by_one_workspace_is_found(self):
        ring = build_ring(races=['one', 'one'])
        self.assertEqual(ring.find('one'), 'races')
        self.assertEqual(ring.ambiguous, frozenset())

    def test_only_the_constant_time_comparison_decides(self):
        # A comparison that ends at the first difference would reveal by its
        # duration how many leading digits of a digest are right.
        ring = build_ring(races=['one'])
        target = 'lavenderstile.keys.hmac.compare_digest'
        with mock.patch(target, autospec=True, return_value=False) as compare:
            self.assertIsNone(ring.find('one'))
            self.assertEqual(compare.call_count, 1)
        digest = keys.digest_key('one')
        forged = digest[: keys.INDEX_DIGITS] + '0' * (64 - keys.INDEX_DIGITS)
        with mock.patch(target, autospec=True, return_value=True):
            self.assertEqual(ring.find_digest(forged), 'races')
        with mock.patch(
            target, autospec=True, side_effect=hmac.compare_digest
        ):
            self.assertIsNone(ring.find_digest(forged))


class RefreshTest(unittest.TestCase):
    """Guards against a refreshed ring that differs from a new one."""

    NAMES = strategies.sampled_from(('a', 'b', 'c'))
    # Two digests share the indexed part, so that entries have two names.
    DIGESTS = strategies.sampled_from(
        ('0' * 64, '0' * 63 + '1', '1' * 64, '2' * 64)
    )
    STATES = strategies.dictionaries(
        NAMES, strategies.lists(DIGESTS, max_size=3)
    )

    def build(self, digests):
        return {
            name: models.Workspace(name, tuple(items), 1, 1)
            for name, items in digests.items()
        }

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.lists(STATES, min_size=1, max_size=5))
    def test_refreshed_ring_equals_a_new_one(self, states):
        workspaces = {}
        ring = keys.KeyRing.from_workspaces(workspaces)
        for digests in states:
            previous, workspaces = workspaces, self.build(digests)
            names = [
                name
                for name in previous.keys() | workspaces.keys()
                if previous.get(name) != workspaces.get(name)
            ]
            ring.refresh(workspaces, names)
            new = keys.KeyRing.from_workspaces(workspaces)
            self.assertEqual(ring.ambiguous, new.ambiguous)
            self.assertEqual(ring._index.keys(), new._index.keys())
            for digest in ('0' * 64, '0' * 63 + '1', '1' * 64, '2' * 64):
                owners = [n for n, d in digests.items() if digest in d]
                expected = owners[0] if len(owners) == 1 else None
                self.assertEqual(ring.find_digest(digest), expected)
                self.assertEqual(new.find_digest(digest), expected)


class WithdrawalTest(unittest.TestCase):
    """Guards against a withdrawn key that still works (I2)."""

    def apply(self, state, number, *workspace_keys):
        digests = [keys.digest_key(key) for key in workspace_keys]
        text = (
            f'ticket = {number}\n[workspaces.races]\n'
            f'key_digests = {digests}\nrate = 1\nburst = 1\n'
        )
        state.apply(tickets.parse_ticket(text, 'test'))
        return keys.KeyRing.from_workspaces(state.workspaces)

    def test_withdrawn_key_is_not_found(self):
        state = configuration.Configuration()
        ring = self.apply(state, 1, 'old')
        self.assertEqual(ring.find('old'), 'races')
        ring = self.apply(state, 2, 'old', 'new')
        self.assertEqual(ring.find('old'), 'races')
        ring = self.apply(state, 3, 'new')
        self.assertIsNone(ring.find('old'))
        self.assertEqual(ring.find('new'), 'races')
        ring = self.apply(state, 2, 'old', 'new')
        self.assertIsNone(ring.find('old'))

    def test_key_of_a_removed_workspace_is_not_found(self):
        state = configuration.Configuration()
        self.apply(state, 1, 'old')
        text = 'ticket = 2\n[workspaces.races]\nremoved = true\n'
        state.apply(tickets.parse_ticket(text, 'test'))
        ring = keys.KeyRing.from_workspaces(state.workspaces)
        self.assertIsNone(ring.find('old'))


class SecrecyTest(unittest.TestCase):
    """Guards against keys in logs, dumps and error messages."""

    def test_no_key_in_reprs(self):
        ring = build_ring(races=[KEY])
        for value in (ring, ring._index, str(ring)):
            self.assertNotIn(KEY, repr(value))

    def test_no_digest_in_the_repr_of_the_ring(self):
        ring = build_ring(races=[KEY])
        self.assertNotIn(keys.digest_key(KEY)[:8], repr(ring))

    def test_pasted_key_is_not_shown_in_ticket_errors(self):
        text = (
            f'ticket = 1\n[workspaces.races]\nkey_digests = ["{KEY}"]\n'
            'rate = 1\nburst = 1\n'
        )
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            try:
                tickets.parse_ticket(text, 'test')
            except tickets.errors.TicketError:
                traceback.print_exc()
        self.assertIn('key_digests[0]', output.getvalue())
        self.assertNotIn(KEY, output.getvalue())
