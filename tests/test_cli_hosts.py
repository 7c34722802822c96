"""Tests of the commands that query running daemons."""

import json

from tests import cli_case
from tests.cli_case import HOST_ONE
from tests.cli_case import HOST_TWO
from tests.cli_case import UNREACHABLE_HOST

NORTH = 'ticket = 1\n[domains.north]\nin_service = true\n'
SOUTH = 'ticket = 2\n[domains.south]\nin_service = true\n'


def make_version(number, address):
    """Return a host's response to /-/version."""
    return {
        'name': 'lavenderstiled',
        'version': number,
        'python': '3.11.7',
        'incarnation': 17,
        'address': address,
    }


class ShowTest(cli_case.ToolCase):
    """Guards against unnoticed differences between hosts."""

    def set_tickets(self, address, *texts):
        state = cli_case.build_state(*texts)
        self.hosts[address].set_configuration(state)

    def test_hosts_that_agree(self):
        self.set_tickets(HOST_ONE, NORTH, SOUTH)
        self.set_tickets(HOST_TWO, SOUTH, NORTH)
        code, stdout, stderr = self.run_tool('show', HOST_ONE, HOST_TWO)
        self.assertEqual((code, stderr), (0, ''))
        self.assertIn(f'{HOST_ONE}: newest ticket 2, digest ', stdout)
        self.assertIn('2 hosts agree', stdout)

    def test_hosts_that_differ(self):
        changed = NORTH.replace('1', '3')
        self.set_tickets(HOST_ONE, NORTH, SOUTH)
        self.set_tickets(HOST_TWO, changed)
        code, stdout, _ = self.run_tool('show', HOST_ONE, HOST_TWO)
        self.assertEqual(code, 1)
        lines = stdout.splitlines()
        self.assertIn('domains.north differs:', lines)
        self.assertIn('domains.south differs:', lines)
        self.assertIn(f'  {HOST_TWO}: not in force', lines)
        self.assertIn(f'  {HOST_ONE}: ticket 1 (', stdout)
        self.assertIn(f'  {HOST_TWO}: ticket 3 (', stdout)
        self.assertNotIn('agree', stdout)

    def test_same_number_with_another_digest_differs(self):
        self.set_tickets(HOST_ONE, NORTH)
        self.set_tickets(HOST_TWO, f'# another\n{NORTH}')
        code, _, _ = self.run_tool('show', HOST_ONE, HOST_TWO)
        self.assertEqual(code, 1)

    def test_conflicts_and_unresolved_references_are_shown(self):
        route = '[routes.r]\npath = "/"\nservice = "s"\n'
        self.set_tickets(HOST_ONE, NORTH, f'ticket = 1\n{route}')
        code, stdout, _ = self.run_tool('show', HOST_ONE)
        self.assertEqual(code, 0)
        self.assertIn(f'{HOST_ONE}: conflict: ticket number 1', stdout)
        self.assertIn(f'{HOST_ONE}: unresolved: routes.r refers to', stdout)

    def test_json(self):
        self.set_tickets(HOST_ONE, NORTH)
        self.set_tickets(HOST_TWO)
        code, value = self.run_json(
            'show', HOST_ONE, HOST_TWO, UNREACHABLE_HOST
        )
        self.assertEqual(code, 3)
        self.assertEqual(value['hosts'][HOST_ONE]['newest'], 1)
        self.assertEqual(
            value['errors'], {UNREACHABLE_HOST: 'unreachable: refused'}
        )
        (difference,) = value['differences']
        self.assertEqual(difference['name'], 'north')
        self.assertIsNone(difference['versions'][HOST_TWO])

    def test_unreachable_host_does_not_hide_the_others(self):
        self.set_tickets(HOST_ONE, NORTH)
        code, stdout, stderr = self.run_tool(
            'show', HOST_ONE, UNREACHABLE_HOST
        )
        self.assertEqual(code, 3)
        self.assertIn(HOST_ONE, stdout)
        self.assertEqual(stderr, f'{UNREACHABLE_HOST}: unreachable: refused\n')

    def test_queries_the_default_admin_listener_without_arguments(self):
        self.hosts['127.0.0.1:8082'] = self.hosts[HOST_ONE]
        self.set_tickets(HOST_ONE, NORTH)
        code, stdout, _ = self.run_tool('show')
        self.assertEqual(code, 0)
        self.assertIn('127.0.0.1:8082: newest ticket 1', stdout)

    def test_repeated_address_is_queried_once(self):
        self.set_tickets(HOST_ONE, NORTH)
        self.run_tool('show', HOST_ONE, HOST_ONE)
        self.assertEqual(len(self.hosts[HOST_ONE].requests), 1)

    def test_invalid_responses_are_reported_without_stack_trace(self):
        for content in (
            500,
            404,
            b'no json',
            b'\xff',
            b'[]',
            {},
            {'newest': '1', 'digest': '', 'objects': []},
            {'newest': 1, 'digest': '', 'objects': [{'kind': 'routes'}]},
        ):
            self.hosts[HOST_ONE].resources['GET', '/-/configuration'] = content
            code, _, stderr = self.run_tool('show', HOST_ONE)
            self.assertEqual(code, 3, content)
            self.assertTrue(stderr.startswith(f'{HOST_ONE}: '))
            self.assertEqual(stderr.count('\n'), 1)


