"""Tests of the admin interface's responses."""

import unittest

import msgspec

from lavenderstile import admin_responses
from lavenderstile import keys
from tests import cli_case


class DescribeConfigurationTest(unittest.TestCase):
    """Guards against a response that omits objects or faults in force."""

    def setUp(self):
        super().setUp()
        self.state = cli_case.build_state(
            'ticket = 1\n[fleet]\naddresses = ["127.0.0.1"]\n'
            '[routes.r]\npath = "/"\nservice = "s"\n',
            'ticket = 1\n[routes.old]\nremoved = true\n',
        )
        ring = keys.KeyRing.from_workspaces(self.state.workspaces)
        self.response = admin_responses.describe_configuration(
            self.state, ring
        )

    def test_lists_objects_and_tombstones(self):
        found = [
            (entry.kind, entry.name, entry.removed)
            for entry in self.response.objects
        ]
        self.assertEqual(
            found,
            [
                ('fleet', 'fleet', False),
                ('routes', 'old', True),
                ('routes', 'r', False),
            ],
        )
        for entry in self.response.objects:
            version = self.state.versions[entry.kind, entry.name]
            self.assertEqual(
                (entry.ticket, entry.digest), (version[0], version[1].hex())
            )

    def test_lists_conflicts_and_unresolved_references(self):
        self.assertEqual(len(self.response.conflicts), 1)
        self.assertEqual(len(self.response.unresolved), 1)
        self.assertEqual(self.response.newest, 1)
        self.assertEqual(self.response.digest, self.state.digest.hex())

    def test_lists_workspaces_that_share_a_key(self):
        digest = 'ab' * 32
        table = f'key_digests = ["{digest}"]\nrate = 1\nburst = 1\n'
        state = cli_case.build_state(
            f'ticket = 1\n[workspaces.b]\n{table}',
            f'ticket = 2\n[workspaces.a]\n{table}',
        )
        ring = keys.KeyRing.from_workspaces(state.workspaces)
        response = admin_responses.describe_configuration(state, ring)
        self.assertEqual(
            response.unresolved,
            [
                'workspaces.a shares a key digest with another workspace',
                'workspaces.b shares a key digest with another workspace',
            ],
        )
        self.assertNotIn(digest, str(response))

    def test_json_round_trip(self):
        content = msgspec.json.encode(self.response)
        self.assertEqual(
            msgspec.json.decode(
                content, type=admin_responses.ConfigurationResponse
            ),
            self.response,
        )
