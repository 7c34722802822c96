"""Commands that check tickets and settings files."""

import dataclasses
import pathlib

from cleo.exceptions import CleoRuntimeError
from cleo.helpers import argument
from cleo.helpers import option

from . import admin_responses
from . import cli_base
from . import configuration
from . import errors
from . import schemas
from . import settings
from . import ticket_review
from . import tickets


class TicketCheckCommand(cli_base.ToolCommand):
    """Checks tickets, alone or against the configuration in force."""

    name = 'ticket check'
    description = 'Check ticket files before they are published.'
    arguments = [argument('files', 'Ticket files.', multiple=True)]
    options = [
        cli_base.JSON_OPTION,
        option(
            'against',
            None,
            'Admin address of a host to check the tickets against.',
            flag=False,
        ),
        option(
            'against-file',
            None,
            'File of a ticket in force; may be repeated.',
            flag=False,
            multiple=True,
        ),
    ]

    def handle(self):
        """Check all files and print every fault that is found."""
        address = self.option('against')
        files = self.option('against-file')
        if address and files:
            raise CleoRuntimeError(
                '--against and --against-file are mutually exclusive'
            )
        batch, faults = _parse_files(self.argument('files'))
        in_force, faults_in_force = _parse_files(files)
        faults.extend(faults_in_force)
        entries = self._load_entries(address, in_force)
        reviews = []
        problems = list(ticket_review.find_reused_numbers(batch))
        if entries is not None and not faults:
            reviews = ticket_review.review_tickets(batch, entries)
        if files and not faults:
            earlier = [ticket for _, ticket in in_force]
            problems += ticket_review.find_lasting_problems(earlier, batch)
        self._report(batch, faults, reviews, problems)
        failed = faults or problems or any(r.problems for r in reviews)
        return cli_base.choose_exit_code(failed, False)

    def _load_entries(self, address, in_force):
        if address:
            (address,) = self.read_addresses([address])
            response = self.client.request_one(
                address,
                '/-/configuration',
                admin_responses.ConfigurationResponse,
            )
            return response.objects
        if in_force:
            state = configuration.Configuration()
            state.apply_all([ticket for _, ticket in in_force])
            return admin_responses.list_objects(state)
        return None

    def _report(self, batch, faults, reviews, problems):
        value = {
            'tickets': [_describe_ticket(*pair) for pair in batch],
            'faults': faults,
            'reviews': [dataclasses.asdict(review) for review in reviews],
            'problems': problems,
        }
        lines = [
            f'{source}: ticket {ticket.number} is valid, '
            f'objects: {len(ticket.objects)}'
            for source, ticket in batch
        ]
        for review in reviews:
            lines.extend(f'{review.source}: sets {i}' for i in review.changed)
            lines.extend(f'{review.source}: {i}' for i in review.problems)
        lines.extend(problems)
        self.emit(value, lines)
        if not self.option('json'):
            for fault in faults:
                self.emit_error(fault)


def _describe_ticket(source, ticket):
    return {
        'source': source,
        'number': ticket.number,
        'digest': ticket.digest.hex(),
        'objects': ['.'.join(item) for item in ticket.objects],
    }


def _parse_files(paths):
    batch = []
    faults = []
    for path in paths:
        try:
            batch.append((path, _read_ticket(path)))
        except errors.TicketError as error:
            faults.extend(str(error).splitlines())
    return batch, faults


def _read_ticket(path):
    try:
        # Read as bytes, because the digest covers the line ends, which
        # reading as text would convert.
        text = pathlib.Path(path).read_bytes().decode()
    except OSError as error:
        raise errors.TicketError(path, [f'file: {error.strerror}'])
    except UnicodeDecodeError:
        raise errors.TicketError(path, ['document: must be UTF-8 text'])
    return tickets.parse_ticket(text, path)


class TicketShowSchemaCommand(cli_base.ToolCommand):
    """Prints the JSON Schema of tickets."""

    name = 'ticket show-schema'
    description = 'Print the JSON Schema of tickets.'

    def handle(self):
        """Print the shipped schema, which is JSON with and without --json."""
        text = schemas.read_resource(tickets.SCHEMA_NAME)
        self.emit(schemas.load_schema(tickets.SCHEMA_NAME), [text.rstrip()])
        return cli_base.EXIT_OK


class SettingsCheckCommand(cli_base.ToolCommand):
    """Checks a settings file and prints the resulting settings."""

    name = 'settings check'
    description = 'Check a settings file and print the values in effect.'
    arguments = [argument('file', 'Settings file.')]

    def handle(self):
        """Print all settings, including defaults."""
        loaded = settings.load_settings(self.argument('file'))
        value = dataclasses.asdict(loaded)
        lines = [
            f'{section}.{key} = {_format_setting(item)}'
            for section, table in value.items()
            for key, item in table.items()
        ]
        self.emit(value, lines)
        return cli_base.EXIT_OK


def _format_setting(value):
    match value:
        case None:
            return 'none'
        case tuple():
            return ', '.join(value) or 'none'
        case _:
            return str(value)
