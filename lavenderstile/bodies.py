"""Upload of a request body, with the caller's share of the time."""

import httpx

# Largest piece that is handed to a connection at once.
MAX_CHUNK_BYTES = 64 * 1024


class BodyError(Exception):
    """The caller's body failed or does not have the announced length."""


class RequestBody(httpx.AsyncByteStream):
    """Passes the caller's body on and checks its length.

    When it fails, the connection closes before the body's end, so that
    the target sees a broken request.
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
        """Yield pieces; iterated after the request's head was sent."""
        if self._chunks is not None:
            iterator = aiter(self._chunks)
            while (chunk := await self._read(iterator)) is not None:
                self._record_chunk(chunk)
                for start in range(0, len(chunk), MAX_CHUNK_BYTES):
                    yield chunk[start : start + MAX_CHUNK_BYTES]
        if self._length is not None and self._sent != self._length:
            raise BodyError(f'{self._sent} of {self._length} bytes arrived')
        self.sent_at = self._clock.now()

    async def _read(self, iterator):
        """Return the caller's next chunk, or None at the end.

        `is_waiting` stays set when the wait was interrupted.
        """
        started = self._clock.now()
        self.is_waiting = True
        try:
            return await anext(iterator)
        except StopAsyncIteration:
            return None
        except Exception as error:
            raise BodyError('reading the body failed') from error
        finally:
            self.waited_s += self._clock.now() - started

    def _record_chunk(self, chunk):
        self.is_waiting = False
        self._sent += len(chunk)
        if self._length is not None and self._sent > self._length:
            raise BodyError(f'body is longer than {self._length} bytes')
