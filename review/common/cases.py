"""Command line of a case: its exit status, its record and its end."""

import asyncio
import os
import pathlib
import signal
import sys

from . import hosts
from . import record as record_module

RECORD_NAME = 'record.txt'


async def _run(play, record, has_trouble):
    """Run a case; SIGTERM ends it together with its processes."""
    task = asyncio.ensure_future(play(record, has_trouble))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(play, case_file):
    """Run `play(record, has_trouble)`; return the exit status.

    It returns whether the rule was kept: 0 if so, 1 if not. The status is 2
    if the case could not run.
    """
    path = pathlib.Path(case_file).with_name(RECORD_NAME)
    has_trouble = os.environ.get('TROUBLE') != '0'
    try:
        with record_module.open_record(path) as record:
            is_kept = asyncio.run(_run(play, record, has_trouble))
            record.add('the rule held' if is_kept else 'the rule was broken')
    except (
        asyncio.CancelledError,
        hosts.CaseError,
        OSError,
        TimeoutError,
    ) as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        return 2
    return 0 if is_kept else 1
