"""Read-only client of the platform's store."""

import asyncio
import socket
import typing
import urllib.parse

import eliot
import h11
import msgspec

from .. import decoding
from .. import errors
from .. import headers as header_tools
from ..edge import directory
from ..edge import http_client
from ..edge import models
from ..edge import registry
from . import objects

CONNECT_TIMEOUT_S = 0.5

# A call fails if no bytes of its response arrive for this time, in addition
# to the wait of a watch. The store usually responds in milliseconds, but a
# page of 1 MB takes seconds on a link of 5 Mbit/s.
CALL_TIMEOUT_S = 1.0

# Time limit of a whole call, in addition to the wait of a watch.
LONGEST_CALL_S = 20.0

# A connection carries no bytes while a watch waits, so only TCP keep-alive
# detects a silent one: idle time and probe interval in seconds, and the number
# of probes.
TCP_KEEPALIVE = (1, 1, 2)

# Header of all responses; it rises by one each time the store is restored from
# an older copy.
ERA = b'store-era'
MAX_ERA_DIGITS = 15

# Limit for the pages of one read; a page has at most about 500 items.
MAX_PAGES = 1000


# Hosts tell each other their revision; larger ones don't fit their messages.
_Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=objects.MAX_COUNT)]


class _Item(msgspec.Struct, rename='camel'):
    key: str
    revision: _Revision
    value: str | None = None
    removed: bool = False


class _Range(msgspec.Struct, rename='camel'):
    items: list[_Item]
    current_rev: _Revision
    has_more: bool = False


class _Events(msgspec.Struct, rename='camel'):
    events: list[_Item]
    current_rev: _Revision


_RANGE_DECODER = msgspec.json.Decoder(_Range)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)


class StoreClient:
    """Reads the store over one persistent connection."""

    def __init__(self, address, clock):
        self._address = address
        self._clock = clock
        self._connection = None
        self._era = None

    async def read_all(self):
        """Return a `Snapshot` of the whole store."""
        decoded = []
        after = ''
        revision = era = None
        for _ in range(MAX_PAGES):
            query = {'prefix': ''}
            if after:
                query['after'] = after
            response = await self._get('kv-range', query, 0.0)
            page = _parse('kv-range', response.body, _RANGE_DECODER)
            # Later pages may be newer than the first one, so that changes are
            # watched from the first one's revision.
            if revision is None:
                revision = page.current_rev
                era = _read_era(response.headers)
            elif _read_era(response.headers) != era:
                raise registry.HistoryLost
            # Values may be large and of no use, so that none is kept.
            decoded += _decode_items(page.items)
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return _make_snapshot(models.Position(era, revision), decoded)

    async def watch(self, revision, wait_s):
        """Return the `Changes` after a revision; waits `wait_s` for any."""
        query = {
            'prefix': '',
            'after': str(revision),
            'waitMs': str(int(wait_s * 1000)),
        }
        response = await self._get('kv-watch', query, wait_s)
        return self.decode_changes(response.body, _read_era(response.headers))

    def decode_changes(self, body, era):
        """Return the `Changes` in the response to a watch."""
        response = _parse('kv-watch', body, _EVENTS_DECODER)
        events = [
            (item.revision, event)
            for item in response.events
            if (event := _decode(item)) is not None
        ]
        return directory.Changes(
            response.current_rev, tuple(events), body, era
        )

    async def _get(self, call, query, wait_s):
        url = f'/lavenderstile/{call}?{urllib.parse.urlencode(query)}'
        loop = asyncio.get_running_loop()
        latest = loop.time() + wait_s + LONGEST_CALL_S
        limit = asyncio.timeout(CALL_TIMEOUT_S + wait_s)

        def extend_limit():
            if not limit.expired():
                limit.reschedule(min(loop.time() + CALL_TIMEOUT_S, latest))

        try:
            async with limit:
                response = await self._exchange(url, extend_limit)
        except (
            # Includes time-outs, and options that can't be set because the
            # connection has been reset already.
            OSError,
            http_client.ConnectError,
            http_client.ConnectionBroken,
        ) as error:
            self.close()
            raise errors.PlatformError(f'{call}: {error!r}') from error
        self._note_era(response.headers)
        if response.status == 410:
            raise registry.HistoryLost
        if response.status != 200:
            raise errors.PlatformError(f'{call}: status {response.status}')
        return response

    def _note_era(self, headers):
        """Log when the store has been restored."""
        era = _read_era(headers)
        if era != self._era:
            eliot.log_message('registry_era', era=era, before=self._era)
            self._era = era

    async def _exchange(self, url, on_progress):
        connection = self._connection
        if connection is None or not connection.is_open:
            connection = await http_client.open_connection(
                *self._address, self._clock.now(), CONNECT_TIMEOUT_S
            )
            self._connection = connection
            _enable_tcp_keepalive(connection)
        host = f'{self._address[0]}:{self._address[1]}'
        request = h11.Request(
            method='GET', target=url, headers=[('Host', host)]
        )
        return await connection.exchange(request, b'', on_progress=on_progress)

    def close(self):
        """Close the connection; the next call opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _read_era(headers):
    """Return how often the store was restored; 0 if it does not say so."""
    text = header_tools.find_header(headers, ERA)
    if text is None:
        return 0
    if not (text.isdigit() and len(text) <= MAX_ERA_DIGITS):
        raise errors.PlatformError(
            f'Store-Era is not a number: {text[:MAX_ERA_DIGITS]!r}'
        )
    return int(text)


def _parse(call, body, decoder):
    try:
        return decoding.decode(decoder, body)
    except errors.DecodingError as error:
        raise errors.PlatformError(f'{call}: {error}') from error


def _enable_tcp_keepalive(connection):
    idle_s, interval_s, count = TCP_KEEPALIVE
    connection_socket = connection.get_socket()
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s
    )
    connection_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s
    )
    connection_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count)


def _decode_items(items):
    """Return the objects and events for items that have any."""
    return [value for value in map(_decode, items) if value is not None]


def _decode(item):
    """Return the object or event for an item, or None.

    An item with an invalid value counts as removed.
    """
    if item.removed or item.value is None:
        return objects.decode_removed(item.key)
    try:
        return objects.decode_written(item.key, item.value)
    except objects.ObjectError as error:
        eliot.log_message('store_value_unreadable', error=str(error))
        return objects.decode_removed(item.key)


def _make_snapshot(position, decoded):
    configuration = None
    targets = []
    evacuated = set()
    for value in decoded:
        match value:
            case models.Configuration():
                configuration = value
            case models.Target():
                targets.append(value)
            case directory.DomainEvacuated(domain):
                evacuated.add(domain)
    return directory.Snapshot(
        position.revision,
        configuration,
        tuple(targets),
        frozenset(evacuated),
        position.era,
    )
