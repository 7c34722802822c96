"""Limits the number of fleets of real processes that run at once."""

import contextlib
import time

from emulator import serving

# The deadlines in a fleet are a few seconds; with more fleets at once its
# processes would miss them on a machine with few cores.
MAX_CONCURRENT_FLEETS = 3
# A process holds a slot while it has one of these addresses bound. No fleet
# uses the net 127.19.
SLOT_HOST = '127.19.0.1'
SLOT_PORTS = range(7990, 7990 + MAX_CONCURRENT_FLEETS)
POLL_INTERVAL_S = 0.1


def _try_acquire(port):
    with contextlib.suppress(OSError):
        return serving.bind_exclusive(SLOT_HOST, port)
    return None


def _try_acquire_slot():
    for port in SLOT_PORTS:
        if (slot := _try_acquire(port)) is not None:
            return slot
    return None


@contextlib.contextmanager
def hold_fleet_slot():
    """Wait for one of the machine's fleet slots and hold it."""
    while (slot := _try_acquire_slot()) is None:
        time.sleep(POLL_INTERVAL_S)
    with contextlib.closing(slot):
        yield


@contextlib.contextmanager
def hold_all_fleet_slots():
    """Wait for all fleet slots, so that no other fleet runs meanwhile.

    The slots are taken in order, so that two holders of all do not block each
    other.
    """
    with contextlib.ExitStack() as stack:
        for port in SLOT_PORTS:
            while (slot := _try_acquire(port)) is None:
                time.sleep(POLL_INTERVAL_S)
            stack.enter_context(contextlib.closing(slot))
        yield
