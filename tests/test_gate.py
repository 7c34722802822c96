"""Tests of the checks before a request is dispatched."""

import types
import unittest

from lavenderstile import errors
from lavenderstile import gate
from lavenderstile import keys
from lavenderstile import messages
from lavenderstile import models
from lavenderstile import routes
from lavenderstile import verdicts
from tests import fakes

KEY = 'key-of-club'
UNIT = messages.SlotUnit('ledger', '127.0.0.9:80', 0)


def make_task(**changes):
    """Return a stub of the configuration task with look-up tables."""
    workspace = models.Workspace('club', (keys.digest_key(KEY),), 10, 5)
    target = models.Target('127.0.0.9:80', 'north', 3)
    configured = {
        'workspaces': {'club': workspace},
        'services': {'ledger': models.Service('ledger', (target,))},
        'routes': {
            'fees': models.Route('fees', '/fees', 'ledger', ('POST',)),
            'heats': models.Route('heats', '/heats', 'ledger'),
            'open': models.Route('open', '/open', 'ledger', open=True),
            'lost': models.Route('lost', '/lost', 'no-such-service'),
        },
        'domains_out': frozenset(),
    } | changes
    return types.SimpleNamespace(
        configuration=types.SimpleNamespace(**configured),
        key_ring=keys.KeyRing.from_workspaces(configured['workspaces']),
        route_table=routes.RouteTable(configured['routes']),
    )


class GateTestCase(unittest.TestCase):
    """Common set-up: a gate with one service configured."""

    def setUp(self):
        self.hints = gate.RateHints()
        self.task = make_task()
        self.gate = gate.Gate(self.task, self.hints)

    def check(self, path='/heats/1', key=KEY, method='GET'):
        """Check a request; return its `Admission`."""
        headers = [(b'authorization', f'Bearer {key}'.encode())] if key else []
        request = fakes.make_request(fakes.Caller(), method, headers)
        request.path = path
        return self.gate.check(request, 1000.0)

    def assert_refused(self, reason, *arguments, **options):
        """Check that a request is refused as not run."""
        with self.assertRaises(errors.RefusedError) as caught:
            self.check(*arguments, **options)
        refusal = caught.exception.refusal
        self.assertIs(refusal.reason, reason)
        self.assertIs(refusal.verdict, verdicts.Verdict.NOT_RUN)


class KeyTest(GateTestCase):
    """Guards against requests that run for another workspace or for none."""

    def test_a_key_names_its_workspace(self):
        self.assertEqual(self.check().workspace, 'club')

    def test_a_missing_key_is_refused(self):
        self.assert_refused(verdicts.Reason.KEY_MISSING, key=None)

    def test_an_unknown_key_is_refused(self):
        self.assert_refused(verdicts.Reason.KEY_UNKNOWN, key='other')

    def test_open_routes_need_no_key(self):
        self.assertEqual(self.check('/open/1', key=None).workspace, '')

    def test_a_key_withdrawn_while_waiting_is_refused(self):
        admission = self.check()
        self.task.key_ring = keys.KeyRing.from_workspaces({})
        with self.assertRaises(errors.RefusedError) as caught:
            self.gate.recheck(admission, UNIT)
        reason = caught.exception.refusal.reason
        self.assertIs(reason, verdicts.Reason.KEY_UNKNOWN)

    def test_a_key_moved_to_another_workspace_is_refused(self):
        admission = self.check()
        other = models.Workspace('other', (keys.digest_key(KEY),), 10, 5)
        self.task.key_ring = keys.KeyRing.from_workspaces({'other': other})
        with self.assertRaises(errors.RefusedError):
            self.gate.recheck(admission, UNIT)


class RouteTest(GateTestCase):
    """Guards against requests that reach the wrong service."""

    def test_an_unknown_path(self):
        self.assert_refused(verdicts.Reason.ROUTE_UNKNOWN, '/nowhere')

    def test_a_method_that_the_route_does_not_take(self):
        self.assert_refused(verdicts.Reason.METHOD_NOT_ALLOWED, '/fees/1')

    def test_a_service_that_is_not_configured(self):
        self.assert_refused(verdicts.Reason.SERVICE_UNKNOWN, '/lost/1')

    def test_the_method_decides_whether_a_request_may_run_twice(self):
        self.assertTrue(self.check().idempotent)
        self.assertFalse(self.check('/fees/1', method='POST').idempotent)


class TargetTest(GateTestCase):
    """Guards against new requests to targets that were taken out of service.

    The target or its domain is taken out while the request is queued.
    """

    def recheck_with(self, **changes):
        """Return whether the target may get requests after a change."""
        admission = self.check()
        self.gate = gate.Gate(make_task(**changes), self.hints)
        return self.gate.recheck(admission, UNIT)

    def test_a_target_in_service(self):
        self.assertTrue(self.recheck_with())

    def test_a_domain_taken_out(self):
        self.assertFalse(self.recheck_with(domains_out={'north'}))

    def test_a_leaving_target(self):
        target = models.Target('127.0.0.9:80', 'north', 3, leaving=True)
        services = {'ledger': models.Service('ledger', (target,))}
        self.assertFalse(self.recheck_with(services=services))

    def test_a_removed_target(self):
        services = {'ledger': models.Service('ledger', ())}
        self.assertFalse(self.recheck_with(services=services))


class RateHintTest(GateTestCase):
    """Guards against needless calls to owners.

    A workspace over its rate is refused without asking the owner of its
    rate for each request.
    """

    def test_a_denied_workspace_is_refused_until_the_next_token(self):
        self.hints.deny('club', 0.5, 1000.0)
        self.assert_refused(verdicts.Reason.RATE_EXCEEDED)

    def test_the_hint_ends(self):
        self.hints.deny('club', 0.5, 999.0)
        self.assertEqual(self.check().workspace, 'club')

    def test_a_hint_never_lasts_longer_than_a_second(self):
        self.hints.deny('club', 100.0, 998.9)
        self.assertEqual(self.check().workspace, 'club')

    def test_other_workspaces_are_not_affected(self):
        self.hints.deny('other', 0.5, 1000.0)
        self.assertEqual(self.check().workspace, 'club')
