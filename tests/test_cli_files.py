"""Tests of the commands that check files."""

import json

import jsonschema

from tests import cli_case
from tests import test_settings
from tests import test_tickets

NORTH = 'ticket = 1\n[domains.north]\nin_service = true\n'
ROUTE = 'ticket = 2\n[routes.r]\npath = "/"\nservice = "s"\n'
SERVICE = 'ticket = 3\n[services.s]\ntargets = []\n'


class TicketCheckTest(cli_case.ToolCase):
    """Guards against publishing a ticket with an error."""

    def check(self, *arguments):
        return self.run_tool('ticket', 'check', *arguments)

    def test_valid_tickets(self):
        one = self.write('1.toml', NORTH)
        two = self.write('2.toml', test_tickets.COMPLETE)
        code, stdout, stderr = self.check(one, two)
        self.assertEqual((code, stderr), (0, ''))
        self.assertIn('1.toml: ticket 1 is valid, objects: 1', stdout)
        self.assertIn('2.toml: ticket 12 is valid, objects: 6', stdout)

    def test_faults_of_all_files_are_printed_once(self):
        one = self.write('1.toml', 'ticket = 0\n[domains.a]\nx = 1\n')
        two = self.write('2.toml', 'ticket = \n')
        three = self.write('3.toml', NORTH)
        code, stdout, stderr = self.check(one, two, three)
        self.assertEqual(code, 1)
        self.assertEqual(len(stderr.splitlines()), 4)
        self.assertIn('1.toml: domains.a.in_service: missing', stderr)
        self.assertIn('2.toml: line 1, column 10: ', stderr)
        self.assertIn('3.toml: ticket 1 is valid', stdout)

    def test_unreadable_files(self):
        missing = str(self.directory / 'no.toml')
        binary = self.write('bin.toml', b'\xff')
        code, _, stderr = self.check(missing, binary, str(self.directory))
        self.assertEqual(code, 1)
        self.assertEqual(len(stderr.splitlines()), 3)
        self.assertIn('no.toml: file: No such file', stderr)
        self.assertIn('bin.toml: document: must be UTF-8', stderr)

    def test_json(self):
        good = self.write('1.toml', NORTH)
        bad = self.write('2.toml', 'ticket = 1\n')
        code, value = self.run_json('ticket', 'check', good, bad)
        self.assertEqual(code, 1)
        self.assertEqual(value['tickets'][0]['objects'], ['domains.north'])
        self.assertEqual(len(value['faults']), 1)

    def test_digest_covers_the_bytes_of_the_file(self):
        # Reading as text would convert the line ends and so give both files
        # the same digest.
        unix = self.write('1.toml', NORTH)
        dos = self.write('2.toml', NORTH.replace('\n', '\r\n'))
        _, value = self.run_json('ticket', 'check', unix, dos)
        digests = {item['digest'] for item in value['tickets']}
        self.assertEqual(len(digests), 2)

    def test_two_tickets_of_one_number_fail(self):
        one = self.write('1.toml', NORTH)
        two = self.write('2.toml', f'# another\n{NORTH}')
        code, stdout, _ = self.check(one, two)
        self.assertEqual(code, 1)
        self.assertIn(f'{two}: ticket: number 1 is also used by {one}', stdout)
        code, _, _ = self.check(one, one)
        self.assertEqual(code, 0)

    def test_against_excludes_against_file(self):
        path = self.write('1.toml', NORTH)
        code, _, _ = self.check(
            path, '--against', cli_case.HOST_ONE, '--against-file', path
        )
        self.assertEqual(code, 2)


