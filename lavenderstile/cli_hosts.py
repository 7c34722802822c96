"""Commands that query the admin interface of running daemons."""

import dataclasses
import json

from cleo.exceptions import CleoRuntimeError
from cleo.helpers import argument
from cleo.helpers import option

from . import admin_client
from . import admin_responses
from . import cli_base
from . import differences
from . import settings

# Hexadecimal digits of a digest that text output shows.
SHORT_DIGEST_DIGITS = 12

ADDRESSES = argument(
    'addresses', 'Admin addresses of hosts (ip:port).', multiple=True
)
ADDRESS = argument('address', 'Admin address of the host (ip:port).')
HOST_OPTION = option(
    'host',
    None,
    'Admin address of a host (ip:port); may be repeated.',
    flag=False,
    multiple=True,
)


class HostCommand(cli_base.ToolCommand):
    """A command that queries hosts."""

    def query_hosts(self, texts, path, response_type):
        """Return values and errors by address.

        The value is None if the host responded with status 404.
        """
        addresses = self.read_addresses(texts)
        results = self.client.request(addresses, path, response_type)
        values = {r.address: r.value for r in results if r.error is None}
        host_errors = {
            r.address: r.error for r in results if r.error is not None
        }
        return values, host_errors

    def query_hosts_strict(self, texts, path, response_type):
        """Return values and errors; status 404 counts as an error."""
        values, host_errors = self.query_hosts(texts, path, response_type)
        for address in [a for a in values if values[a] is None]:
            del values[address]
            host_errors[address] = f'no such resource: {path}'
        return values, host_errors

    def emit_report(self, values, host_errors, lines, **extra):
        """Print the values as a report, and the errors on standard error."""
        hosts = {a: dataclasses.asdict(v) for a, v in values.items()}
        self.emit({'hosts': hosts, 'errors': host_errors, **extra}, lines)
        for address, host_error in host_errors.items():
            self.emit_error(f'{address}: {host_error}')


class ShowCommand(HostCommand):
    """Shows the configuration in force on hosts and the differences."""

    name = 'show'
    description = 'Show the configuration in force and where hosts differ.'
    arguments = [
        argument(
            'addresses',
            'Admin addresses (ip:port); the local host by default.',
            optional=True,
            multiple=True,
        )
    ]

    def handle(self):
        """Compare the hosts that respond."""
        texts = self.argument('addresses')
        if not texts:
            texts = [settings.load_defaults()['listen']['admin']]
        values, host_errors = self.query_hosts_strict(
            texts, '/-/configuration', admin_responses.ConfigurationResponse
        )
        differing = list(differences.find_differences(values))
        self.emit_report(
            values,
            host_errors,
            _format_hosts(values, differing),
            differences=[dataclasses.asdict(item) for item in differing],
        )
        return cli_base.choose_exit_code(differing, host_errors)


def _format_hosts(values, differing):
    for address, value in values.items():
        yield (
            f'{address}: newest ticket {value.newest}, '
            f'digest {value.digest[:SHORT_DIGEST_DIGITS]}, '
            f'objects: {len(value.objects)}'
        )
        for sentence in value.conflicts:
            yield f'{address}: conflict: {sentence}'
        for sentence in value.unresolved:
            yield f'{address}: unresolved: {sentence}'
    for item in differing:
        yield f'{item.kind}.{item.name} differs:'
        for address, version in item.versions.items():
            yield f'  {address}: {_format_version(version)}'
    if len(values) > 1 and not differing:
        yield f'{len(values)} hosts agree'


def _format_version(version):
    if version is None:
        return 'not in force'
    number, digest = version
    return f'ticket {number} ({digest[:SHORT_DIGEST_DIGITS]})'


class DumpCommand(HostCommand):
    """Prints the whole state of a host."""

    name = 'dump'
    description = 'Print the whole state of a host as JSON.'
    arguments = [ADDRESS]

    def handle(self):
        """Print JSON in both cases, indented without --json."""
        (address,) = self.read_addresses([self.argument('address')])
        value = self.client.request_one(address, '/-/state', dict)
        self.emit(value, [json.dumps(value, indent=2, sort_keys=True)])
        return cli_base.EXIT_OK


class ExplainCommand(HostCommand):
    """Queries hosts for an explanation in sentences."""

    def explain(self, subject, *segments):
        """Print the sentences of all hosts that have data on the subject."""
        texts = self.option('host')
        if not texts:
            raise CleoRuntimeError('--host is required')
        path = admin_client.build_path('explain', *segments)
        values, host_errors = self.query_hosts(
            texts, path, admin_responses.ExplainResponse
        )
        known = {a: v for a, v in values.items() if v and v.sentences}
        lines = [
            f'{address}: {sentence}'
            for address, value in known.items()
            for sentence in value.sentences
        ]
        self.emit_report(known, host_errors, lines)
        if values and not known:
            self.emit_error(f'no queried host has data on {subject}')
        # An explanation from one host suffices, even if others are
        # unreachable.
        return cli_base.choose_exit_code(not known, host_errors and not known)


class ExplainRequestCommand(ExplainCommand):
    """Explains the outcome of a request."""

    name = 'explain request'
    description = 'Explain the outcome of a request.'
    arguments = [argument('id', 'Request ID, as in X-Request-Id.')]
    options = [cli_base.JSON_OPTION, HOST_OPTION]

    def handle(self):
        """Query all hosts given, as the entry host may not be known."""
        request_id = self.argument('id')
        return self.explain(f'request {request_id}', 'request', request_id)


class ExplainTargetCommand(ExplainCommand):
    """Explains the state of a target."""

    name = 'explain target'
    description = 'Explain why a target is in service, limited or ejected.'
    arguments = [
        argument('service', 'Name of the service.'),
        argument('target', 'Address of the target (ip:port).'),
    ]
    options = [cli_base.JSON_OPTION, HOST_OPTION]

    def handle(self):
        """Query the hosts; the owner of the service has the most detail."""
        service = self.argument('service')
        (target,) = self.read_addresses([self.argument('target')])
        subject = f'target {target} of {service}'
        return self.explain(subject, 'target', service, target)


class DrainCommand(HostCommand):
    """Starts the graceful shutdown of a host."""

    name = 'drain'
    description = 'Start the planned stop of a host.'
    arguments = [ADDRESS]

    def handle(self):
        """Return once the host has accepted; it stops later."""
        (address,) = self.read_addresses([self.argument('address')])
        value = self.client.request_one(address, '/-/drain', dict, 'POST')
        self.emit(value, [f'{address}: drain started'])
        return cli_base.EXIT_OK


class VersionsCommand(HostCommand):
    """Lists the software versions that hosts run."""

    name = 'versions'
    description = 'List the versions that hosts run.'
    arguments = [ADDRESSES]

    def handle(self):
        """Print the versions; fail if the hosts run different ones."""
        texts = self.argument('addresses')
        values, host_errors = self.query_hosts_strict(
            texts, '/-/version', admin_responses.VersionResponse
        )
        lines = [
            f'{address}: {value.name} {value.version}, '
            f'Python {value.python}, incarnation {value.incarnation}'
            for address, value in values.items()
        ]
        versions = {value.version for value in values.values()}
        if len(versions) > 1:
            lines.append(f'versions differ: {", ".join(sorted(versions))}')
        self.emit_report(values, host_errors, lines)
        return cli_base.choose_exit_code(len(versions) > 1, host_errors)
