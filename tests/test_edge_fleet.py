"""Tests of a fleet of host processes with the platform's protocol."""

import asyncio
import itertools
import time
import unittest

import httpx

from emulator import edge_fleet
from emulator import registered_target
from emulator import registry_store
from tests import fleet_slots

LIMIT_S = 30.0


def make_headers(request_id='r1', key='key-1'):
    """Return the headers of a caller's request."""
    return {
        'Host': 'races.example',
        'Authorization': f'Token {key}',
        'X-Lavenderstile-Attempt-Id': request_id,
        'X-Lavenderstile-Deadline-Ms': '3000',
    }


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a fleet of processes."""

    HOSTS = 3
    TARGETS = 3
    SEPARATE_HOSTS = ()

    async def asyncSetUp(self):
        self.enterContext(fleet_slots.hold_fleet_slot())
        self.fleet = await self.enterAsyncContext(
            edge_fleet.run_edge_fleet(
                self.HOSTS, self.TARGETS, self.SEPARATE_HOSTS
            )
        )
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(trust_env=False, timeout=LIMIT_S)
        )


class FleetTest(FleetCase):
    """Guards the whole path of a request: caller, host, store and target."""

    # Later than this after SIGTERM, of 6 s, a request is late.
    LATE_S = 3.6

    async def call(self, host, path='/read/1', **changes):
        """Send a request through a host."""
        return await self.client.get(
            host.caller_url + path, headers=make_headers(**changes)
        )

    async def wait_until(self, condition):
        """Wait until an asynchronous condition is true."""
        async with asyncio.timeout(LIMIT_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def get_state(self, host):
        """Return the state of a host."""
        url = f'http://{host.address}:{edge_fleet.ADMIN_PORT}/state'
        return (await self.client.get(url)).json()

    async def test_all_hosts_serve_and_contact_each_other(self):
        for host in self.fleet.hosts:
            self.assertEqual((await self.call(host)).status_code, 200)

        async def all_contacted():
            states = [await self.get_state(host) for host in self.fleet.hosts]
            return all(state['hosts_heard'] == 3 for state in states)

        await self.wait_until(all_contacted)

    async def test_a_change_reaches_all_hosts(self):
        data = registry_store.describe_configuration(2)
        data['tenants'][0]['apiKeys'] = ['key-2']
        self.fleet.store.put('op/config', data)

        async def all_refuse():
            responses = [await self.call(host) for host in self.fleet.hosts]
            return all(response.status_code == 401 for response in responses)

        await self.wait_until(all_refuse)
        response = await self.call(self.fleet.hosts[0], key='key-2')
        self.assertEqual(response.status_code, 200)

    async def test_a_stop_cuts_no_request(self):
        host = self.fleet.hosts[0]
        unready = asyncio.Event()

        async def call_until_unready():
            # The load balancer opens no new connections after two failed
            # readiness checks.
            statuses = []
            while not unready.is_set():
                response = await self.call(host)
                statuses.append(response.status_code)
                await asyncio.sleep(0.01)
            return statuses

        async def watch_readiness():
            unready_count = 0
            while unready_count < 2:
                response = await self.client.get(host.ready_url)
                unready_count = (
                    unready_count + 1 if response.status_code != 200 else 0
                )
                await asyncio.sleep(1.0)
            unready.set()

        calls = [asyncio.create_task(call_until_unready()) for _ in range(4)]
        watch = asyncio.create_task(watch_readiness())
        await asyncio.sleep(0.3)
        self.assertEqual(await host.process.stop(), 0)
        await watch
        for statuses in await asyncio.gather(*calls):
            self.assertGreater(len(statuses), 10)
            self.assertEqual(set(statuses), {200})

    async def test_a_late_request_in_a_stop_is_refused(self):
        """Guards against requests that the end of a stop cuts.

        A request whose body is complete late in the grace period was sent to
        a target; its caller got no answer when the process ended.
        """
        host = self.fleet.hosts[0]

        async def answer_slowly(target, request, writer):
            await asyncio.sleep(2.0)
            await registered_target.answer(target, request, writer)

        for target in self.fleet.targets.values():
            target.behave = answer_slowly
        reader, writer = await asyncio.open_connection(
            host.address, edge_fleet.CALLER_PORT
        )
        head = [
            'POST /pay/late HTTP/1.1',
            'Content-Length: 2',
            'X-Lavenderstile-Deadline-Ms: 8000',
            'X-Lavenderstile-Attempt-Id: late',
            'Authorization: Token key-1',
            'Host: races.example',
        ]
        writer.write('\r\n'.join(head).encode() + b'\r\n\r\nx')
        await asyncio.sleep(0.3)
        stop = asyncio.create_task(host.process.stop())
        await asyncio.sleep(self.LATE_S)
        writer.write(b'y')
        async with asyncio.timeout(LIMIT_S):
            response = await reader.read()
        writer.close()
        await stop
        seen = [target.seen for target in self.fleet.targets.values()]
        self.assertIn(b' 503 ', response.partition(b'\r\n')[0], seen)
        self.assertIn(b'not-run', response)
        self.assertEqual([requests for requests in seen if requests], [])

    async def test_a_killed_host_serves_again(self):
        host = self.fleet.hosts[0]
        await host.process.kill()
        await host.process.start()
        await self.fleet.wait_until_ready(host)
        self.assertEqual((await self.call(host)).status_code, 200)

    async def test_invalid_settings_end_the_program_with_a_reason(self):
        host = self.fleet.hosts[0]
        await host.process.kill()
        host.settings_path.write_text('[host]\n')
        await host.process.start()
        self.assertEqual(await host.process.wait(), 2)
        self.assertIn('is missing', host.process.log)

    async def test_metrics_are_served(self):
        host = self.fleet.hosts[0]
        await self.call(host)
        url = f'http://{host.address}:{edge_fleet.ADMIN_PORT}/metrics'
        text = (await self.client.get(url)).text
        self.assertIn('lavenderstile_edge_requests_total', text)
        self.assertIn('lavenderstile_edge_request_seconds', text)


class TargetLimitTest(FleetCase):
    """Guards against hosts that together exceed the limit of a target.

    A target in need states how many requests a second it takes from all hosts
    together. Hosts that passed such a response on kept sending to it.
    """

    HOSTS = 6
    TARGETS = 6
    LIMIT_PER_S = 1.0

    # The other targets take this long, which makes the one in need attractive.
    WORK_S = 0.1

    # The limit binds this long after the target first stated it, and may be
    # exceeded by half and a few requests in each window.
    SETTLE_S = 3.0
    WINDOW_S = 4.0
    OVERAGE = 1.5
    SLACK = 5

    async def send_requests(self, duration_s, interval_s):
        """Send requests through each host in turn; return the statuses."""
        tasks = []
        for number in range(round(duration_s / interval_s)):
            host = self.fleet.hosts[number % self.HOSTS]
            headers = make_headers(f'r{number}')
            url = host.caller_url + '/read/1'
            request = self.client.get(url, headers=headers)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(interval_s)
        responses = await asyncio.gather(*tasks)
        return [response.status_code for response in responses]

    async def test_the_limit_holds_for_all_hosts_together(self):
        arrivals = []

        async def answer_slowly(target, request, writer):
            await asyncio.sleep(self.WORK_S)
            await registered_target.answer(target, request, writer)

        async def answer_with_limit(target, request, writer):
            arrivals.append(time.monotonic())
            line = f'server-limit: {self.LIMIT_PER_S}'
            writer.write(
                registered_target.render(request.request_id, headers=[line])
            )

        for target in self.fleet.targets.values():
            target.behave = answer_slowly
        self.fleet.targets['i-0'].behave = answer_with_limit
        statuses = await self.send_requests(10.0, 0.02)
        bound_at = arrivals[0] + self.SETTLE_S
        late = [at for at in arrivals if at >= bound_at]
        allowed = self.OVERAGE * self.WINDOW_S * self.LIMIT_PER_S + self.SLACK
        most = max(
            sum(start <= at < start + self.WINDOW_S for at in late)
            for start in late
        )
        self.assertLessEqual(most, allowed)
        self.assertEqual(set(statuses), {200})


class CrashingRequestTest(FleetCase):
    """Guards against a request that crashes one target after another.

    It is repeated at all hosts of both domains, beside usual requests that
    keep connections to the targets open.
    """

    HOSTS = 4
    TARGETS = 8
    DURATION_S = 9.0
    INTERVAL_S = 0.1
    POISON_INTERVAL_S = 0.5

    # The fleet may send it this often again later than the time after the
    # third crash.
    LEARNING_S = 3.0
    LATE_SENDS = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crashes = []
        # Time for which a crashed target refuses connections.
        self.away_s = 0.0
        self.restarts = []
        for instance, target in self.fleet.targets.items():
            target.behave = self._make_behaviour(instance)

    def _make_behaviour(self, instance):
        async def behave(target, request, writer):
            if request.path != '/read/poison':
                await registered_target.answer(target, request, writer)
                return
            self.crashes.append(time.monotonic())
            proxy = self.fleet.proxies[instance]
            if self.away_s:
                proxy.refuse()
                self.restarts.append(
                    asyncio.create_task(self.restart_later(proxy))
                )
            proxy.reset()

        return behave

    async def restart_later(self, proxy):
        """Let a crashed target accept connections after a time."""
        await asyncio.sleep(self.away_s)
        await proxy.accept_again()

    async def call(self, host, path):
        """Send a request through a host; return its status."""
        response = await self.client.get(
            host.caller_url + path, headers=make_headers()
        )
        return response.status_code

    async def keep_connections_open(self):
        """Send usual requests through all hosts until cancelled."""
        while True:
            await asyncio.gather(
                *(
                    self.call(host, f'/read/{number}')
                    for host in self.fleet.hosts
                    for number in range(4)
                )
            )
            await asyncio.sleep(self.INTERVAL_S)

    async def test_the_fleet_stops_sending_it(self):
        await self.check_sends()

    async def test_the_fleet_stops_while_crashed_targets_are_away(self):
        """Guards against crashes that hosts take for a cut of their paths."""
        self.away_s = 2.0
        await self.check_sends()

    async def check_sends(self):
        """Send the request to all hosts in turn; check the targets' counts."""
        usual = asyncio.create_task(self.keep_connections_open())
        await asyncio.sleep(2.0)
        statuses = []
        end = time.monotonic() + self.DURATION_S
        for host in itertools.cycle(self.fleet.hosts):
            statuses.append(await self.call(host, '/read/poison'))
            await asyncio.sleep(self.POISON_INTERVAL_S)
            if time.monotonic() > end:
                break
        usual.cancel()
        await asyncio.gather(*self.restarts)
        self.assertGreaterEqual(len(self.crashes), 3, statuses)
        learnt_at = self.crashes[2] + self.LEARNING_S
        late = [at for at in self.crashes if at > learnt_at]
        self.assertLessEqual(len(late), self.LATE_SENDS, len(self.crashes))


