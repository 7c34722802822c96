"""Entry point of a host on the users' platform."""

import asyncio
import gc
import sys

from .. import errors
from ..edge import host
from . import headers
from . import settings
from . import store


def _make_client(loaded, clock):
    return store.StoreClient(loaded.registry, clock)


async def _run():
    await host.Host(
        settings.load_settings, headers.Headers(), _make_client
    ).run()


def main():
    """Run a host until SIGTERM or SIGINT; return the exit status."""
    # Imported objects live as long as the process; keep them out of garbage
    # collections.
    gc.freeze()
    try:
        asyncio.run(_run())
    except errors.UserError as error:
        print(error, file=sys.stderr)
        return 2
    return 0
