"""Tests of the path of a request, with real sockets."""

import asyncio
import contextlib
import time

import eliot
import msgspec

from emulator import registered_target as standin
from emulator import registry_store
from lavenderstile.edge import directory
from lavenderstile.edge import handler
from lavenderstile.platform import objects
from tests.edge import edge_case


class AnswerTest(edge_case.EdgeCase):
    """Guards against answers that are not the request's own."""

    async def test_the_targets_answer_is_passed_on(self):
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
            '/read/1', more=[('X-Lavenderstile-Tenant-Name', 'other')]
        )
        headers = target.seen[0].headers
        self.assertNotIn('authorization', headers)
        self.assertEqual(headers['x-lavenderstile-tenant-name'], 'club')
        self.assertEqual(
            headers['x-lavenderstile-expected-instance'], target.instance
        )
        left_ms = int(headers['x-lavenderstile-deadline-ms'])
        self.assertTrue(3000 < left_ms <= 4000, left_ms)

    async def test_a_failure_of_the_target_is_passed_on(self):
        await self.add_target(standin.fail)
        status, headers, body = await self.request('/pay/1', b'x')
        self.assertEqual((status, body), (500, b'failed'))
        self.assertIn('x-lavenderstile-server-signature', headers)

    async def test_an_answer_of_another_request_is_skipped(self):
        """A left-over answer stands where the next one is expected."""
        target = await self.add_target(standin.answer, standin.answer_crossed)
        await self.request('/pay/1', b'x')
        status, _, body = await self.request('/pay/2', b'x')
        self.assertEqual((status, body), (200, b'done'))
        self.assertEqual(len(target.seen), 2)

    async def test_bytes_after_an_answer_belong_to_no_request(self):
        await self.add_target(standin.answer_twice)
        for number in range(3):
            status, _, body = await self.request(f'/pay/{number}', b'x')
            self.assertEqual((status, body), (200, b'done'))

    async def test_a_truncated_answer_does_not_look_complete(self):
        await self.add_target(standin.truncate)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)
        self.assertNotIn(b'xxx', body)

    async def test_an_unsigned_success_is_no_answer(self):
        await self.add_target(standin.answer_unsigned)
        status, _, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 502)

    async def test_a_body_is_passed_on_whole(self):
        target = await self.add_target()
        body = bytes(range(256)) * 1000
        await self.request('/pay/1', body)
        self.assertEqual(target.seen[0].body, body)


class RepeatTest(edge_case.EdgeCase):
    """Guards against requests that run twice or are given up too soon."""

    async def test_a_safe_request_is_sent_again_after_a_failure(self):
        for behave in (standin.fail, standin.reset, standin.truncate):
            with self.subTest(behave=behave.__name__):
                first = await self.add_target(behave)
                self.prefer(first)
                await self.add_target()
                status, _, _ = await self.request('/read/1')
                self.assertEqual((status, len(first.seen)), (200, 1))
                self.remove_targets()

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
                self.remove_targets()

    async def test_an_unsafe_request_that_has_not_run_is_sent_again(self):
        for behave in (standin.shed, standin.misdirect):
            with self.subTest(behave=behave.__name__):
                first = await self.add_target(behave)
                self.prefer(first)
                await self.add_target()
                status, _, _ = await self.request('/pay/1', b'x')
                self.assertEqual((status, len(first.seen)), (200, 1))
                self.remove_targets()

    async def test_a_target_that_is_down_costs_nothing(self):
        target = await self.add_target()
        down = registry_store.describe_target('127.0.0.1:1', born=9)
        self.take(
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
        self.assertLessEqual(sum(len(each.seen) for each in targets), 3)
        status, _, body = await self.request('/read/poison')
        self.assertEqual(status, 503)
        self.assertIn(b'crashes_targets', body)


class SecondSendTest(edge_case.EdgeCase):
    """Guards against safe requests that wait for a silent target."""

    async def test_a_second_target_answers_for_a_silent_one(self):
        silent = await self.add_target(standin.hang)
        self.prefer(silent)
        await self.add_target()
        status, _, _ = await self.request('/read/1')
        self.assertEqual((status, len(silent.seen)), (200, 1))
        await self.wait_until(lambda: silent.aborted)
        self.assertEqual(self.parts.balancer.own_running, {})

    async def test_an_unsafe_request_waits(self):
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
    """Guards against refusals that are untrue or come late."""

    async def test_without_a_configuration_nothing_is_denied(self):
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

    async def test_a_request_over_the_rate_is_told_when_to_return(self):
        target = await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=1, burst=1)
        self.configure(data)
        statuses = [(await self.request('/read/1'))[0] for _ in range(4)]
        self.assertIn(429, statuses)
        self.assertEqual(len(target.seen), statuses.count(200))

    async def test_a_refusal_is_logged_with_its_id_and_inputs(self):
        """Guards against a refusal that an engineer cannot find by its id."""
        await self.add_target()
        data = registry_store.describe_configuration(2)
        data['tenants'][0].update(ratePerS=1, burst=1)
        self.configure(data)
        logged = []
        eliot.add_destinations(logged.append)
        self.addCleanup(eliot.remove_destination, logged.append)
        # A first destination gets what was logged before it.
        logged.clear()
        name = 'X-Lavenderstile-Attempt-Id'
        for number in range(4):
            await self.request('/read/1', more=[(name, f'id-{number}')])
        by_id = {
            each['id']: each
            for each in logged
            if each['message_type'] == 'request'
        }
        self.assertEqual(sorted(by_id), [f'id-{n}' for n in range(4)])
        refused = {k for k, v in by_id.items() if v['status'] == 429}
        decided = {
            each['id']: each
            for each in logged
            if each['message_type'] == 'rate_refused'
        }
        self.assertTrue(refused)
        self.assertEqual(set(decided), refused)
        for each in decided.values():
            self.assertEqual(each['workspace'], 'club')
            self.assertEqual((each['rate'], each['burst']), (1.0, 1.0))
            self.assertLess(each['level'], 1.0)

    async def test_a_service_without_targets_refuses_early(self):
        began = time.monotonic()
        status, headers, _ = await self.request('/pay/1', b'x')
        self.assertEqual(status, 503)
        self.assertIn('retry-after', headers)
        self.assertLess(time.monotonic() - began, 4.0)

    async def test_the_routes_time_binds(self):
        data = registry_store.describe_configuration(2)
        for rule in data['listeners'][0]['rules']:
            rule['action']['timeoutS'] = 0.3
        self.configure(data)
        await self.add_target(standin.hang)
        status, _, body = await self.request('/pay/1', b'x')
        self.assertEqual(status, 504)
        self.assertIn(b'may-have-run', body)

    async def test_a_domain_taken_out_gets_nothing(self):
        first = await self.add_target()
        second = await self.add_target(zone='zone-b')
        self.take(directory.DomainEvacuated('zone-a'))
        self.assertEqual((await self.request('/pay/1', b'x'))[0], 200)
        self.assertEqual((len(first.seen), len(second.seen)), (0, 1))


