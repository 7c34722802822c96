"""Tests of the stand-ins' behaviour that other tests rely on."""

import asyncio
import hashlib

import httpx

from emulator import platform
from emulator import serving
from tests import cases


class PlatformTest(cases.StandinCase):
    """Guards against a platform stand-in that hides stale or extra reads.

    Tests of hosts would pass although a host misses a value, reads an old
    one or calls the service too often.
    """

    async def asyncSetUp(self):
        self.state = platform.PlatformState()
        app = platform.PlatformApplication(self.state)
        _, self.client = await self.start(serving.serve(app))

    async def read(self, after=0, wait=0, prefix='tickets/'):
        response = await self.client.get(
            '/v1/values',
            params={'prefix': prefix, 'after': after, 'wait': wait},
        )
        return response.json()

    async def control(self, action, **body):
        response = await self.client.post(f'/control/{action}', json=body)
        return response.status_code

    async def test_reads_are_by_prefix_and_revision(self):
        await self.state.publish('tickets/1', 'one')
        await self.state.publish('other/1', 'x')
        await self.state.publish('tickets/2', 'two')
        response = await self.read(after=1)
        self.assertEqual(response['revision'], 3)
        item = {'key': 'tickets/2', 'revision': 3, 'value': 'two'}
        self.assertEqual(response['items'], [item])

    async def test_a_watch_waits_for_a_value_and_is_one_call(self):
        watch = asyncio.create_task(self.read(wait=cases.REQUEST_TIMEOUT_S))
        await serving.wait_until(lambda: self.state.calls > 0)
        self.assertFalse(watch.done())
        await self.control('values', key='tickets/1', value='one')
        response = await watch
        self.assertEqual(response['items'][0]['value'], 'one')
        self.assertEqual(self.state.calls, 1)

    async def test_a_value_over_the_limit_is_refused(self):
        large = 'x' * (platform.MAX_VALUE_BYTES + 1)
        status = await self.control('values', key='tickets/1', value=large)
        self.assertEqual(status, 400)
        status = await self.control('values', key='tickets/1', value=large[1:])
        self.assertEqual(status, 200)

    async def test_frozen_readers_see_the_old_state(self):
        await self.state.publish('tickets/1', 'one')
        await self.control('mode', mode='frozen')
        await self.state.publish('tickets/1', 'two')
        self.assertEqual((await self.read())['items'][0]['value'], 'one')
        await self.control('mode', mode='normal')
        self.assertEqual((await self.read())['items'][0]['value'], 'two')

    async def test_a_silent_platform_answers_nothing(self):
        watch = asyncio.create_task(self.read(wait=cases.REQUEST_TIMEOUT_S))
        await serving.wait_until(lambda: self.state.calls > 0)
        await self.control('mode', mode='silent')
        with self.assertRaises(httpx.ReadTimeout):
            await self.client.get('/v1/hosts', timeout=0.2)
        self.assertFalse(watch.done())
        watch.cancel()

    async def test_calls_over_the_capacity_are_refused(self):
        await self.control('capacity', calls_per_second=0)
        response = await self.client.get('/v1/hosts')
        self.assertEqual(response.status_code, 503)
        stats = (await self.client.get('/v1/stats')).json()
        self.assertEqual((stats['calls'], stats['overloaded']), (1, 1))

    async def test_the_host_list_lags(self):
        hosts = [{'address': '127.0.0.2:7001', 'state': 'live'}]
        await self.control('lag', seconds=3600)
        await self.control('hosts', hosts=hosts)
        response = (await self.client.get('/v1/hosts')).json()
        self.assertEqual(response, {'hosts': []})
        await self.control('lag', seconds=0)
        await self.control('hosts', hosts=hosts)
        response = (await self.client.get('/v1/hosts')).json()
        self.assertEqual(response, {'hosts': hosts})


