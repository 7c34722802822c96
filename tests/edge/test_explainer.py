"""Tests of explanations of where a request would go."""

import asyncio
import io
import json
import math
import random
import unittest
from unittest import mock

from lavenderstile import cli
from lavenderstile import clocks
from lavenderstile.edge import balancing
from lavenderstile.edge import callers
from lavenderstile.edge import crash_guard
from lavenderstile.edge import explainer
from lavenderstile.edge import explanation
from lavenderstile.edge import health
from lavenderstile.edge import host
from lavenderstile.edge import models
from lavenderstile.edge import parsed_headers
from lavenderstile.edge import settings
from lavenderstile import errors
from tests.edge import builders
from tests.edge import edge_case

KEY = 'secret-key-1'
WORKSPACES = (
    models.Workspace('club', (KEY,), 0, 5.0, 4.0),
    models.Workspace('free', ('secret-key-2',), None, 0.0, 0.0),
)
LEDGER = (models.WeightedService('ledger', 1.0),)
ROUTES = (
    builders.make_route('pay'),
    builders.make_route('open', is_public=True, idempotent=True),
    builders.make_route(
        'split',
        weighted_services=(
            models.WeightedService('ledger', 0.9),
            models.WeightedService('archive', 0.1),
        ),
    ),
)


def dump(value):
    """Return the state of an object of the package, for comparisons."""
    match value:
        case dict():
            return {key: dump(item) for key, item in value.items()}
        case list() | tuple():
            return [dump(item) for item in value]
        case random.Random():
            return value.getstate()
    if not type(value).__module__.startswith('lavenderstile'):
        return value
    names = {
        name
        for parent in type(value).__mro__
        for name in getattr(parent, '__slots__', ())
    } | set(getattr(value, '__dict__', ()))
    return {
        name: dump(getattr(value, name))
        for name in names
        if name not in ('clock', '_clock', 'path_tester')
    }


class ExplainerCase(unittest.TestCase):
    """Test case with the parts of a host and a virtual clock."""

    SCOPE = settings.Scope.DOMAIN

    def setUp(self):
        self.clock = clocks.VirtualClock()
        self.parts = host.Parts(
            edge_case.make_settings(
                address='10.1.0.1',
                domain='a',
                balancing=settings.BalancingSettings(self.SCOPE),
            ),
            None,
            self.clock,
            1,
        )
        self.explainer = explainer.Explainer(self.parts)

    def configure(self, *targets, evacuated=()):
        """Put a configuration and targets in force."""
        now = self.clock.now()
        configuration = builders.make_configuration(
            3, ROUTES, WORKSPACES, models.CallerLimits(body_bytes=10_000)
        )
        self.parts.directory.apply_snapshot(
            builders.directory.Snapshot(
                10, configuration, targets, frozenset(evacuated)
            ),
            now,
        )
        self.parts.rate_limits.configure(WORKSPACES, now)
        for target in targets:
            self.parts.health.add(target.instance, False, now)

    def explain(self, path='/pay/1', workspace='club', **changes):
        """Return the explanation of a request."""
        fields = {'method': 'POST', 'host': 'races.example', **changes}
        return self.explainer.explain(
            explanation.Query(path=path, workspace=workspace, **fields)
        )

    def decide(self, **changes):
        """Return the decision on the only service."""
        (service,) = self.explain(**changes).services
        return service.decision