class DumpTest(cli_case.ToolCase):
    """Guards against a dump that programs cannot read."""

    def test_both_forms_are_json(self):
        state = {'hosts': ['<info>x</info>'], 'a': 1}
        self.hosts[HOST_ONE].resources['GET', '/-/state'] = state
        code, stdout, _ = self.run_tool('dump', HOST_ONE)
        self.assertEqual((code, json.loads(stdout)), (0, state))
        self.assertEqual(self.run_json('dump', HOST_ONE), (0, state))

    def test_unreachable(self):
        self.assertEqual(
            self.run_tool('dump', UNREACHABLE_HOST),
            (3, '', f'{UNREACHABLE_HOST}: unreachable: refused\n'),
        )


class ExplainTest(cli_case.ToolCase):
    """Guards against an explanation that is lost or of another host."""

    def set_sentences(self, address, path, *sentences):
        value = {'sentences': list(sentences)}
        self.hosts[address].resources['GET', f'/-/explain/{path}'] = value

    def test_request_is_found_on_the_host_that_knows_it(self):
        self.set_sentences(HOST_TWO, 'request/r-1', 'It was refused.', 'Why.')
        code, stdout, _ = self.run_tool(
            'explain', 'request', 'r-1', '--host', HOST_ONE, '--host', HOST_TWO
        )
        self.assertEqual(code, 0)
        self.assertEqual(
            stdout, f'{HOST_TWO}: It was refused.\n{HOST_TWO}: Why.\n'
        )

    def test_unknown_request(self):
        self.set_sentences(HOST_TWO, 'request/r-1')
        code, stdout, stderr = self.run_tool(
            'explain', 'request', 'r-1', '--host', HOST_ONE, '--host', HOST_TWO
        )
        self.assertEqual((code, stdout), (1, ''))
        self.assertEqual(stderr, 'no queried host has data on request r-1\n')

    def test_one_explanation_suffices_if_others_are_unreachable(self):
        self.set_sentences(HOST_ONE, 'request/r-1', 'It ran.')
        code, _, stderr = self.run_tool(
            'explain',
            'request',
            'r-1',
            '--host',
            UNREACHABLE_HOST,
            '--host',
            HOST_ONE,
        )
        self.assertEqual(code, 0)
        self.assertIn(UNREACHABLE_HOST, stderr)
        code, _, _ = self.run_tool(
            'explain',
            'request',
            'r-2',
            '--host',
            UNREACHABLE_HOST,
            '--host',
            HOST_ONE,
        )
        self.assertEqual(code, 3)

    def test_id_is_encoded(self):
        self.set_sentences(HOST_ONE, 'request/a/../b?c', 'It ran.')
        code, _, _ = self.run_tool(
            'explain', 'request', 'a/../b?c', '--host', HOST_ONE
        )
        self.assertEqual(code, 0)

    def test_target(self):
        for target in ('127.0.0.1:80', '[::1]:80'):
            self.set_sentences(HOST_ONE, f'target/orders/{target}', 'Ejected.')
            code, value = self.run_json(
                'explain', 'target', 'orders', target, '--host', HOST_ONE
            )
            self.assertEqual(code, 0)
            self.assertEqual(
                value['hosts'], {HOST_ONE: {'sentences': ['Ejected.']}}
            )


class DrainTest(cli_case.ToolCase):
    """Guards against reporting a drain that was not accepted."""

    def test_posts_once(self):
        self.hosts[HOST_ONE].resources['POST', '/-/drain'] = {'draining': True}
        code, stdout, _ = self.run_tool('drain', HOST_ONE)
        self.assertEqual((code, stdout), (0, f'{HOST_ONE}: drain started\n'))
        self.assertEqual(self.hosts[HOST_ONE].requests, [('POST', '/-/drain')])

    def test_refused(self):
        for content, code in ((404, 3), (500, 3), (405, 3)):
            self.hosts[HOST_ONE].resources['POST', '/-/drain'] = content
            self.assertEqual(self.run_tool('drain', HOST_ONE)[0], code)


class VersionsTest(cli_case.ToolCase):
    """Guards against an incomplete rollout that goes unnoticed."""

    def set_version(self, address, number):
        resource = make_version(number, address)
        self.hosts[address].resources['GET', '/-/version'] = resource

    def test_same_versions(self):
        self.set_version(HOST_ONE, '0.1.0')
        self.set_version(HOST_TWO, '0.1.0')
        code, stdout, _ = self.run_tool('versions', HOST_ONE, HOST_TWO)
        self.assertEqual(code, 0)
        self.assertIn(
            f'{HOST_ONE}: lavenderstiled 0.1.0, Python 3.11.7', stdout
        )

    def test_different_versions(self):
        self.set_version(HOST_ONE, '0.1.0')
        self.set_version(HOST_TWO, '0.2.0')
        code, stdout, _ = self.run_tool('versions', HOST_ONE, HOST_TWO)
        self.assertEqual(code, 1)
        self.assertIn('versions differ: 0.1.0, 0.2.0', stdout)

    def test_unreachable_takes_precedence(self):
        self.set_version(HOST_ONE, '0.1.0')
        self.set_version(HOST_TWO, '0.2.0')
        code, value = self.run_json(
            'versions', HOST_ONE, HOST_TWO, UNREACHABLE_HOST
        )
        self.assertEqual(code, 3)
        self.assertEqual(set(value['hosts']), {HOST_ONE, HOST_TWO})
