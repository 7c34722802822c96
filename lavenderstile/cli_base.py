"""Base class and exit codes of the commands of the operator's tool."""

import json

from cleo.commands.command import Command
from cleo.exceptions import CleoRuntimeError
from cleo.helpers import option
from cleo.io.outputs.output import Type

from . import addresses
from . import admin_client

# Exit codes, which are part of the public interface.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

JSON_OPTION = option('json', None, 'Print JSON instead of text.')


class ToolCommand(Command):
    """A command that prints text for people, or JSON for programs."""

    # Subclasses that override this list include JSON_OPTION.
    options = [JSON_OPTION]

    def __init__(self, transport=None, stdin=None):
        self._client = admin_client.AdminClient(transport)
        self._stdin = stdin
        super().__init__()

    @property
    def client(self):
        """Client for the daemons' admin interface."""
        return self._client

    def emit(self, value, lines):
        """Print `value` as JSON if --json is given, otherwise the lines."""
        if self.option('json'):
            lines = [json.dumps(value, sort_keys=True)]
        for line in lines:
            # Raw output, because cleo would interpret names and paths that
            # look like style tags.
            self.io.write_line(line, type=Type.RAW)

    def emit_error(self, line):
        """Print a line on standard error."""
        self.io.write_error_line(line, type=Type.RAW)

    def read_addresses(self, texts):
        """Return the distinct addresses; raise a usage error if malformed."""
        for text in texts:
            try:
                addresses.parse_ip_port(text)
            except ValueError as error:
                raise CleoRuntimeError(
                    f'"{text}" is not an address of the form ip:port: {error}'
                )
        return list(dict.fromkeys(texts))


def choose_exit_code(failed, unreachable):
    """Return the exit code of a command that queried several hosts."""
    if unreachable:
        return EXIT_UNREACHABLE
    return EXIT_FAILED if failed else EXIT_OK
