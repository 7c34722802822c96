"""Stand-in for the platform's store: kv-range and kv-watch over HTTP/1.1."""

import asyncio
import base64
import contextlib
import json
import urllib.parse

PAGE_ITEMS = 500
MAX_WAIT_S = 30.0


class Store:
    """Items under one revision counter, with their history."""

    def __init__(self):
        self._items = {}
        self._history = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a value: bytes, or an object to encode as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': 0,
        }
        self._append(item)
        item['created'] = item['revision']
        self._items[key] = item

    def remove(self, key):
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self._append({'key': key, 'removed': True})

    def _append(self, event):
        self._revision += 1
        event['revision'] = self._revision
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _read_range(self, query):
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._items[key] for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'currentRev': self._revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        wait_s = min(int(query.get('waitMs', 0)) / 1000, MAX_WAIT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._revision <= after:
                    await self._changed.wait()
        prefix = query.get('prefix', '')
        events = [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        return {'events': events, 'currentRev': self._revision}

    async def _answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        match url.path.rpartition('/')[2]:
            case 'kv-range':
                return 200, self._read_range(query)
            case 'kv-watch':
                return 200, await self._watch(query)
        return 404, {}

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                status, body = await self._answer(target)
                data = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nstore-era: 1\r\n'
                    f'content-type: application/json\r\n'
                    f'content-length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def serve(self, address):
        """Serve on a free port of an address; yield `address:port`."""
        server = await asyncio.start_server(self._serve, address, 0)
        try:
            yield f'{address}:{server.sockets[0].getsockname()[1]}'
        finally:
            server.close()


def describe_server(service, address, zone, **changes):
    """Return the entry of a server."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmupLeftS': 0,
        'seq': 1,
        'born': 1_700_000_000_000,
        **changes,
    }


def describe_route(name, kind, service, **action):
    """Return a rule of a configuration."""
    return {
        'name': name,
        'routeType': kind,
        'targetLatencyS': 1.0,
        'priority': 1,
        'public': False,
        'match': {'prefix': f'/{name}/'},
        'action': {
            'service': service,
            'timeoutS': 3.0,
            'maxAttempts': 2,
            **action,
        },
    }


HOST_NAME = 'shop.example'
KEY = 'k7f3a91c2d'
TENANT = 'club'


def describe_config(version, rules, services):
    """Return a configuration with one tenant and one host name."""
    return {
        'version': version,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'tenants': [
            {'name': TENANT, 'apiKeys': [KEY], 'ratePerS': 0, 'burst': 0}
        ],
        'listeners': [{'host': HOST_NAME, 'rules': rules}],
        'clusters': [
            {
                'name': service,
                'healthCheck': '/health',
                'maxConnections': 360,
                'warmupS': 3.0,
                'coldPerS': 18.0,
            }
            for service in services
        ],
    }
