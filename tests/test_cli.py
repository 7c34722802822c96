"""Tests of the tool's entry point: usage errors and exit codes."""

import subprocess
import sys
import unittest

from lavenderstile import cli
from lavenderstile import cli_base
from tests import cli_case


class UsageTest(cli_case.ToolCase):
    """Guards against scripts that mistake a usage error for success."""

    def test_usage_errors_have_their_own_code(self):
        for arguments in (
            ['nosuch'],
            ['ticket'],
            ['ticket', 'check'],
            ['ticket', 'check', '--frob', 'x'],
            ['settings', 'check'],
            ['settings', 'check', 'a', 'b'],
            ['show', 'localhost'],
            ['show', '127.0.0.1'],
            ['dump'],
            ['drain'],
            ['versions'],
            ['explain', 'request', 'x'],
            ['explain', 'target', 'orders', 'x', '--host', cli_case.HOST_ONE],
        ):
            code, stdout, stderr = self.run_tool(*arguments)
            self.assertEqual(code, 2, arguments)
            self.assertEqual(stdout, '')
            self.assertNotIn('Traceback', stderr)
            self.assertTrue(stderr.strip())

    def test_lists_all_commands(self):
        code, stdout, _ = self.run_tool('list')
        self.assertEqual(code, 0)
        for command in cli.COMMANDS:
            self.assertIn(command.name, stdout)

    def test_every_command_offers_json(self):
        for command in cli.COMMANDS:
            self.assertIn(cli_base.JSON_OPTION, command.options)

    def test_names_that_look_like_style_tags_are_printed(self):
        code, _, stderr = self.run_tool('show', '<error>x</error>')
        self.assertEqual(code, 2)
        self.assertIn('<error>x</error>', stderr)


class ProgramTest(unittest.TestCase):
    """Guards against a tool that works only when called in this process."""

    def run_program(self, *arguments, stdin=''):
        return subprocess.run(
            [sys.executable, '-m', 'lavenderstile.cli', *arguments],
            input=stdin,
            capture_output=True,
            text=True,
            check=False,
        )

    def test_reads_a_key_from_standard_input(self):
        completed = self.run_program('key', 'digest', stdin='abc\n')
        self.assertEqual(completed.returncode, 0)
        self.assertEqual(completed.stdout[:8], 'ba7816bf')

    def test_closed_port_is_unreachable(self):
        # Port 1 of a loopback address that nothing listens on.
        completed = self.run_program('dump', '127.0.0.77:1')
        self.assertEqual(completed.returncode, 3)
        self.assertEqual(completed.stderr.count('\n'), 1)
        self.assertIn('127.0.0.77:1: unreachable', completed.stderr)
