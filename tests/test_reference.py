"""Tests that the reference pages agree with the code."""

import dataclasses
import pathlib
import re
import tempfile
import unittest

from lavenderstile import cli
from lavenderstile import models
from lavenderstile import schemas
from lavenderstile import settings
from lavenderstile import tickets

PAGES = pathlib.Path(__file__).parents[1] / 'docs' / 'reference'
ROW = re.compile(r'^\| `([^`]+)` \|.*\| ([^|]+) \|$', re.MULTILINE)


def read_page(name):
    """Return the text of a reference page."""
    return (PAGES / name).read_text(encoding='utf-8')


def read_example(page):
    """Return the first TOML example of a page."""
    return re.search(r'```toml\n(.*?)```', page, re.DOTALL)[1]


def read_defaults(page):
    """Return the texts of defaults by key from a page's tables."""
    return dict(ROW.findall(page))


class TicketPageTest(unittest.TestCase):
    """Guards against an example or key table that is out of date."""

    def setUp(self):
        super().setUp()
        self.page = read_page('tickets.md')
        self.defaults = read_defaults(self.page)

    def test_example_is_valid(self):
        ticket = tickets.parse_ticket(read_example(self.page), 'tickets.md')
        kinds = {kind for kind, _ in ticket.objects}
        self.assertEqual(kinds, set(tickets.KINDS))

    def test_table_lists_exactly_the_keys_of_the_schema(self):
        definitions = schemas.load_schema(tickets.SCHEMA_NAME)['$defs']
        prefixes = {
            'fleet': 'fleet',
            'domain': 'domains.<name>',
            'workspace': 'workspaces.<name>',
            'service': 'services.<name>',
            'target': 'targets[]',
            'route': 'routes.<name>',
        }
        keys = {'ticket'}
        for name, prefix in prefixes.items():
            for key in definitions[name]['properties']:
                keys.add(f'{prefix}.{key}')
        self.assertEqual(set(self.defaults), keys)

    def test_defaults_are_those_of_the_models(self):
        for prefix, model in (
            ('fleet', models.Fleet),
            ('services.<name>', models.Service),
        ):
            for field in dataclasses.fields(model):
                shown = self.defaults.get(f'{prefix}.{field.name}')
                if shown not in (None, 'required'):
                    number = float(shown.replace(',', ''))
                    self.assertEqual(number, field.default, field.name)


class SettingsPageTest(unittest.TestCase):
    """Guards against an example or default that is out of date."""

    def setUp(self):
        super().setUp()
        self.page = read_page('settings.md')

    def test_example_is_valid(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'example.toml'
            path.write_text(read_example(self.page))
            loaded = settings.load_settings(path)
        self.assertEqual(loaded.host.name, 'entry-17')

    def test_table_lists_exactly_the_keys_of_the_schema(self):
        sections = schemas.load_schema(settings.SCHEMA_NAME)['properties']
        keys = {
            f'{section}.{key}'
            for section, table in sections.items()
            for key in table['properties']
        }
        self.assertEqual(set(read_defaults(self.page)), keys)

    def test_table_lists_the_shipped_defaults(self):
        shipped = settings.load_defaults()
        for path, shown in read_defaults(self.page).items():
            section, _, key = path.partition('.')
            default = shipped.get(section, {}).get(key)
            match shown:
                case 'required' | 'no limit':
                    self.assertIsNone(default, path)
                case 'none':
                    self.assertEqual(default, [], path)
                case _ if isinstance(default, str):
                    self.assertEqual(shown, f'`{default}`')
                case _:
                    number = float(shown.replace(',', ''))
                    self.assertEqual(number, default, path)


class ToolPageTest(unittest.TestCase):
    """Guards against a command that is not documented."""

    def test_every_command_has_a_section(self):
        headings = re.findall(r'^### `([^`]+)`$', read_page('cli.md'), re.M)
        for command in cli.COMMANDS:
            found = [h for h in headings if h.startswith(command.name)]
            self.assertTrue(found, command.name)
        self.assertEqual(len(headings), len(cli.COMMANDS))
