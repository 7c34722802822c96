"""Tests of the commands for keys."""

import io

from lavenderstile import keys
from tests import cli_case

KEY = 'heat-sheets-key-4711'


class KeyDigestTest(cli_case.ToolCase):
    """Guards against keys in arguments or messages, and wrong digests."""

    def test_digest_of_one_line(self):
        for stdin in (KEY, KEY + '\n', KEY + '\r\n'):
            code, stdout, _ = self.run_tool('key', 'digest', stdin=stdin)
            self.assertEqual(code, 0)
            self.assertEqual(stdout, keys.digest_key(KEY) + '\n')

    def test_json(self):
        code, value = self.run_json('key', 'digest', stdin=KEY)
        self.assertEqual((code, value), (0, {'digest': keys.digest_key(KEY)}))

    def test_unusable_keys_are_refused_without_showing_them(self):
        for stdin in ('', '\n', f'{KEY} x', f'{KEY}\n{KEY}\n', f'{KEY}\u00e9'):
            code, stdout, stderr = self.run_tool('key', 'digest', stdin=stdin)
            self.assertEqual((code, stdout), (1, ''))
            self.assertIn('a key must be one line', stderr)
            self.assertNotIn(KEY, stderr)

    def test_input_that_is_not_utf_8(self):
        stdin = io.TextIOWrapper(io.BytesIO(b'\xff\xfe'), 'utf-8')
        code, _, stderr = self.run_tool('key', 'digest', stdin=stdin)
        self.assertEqual(code, 1)
        self.assertIn('must be UTF-8', stderr)

    def test_key_as_argument_is_refused_and_not_repeated(self):
        for arguments in (
            ['key', 'digest', KEY],
            ['key', 'digest', '--key', KEY],
            ['key', 'digest', f'--{KEY}'],
            ['key', KEY],
            ['--json', 'key', 'digest', KEY],
        ):
            code, stdout, stderr = self.run_tool(*arguments)
            self.assertEqual((code, stdout), (2, ''), arguments)
            self.assertNotIn(KEY, stderr)
            self.assertIn('standard input', stderr)


class KeyGenerateTest(cli_case.ToolCase):
    """Guards against keys that are guessable or unusable."""

    def test_keys_are_distinct_and_match_their_digest(self):
        seen = set()
        for _ in range(20):
            code, value = self.run_json('key', 'generate')
            self.assertEqual(code, 0)
            key = value['key']
            self.assertGreaterEqual(len(key), 43)
            self.assertEqual(value['digest'], keys.digest_key(key))
            self.assertEqual(keys.extract_bearer(f'Bearer {key}'), key)
            seen.add(key)
        self.assertEqual(len(seen), 20)

    def test_text(self):
        _, stdout, _ = self.run_tool('key', 'generate')
        lines = dict(line.split(': ') for line in stdout.splitlines())
        self.assertEqual(lines['digest'], keys.digest_key(lines['key']))
