"""Commands that ask the admin interface of running daemons."""

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

# Hexadecimal digits of a digest in texts for people.
SHORT_DIGEST = 12

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
    """A command that asks hosts."""

    def query_hosts(self, texts, path, answer_type):
        """Return values and errors by address.

        A value is None when the host does not know the resource.
        """
        addresses = self.read_addresses(texts)
        answers = self.client.request(addresses, path, answer_type)
        values = {a.address: a.value for a in answers if a.error is None}
        faults = {a.address: a.error for a in answers if a.error is not None}
        return values, faults

    def query_hosts_strict(self, texts, path, answer_type):
        """Return values and errors; an unknown resource is an error."""
        values, faults = self.query_hosts(texts, path, answer_type)
        for address in [a for a in values if values[a] is None]:
            del values[address]
            faults[address] = f'does not know {path}'
        return values, faults

    def emit_report(self, values, faults, lines, **extra):
        """Print the hosts' values and errors."""
        hosts = {a: dataclasses.asdict(v) for a, v in values.items()}
        self.emit({'hosts': hosts, 'errors': faults, **extra}, lines)
        for address, fault in faults.items():
            self.emit_error(f'{address}: {fault}')


class ShowCommand(HostCommand):
    """Shows what is in force on hosts and where they differ."""

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
        """Compare the hosts that answer."""
        texts = self.argument('addresses')
        if not texts:
            texts = [settings.load_defaults()['listen']['admin']]
        values, faults = self.query_hosts_strict(
            texts, '/-/configuration', admin_responses.ConfigurationResponse
        )
        found = list(differences.find_differences(values))
        self.emit_report(
            values,
            faults,
            _format_hosts(values, found),
            differences=[dataclasses.asdict(item) for item in found],
        )
        return cli_base.choose_exit_code(found, faults)


def _format_hosts(values, found):
    for address, value in values.items():
        yield (
            f'{address}: newest ticket {value.newest}, '
            f'digest {value.digest[:SHORT_DIGEST]}, '
            f'objects: {len(value.objects)}'
        )
        for sentence in value.conflicts:
            yield f'{address}: conflict: {sentence}'
        for sentence in value.unresolved:
            yield f'{address}: unresolved: {sentence}'
    for item in found:
        yield f'{item.kind}.{item.name} differs:'
        for address, version in item.versions.items():
            yield f'  {address}: {_format_version(version)}'
    if len(values) > 1 and not found:
        yield f'{len(values)} hosts agree'


def _format_version(version):
    if version is None:
        return 'not in force'
    number, digest = version
    return f'ticket {number} ({digest[:SHORT_DIGEST]})'


class DumpCommand(HostCommand):
    """Prints the whole state of a host."""

    name = 'dump'
    description = 'Print the whole state of a host as JSON.'
    arguments = [ADDRESS]

    def handle(self):
        """Print JSON in both forms, indented for people."""
        (address,) = self.read_addresses([self.argument('address')])
        value = self.client.request_one(address, '/-/state', dict)
        self.emit(value, [json.dumps(value, indent=2, sort_keys=True)])
        return cli_base.EXIT_OK


class ExplainCommand(HostCommand):
    """Asks hosts for an explanation in sentences."""

    def explain(self, subject, *segments):
        """Print the sentences of all hosts that know the subject."""
        texts = self.option('host')
        if not texts:
            raise CleoRuntimeError('--host is required')
        path = admin_client.build_path('explain', *segments)
        values, faults = self.query_hosts(
            texts, path, admin_responses.ExplainResponse
        )
        known = {a: v for a, v in values.items() if v and v.sentences}
        lines = [
            f'{address}: {sentence}'
            for address, value in known.items()
            for sentence in value.sentences
        ]
        self.emit_report(known, faults, lines)
        if values and not known:
            self.emit_error(f'no asked host knows {subject}')
        # One host's explanation suffices, even if others are down.
        return cli_base.choose_exit_code(not known, faults and not known)


class ExplainRequestCommand(ExplainCommand):
    """Explains what became of a request."""

    name = 'explain request'
    description = 'Explain what became of a request.'
    arguments = [argument('id', 'Request id, as in X-Request-Id.')]
    options = [cli_base.JSON_OPTION, HOST_OPTION]

    def handle(self):
        """Ask all hosts, as the entry host may not be known."""
        request_id = self.argument('id')
        return self.explain(f'request {request_id}', 'request', request_id)


class ExplainTargetCommand(ExplainCommand):
    """Explains a target's state."""

    name = 'explain target'
    description = 'Explain why a target is in service, limited or ejected.'
    arguments = [
        argument('service', 'Name of the service.'),
        argument('target', 'Address of the target (ip:port).'),
    ]
    options = [cli_base.JSON_OPTION, HOST_OPTION]

    def handle(self):
        """Ask the hosts; the service's owner knows most."""
        service = self.argument('service')
        (target,) = self.read_addresses([self.argument('target')])
        subject = f'target {target} of {service}'
        return self.explain(subject, 'target', service, target)


class DrainCommand(HostCommand):
    """Starts the planned stop of a host."""

    name = 'drain'
    description = 'Start the planned stop of a host.'
    arguments = [ADDRESS]

    def handle(self):
        """Return when the host has accepted; it stops later."""
        (address,) = self.read_addresses([self.argument('address')])
        value = self.client.request_one(address, '/-/drain', dict, 'POST')
        self.emit(value, [f'{address}: drain started'])
        return cli_base.EXIT_OK


class VersionsCommand(HostCommand):
    """Lists the versions that hosts run."""

    name = 'versions'
    description = 'List the versions that hosts run.'
    arguments = [ADDRESSES]

    def handle(self):
        """Fail when the hosts run different versions."""
        texts = self.argument('addresses')
        values, faults = self.query_hosts_strict(
            texts, '/-/version', admin_responses.VersionResponse
        )
        lines = [
            f'{address}: {value.name} {value.version}, '
            f'Python {value.python}, incarnation {value.incarnation}'
            for address, value in values.items()
        ]
        found = {value.version for value in values.values()}
        if len(found) > 1:
            lines.append(f'versions differ: {", ".join(sorted(found))}')
        self.emit_report(values, faults, lines)
        return cli_base.choose_exit_code(len(found) > 1, faults)
