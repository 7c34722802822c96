"""Tests of guarantees to callers, with a fleet of real processes."""

import asyncio
import hashlib

import httpx
import uuid6

from emulator import tickets
from tests import fleet_case


class ServingTest(fleet_case.FleetTestCase):
    """Guards against responses that are wrong, cut or to another request."""

    def tearDown(self):
        """Switch the targets' faults off again."""
        self.runner.run(
            self.set_behaviour(
                truncated_share=0.0,
                truncated_chunked_share=0.0,
                crossed_share=0.0,
                error_share=0.0,
            )
        )

    def test_all_hosts_have_the_same_ticket_in_force(self):
        async def run():
            return [await self.get_newest(host) for host in self.fleet.hosts]

        self.assertEqual(set(self.runner.run(run())), {self.ticket_number})

    def test_an_upload_arrives_whole(self):
        content = bytes(range(256)) * 8192

        async def run():
            return await self.call(
                self.fleet.hosts[0], 'PUT', '/heats/up', content=content
            )

        response = self.runner.run(run()).json()
        self.assertEqual(response['size'], len(content))
        self.assertEqual(
            response['sha256'], hashlib.sha256(content).hexdigest()
        )

    def test_a_chunked_upload_arrives_whole(self):
        async def chunks():
            for number in range(64):
                yield bytes([number]) * 10_000

        async def run():
            return await self.call(
                self.fleet.hosts[1], 'PUT', '/heats/up', content=chunks()
            )

        self.assertEqual(self.runner.run(run()).json()['size'], 640_000)

    def test_a_cut_answer_reaches_the_caller_as_a_broken_one(self):
        async def run():
            await self.set_behaviour(truncated_share=1.0)
            await self.call(self.fleet.hosts[0], path='/heats/1')

        with self.assertRaises(httpx.RemoteProtocolError):
            self.runner.run(run())

    def test_a_cut_chunked_answer_reaches_the_caller_as_a_broken_one(self):
        async def run():
            await self.set_behaviour(truncated_chunked_share=1.0)
            await self.call(self.fleet.hosts[0], path='/heats/1')

        with self.assertRaises(httpx.RemoteProtocolError):
            self.runner.run(run())

    def test_a_crossed_answer_reaches_nobody(self):
        async def run():
            await self.set_behaviour(crossed_share=1.0)
            return await self.call(
                self.fleet.hosts[0],
                'POST',
                '/heats/crossed',
                content=b'x',
            )

        response = self.runner.run(run())
        self.assertEqual(response.status_code, 502)
        self.assertEqual(response.json()['verdict'], 'may-have-run')

    def test_no_target_sees_a_key(self):
        async def run():
            await self.call(self.fleet.hosts[0])
            return await self.list_runs()

        runs = self.runner.run(run())
        self.assertTrue(runs)
        self.assertFalse([run for run in runs if run['has_authorization']])

    def test_a_refusal_carries_its_verdict(self):
        async def run():
            return await self.call(self.fleet.hosts[0], key='wrong')

        response = self.runner.run(run())
        self.assertEqual(response.status_code, 401)
        self.assertEqual(
            response.headers['lavenderstile-verdict'],
            'not-run; reason=key_unknown',
        )
        self.assertEqual(
            response.headers['content-type'], 'application/problem+json'
        )

    def test_a_caller_that_leaves_cancels_its_request(self):
        async def run():
            path = '/heats/abandoned?work_ms=20000'
            with self.assertRaises(httpx.ReadTimeout):
                await self.call(self.fleet.hosts[0], path=path, timeout=0.5)

            async def is_cancelled():
                return any(
                    run['path'].startswith('/heats/abandoned')
                    and run['end'] == 'cancelled'
                    for run in await self.list_runs()
                )

            await self.wait_for(is_cancelled)

        self.runner.run(run())


class AtMostOnceTest(fleet_case.FleetTestCase):
    """Guards against a fee that is booked twice."""

    def test_a_key_sent_through_all_hosts_runs_once(self):
        async def run():
            # Replicas grant only keys that are younger than their memory.
            await asyncio.sleep(fleet_case.CLAIM_READY_S)
            for number in range(10):
                headers = {'Idempotency-Key': str(uuid6.uuid7())}
                responses = await asyncio.gather(
                    *(
                        self.call(
                            host,
                            'POST',
                            f'/fees/{number}',
                            headers=headers,
                            content=b'12 EUR',
                        )
                        for host in self.fleet.hosts
                    )
                )
                statuses = sorted(
                    response.status_code for response in responses
                )
                self.assertLessEqual(statuses.count(200), 1)
                again = await self.call(
                    self.fleet.hosts[number % 3],
                    'POST',
                    f'/fees/{number}',
                    headers=headers,
                    content=b'12 EUR',
                )
                if 200 in statuses:
                    self.assertEqual(again.status_code, 409)
            return await self.list_runs()

        runs = [
            run['idempotency_key']
            for run in self.runner.run(run())
            if run['executed'] and run['idempotency_key']
        ]
        self.assertTrue(runs)
        self.assertEqual(len(runs), len(set(runs)))

    def test_a_key_used_for_another_request_is_refused(self):
        async def run():
            await asyncio.sleep(fleet_case.CLAIM_READY_S)
            headers = {'Idempotency-Key': str(uuid6.uuid7())}
            for content in (b'12 EUR', b'99 EUR'):
                response = await self.call(
                    self.fleet.hosts[0],
                    'POST',
                    '/fees/other',
                    headers=headers,
                    content=content,
                )
            return response

        response = self.runner.run(run())
        self.assertEqual(response.json()['reason'], 'idempotency_key_reused')
        self.assertEqual(response.json()['verdict'], 'not-run')

    def test_a_route_that_requires_a_key_refuses_requests_without(self):
        async def run():
            return await self.call(self.fleet.hosts[0], 'POST', '/fees/1')

        response = self.runner.run(run())
        self.assertEqual(response.json()['reason'], 'idempotency_key_required')


