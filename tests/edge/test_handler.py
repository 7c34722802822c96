"""Tests of the request path, with real sockets."""

import asyncio
import contextlib
import time
from unittest import mock

import eliot
import msgspec

from emulator import registered_target as standin
from emulator import registry_store
from lavenderstile.edge import directory
from lavenderstile.edge import handler
from lavenderstile.edge.listeners import connection
from lavenderstile.platform import objects
from tests.edge import edge_case


def make_partial_response(data):
    """Return a behaviour that sends some bytes and closes."""

    async def respond(target, request, writer):
        writer.write(data)
        writer.close()

    return respond


def make_stale_refusal(status):
    """Return a behaviour that refuses without an id, and runs the request."""

    async def respond(target, request, writer):
        writer.write(
            f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n'
            'x-lavenderstile-not-executed: 1\r\n\r\n'.encode()
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        await standin.answer(target, request, writer)

    return respond


class ResponseTest(edge_case.EdgeCase):
    """Guards against responses that do not belong to the request."""

    async def test_the_response_of_the_target_is_forwarded(self):
        target = await self.add_target()
        status, headers, body = await self.request('/read/1?x=2')
        self.assertEqual((status, body), (200, b'done'))
        self.assertEqual(headers['x-lavenderstile-server-signature'], 's.1')
        seen = target.seen[0]
        self.assertEqual((seen.method, seen.path), ('GET', '/read/1?x=2'))
        self.assertEqual(seen.request_id, 'try-1')

    async def test_no_target_sees_the_key(self):
        target = await self.add_target()
        await self.request(
            '/read/1', extra_headers=[('X-Lavenderstile-Tenant-Name', 'other')]
        )
        headers = target.seen[0].headers
        self.assertNotIn('authorization', headers)
        self.assertEqual(headers['x-lavenderstile-tenant-name'], 'club')
        self.assertEqual(
            headers['x-lavenderstile-expected-instance'], target.instance
        )
        left_ms = int(headers['x-lavenderstile-deadline-ms'])
        self.assertTrue(3000 < left_ms <= 4000, left_ms)

    async def test_an_error_response_of_the_target_is_forwarded(self):
        await self.add_target(standin.fail)
        status, headers, body = await self.request('/pay/1', b'x')
        self.assertEqual((status, body), (500, b'failed'))
        self.assertIn('x-lavenderstile-server-signature', headers)

    async def test_a_response_to_another_request_is_skipped(self):
        """Guards against a stale response on a reused connection.

        A target sends the response to an earlier request before its own.
        """
        target = await self.add_target(standin.answer, standin.answer_crossed)
        await self.request('/pay/1', b'x')
        status, _, body = await self.request('/pay/2', b'x')
        self.assertEqual((status, body), (200, b'done'))
        self.assertEqual(len(target.seen), 2)

    async def test_bytes_after_a_response_are_discarded(self):
        await self.add_target(standin.answer_twice)
        for number in range(3):
            status, _, body = await self.request(f'/pay/{number}', b'x')
            self.assertEqual((status, body), (200, b'done'))

    async def test_a_truncated_response_is_refused(self):
        await self.add_target(standin.truncate)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)
        self.assertNotIn(b'xxx', body)

    async def test_a_response_that_ends_within_its_head_is_refused(self):
        """Guards against a partial head that passes for a whole response.

        The target stops at each byte of the head and closes or resets the
        connection, which is new or was used before.
        """
        head = standin.render('try-1').partition(b'done')[0]
        for size in range(0, len(head), 3):
            for is_reused in (False, True):
                with self.subTest(size=size, is_reused=is_reused):
                    target = await self.add_target()
                    if is_reused:
                        await self.request('/pay/1', b'x')
                    target.behave = make_partial_response(head[:size])
                    status, _, _ = await self.request('/pay/1', b'x')
                    self.assertEqual(status, 502)
                    self.remove_all_targets()

    async def test_a_refusal_without_an_id_on_a_kept_connection_is_not_used(
        self,
    ):
        """Guards against an earlier refusal that is sent once more.

        The target runs the request, but the caller was told that it had not
        run, or it ran at a second target.
        """
        for status in (400, 421, 429, 503):
            with self.subTest(status=status):
                target = await self.add_target()
                self.prefer(target)
                await self.request('/pay/1', b'x')
                other = await self.add_target()
                self.parts.balancer.record_use(
                    [other.instance], self.clock.now()
                )
                target.behave = make_stale_refusal(status)
                status, _, body = await self.request('/pay/2', b'x')
                self.assertNotIn(b'not-run', body)
                self.assertIn(status, (200, 502))
                self.assertEqual(other.seen, [])
                self.remove_all_targets()

    async def test_an_unsigned_success_is_refused(self):
        await self.add_target(standin.answer_unsigned)
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)

    async def test_a_request_body_is_forwarded_unchanged(self):
        target = await self.add_target()
        body = bytes(range(256)) * 1000
        await self.request('/pay/1', body)
        self.assertEqual(target.seen[0].body, body)


