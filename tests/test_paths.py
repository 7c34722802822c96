"""Tests of path splitting."""

import unittest

from lavenderstile import paths


class SplitPathTest(unittest.TestCase):
    """Guards against paths that mean something else to the target."""

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
        ):
            self.assertEqual(paths.split_path(path), segments, path)

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
            '/a%2fb',
            '/a%2F..%2Fb',
            '/a\\..\\b',
            '/a%5c..%5cb',
        ):
            self.assertIsNone(paths.split_path(path), path)
