"""Tests of path splitting."""

import posixpath
import unittest
import urllib.parse

import hypothesis
from hypothesis import strategies

from lavenderstile import paths

PIECES = strategies.lists(
    strategies.sampled_from(
        ('/', '/', '.', '..', '%2e', '%252E', '%2f', '%252f', '%25', '%')
        + ('\\', '%5c', ';', 'x', 'open', 'ledger', '?', '%00', '%ff')
    ),
    max_size=10,
)


def read_as_target(path, decodings):
    """Return a path as interpreted by a target that normalizes it."""
    path = path.partition('?')[0]
    for _ in range(decodings):
        path = urllib.parse.unquote(path, errors='surrogateescape')
    path = path.replace('\\', '/')
    parts = [part.partition(';')[0] for part in path.split('/')]
    return posixpath.normpath('/' + '/'.join(parts).lstrip('/'))


class SplitPathTest(unittest.TestCase):
    """Guards against paths that a target interprets differently."""

    def test_splits_and_decodes(self):
        for path, segments in (
            ('/', []),
            ('/a/b', ['a', 'b']),
            ('/a/b/', ['a', 'b']),
            ('//a///b', ['a', 'b']),
            ('/a?x=/../b', ['a']),
            ('/%61/b%20c', ['a', 'b c']),
            ('/a/...', ['a', '...']),
            ('/a/.well-known', ['a', '.well-known']),
            ('/a/100%25', ['a', '100%']),
            ('/a/b;v=1.2', ['a', 'b;v=1.2']),
        ):
            self.assertEqual(paths.split_path(path), segments, path)

    def test_bytes_that_are_not_utf_8_stay_distinct(self):
        self.assertNotEqual(paths.split_path('/%ff'), paths.split_path('/%fe'))

    def test_refuses_ambiguous_paths(self):
        for path in (
            '',
            'a',
            '*',
            '/a/..',
            '/a/../b',
            '/./a',
            '/a/%2e%2e/b',
            '/a/%2E./b',
            '/a/..;x/b',
            '/a/%252e%252e/b',
            '/a%2fb',
            '/a%252fb',
            '/a%2F..%2Fb',
            '/a\\b',
            '/a\\..\\b',
            '/a%5c..%5cb',
        ):
            self.assertIsNone(paths.split_path(path), path)

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=2000
    )
    @hypothesis.given(PIECES, strategies.sampled_from((0, 1, 2)))
    def test_targets_stay_below_the_first_segment(self, pieces, decodings):
        # The route of a path under /open must not lead to /ledger.
        path = '/open/' + ''.join(pieces)
        segments = paths.split_path(path)
        if segments is not None:
            self.assertEqual(segments[0], 'open')
            reading = read_as_target(path, decodings)
            self.assertEqual((reading + '/')[:6], '/open/', path)
