"""Tests of the commands that read logs."""

import json

from tests import cli_case


def make_line(prefix='', **fields):
    """Return a log line."""
    return prefix + json.dumps({'timestamp': 100.0, **fields}) + '\n'


LOG = ''.join(
    (
        make_line(
            '  5.01 front-1 ',
            message_type='request',
            id='abc',
            host='front-1',
            status=502,
            took_ms=40,
            sends=['i-1@zone-a +0ms broken'],
            outcome='target_broken: i-1: connection lost',
        ),
        make_line(
            message_type='target_avoided',
            host='front-2',
            target='i-1',
            fault='broken',
        ),
        make_line(
            message_type='target_avoided',
            host='front-2',
            target='i-2',
            fault='broken',
        ),
        make_line(message_type='registry_lost', host='front-1', error='x'),
        make_line(message_type='registry_lost', host='front-9', error='x'),
        'no log line\n{broken\n[1]\n',
    )
)


class ExplainLogTest(cli_case.ToolCase):
    """Guards against logs that do not reveal why a request failed."""

    def test_the_cause_and_its_evidence_are_printed(self):
        code, stdout, _ = self.run_tool('explain', 'log', 'abc', stdin=LOG)
        self.assertEqual(code, 0)
        first, *related = stdout.splitlines()
        self.assertIn('front-1 ended it with 502 after 40 ms', first)
        self.assertIn('i-1@zone-a +0ms broken', first)
        self.assertIn('connection lost', first)
        self.assertEqual(len(related), 2)

    def test_the_message_behind_a_refusal_is_shown(self):
        fields = {'host': 'front-1', 'id': 'abc'}
        log = make_line(message_type='rate_refused', level=0.2, **fields)
        log += make_line(
            message_type='request',
            status=429,
            took_ms=1,
            outcome='rate_exceeded: workspace club is over its rate',
            **fields,
        )
        log += make_line(message_type='rate_refused', host='front-1', id='x')
        code, value = self.run_json('explain', 'log', 'abc', stdin=log)
        self.assertEqual(code, 0)
        levels = [message.get('level') for message in value[0]['related']]
        self.assertEqual(levels, [0.2])

    def test_a_relay_and_a_lost_path_are_shown(self):
        fields = {'host': 'front-1', 'id': 'abc'}
        log = make_line(message_type='targets_lost', host='front-1')
        log += make_line(message_type='targets_lost', host='front-2')
        log += make_line(message_type='relay_unreachable', **fields)
        log += make_line(message_type='crash_suspected', **fields)
        log += make_line(
            message_type='request',
            status=503,
            took_ms=1,
            sends=['10.1.0.2@relay +0ms 503'],
            outcome='no_capacity: refused by another host',
            **fields,
        )
        code, value = self.run_json('explain', 'log', 'abc', stdin=log)
        self.assertEqual(code, 0)
        self.assertIn('refused by another host', value[0]['sentence'])
        types = [message['message_type'] for message in value[0]['related']]
        self.assertEqual(
            sorted(types),
            ['crash_suspected', 'relay_unreachable', 'targets_lost'],
        )

    def test_files_are_read(self):
        path = self.write('hosts.log', LOG)
        code, value = self.run_json('explain', 'log', 'abc', path)
        self.assertEqual(code, 0)
        self.assertEqual(value[0]['request']['status'], 502)

    def test_an_unknown_request_id(self):
        code, _, stderr = self.run_tool('explain', 'log', 'nope', stdin=LOG)
        self.assertEqual(code, 1)
        self.assertIn('nope', stderr)

    def test_a_missing_file(self):
        code, _, stderr = self.run_tool('explain', 'log', 'abc', '/none/x')
        self.assertEqual(code, 1)
        self.assertIn('/none/x', stderr)
        self.assertNotIn('Traceback', stderr)
