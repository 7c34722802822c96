"""Tests of requests that are relayed through another host."""

import asyncio
import random
import types

import eliot
import msgspec

from emulator import registered_target as standin
from emulator import registry_store
from lavenderstile.edge import callers
from lavenderstile.edge import directory
from lavenderstile.edge import fleet
from lavenderstile.edge import handler
from lavenderstile.edge import host
from lavenderstile.edge import http_client
from lavenderstile.edge import paths
from lavenderstile.edge import relay
from lavenderstile.platform import headers
from lavenderstile.platform import objects
from tests.edge import builders
from tests.edge import edge_case

PEER = '127.0.0.1'


class RelayCase(edge_case.EdgeCase):
    """Test case with a host that reaches no target, and a peer that does.

    The targets of `add_target` belong to the peer, which is the host of the
    base class; callers connect to the host that is cut off.
    """

    cut = None

    def apply_events(self, *events):
        """Apply events to the directories of both hosts."""
        super().apply_events(*events)
        if self.cut is not None:
            changes = directory.Changes(
                self.revision,
                tuple((self.revision, event) for event in events),
            )
            self.cut.directory.apply_changes(changes, self.clock.now())

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.relay_server = callers.CallerServer(
            self.clock, relay.RelayHandler(self.handler)
        )
        await self.relay_server.start(PEER, 0)
        self.addCleanup(self.relay_server.stop_listening)
        port = self.relay_server.address[1]
        self.cut = host.Parts(
            edge_case.make_settings(address='127.0.0.2', peer_port=port),
            headers.Headers(),
            self.clock,
            1,
        )
        self.configure(registry_store.describe_configuration(1))
        # Taking a token twice would show.
        self.cut.rate_limits = self.parts.rate_limits
        self.learn_peer(reaches_targets=True)
        for number in range(2):
            self.cut.path_tester.record_failure(f'x-{number}', 'refused')
        self.cut_handler = handler.RequestHandler(self.cut)
        self.server = callers.CallerServer(self.clock, self.cut_handler)
        await self.server.start('127.0.0.1', 0)
        self.addCleanup(self.server.stop_listening)

    def learn_peer(self, reaches_targets):
        """Let the cut host hear of the peer."""
        update = builders.make_update(
            PEER, domain='zone-a', reaches_targets=reaches_targets
        )
        self.cut.fleet.apply_update(update, self.clock.now())


class RelayTest(RelayCase):
    """Guards against callers that are refused though a peer could serve."""

    async def test_the_response_of_the_target_is_forwarded(self):
        target = await self.add_target()
        status, response_headers, body = await self.request('/read/1?x=2')
        self.assertEqual((status, body), (200, b'done'))
        self.assertEqual(
            response_headers['x-lavenderstile-server-signature'], 's.1'
        )
        self.assertEqual(target.seen[0].path, '/read/1?x=2')

    async def test_the_target_sees_neither_the_key_nor_the_relay(self):
        target = await self.add_target()
        await self.request('/pay/1', b'x')
        seen = target.seen[0].headers
        self.assertNotIn('authorization', seen)
        self.assertNotIn(relay.REQUEST_HEADER.decode(), seen)
        self.assertEqual(seen['host'], 'races.example')
        self.assertEqual(seen['x-lavenderstile-tenant-name'], 'club')
        left_ms = int(seen['x-lavenderstile-deadline-ms'])
        self.assertTrue(3000 < left_ms <= 4000, left_ms)

    async def test_targets_that_only_this_host_does_not_reach_are_used(self):
        """Guards against refusals by a host that could reach the target.

        The host that is cut off has tried all targets of the service.
        """
        self.cut.path_tester.record_success('x-1')
        target = await self.add_target()
        down = registry_store.describe_target('127.0.0.1:1', 9)
        event = objects.decode_target(
            target.instance, msgspec.json.encode(down)
        )
        changes = directory.Changes(99, ((99, event),))
        self.cut.directory.apply_changes(changes, self.clock.now())
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, len(target.seen)), (200, 1))

    async def test_a_body_is_forwarded_unchanged(self):
        target = await self.add_target()
        body = bytes(range(256)) * 1000
        await self.request('/pay/1', body)
        self.assertEqual(target.seen[0].body, body)

    async def test_an_error_of_the_target_is_forwarded(self):
        await self.add_target(standin.fail)
        status, response_headers, body = await self.request('/pay/1', b'x')
        self.assertEqual((status, body), (500, b'failed'))
        self.assertIn('x-lavenderstile-server-signature', response_headers)

    async def test_a_refusal_keeps_its_verdict_and_retry_after(self):
        status, response_headers, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 503)
        self.assertEqual(msgspec.json.decode(body)['verdict'], 'not-run')
        self.assertIn('retry-after', response_headers)
        self.assertNotIn(relay.REFUSAL_HEADER.decode(), response_headers)

    async def test_a_refusal_is_logged_as_one(self):
        """Guards against refused requests that the logs call answered."""
        logged = []
        eliot.add_destinations(logged.append)
        self.addCleanup(eliot.remove_destination, logged.append)
        logged.clear()
        await self.request('/pay/1', b'x')
        outcomes = [
            message['outcome']
            for message in logged
            if message['message_type'] == 'request'
        ]
        self.assertEqual(len(outcomes), 2)
        for outcome in outcomes:
            self.assertTrue(outcome.startswith('no_capacity'), outcomes)

    async def test_a_token_is_taken_once(self):
        """Guards against workspaces that get half of their rate."""
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=0.001, burst=8)
        self.configure(data)
        await self.add_target()
        statuses = [
            (await self.request(f'/read/{number}'))[0] for number in range(3)
        ]
        self.assertEqual(statuses, [200, 200, 200])

    async def test_a_caller_that_leaves_cancels_the_run(self):
        target = await self.add_target(standin.hang)
        async with self.connect() as caller:
            caller.send('/pay/1', b'x')
            await self.wait_until(lambda: target.seen)
        await self.wait_until(lambda: target.aborted)


