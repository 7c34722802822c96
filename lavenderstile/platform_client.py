"""Clients for the platform's configuration service and host list."""

import asyncio
import random

import eliot
import httpx
import msgspec

from . import errors
from . import hashing

# Limit for the whole fleet: half of the 2,000 reads/s of the configuration
# service.
FLEET_READS_PER_S = 1000.0
# Limit for the whole fleet on reads of the host list.
FLEET_LIST_READS_PER_S = 200.0
WATCHERS_PER_DOMAIN = 3
WATCH_WAIT_S = 30.0
POLL_INTERVAL_S = 10.0
LIST_INTERVAL_S = 2.0
RETRY_DELAY_S = 1.0
CALL_TIMEOUT_S = 5.0
TICKETS_PREFIX = 'tickets/'


class ValueItem(msgspec.Struct):
    """One value of the configuration service."""

    key: str
    revision: int
    value: str


class ValuesReply(msgspec.Struct):
    """The values changed since the requested revision.

    A value holds up to 1 MB, and a reply may hold several values.
    """

    revision: int
    items: list[ValueItem]


class HostItem(msgspec.Struct):
    """One host of the platform's list."""

    address: str
    state: str


class HostsReply(msgspec.Struct):
    """The platform's list of hosts."""

    hosts: list[HostItem]


async def _get(client, url, params, timeout_s, reply_type):
    try:
        response = await client.get(url, params=params, timeout=timeout_s)
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=reply_type)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        raise errors.PlatformError(f'{url}: {error!r}') from error


def is_watcher(membership, domain, now):
    """Return whether this host watches the service for its domain.

    The other hosts learn of changes from the watchers within one exchange.
    """
    members = [
        address
        for address in membership.view(now)
        if membership.domain_of(address) == domain
    ]
    ranking = hashing.rank(f'configuration-watchers/{domain}', members)
    return membership.address in ranking[:WATCHERS_PER_DOMAIN]


class ConfigurationReader:
    """Reads tickets within this host's share of the fleet's read rate."""

    def __init__(
        self,
        url,
        client,
        clock,
        fleet_size,
        watches,
        deliver,
        interval_s=POLL_INTERVAL_S,
    ):
        self._url = url.rstrip('/') + '/v1/values'
        self._client = client
        self._clock = clock
        self._fleet_size = fleet_size
        self._watches = watches
        self._interval_s = interval_s
        self._deliver = deliver
        self._revision = 0
        self._succeeded_at = None
        self._calls = 0
        self._failing = False

    @property
    def succeeded_at(self):
        """Time of the last successful read, or None."""
        return self._succeeded_at

    @property
    def revision(self):
        """Revision of the service as of the last successful read."""
        return self._revision

    @property
    def calls(self):
        """Number of calls made so far."""
        return self._calls

    async def run(self):
        """Read until cancelled."""
        max_delay_s = self.min_interval_s
        await asyncio.sleep(random.random() * max_delay_s)
        while True:
            delay_s = await self.read_once()
            await asyncio.sleep(max(delay_s, self.min_interval_s))

    @property
    def min_interval_s(self):
        """Minimum time between two reads by this host."""
        return max(1, self._fleet_size()) / FLEET_READS_PER_S

    async def read_once(self):
        """Read once; return the pause in seconds before the next read."""
        watching = self._watches() and self._revision > 0
        try:
            reply = await self._read(WATCH_WAIT_S if watching else 0.0)
        except errors.PlatformError as error:
            self._log_failure(error)
            return RETRY_DELAY_S * (1 + random.random())
        self._failing = False
        self._succeeded_at = self._clock.now()
        await self._deliver_all(reply)
        if self._watches():
            # A service that has no values yet cannot be watched.
            return 0.0 if self._revision else RETRY_DELAY_S
        return self._interval_s * (0.5 + random.random())

    def _log_failure(self, error):
        if not self._failing:
            eliot.log_message(
                'configuration_service_unreachable', error=str(error)
            )
        self._failing = True

    async def _read(self, wait_s):
        self._calls += 1
        params = {
            'prefix': TICKETS_PREFIX,
            'after': self._revision,
            'wait': wait_s,
        }
        timeout_s = CALL_TIMEOUT_S + wait_s
        return await _get(
            self._client, self._url, params, timeout_s, ValuesReply
        )

    async def _deliver_all(self, reply):
        for item in sorted(reply.items, key=lambda item: item.revision):
            await self._deliver(item.value, f'{self._url}/{item.key}')
        # If the service replies with an older revision, it was rolled back
        # or is stale. Reading all values again is safe, because applying is
        # idempotent, and misses nothing that is published from then on.
        self._revision = reply.revision


class HostListReader:
    """Reads the platform's list of live and leaving hosts."""

    def __init__(self, url, client, clock, fleet_size, deliver):
        self._url = url.rstrip('/') + '/v1/hosts'
        self._client = client
        self._clock = clock
        self._fleet_size = fleet_size
        self._deliver = deliver
        self._succeeded_at = None
        self._failing = False

    @property
    def succeeded_at(self):
        """Time of the last successful read, or None."""
        return self._succeeded_at

    async def run(self):
        """Read until cancelled."""
        while True:
            await self._read_once()
            interval_s = max(
                LIST_INTERVAL_S, self._fleet_size() / FLEET_LIST_READS_PER_S
            )
            await asyncio.sleep(interval_s * (0.75 + random.random() / 2))

    async def _read_once(self):
        try:
            reply = await _get(
                self._client, self._url, None, CALL_TIMEOUT_S, HostsReply
            )
        except errors.PlatformError as error:
            if not self._failing:
                eliot.log_message('host_list_unreachable', error=str(error))
            self._failing = True
            return
        self._failing = False
        self._succeeded_at = self._clock.now()
        self._deliver(parse_hosts(reply))


def parse_hosts(reply):
    """Return address -> (endpoint, leaving) of a host list."""
    return {
        item.address.rpartition(':')[0]: (
            item.address,
            item.state == 'leaving',
        )
        for item in reply.hosts
    }