class RestoredRegistryTest(FleetCase):
    """Guards against hosts that miss a change after the store was restored.

    Hosts that leave the calls to others did not notice that revisions were
    given out again, and kept the earlier configuration for good.
    """

    HOSTS = 8
    TARGETS = 2

    # Short enough that only the watchers notice the outage.
    OUTAGE_S = 0.8

    # A confirmed change has to be in force within this time.
    APPLY_S = 2.0

    async def get_versions(self):
        """Return the version in force on each host."""
        versions = []
        for host in self.fleet.hosts:
            url = f'http://{host.address}:{edge_fleet.ADMIN_PORT}/state'
            state = (await self.client.get(url)).json()
            versions.append(state['version'])
        return versions

    def put_version(self, version):
        """Publish a configuration."""
        data = registry_store.describe_configuration(version)
        self.fleet.store.put('op/config', data)

    async def test_a_change_is_in_force_on_all_hosts(self):
        store = self.fleet.store
        await asyncio.sleep(self.APPLY_S)
        copy = store.copy()
        self.put_version(5)
        self.put_version(7)
        await asyncio.sleep(self.APPLY_S)
        self.assertEqual(set(await self.get_versions()), {7})
        store.mode = 'busy'
        await asyncio.sleep(self.OUTAGE_S)
        store.restore(copy)
        store.mode = 'normal'
        self.put_version(7)
        await asyncio.sleep(self.APPLY_S)
        self.put_version(9)
        await asyncio.sleep(self.APPLY_S)
        self.assertEqual(set(await self.get_versions()), {9})