class SafetyTest(RelayCase):
    """Guards against requests that run twice, or refusals that are false."""

    async def test_an_unsafe_request_whose_relay_breaks_is_not_sent_again(
        self,
    ):
        target = await self.add_target(standin.hang)
        other = await self.add_target()
        self.prefer(target)
        task = asyncio.create_task(self.request('/pay/1', b'x'))
        await self.wait_until(lambda: target.seen)
        for connection in list(self.relay_server._connections):
            connection._transport.abort()
        status, _, body = await task
        self.assertEqual((status, other.seen), (502, []))
        self.assertIn(b'may-have-run', body)

    async def test_an_unreadable_refusal_leaves_the_verdict_open(self):
        """Guards against callers that get no answer from hosts of two builds.

        The other host gives a reason that this one doesn't know.
        """
        target = await self.add_target()

        async def handle(request):
            header = b'{"verdict": "not-run", "reason": "of another build"}'
            return callers.CallerResponse(
                503, [(relay.REFUSAL_HEADER, header)]
            )

        self.relay_server._handler.handle = handle
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual((status, target.seen), (502, []))
        self.assertIn(b'may-have-run', body)

    async def test_a_peer_that_broke_the_request_leaves_the_verdict_open(self):
        await self.add_target(standin.reset)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)
        self.assertIn(b'may-have-run', body)

    async def test_a_peer_with_an_older_configuration_is_not_used(self):
        """Guards against a route or key that is in force and then is not."""
        target = await self.add_target()
        newer = registry_store.describe_configuration(9)
        events = ((99, edge_case.decode_configuration(newer)),)
        self.cut.directory.apply_changes(
            directory.Changes(99, events), self.clock.now()
        )
        await asyncio.sleep(paths.CONFIRMED_S)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual((status, target.seen), (503, []))
        self.assertIn(b'not-run', body)

    async def test_a_relayed_request_is_not_relayed_again(self):
        """Guards against loops of hosts that are all cut off."""
        for number in range(2):
            self.parts.path_tester.record_failure(f'x-{number}', 'refused')
        self.parts.relay = self.cut.relay
        self.handler._relay = self.cut.relay
        target = await self.add_target()
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, len(target.seen)), (200, 1))

    async def test_the_targets_of_both_hosts_count_for_the_route(self):
        """Guards against more targets than a route allows."""
        targets = [await self.add_target(standin.fail) for _ in range(4)]
        own_sends = 1
        relayed = relay.RelayedRequest(
            '127.0.0.2', 1, registry_store.SERVICE, 3.0, own_sends, []
        )
        async with self.connect_to_relay() as caller:
            await caller.request(
                '/read/1',
                extra_headers=[
                    (
                        relay.REQUEST_HEADER.decode(),
                        msgspec.json.encode(relayed).decode(),
                    )
                ],
            )
        sends = own_sends + sum(len(target.seen) for target in targets)
        self.assertEqual(sends, 2)

    def connect_to_relay(self):
        """Yield a caller of the port for relayed requests."""
        self.server = self.relay_server
        return self.connect()

    async def test_a_request_without_the_header_is_refused(self):
        target = await self.add_target()
        async with self.connect_to_relay() as caller:
            status, _, _ = await caller.request('/read/1')
        self.assertEqual((status, target.seen), (400, []))