class RefusalTest(ExplainerCase):
    """Guards against explanations that overlook why a host refuses."""

    def test_what_a_request_is(self):
        self.configure(builders.make_target('i-1'))
        for changes, status, reason in (
            ({'path': '/none/1'}, 404, 'route_unknown'),
            ({'host': 'other.example'}, 404, 'route_unknown'),
            ({'workspace': None}, 401, 'key_missing'),
            ({'workspace': KEY}, 401, 'key_unknown'),
            ({'size': 10_001}, 413, 'body_too_large'),
            ({'method': 'CONNECT'}, 405, 'method_not_allowed'),
        ):
            with self.subTest(**changes):
                refusal = self.explain(**changes).refusal
                self.assertEqual(
                    (refusal.action, refusal.status, refusal.reason),
                    ('refuse', status, reason),
                )
                self.assertEqual(refusal.verdict, 'not-run')
                self.assertNotIn(KEY, str(self.explain(**changes)))
        self.assertIsNone(self.explain().refusal)
        found = self.explain(path='/open/1', workspace=None)
        self.assertIsNone(found.refusal)

    def test_without_a_configuration(self):
        found = self.explain()
        self.assertEqual(found.refusal.reason, 'host_overloaded')
        self.assertEqual(found.services, [])

    def test_a_workspace_over_its_rate(self):
        self.configure(builders.make_target('i-1'))
        now = self.clock.now()
        self.assertIsNone(self.explain().refusal)
        while not self.parts.rate_limits.take('club', now):
            pass
        found = self.explain()
        self.assertEqual(
            (found.refusal.status, found.refusal.reason),
            (429, 'rate_exceeded'),
        )
        self.assertAlmostEqual(found.refusal.retry_after_s, 0.2)
        self.assertEqual((found.rate.rate, found.rate.burst), (5.0, 4.0))
        self.assertEqual(found.services[0].decision.action, 'send')
        self.assertIsNone(self.explain(workspace='free').rate)

    def test_a_request_that_crashes_targets(self):
        self.configure(builders.make_target('i-1'))
        digest = crash_guard.make_digest('POST', '/pay/1', 'club', b'')
        for number in range(crash_guard.BLOCKING_CRASHES):
            self.parts.guard.record(digest, f'r-{number}', self.clock.now())
        self.assertEqual(self.explain().refusal.reason, 'crashes_targets')
        self.assertIsNone(self.explain(path='/pay/2').refusal)


