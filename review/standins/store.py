"""Stand-in for the platform's store: ranges and watches, read only."""

import asyncio
import base64
import contextlib
import json
import urllib.parse

from . import wire

PAGE_ITEMS = 500


class Store:
    """Items under one revision counter, with their whole history."""

    def __init__(self):
        self._items = {}
        self._history = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._writers = set()

    def put(self, key, value):
        """Write a value, as JSON."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = {'key': key, 'value': data, 'lease': 0}
        self._append(item)
        item['created'] = item['revision']
        self._items[key] = item

    def remove(self, key):
        """Remove a key, if it is there."""
        if self._items.pop(key, None) is not None:
            self._append({'key': key, 'removed': True})

    def _append(self, event):
        self._revision += 1
        event['revision'] = self._revision
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _read_range(self, prefix, after):
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

    async def _watch(self, prefix, after, wait_s):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._revision <= after:
                    await self._changed.wait()
        events = [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
        return {'events': events, 'currentRev': self._revision}

    async def _answer(self, request):
        target = request.first.split(' ')[1]
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        match path:
            case '/lavenderstile/kv-range':
                return 200, self._read_range(
                    query['prefix'], query.get('after', '')
                )
            case '/lavenderstile/kv-watch':
                return 200, await self._watch(
                    query['prefix'],
                    int(query['after']),
                    int(query['waitMs']) / 1000,
                )
        return 404, {}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                status, value = await self._answer(request)
                body = json.dumps(value).encode()
                headers = [('content-type', 'application/json')]
                writer.write(
                    wire.render(f'HTTP/1.1 {status} X', headers, body)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @contextlib.asynccontextmanager
    async def serve(self):
        """Serve inside the running event loop; yield the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        address, port = server.sockets[0].getsockname()
        try:
            yield f'{address}:{port}'
        finally:
            server.close()
            for writer in list(self._writers):
                writer.transport.abort()