class NoRelayTest(RelayCase):
    """Guards against callers that wait for hosts that can't serve them."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.learn_peer(reaches_targets=False)

    async def test_a_cut_that_lasts_is_refused_at_once(self):
        down = registry_store.describe_target('127.0.0.1:1', born=9)
        self.apply_events(
            objects.decode_target('down', msgspec.json.encode(down))
        )
        await asyncio.sleep(paths.CONFIRMED_S)
        started = self.clock.now()
        status, response_headers, body = await self.request('/pay/1', b'x')
        self.assertLess(self.clock.now() - started, 0.1)
        self.assertEqual(status, 503)
        self.assertIn('retry-after', response_headers)
        self.assertIn(b'reaches no target', body)


class CutHostTest(RelayCase):
    """Guards against hosts that make sound targets look bad for others."""

    async def test_broken_connections_are_not_reported_as_faults(self):
        target = await self.add_target()
        self.cut_handler._sender._record_fault(
            target.instance, handler.FaultKind.BROKEN
        )
        self.assertEqual(self.cut.reports.take(), ([], {}))

    async def test_crashes_count_until_the_cut_is_confirmed(self):
        """Guards against crashed targets that are taken for a cut.

        Their crashes must count against the request that caused them.
        """
        target = await self.add_target()
        known = self.cut.directory.targets[target.instance]
        call = types.SimpleNamespace(digest='ff', request_id='r1')
        error = http_client.ConnectionBroken('reset', False, True)
        connection = types.SimpleNamespace(is_reused=True)
        sender = self.cut_handler._sender
        sender._handle_broken_connection(call, known, connection, error)
        self.assertEqual(self.cut.guard.count('ff', self.clock.now()), 1)
        await asyncio.sleep(paths.CONFIRMED_S)
        call.digest = 'ee'
        sender._handle_broken_connection(call, known, connection, error)
        self.assertEqual(self.cut.guard.count('ee', self.clock.now()), 0)

    async def test_targets_are_not_avoided_after_the_cut(self):
        target = await self.add_target()
        now = self.clock.now()
        self.cut.health.add(target.instance, False, now)
        self.cut.health.record_path_fault(target.instance, now)
        self.assertTrue(self.cut.health.is_avoided(target.instance, now))
        await asyncio.sleep(paths.CONFIRMED_S)
        self.cut.path_tester.record_success(target.instance)
        self.assertFalse(self.cut.health.is_avoided(target.instance, now))

    async def test_two_crashed_targets_stay_avoided_after_a_false_alarm(self):
        """Guards against requests that try crashed targets again and again.

        The host took the crashes for a cut until its first test succeeded.
        """
        target = await self.add_target()
        now = self.clock.now()
        self.cut.health.add('x-1', False, now)
        self.cut.health.record_path_fault('x-1', now)
        self.cut.path_tester.record_success(target.instance)
        self.assertFalse(self.cut.paths.is_cut)
        self.assertTrue(self.cut.health.is_avoided('x-1', now))

    async def test_a_connection_between_two_failures_rules_a_cut_out(self):
        for _ in range(2):
            await self.add_target()
        tester = self.parts.path_tester
        tester.record_failure('x-1', 'refused')
        tester.record_success('x-2')
        tester.record_failure('x-3', 'refused')
        self.assertFalse(self.parts.paths.is_cut)

    async def test_a_test_connection_ends_the_cut(self):
        await self.add_target()
        task = asyncio.create_task(self.cut.path_tester.run())
        self.addCleanup(task.cancel)
        await self.wait_until(lambda: not self.cut.paths.is_cut)


class SuspicionTest(edge_case.EdgeCase):
    """Guards against a cut that costs one request for each kept connection.

    Requests on kept connections get no response, one after the other, while
    no new connection shows the cut.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        task = asyncio.create_task(self.parts.path_tester.run())
        self.addCleanup(task.cancel)

    def register(self, instance, address):
        """Register a target again, at another address."""
        entry = registry_store.describe_target(address, 9)
        self.apply_events(
            objects.decode_target(instance, msgspec.json.encode(entry))
        )

    async def break_kept_connection(self):
        """Send a request on a kept connection that breaks."""
        target = await self.add_target()
        await self.request('/pay/1', b'x')
        target.behave = standin.reset
        return target

    async def test_a_broken_connection_leads_to_tests(self):
        target = await self.break_kept_connection()
        self.register(target.instance, '127.0.0.1:1')
        self.register('i-9', '127.0.0.1:2')
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)
        await self.wait_until(lambda: self.parts.paths.is_cut)

    async def test_a_target_that_closed_a_connection_is_no_cut(self):
        target = await self.break_kept_connection()
        self.prefer(target)
        other = await self.add_target()
        self.parts.balancer.record_use([other.instance], self.clock.now())
        opened = self.parts.pools.opened
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)
        await self.wait_until(lambda: self.parts.pools.opened > opened)
        await asyncio.sleep(0.1)
        self.assertFalse(self.parts.paths.is_cut)


