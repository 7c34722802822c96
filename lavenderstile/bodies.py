"""Upload of a request body, with the time spent waiting for the caller."""

import httpx

# Larger chunks are split before they are passed to a connection.
MAX_CHUNK_BYTES = 64 * 1024


class BodyError(Exception):
    """Reading the caller's body failed, or its length is not as announced."""


class RequestBody(httpx.AsyncByteStream):
    """Streams the caller's body and checks its length.

    On an error the connection closes before the end of the body, so that
    the target sees an incomplete request.
    """

    def __init__(self, clock, chunks, length):
        self.sent_at = None
        self.waited_s = 0.0
        self.is_waiting = False
        self._clock = clock
        self._chunks = chunks
        self._length = length
        self._sent = 0

    async def __aiter__(self):
        """Yield chunks; httpx iterates after it has sent the headers."""
        if self._chunks is not None:
            iterator = aiter(self._chunks)
            while (chunk := await self._read(iterator)) is not None:
                self._record_chunk(chunk)
                for start in range(0, len(chunk), MAX_CHUNK_BYTES):
                    yield chunk[start : start + MAX_CHUNK_BYTES]
        if self._length is not None and self._sent != self._length:
            raise BodyError(
                f'body truncated: got {self._sent} of {self._length} bytes'
            )
        self.sent_at = self._clock.now()

    async def _read(self, iterator):
        """Return the caller's next chunk, or None at the end.

        `is_waiting` stays set if the wait is cancelled.
        """
        started = self._clock.now()
        self.is_waiting = True
        try:
            return await anext(iterator)
        except StopAsyncIteration:
            return None
        except Exception as error:
            raise BodyError('cannot read the body from the caller') from error
        finally:
            self.waited_s += self._clock.now() - started

    def _record_chunk(self, chunk):
        self.is_waiting = False
        self._sent += len(chunk)
        if self._length is not None and self._sent > self._length:
            raise BodyError(
                f'body is longer than the announced {self._length} bytes'
            )
