"""Tests of the settings template that the platform fills in."""

import os
import pathlib
import re
import tempfile
import unittest
from unittest import mock

from lavenderstile.edge import settings as edge_settings
from lavenderstile import errors
from lavenderstile.platform import settings

ROOT = pathlib.Path(__file__).parents[2]

VALUES = {
    'nodeName|json': '"front-1"',
    'ip|json': '"10.1.0.37"',
    'zone|json': '"zone-a"',
    'region|json': '"region"',
    'listenAddrs.front|json': '"10.1.0.37:8388"',
    'listenAddrs.readiness|json': '"10.1.0.37:8384"',
    'listenAddrs.control|json': '"10.1.0.37:8381"',
    'internalPorts.0': '7560',
    'seeds|json': '["10.1.0.37:8381", "10.2.0.8:8381"]',
    'platform.address|json': '"10.200.1.7:8382"',
    'faultTolerance.zones': '1',
}
BOUNDS = {'graceS': '6', 'retryBudgetRatio': '0.2', 'strictRevoke': 'false'}


def fill_template(**changes):
    """Return the template in deploy/ as the platform fills it in."""
    values = VALUES | changes
    text = (ROOT / 'deploy' / 'host.toml').read_text()
    section = re.compile(r'\{\{#bounds\}\}(.*?)\{\{/bounds\}\}', re.DOTALL)
    lines = ''.join(
        section.search(text)[1]
        .replace('{{@}}', name)
        .replace('{{.|json}}', value)
        for name, value in BOUNDS.items()
    )
    text = section.sub(lambda _: lines, text)
    return re.sub(r'\{\{(.*?)\}\}', lambda match: values[match[1]], text)


class TemplateTest(unittest.TestCase):
    """Guards against a template that the host cannot parse."""

    def test_the_filled_template_is_read(self):
        result = settings.read_settings(fill_template(), 'test')
        self.assertEqual(result.name, 'front-1')
        self.assertEqual(result.caller_listen, ('10.1.0.37', 8388))
        self.assertEqual(result.seeds, ('10.1.0.37', '10.2.0.8'))
        self.assertEqual(result.registry, ('10.200.1.7', 8382))
        self.assertEqual((result.peer_port, result.stop_s), (7560, 6.0))
        self.assertEqual(result.limits.retry_ratio, 0.2)
        self.assertEqual(result.limits.floor_share, 0.7)


class BalancingScopeTest(unittest.TestCase):
    """Guards against deployments that get another scope than they ask for."""

    def read_scope(self, losses, extra=''):
        text = fill_template(**{'faultTolerance.zones': losses})
        return settings.read_settings(text + extra, 'test').balancing.scope

    def test_domains_are_kept_apart_where_one_may_be_lost(self):
        for losses in ('1', '2', ''):
            with self.subTest(losses=losses):
                scope = self.read_scope(losses)
                self.assertIs(scope, edge_settings.Scope.DOMAIN)

    def test_one_pool_where_no_domain_may_be_lost(self):
        self.assertIs(self.read_scope('0'), edge_settings.Scope.FLEET)

    def test_an_explicit_scope_goes_first(self):
        scope = self.read_scope('0', '[balancing]\nscope = "domain"\n')
        self.assertIs(scope, edge_settings.Scope.DOMAIN)

    def test_an_unknown_scope_is_named(self):
        with self.assertRaisesRegex(errors.SettingsError, "'zone'"):
            self.read_scope('0', '[balancing]\nscope = "zone"\n')

    def test_unreadable_losses_are_an_error(self):
        with self.assertRaisesRegex(errors.SettingsError, 'many'):
            self.read_scope('many')


class ConnectionLimitTest(unittest.TestCase):
    """Guards against a limit of connections that is not the one asked for."""

    def read_limit(self, extra):
        text = fill_template() + extra
        return settings.read_settings(text, 'test').max_connections

    def test_it_is_read(self):
        self.assertEqual(
            self.read_limit('[listeners]\nmax_connections = 64\n'), 64
        )

    def test_the_descriptors_decide_without_it(self):
        self.assertIsNone(self.read_limit(''))

    def test_one_that_is_no_number_is_named(self):
        for value in ('0', '-1', '"many"', 'true', '1.5'):
            with self.subTest(value=value):
                with self.assertRaisesRegex(
                    errors.SettingsError, 'max_connections'
                ):
                    self.read_limit(
                        f'[listeners]\nmax_connections = {value}\n'
                    )


class FaultTest(unittest.TestCase):
    """Guards against errors that do not name the faulty setting."""

    def test_a_missing_key_is_named(self):
        text = fill_template().replace('domain =', 'other =')
        with self.assertRaisesRegex(errors.SettingsError, 'domain'):
            settings.read_settings(text, 'test')

    def test_invalid_toml_is_an_error(self):
        with self.assertRaises(errors.SettingsError):
            settings.read_settings('= 3', 'test')

    def test_an_invalid_port_is_named(self):
        text = fill_template().replace(':8388', ':x')
        with self.assertRaisesRegex(errors.SettingsError, 'x'):
            settings.read_settings(text, 'test')

    def test_a_missing_file_is_an_error(self):
        with tempfile.TemporaryDirectory() as directory:
            path = os.path.join(directory, 'none.toml')
            environment = {settings.FILE_VARIABLE: path}
            with mock.patch.dict(os.environ, environment):
                with self.assertRaises(errors.SettingsError):
                    settings.load_settings()

    def test_a_missing_variable_is_named(self):
        with mock.patch.dict(os.environ):
            os.environ.pop(settings.FILE_VARIABLE, None)
            with self.assertRaisesRegex(
                errors.SettingsError, settings.FILE_VARIABLE
            ):
                settings.load_settings()