class RetryTest(edge_case.EdgeCase):
    """Guards against requests that run twice or that are not retried."""

    async def test_a_safe_request_is_sent_again_after_a_failure(self):
        for behave in (standin.fail, standin.reset, standin.truncate):
            with self.subTest(behave=behave.__name__):
                first = await self.add_target(behave)
                self.prefer(first)
                await self.add_target()
                status, _, _ = await self.request('/read/1')
                self.assertEqual((status, len(first.seen)), (200, 1))
                self.remove_all_targets()

    async def test_an_unsafe_request_is_sent_once(self):
        for behave in (standin.fail, standin.reset, standin.truncate):
            with self.subTest(behave=behave.__name__):
                first = await self.add_target(behave)
                self.prefer(first)
                second = await self.add_target()
                status, headers, _ = await self.request('/pay/1', b'x')
                self.assertIn(status, (500, 502))
                self.assertNotIn('retry-after', headers)
                self.assertEqual((len(first.seen), len(second.seen)), (1, 0))
                self.remove_all_targets()

    async def test_an_unsafe_request_that_has_not_run_is_sent_again(self):
        for behave in (standin.shed, standin.misdirect):
            with self.subTest(behave=behave.__name__):
                first = await self.add_target(behave)
                self.prefer(first)
                await self.add_target()
                status, _, _ = await self.request('/pay/1', b'x')
                self.assertEqual((status, len(first.seen)), (200, 1))
                self.remove_all_targets()

    async def test_a_refused_connection_costs_no_attempt(self):
        target = await self.add_target()
        down = registry_store.describe_target('127.0.0.1:1', born=9)
        self.apply_events(
            edge_case.objects.decode_target(
                'down', edge_case.msgspec.json.encode(down)
            )
        )
        self.parts.health.add('down', True, self.clock.now())
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, len(target.seen)), (200, 1))

    async def test_a_request_reaches_no_more_targets_than_its_route_allows(
        self,
    ):
        targets = [await self.add_target(standin.shed) for _ in range(4)]
        status, headers, _ = await self.request('/read/1')
        self.assertEqual(status, 503)
        self.assertIn('retry-after', headers)
        self.assertEqual(sum(len(target.seen) for target in targets), 2)

    async def test_an_unproved_refusal_of_a_target_does_not_say_not_run(self):
        """Guards against an order that runs, and runs again when repeated.

        A failing target may answer it with a status by which callers know
        that a request has not run.
        """
        for status in (408, 429, 503):
            with self.subTest(status=status):
                self.remove_all_targets()
                target = await self.add_target(
                    standin.make_unproved_refusal(status)
                )
                got, headers, body = await self.request('/pay/1', b'x')
                self.assertEqual((got, len(target.seen)), (502, 1))
                self.assertNotIn('x-lavenderstile-server-signature', headers)
                self.assertIn(b'may-have-run', body)

    async def test_a_safe_request_is_sent_again_after_such_a_refusal(self):
        failing = await self.add_target(standin.make_unproved_refusal(429))
        other = await self.add_target()
        self.prefer(failing)
        status, _, _ = await self.request('/read/1')
        self.assertEqual((status, len(other.seen)), (200, 1))

    async def test_a_refusal_after_a_run_does_not_say_not_run(self):
        first = await self.add_target(standin.reset)
        self.prefer(first)
        await self.add_target(standin.shed)
        status, _, body = await self.request('/read/1')
        self.assertEqual(status, 502)
        self.assertIn(b'may-have-run', body)

    async def test_a_request_that_crashes_targets_is_stopped(self):
        targets = [await self.add_target(standin.reset) for _ in range(8)]
        for _ in range(6):
            await self.request('/read/poison')
        self.assertLessEqual(sum(len(target.seen) for target in targets), 3)
        status, _, body = await self.request('/read/poison')
        self.assertEqual(status, 503)
        self.assertIn(b'crashes_targets', body)

    # Guards against crashes on kept connections that are not counted: the
    # request goes on crashing targets.
    async def test_a_crash_on_a_kept_connection_counts(self):
        targets = [await self.add_target() for _ in range(8)]
        while not all(target.seen for target in targets):
            await self.request('/read/1')
        for target in targets:
            target.seen.clear()
            target.behave = standin.reset
        for _ in range(6):
            await self.request('/read/poison')
        self.assertLessEqual(sum(len(target.seen) for target in targets), 3)
        status, _, body = await self.request('/read/poison')
        self.assertEqual(status, 503)
        self.assertIn(b'crashes_targets', body)


