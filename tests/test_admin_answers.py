"""Tests of the admin interface's answers."""

import unittest

import msgspec

from lavenderstile import admin_answers
from tests import cli_case


class DescribeConfigurationTest(unittest.TestCase):
    """Guards against an answer that hides what is in force."""

    def setUp(self):
        super().setUp()
        self.state = cli_case.build_state(
            'ticket = 1\n[fleet]\naddresses = ["127.0.0.1"]\n'
            '[routes.r]\npath = "/"\nservice = "s"\n',
            'ticket = 1\n[routes.old]\nremoved = true\n',
        )
        self.answer = admin_answers.describe_configuration(self.state)

    def test_lists_objects_and_tombstones(self):
        found = [
            (entry.kind, entry.name, entry.removed)
            for entry in self.answer.objects
        ]
        self.assertEqual(
            found,
            [
                ('fleet', 'fleet', False),
                ('routes', 'old', True),
                ('routes', 'r', False),
            ],
        )
        for entry in self.answer.objects:
            version = self.state.versions[entry.kind, entry.name]
            self.assertEqual(
                (entry.ticket, entry.digest), (version[0], version[1].hex())
            )

    def test_lists_conflicts_and_unresolved_references(self):
        self.assertEqual(len(self.answer.conflicts), 1)
        self.assertEqual(len(self.answer.unresolved), 1)
        self.assertEqual(self.answer.newest, 1)
        self.assertEqual(self.answer.digest, self.state.digest.hex())

    def test_survives_encoding(self):
        content = msgspec.json.encode(self.answer)
        self.assertEqual(
            msgspec.json.decode(
                content, type=admin_answers.ConfigurationAnswer
            ),
            self.answer,
        )
