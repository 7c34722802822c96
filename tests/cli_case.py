"""Base class of the tests that run the operator's tool."""

import io
import json
import pathlib
import tempfile
import unittest

from lavenderstile import cli
from lavenderstile import configuration
from lavenderstile import tickets
from tests.standins import admin_host

HOST_ONE = '127.0.0.1:9001'
HOST_TWO = '127.0.0.2:9001'
UNREACHABLE_HOST = '127.0.0.3:9001'


def build_state(*texts):
    """Return a configuration in which the tickets are in force."""
    state = configuration.Configuration()
    state.apply_all([tickets.parse_ticket(text, 'test') for text in texts])
    return state


class ToolCase(unittest.TestCase):
    """Runs the tool in this process against stand-ins for hosts."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.hosts = {
            HOST_ONE: admin_host.AdminHost(),
            HOST_TWO: admin_host.AdminHost(),
        }

    def write(self, name, content):
        """Write a file and return its path as text."""
        path = self.directory / name
        if isinstance(content, str):
            content = content.encode()
        path.write_bytes(content)
        return str(path)

    def run_tool(self, *arguments, stdin=''):
        """Run a command; return its exit code and both outputs."""
        stdout, stderr = io.StringIO(), io.StringIO()
        code = cli.run(
            ['lavenderstile', *arguments],
            admin_host.FleetTransport(self.hosts),
            io.StringIO(stdin) if isinstance(stdin, str) else stdin,
            stdout,
            stderr,
        )
        return code, stdout.getvalue(), stderr.getvalue()

    def run_json(self, *arguments, stdin=''):
        """Run a command with --json; return its exit code and value."""
        code, stdout, _ = self.run_tool(*arguments, '--json', stdin=stdin)
        self.assertEqual(stdout.count('\n'), 1)
        return code, json.loads(stdout)