class HedgingTest(edge_case.EdgeCase):
    """Guards against idempotent requests that wait for a silent target."""

    async def test_a_hedge_responds_for_a_silent_target(self):
        silent = await self.add_target(standin.hang)
        self.prefer(silent)
        await self.add_target()
        status, _, _ = await self.request('/read/1')
        self.assertEqual((status, len(silent.seen)), (200, 1))
        await self.wait_until(lambda: silent.aborted)
        self.assertEqual(self.parts.balancer.own_running, {})

    async def test_an_unsafe_request_is_not_hedged(self):
        data = registry_store.describe_configuration(2)
        for rule in data['listeners'][0]['rules']:
            rule['action']['timeoutS'] = 1.2
        self.configure(data)
        silent = await self.add_target(standin.hang)
        self.prefer(silent)
        other = await self.add_target()
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, other.seen), (504, []))


class RefusalTest(edge_case.EdgeCase):
    """Guards against refusals that are wrong or late."""

    async def test_without_a_configuration_requests_may_be_retried(self):
        self.parts.directory = directory.Directory()
        self.server._handler = handler.RequestHandler(self.parts)
        status, headers, body = await self.request('/unknown/1')
        self.assertEqual(status, 503)
        self.assertIn('retry-after', headers)
        self.assertIn(b'not-run', body)

    async def test_unknown_routes_and_keys(self):
        await self.add_target()
        self.assertEqual((await self.request('/none/1'))[0], 404)
        self.assertEqual((await self.request('/read/1', key=None))[0], 401)
        self.assertEqual((await self.request('/read/1', key='bad'))[0], 401)

    async def test_a_withdrawn_key_stops_working(self):
        await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0]['apiKeys'] = ['key-2']
        self.configure(data)
        self.assertEqual((await self.request('/read/1'))[0], 401)
        self.assertEqual((await self.request('/read/1', key='key-2'))[0], 200)

    async def test_a_request_over_the_rate_is_refused(self):
        target = await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=1, burst=1)
        self.configure(data)
        statuses = [(await self.request('/read/1'))[0] for _ in range(4)]
        self.assertIn(429, statuses)
        self.assertEqual(len(target.seen), statuses.count(200))

    async def test_a_request_over_the_rate_counts_as_not_served(self):
        """Load pattern: a workspace over its rate while a few targets fail.

        Guards against healthy targets that are left out while more than a
        tenth of the requests are not served (FLOOR): only failed requests
        were counted, and refused ones made up most of that tenth.
        """
        await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=1, burst=1)
        self.configure(data)
        statuses = [(await self.request('/read/1'))[0] for _ in range(4)]
        now = self.clock.now()
        service = registry_store.SERVICE
        self.assertEqual(
            self.parts.outcomes.get_failing_share(service, now),
            statuses.count(429) / len(statuses),
        )
        requests, _, unserved = self.parts.budgets.own[service]
        self.assertEqual((requests, unserved), (4, statuses.count(429)))

    async def test_a_refusal_is_logged_with_its_id_and_inputs(self):
        """Guards against a refusal that is not found in the log by its id."""
        await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=1, burst=1)
        self.configure(data)
        logged = []
        eliot.add_destinations(logged.append)
        self.addCleanup(eliot.remove_destination, logged.append)
        # The first destination also gets the messages logged before it.
        logged.clear()
        name = 'X-Lavenderstile-Attempt-Id'
        for number in range(4):
            await self.request(
                '/read/1', extra_headers=[(name, f'id-{number}')]
            )
        by_id = {
            message['id']: message
            for message in logged
            if message['message_type'] == 'request'
        }
        self.assertEqual(sorted(by_id), [f'id-{n}' for n in range(4)])
        refused = {k for k, v in by_id.items() if v['status'] == 429}
        decided = {
            message['id']: message
            for message in logged
            if message['message_type'] == 'rate_refused'
        }
        self.assertTrue(refused)
        self.assertEqual(set(decided), refused)
        for message in decided.values():
            self.assertEqual(message['workspace'], 'club')
            self.assertEqual((message['rate'], message['burst']), (1.0, 1.0))
            self.assertLess(message['level'], 1.0)

    async def test_a_service_without_targets_refuses_early(self):
        started = time.monotonic()
        status, headers, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 503)
        self.assertIn('retry-after', headers)
        self.assertLess(time.monotonic() - started, 4.0)

    async def test_the_timeout_of_the_route_applies(self):
        data = registry_store.describe_configuration(2)
        for rule in data['listeners'][0]['rules']:
            rule['action']['timeoutS'] = 0.3
        self.configure(data)
        await self.add_target(standin.hang)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 504)
        self.assertIn(b'may-have-run', body)

    async def test_an_evacuated_domain_gets_no_requests(self):
        first = await self.add_target()
        second = await self.add_target(zone='zone-b')
        self.apply_events(directory.DomainEvacuated('zone-a'))
        self.assertEqual((await self.request('/pay/1', b'x'))[0], 200)
        self.assertEqual((len(first.seen), len(second.seen)), (0, 1))


