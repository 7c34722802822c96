"""Log lines that never hold up a request."""

import asyncio
import collections
import os
import sys

import eliot
import msgspec

# Lines that wait for standard output; further ones are left out.
MAX_LINES = 2000

# Rendered lines that wait for a slow reader.
MAX_PENDING_BYTES = 1024 * 1024

# Lines a second over any longer time; a burst of as many is written too.
LINES_PER_S = 200

FLUSH_INTERVAL_S = 0.25


class LogWriter:
    """Writes messages as JSON lines, as many as its limits allow."""

    def __init__(self, host, clock, descriptor=None):
        self._host = host
        self._clock = clock
        if descriptor is None:
            descriptor = sys.stdout.fileno()
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._dropped_lines = 0
        self._tokens = float(LINES_PER_S)
        self._refilled_at = clock.now()
        self._unwritten = b''

    @property
    def dropped_lines(self):
        """Lines that were left out since the last one that says so."""
        return self._dropped_lines

    @property
    def pending_bytes(self):
        """Bytes that wait for a slow reader."""
        return len(self._unwritten)

    def start(self):
        """Take the messages of the whole process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)

    def __call__(self, message):
        """Queue one message."""
        now = self._clock.now()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._tokens = min(LINES_PER_S, self._tokens + gained)
        if self._tokens < 1.0 or len(self._lines) >= MAX_LINES:
            self._dropped_lines += 1
            return
        self._tokens -= 1.0
        fields = {
            name: value
            for name, value in message.items()
            if name not in ('task_uuid', 'task_level')
        }
        self._lines.append(self._render(fields))

    def _render(self, fields):
        fields['host'] = self._host
        if self._dropped_lines:
            fields['lines_left_out'] = self._dropped_lines
            self._dropped_lines = 0
        return msgspec.json.encode(fields, enc_hook=str) + b'\n'

    def flush(self):
        """Write what standard output takes without waiting."""
        if self._lines:
            self._unwritten += b''.join(self._lines)
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten[:65536])
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads the logs any more.
                self._dropped_lines += self._unwritten.count(b'\n')
                self._unwritten = b''
                break
            self._unwritten = self._unwritten[written:]
        if len(self._unwritten) > MAX_PENDING_BYTES:
            # The line that was begun is finished; the others are left out.
            begun, end, others = self._unwritten.partition(b'\n')
            self._dropped_lines += others.count(b'\n')
            self._unwritten = begun + end

    async def run(self):
        """Write until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
