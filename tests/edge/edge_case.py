"""Test case with a host in the event loop and targets on loopback sockets."""

import asyncio
import contextlib
import unittest

import h11
import msgspec

from emulator import registered_target
from emulator import registry_store
from lavenderstile import clocks
from lavenderstile.edge import callers
from lavenderstile.edge import directory
from lavenderstile.edge import handler
from lavenderstile.edge import host
from lavenderstile.edge import settings
from lavenderstile.platform import headers
from lavenderstile.platform import objects

# Time-out of each wait in a test, so that a failure does not hang.
LIMIT_S = 20.0


def make_settings(**changes):
    """Return settings of a host on the loopback address."""
    fields = {
        'name': 'front-1',
        'address': '127.0.0.1',
        'domain': 'zone-a',
        'caller_listen': ('127.0.0.1', 0),
        'ready_listen': ('127.0.0.1', 0),
        'admin_listen': None,
        'peer_port': 0,
        'seeds': (),
        'registry': ('127.0.0.1', 1),
        'stop_s': 6.0,
        'limits': settings.FleetLimits(),
        **changes,
    }
    return settings.EdgeSettings(**fields)


def decode_configuration(data):
    """Return the `Configuration` for one in the platform's format."""
    return objects.decode_configuration(msgspec.json.encode(data))


class RawCaller:
    """One connection of a caller that can also send arbitrary bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self._parser = h11.Connection(h11.CLIENT)

    async def request(
        self, path, body=b'', key='key-1', method=None, extra_headers=()
    ):
        """Send a request; return status, headers and body."""
        self.send(path, body, key, method, extra_headers)
        return await self.receive()

    def send(self, path, body=b'', key='key-1', method=None, extra_headers=()):
        """Send a request."""
        pairs = [
            ('Host', 'races.example'),
            ('Content-Length', str(len(body))),
            *extra_headers,
        ]
        names = {name.lower() for name, _ in pairs}
        if 'x-lavenderstile-attempt-id' not in names:
            pairs.append(('X-Lavenderstile-Attempt-Id', 'try-1'))
        if 'x-lavenderstile-deadline-ms' not in names:
            pairs.append(('X-Lavenderstile-Deadline-Ms', '4000'))
        if key:
            pairs.append(('Authorization', f'Token {key}'))
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        request = h11.Request(
            method=method or ('POST' if body else 'GET'),
            target=path,
            headers=pairs,
        )
        self.writer.write(self._parser.send(request))
        self.writer.write(self._parser.send(h11.Data(data=body)) or b'')
        self.writer.write(self._parser.send(h11.EndOfMessage()) or b'')

    async def receive(self):
        """Return status, headers and body of the next response."""
        async with asyncio.timeout(LIMIT_S):
            head, parts = None, []
            while True:
                event = self._parser.next_event()
                match event:
                    case h11.NEED_DATA:
                        self._parser.receive_data(
                            await self.reader.read(65536)
                        )
                    case h11.Response():
                        head = event
                    case h11.Data():
                        parts.append(bytes(event.data))
                    case h11.EndOfMessage():
                        response_headers = {
                            name.decode(): value.decode()
                            for name, value in head.headers
                        }
                        return (
                            head.status_code,
                            response_headers,
                            b''.join(parts),
                        )
                    case h11.ConnectionClosed():
                        raise ConnectionError(
                            'connection closed without a response'
                        )

    async def read_to_end(self):
        """Return all bytes until the host closes."""
        async with asyncio.timeout(LIMIT_S):
            return await self.reader.read()


class EdgeCase(unittest.IsolatedAsyncioTestCase):
    """Starts the request path of a host; tests add the targets."""

    SETTINGS = {}

    async def asyncSetUp(self):
        self.clock = clocks.Clock()
        self.parts = host.Parts(
            make_settings(**self.SETTINGS), headers.Headers(), self.clock, 1
        )
        self.handler = handler.RequestHandler(self.parts)
        self.server = callers.CallerServer(self.clock, self.handler)
        await self.server.start('127.0.0.1', 0)
        self.addCleanup(self.server.stop_listening)
        self.revision = 1
        self.target_count = 0
        self.configure(registry_store.describe_configuration(1))

    def apply_events(self, *events):
        """Apply events to the directory."""
        self.revision += 1
        pairs = tuple((self.revision, event) for event in events)
        self.parts.directory.apply_changes(
            directory.Changes(self.revision, pairs), self.clock.now()
        )

    def configure(self, data):
        """Apply a configuration to the host."""
        configuration = decode_configuration(data)
        self.apply_events(configuration)
        self.server.limits = configuration.limits
        self.parts.rate_limits.configure(
            configuration.workspaces.values(), self.clock.now()
        )

    async def add_target(self, *script, instance=None, **changes):
        """Start a target with scripted behaviours; return it."""
        target = registered_target.RegisteredTarget(script)
        address = await self.enterAsyncContext(target.serve())
        self.target_count += 1
        target.instance = instance or f'i-{self.target_count}'
        entry = registry_store.describe_target(address, **changes)
        self.apply_events(
            objects.decode_target(target.instance, msgspec.json.encode(entry))
        )
        self.parts.health.add(target.instance, False, self.clock.now())
        return target

    def remove_all_targets(self):
        """Remove all targets from the directory."""
        self.apply_events(
            *(
                directory.TargetRemoved(instance)
                for instance in self.parts.directory.targets
            )
        )

    def prefer(self, target):
        """Make a target the first choice by fast successes."""
        for _ in range(3):
            self.parts.health.record_success(
                target.instance,
                registry_store.SERVICE,
                0.01,
                self.clock.now(),
            )

    @contextlib.asynccontextmanager
    async def connect(self):
        """Yield a `RawCaller`."""
        address = self.server.address
        reader, writer = await asyncio.open_connection(*address)
        try:
            yield RawCaller(reader, writer)
        finally:
            writer.close()

    async def request(self, path, body=b'', **changes):
        """Send one request on a new connection."""
        async with self.connect() as caller:
            return await caller.request(path, body, **changes)

    async def wait_until(self, predicate):
        """Wait until a predicate is true."""
        async with asyncio.timeout(LIMIT_S):
            while not predicate():
                await asyncio.sleep(0.005)