class AgainstHostTest(cli_case.ToolCase):
    """Guards against tickets that would be ignored or conflict."""

    def setUp(self):
        super().setUp()
        state = cli_case.build_state(
            'ticket = 5\n[domains.north]\nin_service = false\n'
            '[domains.old]\nremoved = true\n'
        )
        self.hosts[cli_case.HOST_ONE].set_configuration(state)

    def check(self, *texts, address=cli_case.HOST_ONE):
        paths = [
            self.write(f'{index}.toml', text)
            for index, text in enumerate(texts)
        ]
        return self.run_tool('ticket', 'check', *paths, '--against', address)

    def test_change_is_listed(self):
        code, stdout, _ = self.check(NORTH.replace('1', '6'))
        self.assertEqual(code, 0)
        self.assertIn('0.toml: sets domains.north', stdout)

    def test_stale_ticket_fails(self):
        code, stdout, _ = self.check(NORTH)
        self.assertEqual(code, 1)
        self.assertIn(
            '0.toml: domains.north: would be ignored, as ticket 5', stdout
        )

    def test_used_number_fails(self):
        code, stdout, _ = self.check(
            'ticket = 5\n[domains.south]\nin_service = true\n'
        )
        self.assertEqual(code, 1)
        self.assertIn('number 5 is already used by another ticket', stdout)

    def test_number_used_twice_in_the_batch_fails(self):
        code, stdout, _ = self.check(
            'ticket = 6\n[domains.south]\nin_service = true\n',
            'ticket = 6\n[domains.west]\nin_service = true\n',
        )
        self.assertEqual(code, 1)
        self.assertIn('1.toml: ticket: number 6 is already used', stdout)

    def test_unknown_and_removed_references_fail(self):
        target = '{address = "127.0.0.1:1", domain = "old", slots = 1}'
        code, stdout, _ = self.check(
            f'ticket = 6\n[services.t]\ntargets = [{target}]\n'
            '[routes.r]\npath = "/"\nservice = "s"\n'
        )
        self.assertEqual(code, 1)
        self.assertIn('services.t: refers to domains.old, which', stdout)
        self.assertIn('routes.r: refers to services.s, which', stdout)

    def test_references_within_the_batch_resolve(self):
        code, stdout, _ = self.check(
            ROUTE.replace('2', '6'), SERVICE.replace('3', '7')
        )
        self.assertEqual(code, 0, stdout)

    def test_ticket_that_is_in_force_passes(self):
        text = NORTH.replace('1', '6')
        self.hosts[cli_case.HOST_TWO].set_configuration(
            cli_case.build_state(text)
        )
        code, stdout, _ = self.check(text, address=cli_case.HOST_TWO)
        self.assertEqual(code, 0)
        self.assertNotIn('sets', stdout)

    def test_unreachable_host(self):
        code, _, stderr = self.check(NORTH, address=cli_case.UNREACHABLE_HOST)
        self.assertEqual(code, 3)
        self.assertEqual(
            stderr, f'{cli_case.UNREACHABLE_HOST}: unreachable: refused\n'
        )


class AgainstFilesTest(cli_case.ToolCase):
    """Guards against breaking objects that the ticket does not name."""

    def check(self, text, *in_force):
        path = self.write('new.toml', text)
        options = []
        for index, earlier in enumerate(in_force):
            options += ['--against-file', self.write(f'{index}', earlier)]
        return self.run_tool('ticket', 'check', path, *options)

    def test_passes(self):
        code, stdout, _ = self.check(ROUTE.replace('2', '4'), SERVICE)
        self.assertEqual(code, 0, stdout)

    def test_removal_of_a_service_in_use_fails(self):
        code, stdout, _ = self.check(
            'ticket = 4\n[services.s]\nremoved = true\n', ROUTE, SERVICE
        )
        self.assertEqual(code, 1)
        self.assertIn(
            'after all tickets: routes.r refers to services.s', stdout
        )

    def test_key_of_another_workspace_fails(self):
        digest = 'ab' * 32
        table = f'key_digests = ["{digest}"]\nrate = 1\nburst = 1\n'
        code, stdout, _ = self.check(
            f'ticket = 2\n[workspaces.b]\n{table}',
            f'ticket = 1\n[workspaces.a]\n{table}',
        )
        self.assertEqual(code, 1)
        self.assertIn('workspaces.a shares a key digest', stdout)
        self.assertNotIn(digest, stdout)

    def test_fault_in_an_earlier_file_fails(self):
        code, _, stderr = self.check(SERVICE, 'ticket = 0\n')
        self.assertEqual(code, 1)
        self.assertIn('ticket: must be a positive', stderr)


class ShowSchemaTest(cli_case.ToolCase):
    """Guards against a published schema that editors cannot use."""

    def test_both_forms_are_the_valid_schema(self):
        code, stdout, _ = self.run_tool('ticket', 'show-schema')
        self.assertEqual(code, 0)
        schema = json.loads(stdout)
        jsonschema.Draft202012Validator.check_schema(schema)
        self.assertEqual(self.run_json('ticket', 'show-schema'), (0, schema))


class SettingsCheckTest(cli_case.ToolCase):
    """Guards against a settings file that keeps a daemon from starting."""

    def test_prints_the_values_in_effect(self):
        path = self.write('host.toml', test_settings.MINIMAL)
        code, stdout, _ = self.run_tool('settings', 'check', path)
        self.assertEqual(code, 0)
        self.assertIn('host.name = host-1\n', stdout)
        self.assertIn('timing.balancer_lag_s = 5.0\n', stdout)
        self.assertIn('limits.max_body_bytes = none\n', stdout)

    def test_json(self):
        path = self.write('host.toml', test_settings.MINIMAL)
        code, value = self.run_json('settings', 'check', path)
        self.assertEqual(code, 0)
        self.assertEqual(value['host']['domain'], 'north')
        self.assertIsNone(value['limits']['max_body_bytes'])

    def test_faults_are_printed_once(self):
        path = self.write('host.toml', '[host]\nname = 1\n')
        code, stdout, stderr = self.run_tool('settings', 'check', path)
        self.assertEqual((code, stdout), (1, ''))
        self.assertEqual(len(stderr.splitlines()), 5)
        self.assertIn(f'{path}: host.name: must be', stderr)
