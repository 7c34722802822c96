"""Tests of the daemon's settings."""

import pathlib
import tempfile
import unittest

from lavenderstile import errors
from lavenderstile import settings

MINIMAL = """
[host]
name = "host-1"
domain = "north"
address = "127.0.0.1"

[platform]
configuration_url = "http://127.0.0.1:9000/tickets"
host_list_url = "https://127.0.0.1:9001/hosts"
"""


class SettingsTestCase(unittest.TestCase):
    """Writes settings files to a temporary directory."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / 'host.toml'

    def load(self, text, overrides=None):
        self.path.write_text(text)
        return settings.load_settings(self.path, overrides)

    def find_faults(self, text, overrides=None):
        with self.assertRaises(errors.SettingsError) as caught:
            self.load(text, overrides)
        for line in str(caught.exception).splitlines():
            self.assertTrue(line.startswith(f'{self.path}: '))
        return caught.exception.faults


class LoadTest(SettingsTestCase):
    """Guards against values in effect that differ from those written."""

    def test_defaults(self):
        loaded = self.load(MINIMAL)
        self.assertEqual(loaded.host.name, 'host-1')
        self.assertEqual(loaded.listen.admin, '127.0.0.1:8082')
        self.assertEqual(loaded.peers.seeds, ())
        self.assertEqual(loaded.timing.balancer_lag_s, 5.0)
        self.assertEqual(loaded.timing.exchange_interval_s, 1.0)
        self.assertIsNone(loaded.limits.max_body_bytes)
        self.assertEqual(loaded.log.level, 'info')

    def test_file_takes_precedence_key_by_key(self):
        loaded = self.load(
            MINIMAL
            + '[listen]\npeer = "127.0.0.1:7000"\n'
            + '[peers]\nseeds = ["127.0.0.2:7000", "[::1]:7000"]\n'
            + '[limits]\nmax_body_bytes = 1000\n'
        )
        self.assertEqual(loaded.listen.peer, '127.0.0.1:7000')
        self.assertEqual(loaded.listen.admin, '127.0.0.1:8082')
        self.assertEqual(loaded.peers.seeds, ('127.0.0.2:7000', '[::1]:7000'))
        self.assertEqual(loaded.limits.max_body_bytes, 1000)
        self.assertEqual(loaded.limits.max_requests, 4096)

    def test_overrides_take_precedence_over_the_file(self):
        loaded = self.load(MINIMAL, {'host.name': 'x', 'log.level': 'debug'})
        self.assertEqual(loaded.host.name, 'x')
        self.assertEqual(loaded.host.domain, 'north')
        self.assertEqual(loaded.log.level, 'debug')

    def test_loads_without_a_file(self):
        loaded = settings.load_settings(
            None,
            {
                'host.name': 'x',
                'host.domain': 'north',
                'host.address': '::1',
                'platform.configuration_url': 'http://127.0.0.1:1/',
                'platform.host_list_url': 'http://[::1]:1/',
            },
        )
        self.assertEqual(loaded.host.address, '::1')


class FaultTest(SettingsTestCase):
    """Guards against a mistake in settings that is silently ignored."""

    def test_all_faults_are_reported_at_once(self):
        faults = self.find_faults(
            '[host]\nname = 1\nadress = "127.0.0.1"\n[timimg]\na = 1\n',
            {'listen.caller': 'everywhere', 'listen': 1},
        )
        starts = [
            'host.adress: unknown key; known keys here: address, domain, n',
            'host.name: must be a host name',
            'timimg: unknown key; known keys here: host, limits, listen, lo',
            'overrides: listen."": unknown key',
            'overrides: listen.caller: must be an address of the form ip:p',
            'host.domain: missing',
            'host.address: missing',
            'platform.configuration_url: missing',
            'platform.host_list_url: missing',
        ]
        self.assertEqual(len(faults), len(starts), faults)
        for fault, start in zip(faults, starts, strict=True):
            self.assertEqual(fault[: len(start)], start)

    def test_bad_values(self):
        for line, path in (
            ('host.address = "host-1"', 'host.address'),
            ('host.address = "127.0.0.1:80"', 'host.address'),
            ('host.address = "0.0.0.0"', 'host.address'),
            ('peers.seeds = ["0.0.0.0:8081"]', 'peers.seeds[0]'),
            ('platform.host_list_url = "ftp://127.0.0.1/"', 'platform.host'),
            ('platform.host_list_url = "http:///x"', 'platform.host'),
            ('platform.host_list_url = "http://[::1/"', 'platform.host'),
            ('platform.host_list_url = "http://a:99999/"', 'platform.host'),
            ('peers.seeds = ["127.0.0.1"]', 'peers.seeds[0]'),
            ('timing.exchange_interval_s = 3', 'timing.exchange_interval_s'),
            ('timing.balancer_lag_s = nan', 'timing.balancer_lag_s'),
            ('limits.max_body_bytes = -1', 'limits.max_body_bytes'),
            ('limits.max_requests = 0', 'limits.max_requests'),
            ('log.level = "INFO"', 'log.level'),
            ('log = "info"', 'log'),
        ):
            key, _, value = line.partition(' = ')
            section, _, name = key.partition('.')
            text = f'{section} = {value}\n'
            if name:
                text = f'[{section}]\n{name} = {value}\n'
            faults = self.find_faults(text)
            self.assertIn(f'{path}', faults[0])
            self.assertIn(': must be ', faults[0], line)

    def test_listeners_must_differ(self):
        self.assertEqual(
            self.find_faults(
                MINIMAL + '[listen]\npeer = "0.0.0.0:8080"\n',
                {'listen.admin': '0.0.0.0:8080'},
            ),
            (
                'listen.peer: must differ from listen.caller, 0.0.0.0:8080',
                'listen.admin: must differ from listen.caller, 0.0.0.0:8080',
            ),
        )

    def test_missing_file_is_a_user_error(self):
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(self.path)
        self.assertIn('No such file', str(caught.exception))

    def test_syntax_error_names_the_line(self):
        self.assertEqual(
            self.find_faults('[host]\nname = \n')[0][:16], 'line 2, column 8'
        )

    def test_file_that_is_not_utf_8(self):
        self.path.write_bytes(b'\xff\xfe')
        with self.assertRaises(errors.SettingsError) as caught:
            settings.load_settings(self.path)
        self.assertIn('must be UTF-8', str(caught.exception))
