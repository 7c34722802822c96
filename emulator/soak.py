"""Randomised soak test: real host processes under injected faults.

Run it with `python -m emulator.soak --seeds 1 2 3 --duration 20`. Each seed
gives a schedule of overlapping faults: connections to targets and to the
store are delayed, cut in one direction, silenced or reset; the store is
restored from an older copy; hosts are paused, killed, stopped and reloaded;
and the configuration changes. Callers use their connections until these are
closed. The responses and the requests that targets receive are checked
against the invariants.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import random
import sys
import time

import httpx

from . import edge_fleet
from . import fault_proxy
from . import registered_target
from . import registry_store

CALLERS = 8
CALLER_PAUSE_S = 0.05
CALLER_TIMEOUT_S = 6.0
DEADLINE_MS = 3000

# Statuses that guarantee that the request has not run and will not run.
NOT_RUN = frozenset((408, 421, 429, 503))

# Time within which hosts without a fault apply a change.
PROPAGATION_LIMIT_S = 2.0

# Time after a fault from which a host is held to time bounds again.
STABILISATION_S = 4.0

# Time within which each host serves again after the last fault.
RECOVERY_LIMIT_S = 15.0

# Faulty behaviours of targets, and their share of the responses.
FAULTY_SHARE = 0.08
BEHAVIOURS = (
    registered_target.fail,
    registered_target.shed,
    registered_target.reset,
    registered_target.truncate,
    registered_target.answer_twice,
    registered_target.answer_crossed,
    registered_target.answer_unsigned,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one request; status 0 is a failed connection or time-out."""

    request_id: str
    host: str
    is_unsafe: bool
    status: int
    body: bytes
    sent_at: float
    key: str


class RandomScript(list):
    """A target's script: mostly successes that name their request."""

    def __init__(self, rng):
        super().__init__()
        self._rng = rng

    def __bool__(self):
        return True

    def pop(self, index=-1):
        """Return the next behaviour."""
        if self._rng.random() < FAULTY_SHARE:
            return self._rng.choice(BEHAVIOURS)
        return _echo_request_id


async def _echo_request_id(target, request, writer):
    await asyncio.sleep(0.02)
    body = f'answer to {request.request_id}'.encode()
    writer.write(registered_target.render(request.request_id, body=body))


