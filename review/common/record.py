"""Record of a run: what was sent, answered and run, with times."""

import contextlib
import pathlib
import time


class Record:
    """Lines with the seconds since the start of the traffic."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._lines = []
        self._started = time.monotonic()

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started

    @property
    def started(self):
        """Start of the record on the monotonic clock."""
        return self._started

    def merge(self, path):
        """Add the lines of another process, which have the same clock."""
        for line in pathlib.Path(path).read_text().splitlines():
            at, _, text = line.strip().partition(' ')
            self._lines.append((float(at) - self._started, text))

    def add(self, text):
        """Add a line."""
        self._lines.append((self.now(), text))

    def save(self):
        """Write the lines in the order of their times."""
        self._path.write_text(
            ''.join(f'{at:9.3f} {text}\n' for at, text in sorted(self._lines))
        )


@contextlib.contextmanager
def open_record(path):
    """Yield a `Record`; save it at the end."""
    record = Record(path)
    try:
        yield record
    finally:
        record.save()
