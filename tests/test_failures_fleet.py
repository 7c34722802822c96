"""Tests that kill, pause and disconnect processes of a running fleet."""

import asyncio

import uuid6

from emulator import tickets
from tests import fleet_case


class KillTest(fleet_case.FleetTestCase):
    """Guards against requests that are lost when a host is killed."""

    def test_1_no_later_request_is_lost_when_the_owner_is_killed(self):
        async def run():
            owner = await self.find_owner()
            others = [host for host in self.fleet.hosts if host is not owner]
            await owner.process.kill()
            return await asyncio.gather(
                *(self.call(others[number % 2]) for number in range(20))
            )

        self.assert_all_answered(self.runner.run(run()))

    def test_2_a_replaced_host_learns_the_state_from_its_peers(self):
        """The configuration service is down, so peers are the only source."""

        async def run():
            number = await self.publish(
                tickets.format_workspace(
                    'club-a', fleet_case.KEY, 999.0, 999.0
                )
            )
            running_hosts = [
                host for host in self.fleet.hosts if host.process.is_running
            ]
            await self.wait_in_force(number, running_hosts)
            await self.fleet.platform.kill()
            for host in self.fleet.hosts:
                if not host.process.is_running:
                    await host.process.start()
            await self.fleet.wait_for_hosts()
            await self.wait_in_force(number)
            for host in self.fleet.hosts:
                await self.wait_until_answered(host)

        self.runner.run(run())

    def test_3_a_stale_service_reverts_nothing(self):
        """The platform restarts with a ticket older than the one in force."""

        async def run():
            newest = await self.get_newest(self.fleet.hosts[0])
            await self.fleet.platform.start()
            await self.fleet.wait_until_ready(
                self.fleet.platform, self.fleet.platform_url
            )
            await self.fleet.publish_hosts()
            old = tickets.format_ticket(
                1, tickets.format_workspace('club-a', '', 1.0, 1.0)
            )
            await self.fleet.publish('tickets/1', old)
            self.__class__.ticket_number = newest
            number = await self.publish(tickets.format_domain('domain-x'))
            await self.wait_in_force(number)
            return [await self.call(host) for host in self.fleet.hosts]

        responses = self.runner.run(run())
        self.assertEqual({a.status_code for a in responses}, {200})


class PauseTest(fleet_case.FleetTestCase):
    """Guards against a process that resumes and acts on a stale view."""

    def test_a_host_that_was_paused_learns_of_a_withdrawn_key(self):
        async def run():
            paused, other, third = self.fleet.hosts
            paused.process.pause()
            number = await self.publish(
                tickets.format_workspace('club-a', '', 1000.0, 1000.0)
            )
            await self.wait_in_force(number, [other, third])
            await asyncio.sleep(4.0)
            paused.process.resume()
            await self.wait_in_force(number)
            responses = [await self.call(host) for host in self.fleet.hosts]
            state = await self.get_admin(paused, '/-/state')
            return responses, state

        responses, state = self.runner.run(run())
        reasons = {response.json().get('reason') for response in responses}
        self.assertEqual(reasons, {'key_unknown'})

    def test_requests_pass_while_the_owner_is_paused(self):
        key = tickets.DEMO_KEYS['club-b']

        async def run():
            owner = await self.find_owner()
            others = [host for host in self.fleet.hosts if host is not owner]
            owner.process.pause()
            responses = await asyncio.gather(
                *(
                    self.call(others[number % 2], key=key)
                    for number in range(10)
                )
            )
            owner.process.resume()
            await self.wait_for_key(owner, key)
            return responses

        self.assert_all_answered(self.runner.run(run()))

    async def wait_for_key(self, host, key):
        """Wait until a host answers requests with a key."""

        async def is_answered():
            return (await self.call(host, key=key)).status_code == 200

        await self.wait_for(is_answered)


