"""Tests of schema checks."""

import copy
import unittest

import hypothesis
from hypothesis import strategies
import jsonschema

from lavenderstile import errors
from lavenderstile import schemas
from lavenderstile import tickets
from tests import test_tickets

VALUES = strategies.sampled_from(
    (0, -1, 1.5, True, '', 'GET', '127.0.0.1:80', [], ['GET'], {}, {'a': 1})
)


def list_places(value, path=()):
    """Yield the paths of all values within a document."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        yield from list_places(item, (*path, key))


DOCUMENT = schemas.load_toml(test_tickets.COMPLETE)
PLACES = strategies.sampled_from([p for p in list_places(DOCUMENT) if p])


def damage(place, value):
    """Return the complete document with one value replaced."""
    document = copy.deepcopy(DOCUMENT)
    parent = document
    for step in place[:-1]:
        parent = parent[step]
    parent[place[-1]] = value
    return document


class PublishedSchemaTest(unittest.TestCase):
    """Guards against a check that differs from the published schema."""

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(PLACES, VALUES)
    def test_what_the_published_schema_refuses_is_a_fault(self, place, value):
        schema = schemas.load_schema(tickets.SCHEMA_NAME)
        published = jsonschema.Draft202012Validator(schema)
        document = damage(place, value)
        validator = schemas.load_validator(tickets.SCHEMA_NAME)
        faults = schemas.find_faults(validator, document)
        if not published.is_valid(document):
            self.assertTrue(faults)
        for fault in faults:
            path = schemas.format_path(place)
            self.assertTrue(fault.startswith(path), fault)

    def test_complete_document_is_valid_for_both(self):
        schema = schemas.load_schema(tickets.SCHEMA_NAME)
        jsonschema.Draft202012Validator(schema).validate(DOCUMENT)
        validator = schemas.load_validator(tickets.SCHEMA_NAME)
        self.assertEqual(schemas.find_faults(validator, DOCUMENT), [])

    def test_no_reference_is_left_to_resolve(self):
        for name in ('ticket.schema.json', 'settings.schema.json'):
            schema = schemas.load_validator(name).schema
            self.assertNotIn('$ref', str(schema))

    def test_every_value_has_an_expected_form(self):
        # Faults name the description; without it they would name only a
        # keyword of JSON Schema.
        for name in ('ticket.schema.json', 'settings.schema.json'):
            schema = schemas.load_schema(name)
            for place in list_places(schema):
                part = schema
                for step in place:
                    part = part[step]
                if isinstance(part, dict) and (
                    'type' in part or 'enum' in part or 'const' in part
                ):
                    if place and place[-1] == 'properties':
                        continue
                    self.assertIn('description', part, place)


class FormatPathTest(unittest.TestCase):
    """Guards against different paths with the same text."""

    def test_paths(self):
        for path, text in (
            ((), 'document'),
            (('fleet', 'addresses', 2), 'fleet.addresses[2]'),
            (('routes', 'a.b', 'path'), 'routes."a.b".path'),
            (('routes', 'a\nb'), 'routes."a\\nb"'),
            (('routes', ''), 'routes.""'),
        ):
            self.assertEqual(schemas.format_path(path), text)


class ShowValueTest(unittest.TestCase):
    """Guards against messages that are long or span lines."""

    def test_values(self):
        for value, text in (
            (True, 'a boolean True'),
            (7, 'an integer 7'),
            (0.5, 'a float 0.5'),
            ('a\nb', 'a string "a\\nb"'),
            ([1], 'an array'),
            ({'a': 1}, 'a table'),
        ):
            self.assertEqual(schemas.show_value(value), text)

    def test_long_values_are_truncated(self):
        shown = schemas.show_value('x' * 10_000)
        self.assertLess(len(shown), 2 * schemas.MAX_SHOWN_CHARS)
        self.assertTrue(shown.endswith('...'))

    def test_faults_of_a_ticket_are_one_line_each(self):
        text = 'ticket = "a\\nb"\n[routes."c\\nd"]\n"e\\nf" = 1\n'
        with self.assertRaises(errors.TicketError) as caught:
            tickets.parse_ticket(text, 'test')
        lines = str(caught.exception).splitlines()
        self.assertEqual(len(lines), len(caught.exception.faults))