class LeavingTargetTest(edge_case.EdgeCase):
    """Guards against requests to a target that has said that it leaves."""

    async def test_it_gets_no_more_requests(self):
        leaving = await self.add_target(standin.leave)
        other = await self.add_target()
        self.prefer(leaving)
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual((status, len(leaving.seen)), (200, 1))
        for _ in range(5):
            await self.request('/pay/1', b'x')
        self.assertEqual((len(leaving.seen), len(other.seen)), (1, 5))

    async def test_without_another_target_requests_are_refused(self):
        leaving = await self.add_target(standin.leave)
        await self.request('/pay/1', b'x')
        status, _, body = await self.request(
            '/pay/1',
            b'x',
            extra_headers=[('X-Lavenderstile-Deadline-Ms', '500')],
        )
        self.assertEqual(status, 503, body)
        self.assertEqual(len(leaving.seen), 1)

    async def test_the_domain_learns_of_it(self):
        leaving = await self.add_target(standin.leave)
        await self.request('/pay/1', b'x')
        self.assertEqual(
            [instance for instance, _ in self.parts.directory.leaving],
            [leaving.instance],
        )


class UnexpectedErrorTest(edge_case.EdgeCase):
    """Guards against callers that an unexpected error leaves unanswered."""

    async def request_with_error(self, owner, name):
        """Send a request during which a method raises an error."""
        error = ArithmeticError('unexpected')
        with mock.patch.object(owner, name, autospec=True, side_effect=error):
            status, _, body = await self.request('/pay/1', b'x')
        return status, msgspec.json.decode(body)

    async def test_before_the_send_it_has_not_run(self):
        target = await self.add_target()
        status, body = await self.request_with_error(
            self.handler, '_find_target'
        )
        self.assertEqual((status, body['verdict']), (503, 'not-run'))
        self.assertEqual(target.seen, [])

    async def test_after_the_send_it_may_have_run(self):
        await self.add_target()
        status, body = await self.request_with_error(
            self.handler, '_handle_outcome'
        )
        self.assertEqual((status, body['verdict']), (502, 'may-have-run'))

    async def test_a_response_that_cannot_be_sent_ends_the_connection(self):
        await self.add_target()
        error = ArithmeticError('unexpected')
        with mock.patch.object(
            connection.CallerConnection,
            '_send_response',
            autospec=True,
            side_effect=error,
        ):
            async with self.connect() as caller:
                caller.send('/pay/1', b'x')
                self.assertEqual(await caller.read_to_end(), b'')