class DrainTest(fleet_case.FleetTestCase):
    """Guards against a graceful shutdown that aborts a running request."""

    def test_a_running_upload_and_download_are_finished(self):
        async def slow_body():
            for _ in range(30):
                yield b'x' * 10_000
                await asyncio.sleep(0.1)

        async def run():
            host = self.fleet.hosts[0]
            upload = asyncio.create_task(
                self.call(host, 'PUT', '/heats/up', content=slow_body())
            )
            download = asyncio.create_task(
                self.call(
                    host, path='/heats/1?work_ms=2500&answer_bytes=1000000'
                )
            )
            await asyncio.sleep(0.5)
            status = await host.process.stop()
            return status, await upload, await download

        status, upload, download = self.runner.run(run())
        self.assertEqual(status, 0)
        self.assertEqual(upload.json()['size'], 300_000)
        self.assertEqual(len(download.content), 1_000_000)


class CrashTest(fleet_case.FleetTestCase):
    """Guards against a request that crashes one target after another."""

    def test_a_crashing_request_is_refused_after_two_targets(self):
        async def run():
            await self.set_behaviour(crash_marker='poison')
            reasons = []
            for number in range(6):
                response = await self.call(
                    self.fleet.hosts[number % 3], 'PUT', '/heats/poison'
                )
                reasons.append(response.json()['reason'])
            running_targets = [
                target
                for target in self.fleet.targets
                if target.process.is_running
            ]
            innocent = [
                await self.call(self.fleet.hosts[number % 3])
                for number in range(12)
            ]
            return reasons, len(running_targets), innocent

        reasons, running_count, innocent = self.runner.run(run())
        self.assertEqual(set(reasons[2:]), {'crashes_targets'})
        self.assertEqual(running_count, len(self.fleet.targets) - 2)
        statuses = {response.status_code for response in innocent}
        self.assertEqual(statuses, {200})


class SilentConnectionTest(fleet_case.FleetTestCase):
    """Guards against target connections that stay silent but open.

    Requests on them time out; they must be found, and their targets must not
    be ejected for it.
    """

    def test_requests_pass_again_once_silent_connections_are_found(self):
        async def run():
            for number in range(12):
                await self.call(self.fleet.hosts[number % 3])
            for target in self.fleet.targets:
                await self.fleet.control(target.url, 'silence')
            headers = {'X-Request-Timeout-Ms': '1000'}
            statuses = []

            async def are_good():
                responses = [
                    await self.call(host, headers=headers)
                    for host in self.fleet.hosts
                    for _ in range(6)
                ]
                statuses.extend(response.status_code for response in responses)
                return {a.status_code for a in responses} == {200}

            await self.wait_for(are_good)
            state = await self.get_admin(await self.find_owner(), '/-/state')
            return state['owner']['services']['ledger']['targets']

        targets = self.runner.run(run())
        self.assertFalse([t for t in targets.values() if t['ejections']])


class LostHostTest(fleet_case.FleetTestCase):
    """Guards against an unsafe request that runs twice.

    Its host is killed while the target runs it, and the caller repeats it
    through another host.
    """

    def test_a_fee_whose_host_was_killed_is_not_run_again(self):
        async def run():
            await asyncio.sleep(fleet_case.CLAIM_READY_S)
            first, second, _ = self.fleet.hosts
            headers = {'Idempotency-Key': str(uuid6.uuid7())}
            options = {'headers': headers, 'content': b'12 EUR'}
            lost = asyncio.create_task(
                self.call(first, 'POST', '/fees/1?work_ms=1500', **options)
            )

            async def is_running():
                runs = await self.list_runs()
                return any(
                    run['executed'] for run in runs if 'fees' in run['path']
                )

            await self.wait_for(is_running)
            await first.process.kill()
            await asyncio.gather(lost, return_exceptions=True)
            retried = await self.call(
                second, 'POST', '/fees/1?work_ms=1500', **options
            )
            runs = [r for r in await self.list_runs() if 'fees' in r['path']]
            return retried, runs

        retried, runs = self.runner.run(run())
        self.assertEqual(retried.json()['reason'], 'already_claimed')
        self.assertEqual(retried.json()['verdict'], 'may-have-run')
        self.assertEqual(len(runs), 1)
