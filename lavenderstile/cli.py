"""Entry point of the operator's command-line tool, `lavenderstile`."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.stream_output import StreamOutput

from . import __version__
from . import cli_base
from . import cli_files
from . import cli_hosts
from . import cli_keys
from . import cli_logs
from . import cli_routing
from . import errors

COMMANDS = (
    cli_files.TicketCheckCommand,
    cli_files.TicketShowSchemaCommand,
    cli_files.SettingsCheckCommand,
    cli_keys.KeyDigestCommand,
    cli_keys.KeyGenerateCommand,
    cli_hosts.ShowCommand,
    cli_hosts.DumpCommand,
    cli_hosts.ExplainRequestCommand,
    cli_hosts.ExplainTargetCommand,
    cli_logs.ExplainLogCommand,
    cli_routing.ExplainRoutingCommand,
    cli_hosts.DrainCommand,
    cli_hosts.VersionsCommand,
)


def build_application(transport=None, stdin=None):
    """Return the application with all commands.

    `transport` replaces the network and `stdin` the standard input.
    """
    application = Application('lavenderstile', __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    stdin = sys.stdin if stdin is None else stdin
    for command in COMMANDS:
        application.add(command(transport, stdin))
    return application


def run(argv, transport=None, stdin=None, stdout=None, stderr=None):
    """Run the tool with `argv` (program name first); return its exit code.

    Each error is printed once, without a stack trace.
    """
    stdout = sys.stdout if stdout is None else stdout
    stderr = sys.stderr if stderr is None else stderr
    application = build_application(transport, stdin)
    try:
        return application.run(
            ArgvInput(argv), StreamOutput(stdout), StreamOutput(stderr)
        )
    except CleoError as error:
        print(_describe_usage_error(argv, error), file=stderr)
        return cli_base.EXIT_USAGE
    except errors.PeerError as error:
        print(error, file=stderr)
        return cli_base.EXIT_UNREACHABLE
    except errors.UserError as error:
        print(error, file=stderr)
        return cli_base.EXIT_FAILED


def _describe_usage_error(argv, error):
    if 'key' in argv[1:3]:
        # The library's message repeats arguments, and an operator may have
        # passed the key as an argument.
        return (
            'usage: lavenderstile key digest|generate [--json]; '
            'keys are read from standard input, never from arguments'
        )
    return str(error)


def main():
    """Run the tool with the arguments of the process."""
    sys.exit(run(sys.argv))


if __name__ == '__main__':
    main()
