"""Tests of the load tool and of the fleet of processes."""

import asyncio
import sys
import tomllib
import unittest

import httpx

from emulator import callers
from emulator import fleet
from emulator import target
from tests import cases
from tests import fleet_slots


class CallersTest(cases.StandinCase):
    """Guards against a load tool that miscounts the results of calls."""

    async def run_plan(self, client, **fields):
        url = str(client.base_url).rstrip('/')
        plan = callers.Plan(urls=(url,), rate=500.0, **fields)
        return await callers.Callers(plan).run()

    async def test_counts_every_call_by_its_end(self):
        server, client = await self.start_target(slots=100, error_share=0.3)
        report = await self.run_plan(
            client, count=60, method='POST', body_bytes=1000
        )
        errors = sum(run.end == 'error' for run in server.state.runs)
        self.assertTrue(0 < errors < 60)
        self.assertEqual(report.count(kind='error', status=500), errors)
        self.assertEqual(report.count(kind='answered'), 60 - errors)
        self.assertIn('answered', report.format_table())

    async def test_truncated_and_stalled_answers_are_told_apart(self):
        server, client = await self.start_target(
            slots=100, truncated_share=1.0
        )
        report = await self.run_plan(client, count=5)
        self.assertEqual(report.count(kind='truncated'), 5)
        server.state.change({'truncated_share': 0.0, 'stalled_share': 1.0})
        report = await self.run_plan(
            client, count=5, deadline_ms=200, grace_s=0.1
        )
        self.assertEqual(report.count(kind='timeout'), 5)

    def test_only_loopback_is_allowed(self):
        plan = callers.Plan(urls=('http://192.0.2.1:80',))
        with self.assertRaises(ValueError):
            callers.Callers(plan)

    def test_verdicts_are_read_from_the_header(self):
        self.assertEqual(
            callers.parse_verdict('not-run; reason=rate_exceeded'),
            ('not-run', 'rate_exceeded'),
        )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that outlive the test that started them."""

    def setUp(self):
        self.enterContext(fleet_slots.hold_fleet_slot())

    async def test_starts_controls_and_ends_the_standins(self):
        async with fleet.run_fleet(hosts=1, targets=1) as running:
            server = running.targets[0]
            await running.publish('tickets/1', 'ticket = 1')
            await running.control(server.url, 'cold')
            counters = await running.control(server.url, 'counters')
            self.assertEqual(counters['state'], 'cold')
            server.process.pause()
        self.assertFalse(
            any(process.is_running for process in running.all_processes)
        )
        self.assertEqual(await server.process.wait(), 0)
        self.assertEqual(await running.platform.wait(), 0)

    async def test_a_paused_target_goes_on_after_its_pause(self):
        async with fleet.run_fleet(hosts=0, targets=1) as running:
            server = running.targets[0]
            server.process.pause()
            async with httpx.AsyncClient(trust_env=False) as client:
                with self.assertRaises(httpx.ReadTimeout):
                    await client.get(server.url, timeout=0.3)
                server.process.resume()
                response = await client.get(
                    server.url, timeout=cases.REQUEST_TIMEOUT_S
                )
            self.assertEqual(response.status_code, 200)

    async def test_settings_name_each_host_its_own_addresses(self):
        async with fleet.run_fleet(hosts=4, targets=0) as running:
            paths = sorted(running.directory.glob('host-*.toml'))
            settings = [tomllib.loads(path.read_text()) for path in paths]
        listeners = {
            address
            for host_settings in settings
            for address in host_settings['listen'].values()
        }
        self.assertEqual(len(listeners), 4 * 3)
        domains = [
            host_settings['host']['domain'] for host_settings in settings
        ]
        self.assertEqual(len(set(domains)), 3)
        for host_settings in settings:
            seeds = host_settings['peers']['seeds']
            self.assertEqual(len(seeds), 3)
            self.assertNotIn(host_settings['listen']['peer'], seeds)

    async def test_a_crashed_target_can_be_started_again(self):
        async with fleet.run_fleet(hosts=1, targets=1) as running:
            server = running.targets[0]
            await running.control(
                server.url, 'behaviour', {'crash_marker': 'poison'}
            )
            async with httpx.AsyncClient(trust_env=False) as client:
                with self.assertRaises(httpx.HTTPError):
                    await client.post(server.url, content=b'poison')
            status = await server.process.wait()
            self.assertEqual(status, target.CRASH_STATUS)
            await server.process.start()
            await running.wait_until_ready(server.process, server.url)

    async def test_the_program_serves_the_demonstration(self):
        """Guards against hosts without a ticket, which never become ready."""
        program = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'emulator.fleet'),
            *('--hosts', '1', '--targets', '1'),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            lines = []
            while b'ready\n' not in lines:
                lines.append(await program.stdout.readline())
                self.assertTrue(lines[-1], lines)
            (host,) = [line for line in lines if line.startswith(b'host ')]
            admin_url = host.decode().split()[2]
            async with httpx.AsyncClient(trust_env=False) as client:
                response = await client.get(f'{admin_url}/-/configuration')
            self.assertEqual(response.json()['newest'], 1)
        finally:
            program.terminate()
            status = await program.wait()
        self.assertEqual(status, 0)
