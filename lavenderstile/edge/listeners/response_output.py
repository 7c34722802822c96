"""Writing of responses at the pace at which a client reads them."""

import collections

# A long response goes to the transport in pieces of this size, because the
# transport copies what it cannot send.
PIECE_BYTES = 128 * 1024

# Up to this size the parts of a response are written together.
JOINED_BYTES = 64 * 1024


class ResponseOutput:
    """The unsent bytes of one connection."""

    __slots__ = ('_is_paused', '_parts', '_size', '_transport')

    def __init__(self, transport, unsent_bytes):
        self._transport = transport
        self._transport.set_write_buffer_limits(high=unsent_bytes)
        self._parts = collections.deque()
        self._size = 0
        self._is_paused = False

    @property
    def is_blocked(self):
        """Whether the client has to read before more is written."""
        return self._is_paused

    @property
    def unsent(self):
        """Number of bytes that the client's side has not taken."""
        return self._size + self._transport.get_write_buffer_size()

    def write(self, parts):
        """Write the parts of a response, as far as the client reads them."""
        if not self._parts and sum(map(len, parts)) <= JOINED_BYTES:
            self._transport.write(b''.join(parts))
            return
        for part in parts:
            self._parts.append(memoryview(part))
            self._size += len(part)
        self._flush()

    def pause(self):
        """Write nothing until `resume`."""
        self._is_paused = True

    def resume(self):
        """Write what waits, as far as the client reads it."""
        self._is_paused = False
        self._flush()

    def drop(self):
        """Forget the bytes that were not written."""
        self._parts.clear()
        self._size = 0

    def _flush(self):
        # The transport calls `pause` through its protocol while it writes.
        while self._parts and not self._is_paused:
            part = self._parts.popleft()
            piece = part[:PIECE_BYTES]
            if len(part) > PIECE_BYTES:
                self._parts.appendleft(part[PIECE_BYTES:])
            self._size -= len(piece)
            self._transport.write(piece)