class PartitionedHostTest(FleetCase):
    """Guards against callers that a host refuses because it is cut off.

    All hosts of one domain lose their connections to the targets, while
    callers, the registry and the hosts of the other domain still reach them.
    """

    HOSTS = 5
    TARGETS = 6
    SEPARATE_HOSTS = (0, 2, 4)

    # From this time on a host that is cut off has to serve its callers.
    LEARNING_S = 3.0
    REQUESTS = 20
    # Of the requests at a host, as often as two thirds of those elsewhere.
    LEAST_SERVED = 14
    RECOVERY_LIMIT_S = 3.0

    async def send(self, host, number):
        """Send a request through a host; return its status."""
        is_unsafe = number % 2
        try:
            response = await self.client.request(
                'POST' if is_unsafe else 'GET',
                f'{host.caller_url}/{"pay" if is_unsafe else "read"}/{number}',
                headers=make_headers(f'{host.name}-{number}'),
                content=b'x' if is_unsafe else None,
            )
        except httpx.HTTPError:
            return 0
        return response.status_code

    async def send_many(self, host):
        """Send several requests; return their statuses."""
        statuses = []
        for number in range(self.REQUESTS):
            statuses.append(await self.send(host, number))
            await asyncio.sleep(0.02)
        return statuses

    def list_cut_hosts(self):
        """Return the hosts that can be cut off."""
        return [self.fleet.hosts[number] for number in self.SEPARATE_HOSTS]

    async def check_service(self):
        """Check that hosts that have been cut off serve their callers."""
        end = time.monotonic() + self.LEARNING_S
        while time.monotonic() < end:
            for host in self.list_cut_hosts():
                await self.send(host, 0)
            await asyncio.sleep(0.1)
        results = await asyncio.gather(
            *(self.send_many(host) for host in self.fleet.hosts)
        )
        for statuses in results:
            served = statuses.count(200)
            self.assertGreaterEqual(served, self.LEAST_SERVED, results)

    def count_separate_connections(self):
        """Return the number of connections that cut hosts have."""
        return sum(
            proxy.connection_count
            for proxy in self.fleet.separate_proxies.values()
        )

    async def test_refused_connections(self):
        for proxy in self.fleet.separate_proxies.values():
            proxy.refuse()
            proxy.reset()
        await self.check_service()

    async def test_connections_that_hang(self):
        for proxy in self.fleet.separate_proxies.values():
            proxy.hang()
        await self.check_service()

    async def test_open_connections_that_live_on(self):
        for host in self.list_cut_hosts():
            await self.send_many(host)
        for proxy in self.fleet.separate_proxies.values():
            proxy.refuse()
        await self.check_service()

    async def test_a_host_uses_its_own_connections_after_the_cut(self):
        for proxy in self.fleet.separate_proxies.values():
            proxy.refuse()
            proxy.reset()
        await self.check_service()
        for proxy in self.fleet.separate_proxies.values():
            await proxy.accept_again()
        end = time.monotonic() + self.RECOVERY_LIMIT_S
        hosts = self.list_cut_hosts()
        while time.monotonic() < end:
            for host in hosts:
                self.assertEqual(await self.send(host, 0), 200)
            await asyncio.sleep(0.1)
        self.assertGreaterEqual(self.count_separate_connections(), len(hosts))
