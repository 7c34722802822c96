"""Record of what a case sent and saw, and its exit status."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

BROKEN = 1
HELD = 0
CANNOT_RUN = 2


class Record:
    """Lines for `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / 'record.txt'
        self._lines = []
        self._started = time.monotonic()

    def add(self, text):
        """Add a line."""
        passed = time.monotonic() - self._started
        self._lines.append(f'{passed:7.2f} {text}')

    def write(self):
        """Write the lines to the file."""
        self._path.write_text('\n'.join(self._lines) + '\n')


def is_troubled():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, case, limit_s=115.0):
    """Run `case(record, is_troubled)`; exit with its status."""
    record = Record(folder)
    record.add(f'TROUBLE={int(is_troubled())}')

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(record, is_troubled())

    try:
        is_broken = asyncio.run(run())
    except Exception:
        record.add('the case could not run')
        record.add(traceback.format_exc())
        status = CANNOT_RUN
    else:
        record.add('rule broken' if is_broken else 'rule held')
        status = BROKEN if is_broken else HELD
    record.write()
    sys.exit(status)
