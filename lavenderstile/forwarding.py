"""Forwarding of requests to targets over pooled connections."""

import asyncio
import contextlib

from . import connections
from . import exchanges
from . import messages
from . import pools
from . import verdicts

# Connections per host and target if the configuration sets no limit.
DEFAULT_LIMIT = 8

# Interval in which idle connections are checked.
SWEEP_INTERVAL_S = 1.0


def compute_limit(connections, hosts):
    """Return a host's share of a target's connection limit."""
    return max(1, connections // max(1, hosts))


class Forwarder:
    """Sends requests to targets and streams their responses."""

    def __init__(self, clock, default_limit=DEFAULT_LIMIT):
        self._clock = clock
        self._default_limit = default_limit
        self._pools = {}

    async def set_limits(self, limits):
        """Set the connection limits by target address.

        Idle connections to targets that are not in `limits` are closed, busy
        ones after their request.
        """
        for address, limit in limits.items():
            self._get_or_create_pool(address).set_limit(limit)
        for address in self._pools.keys() - limits.keys():
            await self._pools.pop(address).close()

    def get_pool(self, address):
        """Return the pool of a target, or None."""
        return self._pools.get(address)

    def _get_or_create_pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = pools.TargetPool(self._clock, address, self._default_limit)
            self._pools[address] = pool
        return pool

    @contextlib.asynccontextmanager
    async def open(
        self,
        address,
        method,
        path,
        headers,
        body=None,
        *,
        request_id,
        deadline,
        max_idle_s=connections.MAX_IDLE_S,
    ):
        """Send a request to a target and yield its `TargetResponse`.

        `path` is the raw path with query. `headers` are pairs of bytes
        from `headers.prepare_for_target`. `body` is an asynchronous
        iterator of bytes, or None; it must raise if the caller disconnects
        before its end. `deadline` is a time on the host's clock. Raises
        `errors.TargetError`; with the outcomes CONNECT_FAILED and NOT_SENT
        nothing of `body` has been read.

        `max_idle_s` limits how long the connection may have been idle. A
        lower value makes it less likely that the target closes the
        connection while the request is sent, which ends as "may have run".
        """
        pool = self._get_or_create_pool(address)
        exchange = exchanges.Exchange(self._clock, pool, request_id, deadline)
        connection = await self._acquire(pool, exchange, max_idle_s)
        try:
            yield await exchange.send(connection, method, path, headers, body)
        finally:
            try:
                await exchange.end()
            finally:
                await pool.release(connection, exchange.is_clean)

    async def _acquire(self, pool, exchange, max_idle_s):
        remaining = exchange.get_remaining()
        try:
            if remaining <= 0:
                raise TimeoutError
            connection = pool.try_acquire(max_idle_s)
            if connection is not None:
                return connection
            async with asyncio.timeout(remaining):
                return await pool.acquire(max_idle_s)
        except TimeoutError:
            raise exchange.make_error(
                messages.Outcome.NOT_SENT,
                verdicts.Verdict.NOT_RUN,
                'no free connection before the deadline',
            ) from None

    async def run(self):
        """Close stale idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for pool in list(self._pools.values()):
                await pool.sweep()

    async def close(self):
        """Close idle connections; others close when their request ends."""
        for pool in self._pools.values():
            await pool.close()
