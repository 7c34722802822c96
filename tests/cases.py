"""Common set-up for tests of the stand-ins and of the forwarder."""

import unittest

import httpx

from emulator import target
from emulator import target_state
from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import forwarding

# Time-out of requests; not a bound on what a test measures.
REQUEST_TIMEOUT_S = 30.0

# Time-out of requests that have to time out after they were sent; connecting
# takes 0.3 s on a loaded machine.
SHORT_TIMEOUT_S = 1.0


def make_client(address):
    """Return an HTTP client for a stand-in's address."""
    return httpx.AsyncClient(
        base_url=f'http://{address}',
        trust_env=False,
        timeout=REQUEST_TIMEOUT_S,
    )


class StandinCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: one stand-in and one client in the test's loop."""

    async def start(self, manager):
        """Enter a stand-in's context; return its address and a client."""
        address = await self.enterAsyncContext(manager)
        client = await self.enterAsyncContext(make_client(address))
        return address, client

    async def start_target(self, cold=False, seed=1, **behaviour):
        """Start a target; return it and a client."""
        state = target_state.TargetState(
            cold=cold, seed=seed, behaviour=target_state.Behaviour(**behaviour)
        )
        server = target.Target(state)
        _, client = await self.start(target.serve_target(server))
        return server, client


class MovableClock(clocks.Clock):
    """The real clock, which a test can move forward."""

    __slots__ = ('_ahead_s',)

    def __init__(self):
        self._ahead_s = 0.0

    def now(self):
        return super().now() + self._ahead_s

    def advance(self, seconds):
        self._ahead_s += seconds


class ForwardingCase(unittest.IsolatedAsyncioTestCase):
    """Common set-up: a forwarder and stand-in targets."""

    async def asyncSetUp(self):
        self.clock = MovableClock()
        self.forwarder = forwarding.Forwarder(self.clock)
        self.addAsyncCleanup(self.forwarder.close)
        self.sent = 0

    async def start_target(self, host='127.0.0.1', **behaviour):
        state = target_state.TargetState(
            behaviour=target_state.Behaviour(**behaviour)
        )
        server = target.Target(state)
        address = await self.enterAsyncContext(
            target.serve_target(server, host)
        )
        return server, address

    def open(self, address, path=b'/', method='GET', body=None, **options):
        self.sent += 1
        options = {
            'headers': [],
            'request_id': f'request-{self.sent}',
            'deadline': self.clock.now() + REQUEST_TIMEOUT_S,
        } | options
        return self.forwarder.open(address, method, path, body=body, **options)

    async def call(self, address, *args, **options):
        """Send a request; return the response and its whole body."""
        async with self.open(address, *args, **options) as response:
            parts = [part async for part in response]
        return response, b''.join(parts)

    async def call_short(self, address, *args, **options):
        deadline = self.clock.now() + SHORT_TIMEOUT_S
        return await self.call(address, *args, deadline=deadline, **options)

    async def assert_fails(self, outcome, verdict, call):
        """Check that a call fails with this outcome and verdict.

        Returns its error.
        """
        with self.assertRaises(errors.TargetError) as caught:
            await call
        error = caught.exception
        self.assertEqual((error.outcome, error.verdict), (outcome, verdict))
        return error


async def iterate(*chunks):
    """Yield the chunks, like the body of a caller's request."""
    for chunk in chunks:
        yield chunk