class TargetTest(ExplainerCase):
    """Guards against explanations that differ from what a host does."""

    def test_the_first_choice_and_reasons_of_exclusion(self):
        targets = [
            builders.make_target(name, slots=1)
            for name in ('best', 'bad', 'full', 'paused', 'limited')
        ]
        self.configure(
            *targets,
            builders.make_target('far', domain='b'),
            builders.make_target('away', domain='c'),
            builders.make_target('cold', cold_left_s=3.0),
            builders.make_target('leaving', is_draining=True),
            evacuated=['c'],
        )
        now = self.clock.now()
        self.parts.balancer.record_use(['best', 'bad'], now)
        self.parts.health.record_success('best', 'ledger', 0.2, now)
        kind = explainer.handler.FaultKind.ERROR
        self.parts.health.record_fault('bad', kind, now)
        known = self.parts.directory.targets
        for _ in range(4):
            self.parts.balancer.begin(known['full'], now)
        self.parts.pauses.record(known['paused'].target, 2.0, now)
        limit = parsed_headers.Limited(0.5)
        self.parts.target_limits.record('limited', limit, now, now)
        self.parts.balancer.begin(known['limited'], now)
        self.parts.balancer.begin(known['cold'], now)
        (service,) = self.explain().services
        self.assertEqual(
            (service.decision.action, service.decision.target),
            ('send', 'best'),
        )
        usable = [
            found.instance
            for found in service.candidates
            if found.exclusion is None
        ]
        self.assertEqual(usable, ['best', 'far', 'bad'])
        reasons = {
            found.instance: found.exclusion.split()[0].strip(',:')
            for found in service.candidates
            if found.exclusion is not None
        }
        self.assertEqual(
            reasons,
            {
                'full': 'full',
                'paused': 'paused',
                'limited': 'limited',
                'cold': 'cold',
                'away': 'its',
                'leaving': 'it',
            },
        )
        far = service.candidates[1]
        self.assertIn('domain', far.parts)
        self.assertAlmostEqual(sum(far.parts.values()), far.cost_s, 3)

    def test_each_service_of_a_split(self):
        self.configure(builders.make_target('i-1'))
        found = self.explain(path='/split/1').services
        self.assertEqual(
            [
                (service.service, service.weight, service.decision.action)
                for service in found
            ],
            [('ledger', 0.9, 'send'), ('archive', 0.1, 'wait')],
        )

    def test_the_assessment_agrees_with_the_choice(self):
        """Guards against a cost that is changed in only one of two places.

        Load pattern: targets of two domains with random load and health.
        """
        rng = random.Random(5)
        for number in range(600):
            targets = [
                builders.make_target(
                    f'i-{n}',
                    slots=rng.randint(1, 3),
                    domain=rng.choice('aab'),
                    cold_left_s=rng.choice((0.0, 0.0, 2.0)),
                )
                for n in range(rng.randint(0, 5))
            ]
            fixture = builders.BalancerFixture(
                targets, rng=mock.Mock(random=lambda: 0.0)
            )
            now = fixture.clock.now()
            for known in fixture.directory.targets.values():
                instance = known.target.instance
                for _ in range(rng.choice((0, 1, 3, 9))):
                    fixture.balancer.begin(known, now)
                if rng.random() < 0.5:
                    fixture.record_successes(instance)
                    latency_s = rng.uniform(0.05, 1.0)
                    fixture.health.record_success(
                        instance, 'ledger', latency_s, now
                    )
                kind = rng.choice(list(explainer.handler.FaultKind))
                if rng.random() < 0.3:
                    fixture.health.record_fault(instance, kind, now)
                if rng.random() < 0.3:
                    fixture.pauses.record(known.target, rng.random(), now)
                if rng.random() < 0.3:
                    limit = parsed_headers.Limited(rng.random())
                    fixture.target_limits.record(instance, limit, now, now)
            fixture.clock.advance(rng.choice((0.0, 1.2, 2.0)))
            now = fixture.clock.now()
            is_idempotent = rng.random() < 0.5
            idle = rng.sample(targets, len(targets) // 2)
            arguments = ('ledger', now, 30.0, is_idempotent)
            names = {target.instance for target in idle}
            found = fixture.balancer.assess(*arguments, names.__contains__)
            usable = [each for each in found if each.exclusion is None]
            choice = fixture.balancer.choose(
                *arguments, (), names.__contains__
            )
            with self.subTest(number=number, choice=choice):
                match choice:
                    case balancing.Chosen(known, wait_s):
                        best = min(usable, key=lambda each: each.cost_s)
                        self.assertEqual(best.parts['wait'], wait_s)
                        chosen = next(
                            each for each in usable if each.known is known
                        )
                        self.assertAlmostEqual(best.cost_s, chosen.cost_s)
                    case balancing.Full(wait_s):
                        self.assertEqual(usable, [])
                        full_s = min(each.full_s for each in found)
                        self.assertEqual(full_s, wait_s)
                    case balancing.NoTarget():
                        self.assertEqual(usable, [])
                        self.assertTrue(
                            all(each.full_s == math.inf for each in found)
                        )


class DecisionTest(ExplainerCase):
    """Guards against a wait or a refusal that is explained as the other."""

    def fill(self, count, slots=1):
        """Put requests in flight at the only target."""
        self.configure(builders.make_target('i-1', slots=slots))
        known = self.parts.directory.targets['i-1']
        for _ in range(count):
            self.parts.balancer.begin(known, self.clock.now())

    def test_a_full_target(self):
        self.fill(3)
        self.assertEqual(self.decide().action, 'wait')

    def test_a_queue_that_is_too_long(self):
        self.fill(40)
        decision = self.decide()
        self.assertEqual(
            (decision.action, decision.status, decision.reason),
            ('refuse', 503, 'no_capacity'),
        )
        self.assertAlmostEqual(decision.retry_after_s, 8.0)

    def test_no_target(self):
        self.configure()
        self.assertEqual(self.decide().action, 'wait')

    def test_behind_others(self):
        self.fill(0)
        self.parts.waiting.add('ledger', 0, 'club', self.clock.now(), 1.0)
        decision = self.decide()
        self.assertEqual((decision.action, decision.target), ('wait', 'i-1'))

    def test_a_host_that_reaches_no_target(self):
        self.fill(0)
        self.parts.paths.record_failure('i-1', 'x', 1, self.clock.now())
        self.assertEqual(self.decide().action, 'send')
        self.clock.advance(1.0)
        self.assertEqual(self.decide().reason, 'target_unreachable')
        update = builders.make_update('10.1.0.9', reaches_targets=True)
        self.parts.fleet.apply_update(update, self.clock.now())
        self.assertEqual(self.decide().action, 'relay')


class FleetDecisionTest(ExplainerCase):
    """Guards against the rules of separate domains in a fleet's explanation.

    The targets of all domains are one pool there, and requests wait by the
    urgency of their kind.
    """

    SCOPE = settings.Scope.FLEET

    def setUp(self):
        super().setUp()
        self.configure(
            builders.make_target('i-1'),
            builders.make_target('i-2', domain='b'),
        )

    def explain_targets(self):
        """Return the explanation of each target."""
        (service,) = self.explain(size=2048).services
        return {found.instance: found for found in service.candidates}

    def test_another_domain_costs_more_for_each_kilobyte(self):
        parts = self.explain_targets()['i-2'].parts
        self.assertAlmostEqual(parts['domain'], 0.25 + 2 * 0.015, 3)

    def test_a_target_that_has_just_failed_is_left_out(self):
        self.parts.health.record_fault(
            'i-1', health.FaultKind.ERROR, self.clock.now()
        )
        self.assertIn('failed', self.explain_targets()['i-1'].exclusion)
        self.assertEqual(self.decide().target, 'i-2')

    def test_a_request_behind_others_waits(self):
        turn = self.parts.kind_urgency.make_turn(
            'ledger', ROUTES[0], self.clock.now(), self.clock.now() + 1.0
        )
        self.parts.waiting.add(
            'ledger', 0, 'club', self.clock.now(), 1.0, turn
        )
        self.assertEqual(self.decide().action, 'wait')


class NoChangeTest(ExplainerCase):
    """Guards against a question that costs a token or counts as a request."""

    def test_nothing_changes(self):
        self.configure(
            builders.make_target('i-1'),
            builders.make_target('i-2', cold_left_s=9.0),
        )
        self.clock.advance(1.0)
        before = dump(self.parts)
        for path in ('/pay/1', '/open/1', '/split/1', '/none/1'):
            self.explain(path=path)
        self.assertEqual(dump(self.parts), before)
        self.parts.rate_limits.take('club', self.clock.now())
        self.assertNotEqual(dump(self.parts), before)


class QueryTest(unittest.TestCase):
    """Guards against malformed questions without a clear error."""

    def test_a_query_is_read_as_written(self):
        query = explanation.make_query(
            'GET', 'Races.example', '/a/b?c=d&e=%20', 'club', '12'
        )
        text = query.make_path().partition('?')[2]
        self.assertEqual(explanation.parse_query(text), query)
        self.assertEqual(query.host, 'races.example')

    def test_malformed_queries(self):
        good = 'method=GET&host=a&path=/x'
        for text, expected in (
            ('', 'host'),
            ('x', 'malformed'),
            ('host=a', 'path'),
            ('path=/x', 'host'),
            ('host=a:80&path=/x', 'port'),
            ('host=a&path=x', 'slash'),
            ('host=a&path=/%ff', 'malformed'),
            ('host=a&path=/%C3%A9', 'ASCII'),
            ('method=get&host=a&path=/x', 'upper case'),
            (f'{good}&host=b', 'more than one host'),
            (f'{good}&key={KEY}', 'known fields'),
            (f'{good}&workspace=', 'workspace'),
            (f'{good}&bytes=-1', 'bytes'),
            (f'{good}&bytes=9999999999999', 'bytes'),
            ('&'.join(f'f{n}=1' for n in range(99)), 'malformed'),
        ):
            with self.subTest(text):
                with self.assertRaises(errors.QueryError) as caught:
                    explanation.parse_query(text)
                self.assertIn(expected, str(caught.exception))
                self.assertNotIn(KEY, str(caught.exception))


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a command that a host doesn't answer."""

    async def asyncSetUp(self):
        settings = edge_case.make_settings(domain='a')
        subject = host.Host(lambda: settings, None, mock.Mock())
        configuration = builders.make_configuration(3, ROUTES, WORKSPACES)
        subject.parts.directory.apply_snapshot(
            builders.directory.Snapshot(
                10,
                configuration,
                (builders.make_target('i-1'),),
                frozenset(),
            ),
            clocks.Clock().now(),
        )
        subject._apply_directory()
        self.parts = subject.parts
        server = callers.CallerServer(
            clocks.Clock(), host.StatusHandler(subject)
        )
        await server.start('127.0.0.1', 0)
        self.addCleanup(server.stop_listening)
        self.address = ':'.join(map(str, server.address))

    async def run_tool(self, *arguments):
        """Run the command; return its exit code and both outputs."""
        stdout, stderr = io.StringIO(), io.StringIO()
        code = await asyncio.to_thread(
            cli.run,
            ['lavenderstile', 'explain', 'routing', self.address, *arguments],
            None,
            io.StringIO(),
            stdout,
            stderr,
        )
        return code, stdout.getvalue(), stderr.getvalue()

    async def test_text(self):
        code, stdout, stderr = await self.run_tool(
            *('POST', 'races.example', '/pay/1', '--workspace', 'club')
        )
        self.assertEqual((code, stderr), (0, ''))
        self.assertIn('route pay, workspace club, priority 0', stdout)
        self.assertIn('rate 5/s, burst 4, level ', stdout)
        self.assertIn('service ledger, weight 1: send to i-1: ', stdout)
        self.assertIn('  i-1@a ', stdout)
        self.assertIn('latency 0.200, health 0.2', stdout)
        self.assertNotIn(KEY, stdout)
        self.assertEqual(self.parts.rate_limits.admitted, {})
        self.assertEqual(self.parts.pools.opened, 0)

    async def test_json_of_a_refusal(self):
        code, stdout, _ = await self.run_tool(
            *('POST', 'races.example', '/none/1', '--json')
        )
        self.assertEqual(code, 0)
        value = json.loads(stdout)
        self.assertEqual(value['refusal']['reason'], 'route_unknown')
        self.assertEqual(value['services'], [])

    async def test_malformed_arguments_are_usage_errors(self):
        for arguments in (
            ('post', 'races.example', '/pay/1'),
            ('POST', 'races.example:80', '/pay/1'),
            ('POST', 'races.example', 'pay'),
            ('POST', 'races.example', '/pay/1', '--bytes', 'x'),
        ):
            with self.subTest(arguments):
                code, stdout, stderr = await self.run_tool(*arguments)
                self.assertEqual((code, stdout), (2, ''))
                self.assertEqual(stderr.count('\n'), 1)

    async def test_a_malformed_query_gets_400(self):
        address, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(address, port)
        self.addCleanup(writer.close)
        writer.write(b'GET /explain?host=a HTTP/1.1\r\nhost: a\r\n\r\n')
        async with asyncio.timeout(edge_case.LIMIT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            line = await reader.readline()
        self.assertTrue(head.startswith(b'HTTP/1.1 400 '), head)
        self.assertIn(b'path must', line)
