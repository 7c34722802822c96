"""Requesters on kept connections, and hosts whose processes end."""

import asyncio
import collections

from . import clients
from . import hosts as hosts_module

DEADLINE_S = 6.0
THINK_S = 0.1

# Pause of a requester after a connection that was closed or refused.
RECONNECT_S = 0.5

# A process that has ended is started again after this time.
RESTART_DELAY_S = 0.5

# The rule LOST: closed connections of a machine that break it.
MAX_CLOSED = 3
# The rule Fault: ends of a process, and machines, that break it.
MAX_ENDS = 3
MIN_MACHINES = 2


async def _use_connection(requesters, host):
    """Send orders one after the other on a kept connection."""
    connection = clients.Connection(host.front)
    try:
        while True:
            sent = await requesters.send(
                host.front, 'order', DEADLINE_S, connection
            )
            await asyncio.sleep(THINK_S if sent.status else RECONNECT_S)
    finally:
        connection.close()


async def _supervise(host, record, ends):
    """Start the process of a host again after it has ended, as the platform.

    `ends` counts how often processes have ended by themselves.
    """
    while True:
        status = await host.process.wait()
        ends[host.name] += 1
        record.add(f'{host.name} has ended by itself with status {status}')
        await asyncio.sleep(RESTART_DELAY_S)
        await host.start()


def start(tasks, hosts, requesters, connections, ends):
    """Start requesters and the supervision of hosts as tasks."""
    for host in hosts:
        tasks.append(
            asyncio.create_task(_supervise(host, requesters.record, ends))
        )
        for _ in range(connections):
            tasks.append(
                asyncio.create_task(_use_connection(requesters, host))
            )


def record_errors(hosts, record):
    """Record the last exception that a host has written, if any."""
    for host in hosts:
        for error in host.list_errors()[-1:]:
            record.add(f'{host.name} has written: {error}')


def judge(sent, sound_servers, ends, record):
    """Return whether the rules LOST and Fault were kept."""
    ran = {
        arrival.request_id for one in sound_servers for arrival in one.arrivals
    }
    closed = collections.Counter(
        one.machine for one in sent if one.is_closed and one.request_id in ran
    )
    served = sum(one.status == 200 for one in sent)
    if not served:
        raise hosts_module.CaseError('no request was served')
    record.add(
        f'{len(sent)} requests, {served} served; connections closed without'
        f' an answer after a sound server had got the request, by machine:'
        f' {dict(closed)}; processes that ended by themselves: {dict(ends)}'
    )
    is_lost = any(count > MAX_CLOSED for count in closed.values())
    failing = [name for name, count in ends.items() if count >= MAX_ENDS]
    return not is_lost and len(failing) < MIN_MACHINES