class TargetTest(cases.StandinCase):
    """Guards against a target stand-in that injects or records no faults.

    Tests of fault handling would pass without a fault.
    """

    async def test_a_run_is_recorded_without_the_key(self):
        server, client = await self.start_target()
        body = b'x' * 200_000
        response = await client.post(
            '/a/b?c=1',
            content=body,
            headers={
                'Authorization': 'Bearer secret',
                'Idempotency-Key': 'k1',
                'X-Request-Id': 'r1',
            },
        )
        digest = hashlib.sha256(body).hexdigest()
        self.assertEqual(response.json()['sha256'], digest)
        self.assertEqual(response.headers['x-request-id'], 'r1')
        self.assertEqual(response.headers['x-instance'], 'target-1')
        self.assertEqual(response.headers['x-target-state'], 'warm')
        response = await client.get('/control/runs')
        self.assertNotIn('secret', response.text)
        run = response.json()['runs'][0]
        self.assertEqual(run['path'], '/a/b?c=1')
        self.assertEqual(run['idempotency_key'], 'k1')
        self.assertEqual(run['size'], len(body))
        self.assertEqual(run['end'], 'answered')
        self.assertTrue(run['has_authorization'] and run['executed'])

    async def test_sheds_over_the_concurrency_limit(self):
        server, client = await self.start_target(slots=1)
        slow_call = asyncio.create_task(client.get('/?work_ms=60000'))
        await server.state.wait_for(lambda state: state.running == 1)
        response = await client.get('/')
        self.assertEqual(response.status_code, 503)
        self.assertEqual(response.headers['x-request-not-run'], '1')
        self.assertEqual(len(server.state.runs), 1)
        slow_call.cancel()
        await server.state.wait_for(lambda state: state.running == 0)
        self.assertEqual(server.state.runs[0].end, 'cancelled')

    async def test_a_cold_target_runs_one_at_a_time_until_it_is_warm(self):
        server, client = await self.start_target(cold=True, cold_answers=2)
        self.assertEqual(server.state.concurrency_limit, 1)
        for _ in range(2):
            response = await client.get('/')
            self.assertEqual(response.headers['x-target-state'], 'cold')
        response = await client.get('/')
        self.assertEqual(response.headers['x-target-state'], 'warm')
        self.assertEqual(server.state.concurrency_limit, 3)

    async def test_falls_over_when_configured(self):
        server, client = await self.start_target(slots=1, falls_over=True)
        slow_call = asyncio.create_task(client.get('/?work_ms=60000'))
        await server.state.wait_for(lambda state: state.running == 1)
        with self.assertRaises(httpx.HTTPError):
            await client.get('/')
        with self.assertRaises(httpx.HTTPError):
            await slow_call
        self.assertEqual(server.state.instance, 'target-2')
        self.assertTrue(server.state.is_cold)

    async def test_respects_the_deadline(self):
        server, client = await self.start_target()
        response = await client.get(
            '/?work_ms=60000', headers={'X-Request-Timeout-Ms': '50'}
        )
        self.assertEqual(response.status_code, 504)
        self.assertEqual(server.state.runs[0].end, 'deadline')

    async def test_a_broken_request_is_not_executed(self):
        server, client = await self.start_target()

        async def fail_half_way():
            yield b'half'
            raise ZeroDivisionError

        with self.assertRaises(ZeroDivisionError):
            await client.post('/', content=fail_half_way())
        await server.state.wait_for(lambda state: state.runs[0].end)
        self.assertEqual(server.state.runs[0].end, 'broken_request')
        self.assertFalse(server.state.runs[0].executed)

    async def check_fault(self, error, **behaviour):
        server, client = await self.start_target(**behaviour)
        with self.assertRaises(error):
            await client.get('/', timeout=0.3)
        await server.state.wait_for(lambda state: state.runs[0].end)
        return server.state.runs[0]

    async def test_truncates_answers(self):
        for mode in ('truncated_share', 'truncated_chunked_share'):
            run = await self.check_fault(
                httpx.RemoteProtocolError, **{mode: 1.0}
            )
            self.assertEqual(run.end, 'truncated', mode)

    async def test_stalls_before_and_in_the_answer(self):
        for mode in ('stalled_share', 'stalled_body_share'):
            run = await self.check_fault(httpx.ReadTimeout, **{mode: 1.0})
            self.assertEqual(run.end, 'stalled', mode)

    async def test_crosses_answers_and_fails(self):
        server, client = await self.start_target()
        server.state.change({'crossed_share': 1.0})
        response = await client.get('/', headers={'X-Request-Id': 'r1'})
        self.assertEqual(response.headers['x-request-id'], 'other-r1')
        server.state.change({'crossed_share': 0.0, 'error_share': 1.0})
        self.assertEqual((await client.get('/')).status_code, 500)

    async def test_old_connections_go_silent_while_new_ones_work(self):
        server, client = await self.start_target()
        await client.get('/')
        server.silence()
        with self.assertRaises(httpx.ReadTimeout):
            await client.get('/', timeout=0.2)
        self.assertEqual(len(server.state.runs), 1)
        response = await client.get('/')
        self.assertEqual(response.status_code, 200)
        self.assertEqual(server.accepted, 2)

    async def test_control_goes_on_while_connections_are_silent(self):
        server, client = await self.start_target()
        async with cases.make_client(
            str(client.base_url.netloc, 'ascii')
        ) as other:
            await other.get('/')
            await client.post('/control/silence')
            with self.assertRaises(httpx.ReadTimeout):
                await other.get('/', timeout=0.2)
            response = await client.get('/control/counters')
        self.assertEqual(response.json()['accepted'], 2)

    async def test_a_marked_request_crashes_it(self):
        server, client = await self.start_target(crash_marker='poison')
        with self.assertRaises(httpx.HTTPError):
            await client.post('/', content=b'some poison here')
        self.assertEqual(server.state.runs[0].end, 'crashed')
        self.assertEqual(server.state.instance, 'target-2')
        response = await client.post('/', content=b'harmless')
        self.assertEqual(response.status_code, 200)

    async def test_connections_over_the_limit_are_reset(self):
        server, client = await self.start_target(connections=1)
        await client.get('/')
        async with cases.make_client(
            str(client.base_url.netloc, 'ascii')
        ) as other:
            with self.assertRaises(httpx.HTTPError):
                await other.get('/')
        self.assertEqual((server.refused, server.peak_connections), (1, 1))

    async def test_hints_lag_and_lie(self):
        server, client = await self.start_target(hint_lag_s=3600)
        server.state.change({'draining': True})
        response = await client.get('/health')
        self.assertNotEqual(response.json().get('state'), 'draining')
        server.state.change({'hint_lag_s': 0.0})
        response = await client.get('/health')
        self.assertEqual(response.json()['state'], 'draining')
        server.state.change({'running_lie': 99, 'health_lie': 'failing'})
        self.assertEqual((await client.get('/load')).json()['running'], 99)
        self.assertEqual((await client.get('/health')).status_code, 503)

    async def test_faults_follow_the_seed(self):
        ends = []
        for _ in range(2):
            server, client = await self.start_target(seed=7, error_share=0.5)
            for _ in range(20):
                await client.get('/')
            ends.append([run.end for run in server.state.runs])
        self.assertEqual(ends[0], ends[1])
        self.assertEqual(set(ends[0]), {'answered', 'error'})
