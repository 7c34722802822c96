"""Waits that end early when no reply is expected any more."""

import asyncio

# Interval at which a waiting call checks whether a reply is still expected.
CHECK_INTERVAL_S = 0.25


async def wait_while(call, is_expected, discard=None):
    """Return the call's result, or None once no result is expected.

    The call is cancelled then, and also when the wait itself is cancelled.
    A result that arrives together with the cancellation goes to `discard`.
    """
    task = asyncio.ensure_future(call)
    try:
        while True:
            done, _ = await asyncio.wait({task}, timeout=CHECK_INTERVAL_S)
            if done:
                return task.result()
            if not is_expected():
                return None
    except asyncio.CancelledError:
        if _has_result(task) and discard is not None:
            discard(task.result())
        raise
    finally:
        task.cancel()


def _has_result(task):
    return task.done() and not task.cancelled() and not task.exception()
