"""Stand-in for the users' store, with its published protocol.

It keeps items under one revision counter and serves ranges and watches.
Tests write to it directly, in place of the operator and the targets.
"""

import asyncio
import base64
import contextlib

import msgspec

from . import serving

# Maximum number of items in one page of a range.
PAGE_ITEMS = 500

# Maximum wait of a watch.
WAIT_LIMIT_S = 30.0

# Service of all targets of the emulator.
SERVICE = 'ledger'


class RegistryStore:
    """The items, their history, and the fault mode.

    Modes are `normal`, `busy` (calls get 503) and `silent` (calls get no
    response).
    """

    def __init__(self):
        self.mode = 'normal'
        self.era = 1
        self.calls = []
        self._items = {}
        self._history = []
        self._first_revision = 1
        self._revision = 1
        self._changed = asyncio.Event()

    @property
    def revision(self):
        """Revision of the newest change."""
        return self._revision

    def put(self, key, value):
        """Write a value: bytes, or an object to encode as JSON."""
        if not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'lease': 0,
        }
        self._append(key, item)
        item['created'] = item['revision']
        self._items[key] = item

    def remove(self, key):
        """Remove a key."""
        del self._items[key]
        self._append(key, {'key': key, 'removed': True})

    def _append(self, key, event):
        self._revision += 1
        event['revision'] = self._revision
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self):
        """Return a copy of the items and the history."""
        return dict(self._items), list(self._history), self._revision

    def restore(self, copy):
        """Replace the contents by a copy; revisions are given out again."""
        items, history, self._revision = copy
        self._items = dict(items)
        self._history = list(history)
        self.era += 1

    def write_again(self, copy):
        """Write what a restoration has lost since a copy was made."""
        lost = copy[0]
        for key in self._items.keys() - lost.keys():
            self.remove(key)
        for key, item in lost.items():
            present = self._items.get(key)
            if present is None or present['value'] != item['value']:
                self.put(key, base64.b64decode(item['value']))

    def compact(self):
        """Discard the history of changes."""
        self._history.clear()
        self._first_revision = self._revision + 1

    def read_range(self, prefix, after):
        """Return a page of items."""
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

    async def watch(self, prefix, after, wait_s):
        """Return the events after a revision, or None if they are unknown."""
        if after > self._revision:
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(wait_s, WAIT_LIMIT_S)):
                while self._revision <= after:
                    await self._changed.wait()
        if after + 1 < self._first_revision:
            return None
        events = [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        return {'events': events, 'currentRev': self._revision}


class StoreApplication:
    """ASGI application of the store."""

    def __init__(self, store):
        self._store = store

    async def __call__(self, scope, receive, send):
        """Answer one call."""
        store = self._store
        call = scope['path'].rpartition('/')[2]
        query = serving.get_query(scope)
        store.calls.append((call, query))
        match store.mode:
            case 'busy':
                await self._send(send, 503, {'error': 'busy'})
                return
            case 'silent':
                await serving.wait_for_disconnect(receive)
                return
        match call:
            case 'kv-range':
                page = store.read_range(
                    query['prefix'], query.get('after', '')
                )
                await self._send(send, 200, page)
            case 'kv-watch':
                wait_s = int(query.get('waitMs', 0)) / 1000
                changes = await store.watch(
                    query['prefix'], int(query['after']), wait_s
                )
                status = 410 if changes is None else 200
                await self._send(send, status, changes or {})
            case _:
                await self._send(send, 404, {'error': 'no such call'})

    async def _send(self, send, status, body):
        era = (b'store-era', str(self._store.era).encode())
        await serving.send_json(send, status, body, [era])


@contextlib.asynccontextmanager
async def serve_store(store):
    """Serve a store inside the running event loop; yield its address."""
    async with serving.serve(StoreApplication(store)) as address:
        yield address


def describe_target(server_address, instance_number=1, **changes):
    """Return the registry entry of a target."""
    return {
        'service': SERVICE,
        'address': server_address,
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmupLeftS': 0,
        'seq': 1,
        'born': 1_700_000_000_000 + instance_number,
        **changes,
    }


def describe_configuration(version, **changes):
    """Return a configuration with one safe and one unsafe route."""
    rules = [
        make_rule('read', '/read/', 'safe'),
        make_rule('pay', '/pay/', 'unsafe'),
    ]
    return {
        'version': version,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1_000_000,
            'headerTimeoutS': 3,
            'idleTimeoutS': 15,
        },
        'tenants': [
            {
                'name': 'club',
                'apiKeys': ['key-1'],
                'priority': 0,
                'ratePerS': 0,
                'burst': 0,
            }
        ],
        'listeners': [{'host': 'races.example', 'rules': rules}],
        'clusters': [
            {
                'name': SERVICE,
                'healthCheck': '/health',
                'maxConnections': 100,
                'protocol': 'h1',
                'tls': False,
                'warmupS': 3.0,
                'coldPerS': 4.0,
            }
        ],
        **changes,
    }


def make_rule(name, prefix, kind, **action):
    """Return a route of a configuration."""
    return {
        'name': name,
        'routeType': kind,
        'targetLatencyS': 0.8,
        'priority': 1,
        'public': False,
        'match': {'prefix': prefix},
        'action': {
            'service': SERVICE,
            'timeoutS': 5.0,
            'maxAttempts': 2,
            **action,
        },
    }
