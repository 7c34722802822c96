"""Background probes of the targets' health and load endpoints."""

import asyncio

import httpx
import msgspec

from . import connections
from . import headers as header_tools
from . import messages

# A probe takes a target 25 ms. With this interval all probes together take
# 0.5% of one slot, provided that only a service's owner probes its targets.
PROBE_INTERVAL_S = 5.0

# Limit over all targets of one host.
PROBES_PER_S = 20.0

# Limit for one probe, connecting included.
PROBE_TIMEOUT_S = 1.0

# Probes that may run at once; slow targets must not use up the host.
CONCURRENT_PROBES = 16


class _LoadAnswer(msgspec.Struct):
    """The part of a load endpoint's answer that is used."""

    running: int | None = None


class Prober:
    """Reads the endpoints of targets in turn and queues what they say.

    Each probe uses a new connection, so that the hints are about the
    target and not about an old connection.
    """

    def __init__(
        self,
        hints,
        interval_s=PROBE_INTERVAL_S,
        rate=PROBES_PER_S,
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
        """Replace the probed targets: pairs of service and address."""
        services = {}
        for service, address in targets:
            services.setdefault(address, []).append(service)
        self._services = services
        self._changed.set()

    def get_pause(self):
        """Return the seconds between the starts of two probes."""
        count = max(1, len(self._services))
        return max(1 / self._rate, self._interval_s / count)

    async def run(self):
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self._changed.clear()
                for address in list(self._services):
                    self._start(group, address)
                    await asyncio.sleep(self.get_pause())
                if not self._services:
                    await self._changed.wait()

    def _start(self, group, address):
        is_known = address in self._services
        is_free = len(self._running) < CONCURRENT_PROBES
        if is_known and is_free and address not in self._running:
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
    """Return the fields of a hint about one target."""
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
        # What the first endpoint has said still counts.
        pass
    finally:
        await transport.aclose()
    return hint


def describe_health(status, headers):
    """Return the fields of a hint from a health endpoint's answer."""
    state = header_tools.find_header(headers, b'x-target-state')
    instance = header_tools.find_header(headers, b'x-instance') or b''
    return {
        'healthy': status == 200,
        'draining': state == b'draining',
        'cold': state == b'cold',
        'instance': instance.decode('latin-1'),
    }


def parse_running(body):
    """Return the number of running requests, or None if it is not told."""
    try:
        return msgspec.json.decode(body, type=_LoadAnswer).running
    except msgspec.DecodeError:
        return None