class SplitTest(edge_case.EdgeCase):
    """Guards against a split whose weights move with what has room."""

    REQUESTS = 104
    # As many as a target takes at once.
    AT_ONCE = 8
    SMALL_SHARE = 0.3
    # Six standard deviations of the binomial distribution.
    TOLERANCE = 6 * (REQUESTS * SMALL_SHARE * (1 - SMALL_SHARE)) ** 0.5

    def split(self):
        """Split the safe route over two services."""
        data = registry_store.describe_configuration(2)
        action = data['listeners'][0]['rules'][0]['action']
        # Requests without a target are held for a third of their time.
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
            answers = await asyncio.gather(
                *(self.request('/read/1') for _ in range(self.AT_ONCE))
            )
            statuses += [status for status, _, _ in answers]
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


class EarlyAnswerTest(edge_case.EdgeCase):
    """Guards against an answer that is lost while a body is being sent."""

    BODY = b'x' * 800_000

    async def add_early_target(self, status, *more):
        """Start a target that answers as soon as it has the header."""

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
            # What is not read makes the kernel reset the connection. The
            # end of the test may come first.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.1)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        entry = registry_store.describe_target(f'{host}:{port}')
        self.take(objects.decode_target('i-early', msgspec.json.encode(entry)))
        self.parts.health.add('i-early', False, self.clock.now())

    async def test_a_failure_reaches_the_caller(self):
        await self.add_early_target(500)
        status, _, body = await self.request('/pay/1', self.BODY)
        self.assertEqual((status, body), (500, b'early'))

    async def test_a_rejection_lets_another_target_have_it(self):
        await self.add_early_target(503, 'x-lavenderstile-not-executed: 1')
        other = await self.add_target()
        for _ in range(3):
            status, _, _ = await self.request('/pay/1', self.BODY)
            self.assertEqual(status, 200)
        self.assertEqual([r.body for r in other.seen], 3 * [self.BODY])


class CancelTest(edge_case.EdgeCase):
    """Guards against work for callers that have left."""

    async def test_a_caller_that_leaves_ends_the_work(self):
        target = await self.add_target(standin.hang)
        async with self.connect() as caller:
            caller.send('/read/1')
            await self.wait_until(lambda: target.seen)
        await self.wait_until(lambda: target.aborted)
        self.assertEqual(self.parts.balancer.own_running, {})

    async def test_a_caller_that_leaves_while_waiting_is_not_served(self):
        async with self.connect() as caller:
            caller.send('/read/1')
            await self.wait_until(lambda: self.server.active)
        await self.wait_until(lambda: not self.server.active)
        target = await self.add_target()
        await asyncio.sleep(0.1)
        self.assertEqual(target.seen, [])


class ReuseTest(edge_case.EdgeCase):
    """Guards against a handshake for each request."""

    async def test_connections_to_targets_are_reused(self):
        await self.add_target()
        for number in range(5):
            await self.request(f'/pay/{number}', b'x')
        self.assertEqual(self.parts.pools.opened, 1)