class RateTest(fleet_case.FleetTestCase):
    """Guards against a workspace that gets more than its rate and burst."""

    rate = 20.0
    burst = 30.0

    def test_all_hosts_together_keep_the_rate(self):
        async def flood(host):
            responses = [await self.call(host) for _ in range(100)]
            return [response.status_code for response in responses]

        async def run():
            before = len(await self.list_runs())
            started = self.now()
            statuses = await asyncio.gather(
                *(flood(host) for host in self.fleet.hosts)
            )
            elapsed_s = self.now() - started
            runs = len(await self.list_runs()) - before
            return runs, elapsed_s, sum(statuses, [])

        runs, elapsed_s, statuses = self.runner.run(run())
        self.assertLessEqual(runs, self.burst + self.rate * elapsed_s)
        self.assertEqual(set(statuses), {200, 429})
        self.assertEqual(statuses.count(200), runs)


class ConfigurationTest(fleet_case.FleetTestCase):
    """Guards against changes that do not apply to callers in progress.

    A change has to apply to open connections and queued requests too.
    """

    def test_1_a_domain_taken_out_gets_no_new_work(self):
        domain = self.fleet.targets[0].domain
        outside = [t for t in self.fleet.targets if t.domain == domain]

        async def run():
            number = await self.publish(tickets.format_domain(domain, False))
            await self.wait_in_force(number)
            since = self.now()
            for index in range(30):
                response = await self.call(self.fleet.hosts[index % 3])
                self.assertEqual(response.status_code, 200)
            late = [
                run
                for run in await self.list_runs(outside)
                if run['started'] > since
            ]
            self.assertEqual(late, [])
            number = await self.publish(tickets.format_domain(domain))
            await self.wait_in_force(number)

            async def is_back():
                await self.call(self.fleet.hosts[0])
                runs = await self.list_runs(outside)
                return any(run['started'] > since for run in runs)

            await self.wait_for(is_back)

        self.runner.run(run())

    def test_2_a_leaving_target_gets_no_new_work(self):
        leaving = self.fleet.targets[1]

        async def run():
            number = await self.publish(
                tickets.format_service(
                    'ledger', self.fleet.targets, leaving=[leaving]
                )
            )
            await self.wait_in_force(number)
            since = self.now()
            for index in range(30):
                response = await self.call(self.fleet.hosts[index % 3])
                self.assertEqual(response.status_code, 200)
            runs = await self.list_runs([leaving])
            self.assertFalse([r for r in runs if r['started'] > since])

        self.runner.run(run())

    def test_3_a_withdrawn_key_stops_on_open_connections_and_in_queues(self):
        """Connections are opened and requests queued before the withdrawal."""

        async def run():
            # The queued requests must not reach their deadline on a busy
            # machine before the change is in force.
            longer = tickets.format_service(
                'ledger', self.fleet.targets, timeout_ms=60_000
            )
            await self.wait_in_force(await self.publish(longer))
            slots = 3 * len(self.fleet.targets)
            busy = [
                asyncio.create_task(
                    self.call(
                        self.fleet.hosts[number % 3],
                        path='/heats/busy?work_ms=8000',
                        key=tickets.DEMO_KEYS['club-b'],
                    )
                )
                for number in range(slots)
            ]

            async def are_busy():
                runs = await self.list_runs()
                return sum(r['path'].startswith('/heats/busy') for r in runs)

            await self.wait_for(are_busy)
            await asyncio.sleep(1.0)
            queued = [
                asyncio.create_task(self.call(host, path='/heats/queued'))
                for host in self.fleet.hosts
            ]
            await asyncio.sleep(0.5)
            number = await self.publish(
                tickets.format_workspace('club-a', '', 1000.0, 1000.0)
            )
            await self.wait_in_force(number)
            responses = await asyncio.gather(*queued)
            responses += [await self.call(host) for host in self.fleet.hosts]
            await asyncio.gather(*busy)
            runs = await self.list_runs()
            return responses, [r for r in runs if 'queued' in r['path']]

        responses, runs = self.runner.run(run())
        reasons = {response.json().get('reason') for response in responses}
        self.assertEqual(reasons, {'key_unknown'})
        self.assertEqual(runs, [])

    def test_4_a_faulty_ticket_changes_nothing(self):
        async def run():
            newest = await self.get_newest(self.fleet.hosts[0])
            await self.fleet.publish(
                'tickets/bad', 'ticket = 99\n[domains.domain-a]\nx = 1\n'
            )
            await self.publish(tickets.format_domain('domain-z'))
            await self.wait_in_force(self.ticket_number)
            return newest

        self.assertLess(self.runner.run(run()), 99)
        newest = self.runner.run(self.get_newest(self.fleet.hosts[0]))
        self.assertEqual(newest, self.ticket_number)
