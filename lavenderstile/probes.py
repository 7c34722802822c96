"""Background probes of the targets' health and load endpoints."""

import asyncio

import httpx
import msgspec

from . import connections
from . import headers as header_tools
from . import messages

# A probe occupies a target for 25 ms. At this interval, all probes together
# use 0.5% of one slot, provided that only the owner of a service probes its
# targets.
PROBE_INTERVAL_S = 5.0

# Limit on the probe rate of one host, over all targets.
MAX_PROBES_PER_S = 20.0

# Time-out of one probe, including the connection set-up.
PROBE_TIMEOUT_S = 1.0

# Limit of probes in flight, so that slow targets do not exhaust the host.
MAX_CONCURRENT_PROBES = 16


class _LoadResponse(msgspec.Struct):
    """The fields in use of a load endpoint's response."""

    running: int | None = None


class Prober:
    """Probes the endpoints of targets in turn and queues hints.

    Each probe uses a new connection, so that the hints reflect the state of
    the target and not that of an old connection.
    """

    def __init__(
        self,
        hints,
        interval_s=PROBE_INTERVAL_S,
        rate=MAX_PROBES_PER_S,
        timeout_s=PROBE_TIMEOUT_S,
    ):
        self._timeout_s = timeout_s
        self._hints = hints
        self._interval_s = interval_s
        self._rate = rate
        self._services = {}
        self._running = set()
        self._changed = asyncio.Event()

    def set_targets(self, targets):
        """Replace the list of probed targets: (service, address) pairs."""
        services = {}
        for service, address in targets:
            services.setdefault(address, []).append(service)
        self._services = services
        self._changed.set()

    def get_start_interval_s(self):
        """Return the time between the starts of two probes."""
        count = max(1, len(self._services))
        return max(1 / self._rate, self._interval_s / count)

    async def run(self):
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._changed.clear()
                for address in list(self._services):
                    self._start_probe(group, address)
                    await asyncio.sleep(self.get_start_interval_s())
                if not self._services:
                    await self._changed.wait()

    def _start_probe(self, group, address):
        is_known = address in self._services
        has_capacity = len(self._running) < MAX_CONCURRENT_PROBES
        if is_known and has_capacity and address not in self._running:
            self._running.add(address)
            group.create_task(self._probe(address))

    async def _probe(self, address):
        try:
            hint = await probe_target(address, self._timeout_s)
        finally:
            self._running.discard(address)
        for service in self._services.get(address, ()):
            self._hints.put_nowait(
                messages.TargetHint(service=service, target=address, **hint)
            )


async def probe_target(address, timeout_s=PROBE_TIMEOUT_S):
    """Probe one target; return the fields of a hint."""
    hint = {'healthy': False}
    transport = connections.make_transport()
    send = transport.handle_async_request
    url = httpx.URL(f'http://{address}')
    try:
        async with asyncio.timeout(timeout_s):
            status, headers, _ = await connections.read_small(
                send, url, b'/health'
            )
            hint = describe_health(status, headers)
            status, _, body = await connections.read_small(send, url, b'/load')
            if status == 200:
                hint['running'] = parse_running(body)
    except (TimeoutError, httpx.HTTPError):
        # The result of the health endpoint, if any, is kept.
        pass
    finally:
        await transport.aclose()
    return hint


def describe_health(status, headers):
    """Return the fields of a hint from a health endpoint's response."""
    state = header_tools.find_header(headers, b'x-target-state')
    instance = header_tools.find_header(headers, b'x-instance') or b''
    return {
        'healthy': status == 200,
        'draining': state == b'draining',
        'cold': state == b'cold',
        'instance': instance.decode('latin-1'),
    }


def parse_running(body):
    """Return the number of running requests, or None if not reported."""
    try:
        return msgspec.json.decode(body, type=_LoadResponse).running
    except msgspec.DecodeError:
        return None
