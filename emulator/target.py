"""Stand-in for a target.

Run it with `python -m emulator.target --listen 127.0.0.1:7800`. Any
path runs a request; `/health` and `/load` are hints; `/control/...` is for
tests, whose connections count towards the limit but are neither silenced nor
reset. Query parameters of a request: `work_ms` is its processing time,
`answer_bytes` the size of a generated response in place of the JSON echo.
"""

import asyncio
import contextlib
import functools
import os
import socket
import struct

import msgspec
from uvicorn.protocols.http import h11_impl

from . import serving
from . import target_exchange
from . import target_state

# Exit status after a crash by a request with the crash marker.
CRASH_STATUS = 70


class TargetProtocol(h11_impl.H11Protocol):
    """A connection that can be refused, silenced or reset."""

    def __init__(self, *args, target, **kwargs):
        super().__init__(*args, **kwargs)
        self._target = target
        self.number = 0
        self.is_control = False
        self.silent = False

    def connection_made(self, transport):
        """Accept the connection unless the limit is reached."""
        super().connection_made(transport)
        self._target.add_connection(self)

    def connection_lost(self, exc):
        """Remove the connection from the target."""
        self._target.remove_connection(self)
        super().connection_lost(exc)

    def data_received(self, data):
        """Handle data, or discard it on a silent connection."""
        if not self.silent:
            super().data_received(data)

    def reset(self):
        """Close at once with a TCP reset."""
        sock = self.transport.get_extra_info('socket')
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


class Target:
    """ASGI application of one target, and its connections."""

    def __init__(self, state=None, exit_on_crash=False):
        self.state = state or target_state.TargetState()
        self.connections = {}
        self.accepted = 0
        self.refused = 0
        self.peak_connections = 0
        self._exit_on_crash = exit_on_crash

    @property
    def data_connections(self):
        """Connections without control calls."""
        return [
            protocol
            for protocol in self.connections.values()
            if not protocol.is_control
        ]

    @property
    def protocol(self):
        """Protocol factory for uvicorn."""
        return functools.partial(TargetProtocol, target=self)

    def add_connection(self, protocol):
        """Count an accepted connection; reset it when over the limit."""
        self.accepted += 1
        protocol.number = self.accepted
        protocol.silent = self.state.behaviour.silent_new
        if len(self.connections) >= self.state.behaviour.connections:
            self.refused += 1
            protocol.reset()
            return
        self.connections[protocol.client] = protocol
        count = len(self.connections)
        self.peak_connections = max(self.peak_connections, count)

    def remove_connection(self, protocol):
        """Remove a closed connection."""
        if self.connections.get(protocol.client) is protocol:
            del self.connections[protocol.client]

    def silence(self):
        """Discard all further data of the present data connections."""
        for protocol in self.data_connections:
            protocol.silent = True

    def reset_connections(self):
        """Reset every connection without control calls."""
        for protocol in self.data_connections:
            protocol.reset()

    def end_connections(self):
        """Reset every connection."""
        for protocol in list(self.connections.values()):
            protocol.reset()

    def close_idle_connections(self):
        """Close idle connections, as after a keep-alive time-out."""
        for protocol in list(self.connections.values()):
            if protocol.cycle is None or protocol.cycle.response_complete:
                protocol.transport.close()

    def crash(self):
        """Exit the process, or reset connections and restart cold."""
        if self._exit_on_crash:
            os._exit(CRASH_STATUS)
        self.reset_connections()
        self.state.restart(cold=True)

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        path = scope['path']
        protocol = self.connections.get(tuple(scope['client']))
        if protocol is None:
            return
        if path.startswith('/control/'):
            protocol.is_control = True
            await self._control(path[len('/control/') :], receive, send)
        elif path in ('/health', '/load'):
            await self._send_hint(path[1:], send)
        else:
            await target_exchange.Exchange(
                self, protocol, scope, receive, send
            ).run()

    async def _send_hint(self, name, send):
        self.state.probes[name] += 1
        hints = self.state.get_hints()
        status = 200
        if name == 'health' and hints['state'] == 'failing':
            status = 503
        headers = [
            (b'x-instance', hints['instance'].encode()),
            (b'x-target-state', hints['state'].encode()),
        ]
        await serving.send_json(send, status, hints, headers)

    async def _control(self, action, receive, send):
        body = await serving.read_json(receive)
        try:
            response = self._apply(action, body)
        except (ValueError, msgspec.ValidationError) as error:
            await serving.send_json(send, 400, {'error': str(error)})
        else:
            await serving.send_json(send, 200, response)

    def _apply(self, action, body):
        match action:
            case 'runs':
                return {'runs': list(self.state.runs)}
            case 'counters':
                return self.get_counters()
            case 'behaviour':
                self.state.change(body)
            case 'cold':
                self.state.set_cold(body.get('cold', True))
            case 'silence':
                self.silence()
            case 'reset':
                self.reset_connections()
            case 'close-idle':
                self.close_idle_connections()
            case 'crash':
                asyncio.get_running_loop().call_later(0.01, self.crash)
            case _:
                raise ValueError(f'unknown control {action}')
        return {}

    def get_counters(self):
        """Return the counters that tests check."""
        return {
            'instance': self.state.instance,
            'state': self.state.state_name,
            'running': self.state.running,
            'peak_running': self.state.peak_running,
            'shed': self.state.shed,
            'runs': len(self.state.runs),
            'probes': dict(self.state.probes),
            'connections': len(self.connections),
            'peak_connections': self.peak_connections,
            'accepted': self.accepted,
            'refused': self.refused,
        }


@contextlib.asynccontextmanager
async def serve_target(target, host='127.0.0.1', port=0):
    """Serve a target inside the running event loop; yield its address."""
    async with serving.serve(
        target,
        host,
        port,
        http=target.protocol,
        on_stop=target.end_connections,
    ) as address:
        yield address


def main():
    """Run the stand-in as a program."""
    parser = serving.build_parser('Stand-in for a target')
    parser.add_argument('--name', default='target')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--cold', action='store_true')
    parser.add_argument(
        '--behaviour',
        default='{}',
        help='fields of the behaviour as a JSON object',
    )
    options = parser.parse_args()
    behaviour = msgspec.json.decode(
        options.behaviour, type=target_state.Behaviour
    )
    asyncio.run(run_program(options, behaviour))


async def run_program(options, behaviour):
    """Serve one target until a signal arrives."""
    state = target_state.TargetState(
        options.name, options.seed, options.cold, behaviour
    )
    target = Target(state, exit_on_crash=True)
    await serving.run_until_signal(
        target,
        options.listen,
        http=target.protocol,
        on_stop=target.end_connections,
    )


if __name__ == '__main__':
    main()