class RelayChoiceTest(edge_case.unittest.TestCase):
    """Guards against a few hosts that relay for a whole domain."""

    def setUp(self):
        self.fleet = fleet.Fleet('10.1.0.1', 'a', 1)

    def hear(self, reaching, cut):
        """Hear of peers that reach the targets and of others."""
        for number in range(reaching + cut):
            update = builders.make_update(
                f'10.1.1.{number}', reaches_targets=number < reaching
            )
            self.fleet.apply_update(update, 0.0)

    def hear_digest(self, now, *relays):
        """Hear a digest of another domain."""
        self.fleet.apply_digest(
            builders.make_digest('b', relays=list(relays)), now
        )

    def test_peers_of_the_domain_come_first(self):
        self.hear(4, 2)
        self.hear_digest(0.0, '10.2.0.1')
        self.assertEqual(
            sorted(self.fleet.list_relays(0.0)),
            [f'10.1.1.{number}' for number in range(4)],
        )

    def test_other_domains_help_if_most_of_the_own_is_cut_off(self):
        self.hear(1, 5)
        self.hear_digest(0.0, '10.2.0.1', '10.2.0.2')
        self.hear_digest(0.5, '10.2.0.3')
        self.assertEqual(
            sorted(self.fleet.list_relays(0.5)),
            ['10.1.1.0', '10.2.0.1', '10.2.0.2', '10.2.0.3'],
        )

    def test_hosts_that_are_no_longer_named_are_not_used(self):
        self.hear(0, 2)
        self.hear_digest(0.0, '10.2.0.1')
        later = fleet.RELAY_RETENTION_S + 0.1
        self.assertEqual(self.fleet.list_relays(later), [])

    def test_a_domain_that_is_cut_off_as_a_whole_is_not_used(self):
        self.hear(0, 2)
        self.hear_digest(0.0, '10.2.0.1')
        self.hear_digest(0.5)
        self.assertEqual(self.fleet.list_relays(0.5), [])

    def test_digests_name_enough_hosts_for_a_domain_that_is_cut_off(self):
        """Load pattern: all hosts of a domain relay to two other domains.

        Guards against a few hosts that get all of its requests.
        """
        self.hear(0, 12)
        rng = random.Random(1)
        for number in range(6):
            for domain in ('b', 'c'):
                hosts = [f'{domain}-{host}' for host in range(13)]
                digest = builders.make_digest(
                    f'{domain}-0', domain, relays=rng.sample(hosts, 4)
                )
                self.fleet.apply_digest(digest, number * 0.5)
        self.assertGreaterEqual(len(self.fleet.list_relays(2.5)), 18)
