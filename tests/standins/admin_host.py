"""Stand-in for the admin interface of daemons, without sockets."""

import json

import httpx
import msgspec

from lavenderstile import admin_responses
from lavenderstile import keys


class AdminHost:
    """ASGI application in place of one daemon's admin listener.

    `resources` maps (method, decoded path) to a JSON value, to raw bytes,
    or to a status code. `requests` lists the (method, path) received.
    """

    def __init__(self, resources=None):
        self.resources = dict(resources or {})
        self.requests = []

    def set_configuration(self, state):
        """Respond with the objects in force in a Configuration."""
        ring = keys.KeyRing.from_workspaces(state.workspaces)
        response = admin_responses.describe_configuration(state, ring)
        self.resources['GET', '/-/configuration'] = response

    async def __call__(self, scope, receive, send):
        """Respond to one request."""
        request = (scope['method'], scope['path'])
        self.requests.append(request)
        status, body = _render(self.resources.get(request, 404))
        headers = [(b'content-type', b'application/json')]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})


def _render(value):
    match value:
        case int():
            return value, b'{"detail": "no answer"}'
        case bytes():
            return 200, value
        case dict():
            return 200, json.dumps(value).encode()
        case _:
            return 200, msgspec.json.encode(value)


class FleetTransport(httpx.AsyncBaseTransport):
    """Routes requests to stand-ins by `ip:port`; others are refused."""

    def __init__(self, hosts):
        self._transports = {
            address: httpx.ASGITransport(host)
            for address, host in hosts.items()
        }

    async def handle_async_request(self, request):
        """Pass a request to the stand-in at its address."""
        address = request.url.netloc.decode()
        transport = self._transports.get(address)
        if transport is None:
            raise httpx.ConnectError('refused', request=request)
        return await transport.handle_async_request(request)
