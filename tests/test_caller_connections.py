"""Tests of the connections of the load generator."""

import asyncio
import contextlib
import unittest

import httpx

from emulator import caller_connections
from emulator import callers
from emulator import target as target_module
from emulator import target_state


class CallerConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connection handling that limits the generated load."""

    async def start_target(self, **behaviour):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        state = target_state.TargetState(
            behaviour=target_state.Behaviour(**behaviour)
        )
        target = target_module.Target(state)
        address = await stack.enter_async_context(
            target_module.serve_target(target)
        )
        return target, f'http://{address}'

    async def run_plan(self, urls, **fields):
        plan = callers.Plan(urls=urls, rate=10_000.0, **fields)
        return await callers.Callers(plan).run()

    async def test_waiting_requests_share_few_connections(self):
        target, url = await self.start_target(slots=2, work_s=0.001)
        report = await self.run_plan((url,), count=100, connections=2)
        self.assertEqual(report.count(kind='answered'), 100)
        self.assertEqual(target.accepted, 2)

    async def test_connections_change_to_another_server(self):
        first, first_url = await self.start_target()
        second, second_url = await self.start_target()
        report = await self.run_plan(
            (first_url, second_url), count=10, connections=1
        )
        self.assertEqual(report.count(kind='answered'), 10)
        self.assertEqual(len(first.state.runs), 5)
        self.assertEqual(len(second.state.runs), 5)

    async def test_requests_without_a_connection_are_unsent(self):
        target, url = await self.start_target(slots=9, stalled_share=1.0)
        report = await self.run_plan(
            (url,), count=5, connections=1, deadline_ms=200, grace_s=0.1
        )
        self.assertEqual(
            report.count(kind='unsent') + report.count(kind='timeout'), 5
        )
        self.assertGreater(report.count(kind='unsent'), 0)
        self.assertEqual(len(target.state.runs), report.count(kind='timeout'))

    async def test_connections_are_closed_at_the_end(self):
        target, url = await self.start_target()
        connections = caller_connections.CallerConnections(1, 5.0)
        async with contextlib.aclosing(connections):
            response = await connections.send(url, httpx.Request('GET', url))
            self.assertEqual(response.status_code, 200)
            self.assertEqual(len(target.connections), 1)
        async with asyncio.timeout(10):
            while target.connections:
                await asyncio.sleep(0.01)
