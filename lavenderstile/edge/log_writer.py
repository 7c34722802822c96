"""Log writer that never blocks a request."""

import asyncio
import collections
import os
import sys

import eliot
import msgspec

# Maximum number of queued lines; further ones are dropped.
MAX_LINES = 2000

# Maximum size of encoded lines that a slow reader has not accepted.
MAX_PENDING_BYTES = 1024 * 1024

# Rate of the token bucket for lines, and its burst.
LINES_PER_S = 200

FLUSH_INTERVAL_S = 0.25


class LogWriter:
    """Writes messages as JSON lines, and drops those over its limits."""

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
        """Dropped lines that no written line has counted yet."""
        return self._dropped_lines

    @property
    def pending_bytes(self):
        """Bytes that a slow reader has not accepted."""
        return len(self._unwritten)

    def start(self):
        """Receive the messages of the whole process."""
        os.set_blocking(self._descriptor, False)
        eliot.add_destinations(self)

    def __call__(self, message):
        """Queue one message."""
        now = self._clock.now()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._tokens = min(LINES_PER_S, self._tokens + refill)
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
        """Write as much as the descriptor accepts without blocking."""
        if self._lines:
            self._unwritten += b''.join(self._lines)
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten[:65536])
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed the pipe.
                self._dropped_lines += self._unwritten.count(b'\n')
                self._unwritten = b''
                break
            self._unwritten = self._unwritten[written:]
        if len(self._unwritten) > MAX_PENDING_BYTES:
            # Keep the line that is partly written; drop the others.
            first_line, newline, dropped = self._unwritten.partition(b'\n')
            self._dropped_lines += dropped.count(b'\n')
            self._unwritten = first_line + newline

    async def run(self):
        """Write until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
