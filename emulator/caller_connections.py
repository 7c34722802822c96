"""Connection pool of the load tool.

The pool of httpx examines every waiting request and every connection at the
start and at the end of each request. With hundreds of waiting requests this
took 8 ms of processor time per request, and the tool fell behind its arrival
schedule. Here each connection has a transport of its own, and requests wait
for a semaphore, which takes constant time.
"""

import asyncio
import collections
import contextlib
import ssl

import httpx

# Connections are not encrypted; one shared context avoids loading the
# certificates for each transport, which takes milliseconds.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)

_LIMITS = httpx.Limits(max_connections=1, max_keepalive_connections=1)


def make_transport():
    """Return a transport for at most one connection."""
    return httpx.AsyncHTTPTransport(
        verify=_TLS_CONTEXT, trust_env=False, limits=_LIMITS
    )


class CallerConnections:
    """Sends requests over a limited number of connections."""

    def __init__(self, limit, timeout_s):
        self._free_slots = asyncio.Semaphore(limit)
        self._limit = limit
        self._timeout_s = timeout_s
        self._idle = collections.defaultdict(list)
        self._transports = []

    async def send(self, url, request):
        """Return the complete response of the server at a base URL."""
        timeout = httpx.Timeout(self._timeout_s).as_dict()
        request.extensions['timeout'] = timeout
        async with self._hold_transport(url, request) as transport:
            response = await transport.handle_async_request(request)
            try:
                await response.aread()
            finally:
                await response.aclose()
        return response

    @contextlib.asynccontextmanager
    async def _hold_transport(self, url, request):
        """Yield a free transport; raise PoolTimeout after the time-out."""
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._free_slots.acquire()
        except TimeoutError:
            raise httpx.PoolTimeout(
                'no connection became free', request=request
            ) from None
        try:
            transport = self._acquire_transport(url)
            try:
                yield transport
            finally:
                self._idle[url].append(transport)
        finally:
            self._free_slots.release()

    def _acquire_transport(self, url):
        """Return the transport last used for a URL, or else any free one."""
        if self._idle[url]:
            return self._idle[url].pop()
        if len(self._transports) < self._limit:
            transport = make_transport()
            self._transports.append(transport)
            return transport
        # The transport closes its idle connection to another URL.
        return next(idle for idle in self._idle.values() if idle).pop()

    async def aclose(self):
        """Close all connections."""
        for transport in self._transports:
            await transport.aclose()
