"""A caller's request as received over ASGI."""

import asyncio
import uuid

from . import errors
from . import verdicts

# Bytes at the start of a body that are buffered before the first attempt;
# they enter the digest of the request and can be sent again.
PREFETCH_BYTES = 64 * 1024
TIMEOUT_HEADER = b'x-request-timeout-ms'
# RFC 9112, section 6.3: the headers that announce a request's body.
BODY_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class CallerDisconnectedError(errors.LavenderstileError):
    """The caller closed its connection before the response was complete."""


class RequestBody:
    """Streamed body of a request; only its start is buffered."""

    __slots__ = (
        '_complete',
        '_completed',
        '_failure',
        '_head',
        '_max_bytes',
        '_receive',
        '_size',
        '_streamed',
    )

    def __init__(self, receive, max_bytes=None):
        self._receive = receive
        self._max_bytes = max_bytes
        self._head = []
        self._size = 0
        self._complete = False
        self._completed = asyncio.Event()
        self._streamed = False
        self._failure = None

    @property
    def failure(self):
        """The error that ended the body before its last byte, or None."""
        return self._failure

    @property
    def buffered_start(self):
        """The buffered start of the body, as bytes."""
        return b''.join(self._head)

    @property
    def complete(self):
        """Whether the caller has sent the whole body."""
        return self._complete

    @property
    def replayable(self):
        """Whether all that was read of the body is buffered."""
        return not self._streamed

    async def _read(self):
        try:
            return await self._read_message()
        except errors.LavenderstileError as error:
            self._failure = error
            raise

    async def _read_message(self):
        message = await self._receive()
        if message['type'] != 'http.request':
            raise CallerDisconnectedError('the caller closed the connection')
        if not message.get('more_body', False):
            self._complete = True
            self._completed.set()
        chunk = message.get('body', b'')
        self._size += len(chunk)
        if self._max_bytes is not None and self._size > self._max_bytes:
            raise errors.RefusedError(self._make_refusal())
        return chunk

    def _make_refusal(self):
        """Return the refusal of a body over the limit.

        Once bytes were streamed to a target, the request may have run.
        """
        verdict = verdicts.Verdict.NOT_RUN
        if self._streamed:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Refusal(
            verdicts.Reason.BODY_TOO_LARGE,
            f'the body is larger than {self._max_bytes} bytes',
            verdict,
        )

    async def prefetch(self):
        """Read the start of the body into the buffer."""
        while not self._complete and self._size < PREFETCH_BYTES:
            self._head.append(await self._read())

    async def stream(self):
        """Yield the whole body, first the buffered start."""
        for chunk in self._head:
            if chunk:
                yield chunk
        while not self._complete:
            self._streamed = True
            chunk = await self._read()
            if chunk:
                yield chunk

    async def wait_until_complete(self):
        """Return once the caller has sent the whole body.

        Until then, a disconnect is reported to the reader of the body.
        """
        await self._completed.wait()

    async def wait_for_disconnect(self):
        """Return when the caller closes the connection after its body."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return


class InboundRequest:
    """A caller's request; `deadline` is a time on the host's clock."""

    __slots__ = (
        'arrived_at',
        'body',
        'deadline',
        'headers',
        'method',
        'path',
        'query',
        'record',
        'request_id',
    )

    def __init__(self, scope, receive, now, journal, max_body_bytes=None):
        self.arrived_at = now
        self.request_id = uuid.uuid4().hex
        self.method = scope['method']
        # Not percent-decoded, since decoding could change its route.
        self.path = scope['raw_path'].decode('latin-1')
        self.query = scope.get('query_string', b'')
        self.headers = scope['headers']
        self.body = RequestBody(receive, max_body_bytes)
        self.deadline = None
        self.record = journal.open(self.request_id, self.method)

    @property
    def has_body(self):
        """Whether the headers announce a body."""
        return any(name in BODY_HEADERS for name, _ in self.headers)

    @property
    def raw_target(self):
        """The request target: path and query, as bytes."""
        path = self.path.encode('latin-1')
        return path + b'?' + self.query if self.query else path

    def header(self, name):
        """Return the first value of a header, or None."""
        values = [value for key, value in self.headers if key == name]
        return values[0].decode('latin-1') if values else None

    def set_deadline(self, service_timeout_ms):
        """Set the deadline: the earlier of the service's and the caller's."""
        timeout_ms = service_timeout_ms
        text = self.header(TIMEOUT_HEADER)
        if text is not None:
            timeout_ms = min(timeout_ms, _parse_timeout(text))
        self.deadline = self.arrived_at + timeout_ms / 1000

    def remaining_s(self, now):
        """Return the seconds until the deadline."""
        return self.deadline - now


def _parse_timeout(text):
    if text.isascii() and text.isdigit() and 0 < int(text) < 10**9:
        return int(text)
    raise errors.RefusedError(
        verdicts.Refusal(
            verdicts.Reason.HEADER_INVALID,
            'X-Request-Timeout-Ms must be a whole number of milliseconds',
        )
    )
