"""Runs the stand-ins' ASGI applications with uvicorn."""

import argparse
import asyncio
import contextlib
import logging
import signal
import socket
import urllib.parse

import msgspec
import uvicorn

# Time-out of a wait in a test.
WAIT_LIMIT_S = 30.0

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


async def wait_until(predicate):
    """Wait until `predicate()` is true; raise TimeoutError at the limit."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not predicate():
            await asyncio.sleep(0.002)


def bind_socket(host='127.0.0.1', port=0):
    """Return a bound TCP socket; port 0 selects a free one.

    asyncio sets TCP_NODELAY only on sockets with an explicit protocol
    number. Without it, a response waits 40 ms for a delayed ACK.
    """
    sock = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


def bind_exclusive(host, port):
    """Return a bound socket; raise OSError if the address is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


class _Server(uvicorn.Server):
    """A server that leaves signal handling to its caller."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers."""
        yield


@contextlib.asynccontextmanager
async def serve(app, host='127.0.0.1', port=0, http='h11', on_stop=None):
    """Serve an application in the running event loop; yield its address.

    `on_stop` is called before the server waits for its connections.
    """
    sock = bind_socket(host, port)
    config = uvicorn.Config(
        app,
        http=http,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=75,
        timeout_graceful_shutdown=1,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        while not server.started:
            if task.done():
                task.result()
            await asyncio.sleep(0.005)
        address = sock.getsockname()
        yield f'{address[0]}:{address[1]}'
    finally:
        if on_stop is not None:
            on_stop()
        server.should_exit = True
        await task
        sock.close()


def parse_address(text):
    """Split `host:port`, for use as an argparse type."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def build_parser(description):
    """Return an argument parser with the options of every stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        '--listen', type=parse_address, default=('127.0.0.1', 0)
    )
    return parser


async def run_until_signal(app, listen, http='h11', on_stop=None):
    """Serve until SIGINT or SIGTERM; print the address when ready."""
    logging.basicConfig(level=logging.WARNING)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    async with serve(app, *listen, http=http, on_stop=on_stop) as address:
        print(f'ready {address}', flush=True)
        await stopped.wait()


def get_query(scope):
    """Return a request's query as a dict; the last of equal names wins."""
    text = scope['query_string'].decode('ascii')
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


async def read_body(receive):
    """Return the whole request body."""
    parts = []
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            raise ConnectionError('client disconnected during the request')
        parts.append(event.get('body', b''))
        if not event.get('more_body'):
            return b''.join(parts)


async def read_json(receive):
    """Return the request body decoded from JSON; {} when empty."""
    body = await read_body(receive)
    return msgspec.json.decode(body) if body else {}


async def wait_for_disconnect(receive):
    """Return when the client has disconnected."""
    while (await receive())['type'] != 'http.disconnect':
        pass


async def send_json(send, status, value, headers=()):
    """Send a response with a JSON document."""
    body = msgspec.json.encode(value)
    response_headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        *headers,
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': response_headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})