class SplitTest(edge_case.EdgeCase):
    """Guards against a traffic split that shifts with free capacity."""

    REQUESTS = 104
    # Number of requests that a target accepts at once.
    CONCURRENCY = 8
    SMALL_SHARE = 0.3
    # Six standard deviations of the binomial distribution.
    TOLERANCE = 6 * (REQUESTS * SMALL_SHARE * (1 - SMALL_SHARE)) ** 0.5

    def split(self):
        """Split the idempotent route over two services."""
        data = registry_store.describe_configuration(2)
        action = data['listeners'][0]['rules'][0]['action']
        # Requests without a target wait for a third of their time.
        action['timeoutS'] = 2.0
        action['trafficSplit'] = [
            {'service': registry_store.SERVICE, 'weight': 70},
            {'service': 'archive', 'weight': 30},
        ]
        data['clusters'].append({**data['clusters'][0], 'name': 'archive'})
        self.configure(data)

    async def send_all(self):
        """Send requests; return their statuses."""
        statuses = []
        while len(statuses) < self.REQUESTS:
            responses = await asyncio.gather(
                *(self.request('/read/1') for _ in range(self.CONCURRENCY))
            )
            statuses += [status for status, _, _ in responses]
        return statuses

    async def test_each_service_gets_its_share(self):
        large = await self.add_target()
        small = await self.add_target(service='archive')
        self.split()
        self.assertEqual(set(await self.send_all()), {200})
        expected = self.REQUESTS * self.SMALL_SHARE
        self.assertAlmostEqual(len(small.seen), expected, delta=self.TOLERANCE)
        self.assertEqual(len(large.seen) + len(small.seen), self.REQUESTS)

    async def test_the_share_of_a_service_without_targets_is_refused(self):
        large = await self.add_target()
        self.split()
        statuses = await self.send_all()
        expected = self.REQUESTS * self.SMALL_SHARE
        self.assertAlmostEqual(
            statuses.count(503), expected, delta=self.TOLERANCE
        )
        self.assertEqual(len(large.seen), statuses.count(200))


class EarlyResponseTest(edge_case.EdgeCase):
    """Guards against losing a response that arrives during a request body."""

    BODY = b'x' * 800_000

    async def add_early_target(self, status, *more):
        """Start a target that responds as soon as it has the header."""

        async def serve(reader, writer):
            head = await reader.readuntil(b'\r\n\r\n')
            for line in head.decode().split('\r\n'):
                name, _, value = line.partition(': ')
                if name.lower() == 'x-lavenderstile-attempt-id':
                    request_id = value
            writer.write(
                standin.render(request_id, status, b'early', list(more))
            )
            await writer.drain()
            # Closing with unread bytes makes the kernel reset the connection.
            # The test may end before.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.1)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        entry = registry_store.describe_target(f'{host}:{port}')
        self.apply_events(
            objects.decode_target('i-early', msgspec.json.encode(entry))
        )
        self.parts.health.add('i-early', False, self.clock.now())

    async def test_an_early_error_reaches_the_caller(self):
        await self.add_early_target(500)
        status, _, body = await self.request('/pay/1', self.BODY)
        self.assertEqual((status, body), (500, b'early'))

    async def test_an_early_rejection_is_retried_elsewhere(self):
        await self.add_early_target(503, 'x-lavenderstile-not-executed: 1')
        other = await self.add_target()
        for _ in range(3):
            status, _, _ = await self.request('/pay/1', self.BODY)
            self.assertEqual(status, 200)
        self.assertEqual([r.body for r in other.seen], 3 * [self.BODY])


class CancelTest(edge_case.EdgeCase):
    """Guards against work for callers that have disconnected."""

    async def test_a_disconnect_cancels_the_running_request(self):
        target = await self.add_target(standin.hang)
        async with self.connect() as caller:
            caller.send('/read/1')
            await self.wait_until(lambda: target.seen)
        await self.wait_until(lambda: target.aborted)
        self.assertEqual(self.parts.balancer.own_running, {})

    async def test_a_disconnect_cancels_a_waiting_request(self):
        async with self.connect() as caller:
            caller.send('/read/1')
            await self.wait_until(lambda: self.server.active_count)
        await self.wait_until(lambda: not self.server.active_count)
        target = await self.add_target()
        await asyncio.sleep(0.1)
        self.assertEqual(target.seen, [])


class ReuseTest(edge_case.EdgeCase):
    """Guards against a new connection for each request."""

    async def test_connections_to_targets_are_reused(self):
        await self.add_target()
        for number in range(5):
            await self.request(f'/pay/{number}', b'x')
        self.assertEqual(self.parts.pools.opened, 1)
