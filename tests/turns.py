"""Lets only a few fleets of real processes run beside each other."""

import contextlib
import time

from emulator import serving

# A fleet of processes has deadlines of seconds; more of them than these
# would run late on a machine with few cores.
FLEETS_AT_ONCE = 3
# Holders of these addresses have a turn; no fleet uses the net 127.19.
TURN_HOST = '127.19.0.1'
TURN_PORTS = range(7990, 7990 + FLEETS_AT_ONCE)
POLL_S = 0.1


def _find_turn():
    for port in TURN_PORTS:
        with contextlib.suppress(OSError):
            return serving.bind_exclusive(TURN_HOST, port)
    return None


@contextlib.contextmanager
def take_turn():
    """Wait for a turn and hold it, on the whole machine."""
    while (turn := _find_turn()) is None:
        time.sleep(POLL_S)
    with contextlib.closing(turn):
        yield
