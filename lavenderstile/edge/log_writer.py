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
MAX_WAITING_BYTES = 1024 * 1024

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
        self._left_out = 0
        self._tokens = float(LINES_PER_S)
        self._settled_at = clock.now()
        self._rest = b''

    @property
    def left_out(self):
        """Lines that were left out since the last one that says so."""
        return self._left_out

    @property
    def waiting_bytes(self):
        """Bytes that wait for a slow reader."""
        return len(self._rest)

    def start(self):
        """Take the messages of the whole process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)

    def __call__(self, message):
        """Queue one message."""
        now = self._clock.now()
        gained = (now - self._settled_at) * LINES_PER_S
        self._settled_at = now
        self._tokens = min(LINES_PER_S, self._tokens + gained)
        if self._tokens < 1.0 or len(self._lines) >= MAX_LINES:
            self._left_out += 1
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
        if self._left_out:
            fields['lines_left_out'] = self._left_out
            self._left_out = 0
        return msgspec.json.encode(fields, enc_hook=str) + b'\n'

    def flush(self):
        """Write what standard output takes without waiting."""
        if self._lines:
            self._rest += b''.join(self._lines)
            self._lines.clear()
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest[:65536])
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads the logs any more.
                self._left_out += self._rest.count(b'\n')
                self._rest = b''
                break
            self._rest = self._rest[written:]
        if len(self._rest) > MAX_WAITING_BYTES:
            # The line that was begun is finished; the others are left out.
            begun, end, others = self._rest.partition(b'\n')
            self._left_out += others.count(b'\n')
            self._rest = begun + end

    async def run(self):
        """Write until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
