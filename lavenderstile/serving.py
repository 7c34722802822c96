"""HTTP listeners of the daemon, based on uvicorn."""

import asyncio
import contextlib

import litestar
from litestar import types
import uvicorn

from . import errors

START_POLL_S = 0.01


class Listener(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    def __init__(self, application, address):
        host, _, port = address.rpartition(':')
        self._address = address
        self._finished = False
        super().__init__(
            uvicorn.Config(
                application,
                host=host,
                port=int(port),
                # Not uvloop, since its library contains io_uring code.
                loop='asyncio',
                http='h11',
                lifespan='off',
                ws='none',
                log_config=None,
                access_log=False,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                timeout_graceful_shutdown=None,
            )
        )

    @property
    def finished(self):
        """Whether the listener is closed and all its requests are done."""
        return self._finished

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no signal handlers: the daemon has its own."""
        yield

    async def run_until_finished(self):
        """Serve until `should_exit` is set and all requests are done."""
        try:
            await self.serve()
        except SystemExit:
            raise errors.SettingsError(
                'listen', [f'{self._address}: cannot listen on this address']
            ) from None
        finally:
            self._finished = True

    async def wait_until_started(self):
        """Return when the listener accepts connections."""
        while not self.started and not self._finished:
            await asyncio.sleep(START_POLL_S)


def mount(application):
    """Return a litestar application that forwards all requests to another."""

    @litestar.asgi('/', is_mount=True, copy_scope=False)
    async def forward(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await application(scope, receive, send)

    return litestar.Litestar(
        route_handlers=[forward], openapi_config=None, logging_config=None
    )
