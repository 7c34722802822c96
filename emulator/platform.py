"""Stand-in for the configuration service and the host list.

Run it with `python -m emulator.platform --listen 127.0.0.1:7900`.
Readers use `/v1/...`; the endpoints under `/control/` are for tests.
"""

import asyncio
import collections
import dataclasses
import time

from . import serving

MAX_VALUE_BYTES = 1_000_000

# Calls per second over all readers; calls beyond that get 503.
CAPACITY_CALLS_PER_S = 2000

# Maximum wait of a watch.
WAIT_LIMIT_S = 60.0

# Retention of the call counts per second.
HISTORY_S = 600


@dataclasses.dataclass(slots=True)
class Item:
    """A published value."""

    key: str
    revision: int
    value: str


class PlatformState:
    """State of the configuration service and of the host list.

    Modes are `normal`, `frozen` (serves the state at the time of freezing),
    `silent` (calls get no response) and `failing` (calls get 500).
    """

    def __init__(self, capacity=CAPACITY_CALLS_PER_S, hosts_lag_s=0.0):
        self.capacity = capacity
        self.hosts_lag_s = hosts_lag_s
        self.mode = 'normal'
        self.overloaded = 0
        self.calls = 0
        self._items = {}
        self._frozen_items = {}
        self._revision = 0
        self._frozen_revision = 0
        self._changed = asyncio.Condition()
        self._hosts = [(0.0, [])]
        self._calls_per_second = collections.OrderedDict()

    @property
    def revision(self):
        """Revision that is served to readers."""
        if self.mode == 'frozen':
            return self._frozen_revision
        return self._revision

    @property
    def items(self):
        """Items that are served to readers, by key."""
        return self._frozen_items if self.mode == 'frozen' else self._items

    async def publish(self, key, value):
        """Store a value and return its revision."""
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f'{key}: value is over {MAX_VALUE_BYTES} bytes')
        self._revision += 1
        self._items[key] = Item(key, self._revision, value)
        await self._notify_watches()
        return self._revision

    async def set_mode(self, mode):
        """Change the mode and wake all waiting watches."""
        if mode not in ('normal', 'frozen', 'silent', 'failing'):
            raise ValueError(f'unknown mode {mode}')
        if mode == 'frozen' and self.mode != 'frozen':
            self._frozen_items = dict(self._items)
            self._frozen_revision = self._revision
        self.mode = mode
        await self._notify_watches()

    async def _notify_watches(self):
        async with self._changed:
            self._changed.notify_all()

    def find_after(self, prefix, after):
        """Return the items under a prefix that are newer than `after`."""
        items = [
            item
            for item in self.items.values()
            if item.revision > after and item.key.startswith(prefix)
        ]
        return sorted(items, key=lambda item: item.revision)

    async def wait_after(self, prefix, after, wait_s):
        """Return newer items, waiting up to `wait_s` for the first one."""

        def is_ready():
            is_faulty = self.mode in ('silent', 'failing')
            return is_faulty or self.find_after(prefix, after)

        try:
            async with asyncio.timeout(min(wait_s, WAIT_LIMIT_S)):
                async with self._changed:
                    await self._changed.wait_for(is_ready)
        except TimeoutError:
            pass
        return self.find_after(prefix, after)

    def set_hosts(self, hosts):
        """Replace the host list; it is served after the lag."""
        visible_at = time.monotonic() + self.hosts_lag_s
        self._hosts.append((visible_at, list(hosts)))

    def get_hosts(self):
        """Return the newest host list whose lag has passed."""
        now = time.monotonic()
        visible_lists = [entry for entry in self._hosts if entry[0] <= now]
        return visible_lists[-1][1]

    def count_call(self):
        """Count a call; return whether it is within the capacity."""
        self.calls += 1
        second = int(time.monotonic())
        count = self._calls_per_second.get(second, 0) + 1
        self._calls_per_second[second] = count
        while len(self._calls_per_second) > HISTORY_S:
            self._calls_per_second.popitem(last=False)
        if count <= self.capacity:
            return True
        self.overloaded += 1
        return False

    def get_stats(self):
        """Return the counts of calls."""
        now = int(time.monotonic())
        return {
            'calls': self.calls,
            'overloaded': self.overloaded,
            'last_second': self._calls_per_second.get(now - 1, 0),
            'peak_second': max(self._calls_per_second.values(), default=0),
            'seconds': [
                {'age_s': now - second, 'calls': count}
                for second, count in self._calls_per_second.items()
            ],
        }


class PlatformApplication:
    """ASGI application that serves a `PlatformState`."""

    def __init__(self, state):
        self._state = state

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        path = scope['path']
        if path.startswith('/control/'):
            await self._control(path[len('/control/') :], receive, send)
        elif path == '/v1/stats':
            await serving.send_json(send, 200, self._state.get_stats())
        else:
            await self._read(scope, receive, send)

    async def _read(self, scope, receive, send):
        if not self._state.count_call():
            await serving.send_json(send, 503, {'error': 'overloaded'})
            return
        if await self._simulate_fault(receive, send):
            return
        match scope['path']:
            case '/v1/values':
                response = await self._read_values(serving.get_query(scope))
            case '/v1/hosts':
                response = {'hosts': self._state.get_hosts()}
            case _:
                await serving.send_json(send, 404, {'error': 'not found'})
                return
        if not await self._simulate_fault(receive, send):
            await serving.send_json(send, 200, response)

    async def _simulate_fault(self, receive, send):
        if self._state.mode == 'silent':
            await serving.wait_for_disconnect(receive)
            return True
        if self._state.mode == 'failing':
            await serving.send_json(send, 500, {'error': 'failing'})
            return True
        return False

    async def _read_values(self, query):
        prefix = query.get('prefix', '')
        after = int(query.get('after', '0'))
        wait_s = float(query.get('wait', '0'))
        items = await self._state.wait_after(prefix, after, wait_s)
        return {'revision': self._state.revision, 'items': items}

    async def _control(self, action, receive, send):
        body = await serving.read_json(receive)
        try:
            response = await self._apply(action, body)
        except (KeyError, ValueError) as error:
            await serving.send_json(send, 400, {'error': str(error)})
        else:
            await serving.send_json(send, 200, response)

    async def _apply(self, action, body):
        match action:
            case 'values':
                revision = await self._state.publish(
                    body['key'], body['value']
                )
                return {'revision': revision}
            case 'mode':
                await self._state.set_mode(body['mode'])
            case 'hosts':
                self._state.set_hosts(body['hosts'])
            case 'lag':
                self._state.hosts_lag_s = float(body['seconds'])
            case 'capacity':
                self._state.capacity = int(body['calls_per_second'])
            case _:
                raise ValueError(f'unknown control {action}')
        return {}


def main():
    """Run the stand-in as a program."""
    parser = serving.build_parser('Stand-in for the platform')
    parser.add_argument('--capacity', type=int, default=CAPACITY_CALLS_PER_S)
    parser.add_argument('--hosts-lag', type=float, default=0.0)
    options = parser.parse_args()
    state = PlatformState(options.capacity, options.hosts_lag)
    app = PlatformApplication(state)
    asyncio.run(serving.run_until_signal(app, options.listen))


if __name__ == '__main__':
    main()