class Soak:
    """One run with one seed."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._outcomes = []
        self._last_fault_at = {}
        self._problems = []
        self._keys = ['key-1']
        self._version = 1
        self._withdrawn_at = {}
        self._request_count = 0
        self._store_copy = fleet.store.copy()

    @property
    def problems(self):
        """Violations of the invariants, one line each."""
        return self._problems

    @property
    def outcomes(self):
        """Results of all requests."""
        return self._outcomes

    async def run(self, duration_s):
        """Inject faults for a time, then check recovery and results."""
        for target in self._fleet.targets.values():
            target.script = RandomScript(self._rng)
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(self._call_repeatedly(number))
                for number in range(CALLERS)
            ]
            end = time.monotonic() + duration_s
            while time.monotonic() < end:
                await self._inject_fault()
                await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            await self._end_faults()
            await self._check_recovery()
            for task in callers:
                task.cancel()
        self._check_runs()
        self._check_responses()

    async def _inject_fault(self):
        """Begin one random fault; it ends while later ones begin."""
        fault = self._rng.choice(
            (
                self._pause,
                self._kill,
                self._terminate,
                self._reload,
                self._disrupt_target,
                self._disrupt_store,
                self._restore_store,
                self._reset_connections,
                self._silence_connections,
                self._change_keys,
                self._replace_target,
            )
        )
        await fault()

    def _begin_host_fault(self):
        host = self._rng.choice(self._fleet.hosts)
        self._last_fault_at[host.name] = float('inf')
        return host

    def _end_host_fault(self, host):
        self._last_fault_at[host.name] = time.monotonic()

    def _schedule(self, delay_s, function, *arguments):
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, function, *arguments)

    async def _pause(self):
        host = self._begin_host_fault()
        if host.process.is_running:
            host.process.pause()
            self._schedule(self._rng.uniform(0.2, 3.0), self._resume, host)

    def _resume(self, host):
        if host.process.is_running:
            host.process.resume()
        self._end_host_fault(host)

    async def _kill(self):
        host = self._begin_host_fault()
        if host.process.is_running:
            await host.process.kill()
        await self._restart(host)

    async def _terminate(self):
        host = self._begin_host_fault()
        await host.process.stop()
        if host.process.is_running:
            self._problems.append(f'{host.name}: did not stop')
        await self._restart(host)

    async def _restart(self, host):
        if not host.process.is_running:
            await host.process.start()
        self._end_host_fault(host)

    async def _reload(self):
        host = self._rng.choice(self._fleet.hosts)
        if host.process.is_running:
            host.process.reload()

    async def _disrupt_target(self):
        proxy = self._rng.choice(list(self._fleet.proxies.values()))
        self._disrupt(proxy)

    async def _disrupt_store(self):
        for host in self._fleet.hosts:
            self._last_fault_at[host.name] = float('inf')
        self._disrupt(self._fleet.store_proxy)

    async def _restore_store(self):
        """Restore the store from the last copy; write again what it lost."""
        for host in self._fleet.hosts:
            self._last_fault_at[host.name] = float('inf')
        store = self._fleet.store
        newest = store.copy()
        store.restore(self._store_copy)
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        store.write_again(newest)
        self._store_copy = newest
        for host in self._fleet.hosts:
            self._end_host_fault(host)

    def _disrupt(self, proxy):
        modes = [mode for mode in fault_proxy.Mode if mode.value != 'pass']
        proxy.mode = self._rng.choice(modes)
        self._schedule(
            self._rng.uniform(0.3, 3.0), self._end_disruption, proxy
        )

    def _end_disruption(self, proxy):
        proxy.mode = fault_proxy.Mode.PASS
        if proxy is self._fleet.store_proxy:
            for host in self._fleet.hosts:
                self._end_host_fault(host)

    async def _reset_connections(self):
        self._rng.choice(list(self._fleet.proxies.values())).reset()

    async def _silence_connections(self):
        self._rng.choice(list(self._fleet.proxies.values())).silence()

    async def _change_keys(self):
        """Publish a configuration with a new key and without the oldest."""
        self._version += self._rng.randint(1, 3)
        self._keys.append(f'key-{self._version}')
        if len(self._keys) > 2:
            self._withdrawn_at[self._keys.pop(0)] = time.monotonic()
        data = registry_store.describe_configuration(self._version)
        data['tenants'][0]['apiKeys'] = list(self._keys)
        self._fleet.store.put('op/config', data)

    async def _replace_target(self):
        """Remove a target from the registry and add another one."""
        if len(self._fleet.targets) > 12:
            return
        instance = self._rng.choice(list(self._fleet.targets))
        with contextlib.suppress(KeyError):
            self._fleet.store.remove(f'servers/{instance}')
        domain = self._rng.choice(edge_fleet.DOMAINS)
        name = f'j-{len(self._fleet.targets)}'
        target = await self._fleet.add_target(name, domain)
        target.script = RandomScript(self._rng)

    async def _call_repeatedly(self, number):
        rng = random.Random(number)
        limits = httpx.Limits(max_connections=1)
        while True:
            host = rng.choice(self._fleet.hosts)
            async with httpx.AsyncClient(
                base_url=host.caller_url,
                trust_env=False,
                timeout=CALLER_TIMEOUT_S,
                limits=limits,
            ) as client:
                # The connection is used until it fails.
                while await self._call(client, host, rng):
                    await asyncio.sleep(CALLER_PAUSE_S)
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _call(self, client, host, rng):
        self._request_count += 1
        request_id = f'r{self._request_count:06}'
        is_unsafe = rng.random() < 0.6
        key = rng.choice([*self._keys, *list(self._withdrawn_at)[-1:]])
        sent_at = time.monotonic()
        try:
            response = await client.request(
                'POST' if is_unsafe else 'GET',
                f'/{"pay" if is_unsafe else "read"}/{request_id}',
                headers={
                    'Host': 'races.example',
                    'Authorization': f'Token {key}',
                    'X-Lavenderstile-Attempt-Id': request_id,
                    'X-Lavenderstile-Deadline-Ms': str(DEADLINE_MS),
                },
                content=b'x' if is_unsafe else None,
            )
            status, body = response.status_code, response.content
        except httpx.HTTPError:
            status, body = 0, b''
        outcome = Outcome(
            request_id, host.name, is_unsafe, status, body, sent_at, key
        )
        self._outcomes.append(outcome)
        self._check_key(outcome)
        return status != 0

    def _check_key(self, outcome):
        """Check that hosts without a fault reject a withdrawn key."""
        withdrawn_at = self._withdrawn_at.get(outcome.key)
        stable_at = (
            self._last_fault_at.get(outcome.host, 0.0) + STABILISATION_S
        )
        if (
            withdrawn_at is not None
            and outcome.status == 200
            and outcome.sent_at
            > max(withdrawn_at + PROPAGATION_LIMIT_S, stable_at)
        ):
            self._problems.append(
                f'{outcome.request_id}: {outcome.host} accepted a key '
                f'{outcome.sent_at - withdrawn_at:.1f} s after its withdrawal'
            )

    async def _end_faults(self):
        """End all faults."""
        for proxy in (*self._fleet.proxies.values(), self._fleet.store_proxy):
            proxy.mode = fault_proxy.Mode.PASS
        for host in self._fleet.hosts:
            if host.process.is_running:
                host.process.resume()
            else:
                await host.process.start()
        for target in self._fleet.targets.values():
            target.script = []

    async def _check_recovery(self):
        """Check that each host serves again in time."""
        async with httpx.AsyncClient(trust_env=False) as client:
            for host in self._fleet.hosts:
                if not await self._is_serving(client, host):
                    self._problems.append(f'{host.name}: does not recover')

    async def _is_serving(self, client, host):
        end = time.monotonic() + RECOVERY_LIMIT_S
        while time.monotonic() < end:
            with contextlib.suppress(httpx.HTTPError):
                response = await client.get(
                    f'{host.caller_url}/read/recovery',
                    headers={
                        'Host': 'races.example',
                        'Authorization': f'Token {self._keys[-1]}',
                        'X-Lavenderstile-Attempt-Id': 'recovery',
                    },
                )
                if response.status_code == 200:
                    return True
            await asyncio.sleep(0.2)
        return False

    def _check_runs(self):
        """Check that unsafe requests run at most once, or not if refused."""
        runs = collections.Counter()
        for target in self._fleet.targets.values():
            for request in target.seen:
                if 'authorization' in request.headers:
                    self._problems.append(
                        f'{request.request_id}: target got the key'
                    )
                if (
                    request.headers.get('x-lavenderstile-tenant-name')
                    != 'club'
                ):
                    self._problems.append(
                        f'{request.request_id}: wrong tenant name'
                    )
            runs.update(target.run_ids)
        for outcome in self._outcomes:
            if not outcome.is_unsafe:
                continue
            count = runs[outcome.request_id]
            if count > 1:
                self._problems.append(
                    f'{outcome.request_id}: ran {count} times'
                )
            if count and outcome.status in NOT_RUN:
                self._problems.append(
                    f'{outcome.request_id}: ran with status {outcome.status}'
                )

    def _check_responses(self):
        """Check that each success is the response to its own request."""
        for outcome in self._outcomes:
            expected = f'answer to {outcome.request_id}'.encode()
            if outcome.status == 200 and outcome.body not in (
                expected,
                b'done',
            ):
                self._problems.append(
                    f'{outcome.request_id}: wrong body {outcome.body[:60]!r}'
                )


async def run_seed(seed, duration_s, hosts=4, targets=6):
    """Run one seed; return its `Soak` with the violations found."""
    async with edge_fleet.run_edge_fleet(hosts, targets) as fleet:
        soak = Soak(fleet, seed)
        await soak.run(duration_s)
        return soak


def main():
    """Run seeds; the exit status is 1 if any invariant was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1])
    parser.add_argument('--duration', type=float, default=20.0)
    parser.add_argument('--hosts', type=int, default=4)
    parser.add_argument('--targets', type=int, default=6)
    options = parser.parse_args()
    failed = False
    for seed in options.seeds:
        soak = asyncio.run(
            run_seed(seed, options.duration, options.hosts, options.targets)
        )
        statuses = collections.Counter(
            outcome.status for outcome in soak.outcomes
        )
        print(f'seed {seed}: {dict(statuses)}', flush=True)
        for line in soak.problems:
            print(f'seed {seed}: {line}', flush=True)
        failed = failed or bool(soak.problems)
    sys.exit(int(failed))


if __name__ == '__main__':
    main()
