"""One request to a target and its response."""

import asyncio
import contextlib

import httpx

from . import bodies
from . import errors
from . import headers as header_tools
from . import messages
from . import responses
from . import verdicts

# Time-out for connecting; normally a connect takes about 1 ms.
CONNECT_TIMEOUT_S = 1.0

# A connect that had less time than this before the deadline is no evidence
# against the target.
MIN_CONNECT_EVIDENCE_S = 0.1

# The body of a refusal is read up to this size, so that its connection can
# be reused.
MAX_DRAINED_BYTES = 16 * 1024

# Requests with these methods and no body get `Content-Length: 0`.
METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))

Outcome = messages.Outcome
Verdict = verdicts.Verdict


class Exchange:
    """Sends one request over a connection and classifies its outcome."""

    def __init__(self, clock, pool, request_id, deadline):
        self.is_clean = False
        self._clock = clock
        self._pool = pool
        self._request_id = request_id.encode('latin-1')
        self._deadline = deadline
        self._started = clock.now()
        self._body = None
        self._connection = None
        self._stream = None
        self._timer = None
        self._suspect_timeout_s = 0.0
        self._response = None
        self._caller_read_s = 0.0
        self._is_caller_late = False

    def get_remaining(self):
        """Return the seconds until the deadline."""
        return self._deadline - self._clock.now()

    def make_error(self, outcome, verdict, detail):
        """Return a `TargetError`, with the response's data if it has begun."""
        error = errors.TargetError(
            outcome, verdict, f'{self._pool.address}: {detail}'
        )
        if self._response is not None:
            self._response.outcome = outcome
            error.latency_s = self._response.latency_s
            error.cold = self._response.cold
            error.instance = self._response.instance
        return error

    async def send(self, connection, method, path, headers, chunks):
        """Send the request and return a `TargetResponse`."""
        remaining = self.get_remaining()
        if remaining <= 0:
            raise self.make_error(
                Outcome.NOT_SENT, Verdict.NOT_RUN, 'deadline has passed'
            )
        self._connection = connection
        length = header_tools.find_header(headers, b'content-length')
        self._body = bodies.RequestBody(
            self._clock, chunks, None if length is None else int(length)
        )
        request = httpx.Request(
            method,
            self._pool.url,
            headers=self._complete_headers(method, headers, chunks, length),
            stream=self._body,
            extensions={
                'target': path,
                'timeout': {'connect': CONNECT_TIMEOUT_S},
            },
        )
        try:
            async with asyncio.timeout(remaining):
                with self._detect_silence():
                    response = await connection.send(request)
        except TimeoutError:
            raise self._classify_timeout(remaining) from None
        except (bodies.BodyError, httpx.HTTPError) as error:
            raise self._classify_send_error(error) from error
        return await self._begin_response(method, response)

    @contextlib.contextmanager
    def _detect_silence(self):
        """Check a new connection when a reused one gets no response."""
        if not self._connection.is_reused:
            yield
            return
        # A check helps only if it ends before the deadline.
        self._suspect_timeout_s = min(
            self._pool.get_suspect_timeout(), self.get_remaining() / 2
        )
        self._schedule_check(self._suspect_timeout_s)
        try:
            yield
        finally:
            self._timer.cancel()

    def _schedule_check(self, time_s):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(time_s, self._check_silence)

    def _check_silence(self):
        waiting_since = self._body.sent_at
        if waiting_since is None:
            self._schedule_check(self._suspect_timeout_s)
            return
        remaining_s = (
            waiting_since + self._suspect_timeout_s - self._clock.now()
        )
        if remaining_s > 0:
            self._schedule_check(remaining_s)
            return
        self._pool.check_new_connection(self._connection, waiting_since)

    def _complete_headers(self, method, headers, chunks, length):
        remaining_ms = max(1, int(self.get_remaining() * 1000))
        complete = [
            *headers,
            (b'x-request-id', self._request_id),
            (b'x-request-timeout-ms', str(remaining_ms).encode()),
        ]
        if header_tools.find_header(headers, b'host') is None:
            complete.append((b'host', self._pool.address.encode()))
        if length is None and chunks is not None:
            complete.append((b'transfer-encoding', b'chunked'))
        elif length is None and method in METHODS_WITH_BODY:
            complete.append((b'content-length', b'0'))
        return complete

    def _classify_send_error(self, error):
        match error:
            case httpx.RemoteProtocolError() if not responses.is_disconnect(
                error
            ):
                return self.make_error(
                    Outcome.TRUNCATED,
                    Verdict.MAY_HAVE_RUN,
                    f'response is malformed: {error}',
                )
            case bodies.BodyError():
                return self.make_error(
                    Outcome.CANCELLED, Verdict.MAY_HAVE_RUN, str(error)
                )
            case httpx.ConnectError() | httpx.ConnectTimeout():
                return self.make_error(
                    Outcome.CONNECT_FAILED,
                    Verdict.NOT_RUN,
                    f'cannot connect: {error}',
                )
            case httpx.LocalProtocolError():
                return self.make_error(
                    Outcome.NOT_SENT,
                    Verdict.NOT_RUN,
                    f'request cannot be sent: {error}',
                )
        kind = 'reused' if self._connection.is_reused else 'new'
        return self.make_error(
            Outcome.CRASHED,
            Verdict.MAY_HAVE_RUN,
            f'{kind} connection closed before a response: {error}',
        )

    def _classify_timeout(self, time_s):
        """Return the error for a deadline that passed after `time_s`."""
        connection = self._connection
        if not connection.is_connected:
            if time_s < MIN_CONNECT_EVIDENCE_S:
                return self.make_error(
                    Outcome.NOT_SENT, Verdict.NOT_RUN, 'deadline has passed'
                )
            return self.make_error(
                Outcome.CONNECT_FAILED,
                Verdict.NOT_RUN,
                'not connected before the deadline',
            )
        if self._is_caller_too_slow():
            outcome, detail = Outcome.CANCELLED, 'caller was too slow'
        elif self._pool.record_timeout(connection, self._get_sent_at()):
            outcome = Outcome.SILENT_CONNECTION
            detail = 'no response on this connection, but on a newer one'
        else:
            outcome, detail = (
                Outcome.TIMEOUT,
                'no response before the deadline',
            )
        return self.make_error(outcome, Verdict.MAY_HAVE_RUN, detail)

    def _get_sent_at(self):
        sent_at = self._body.sent_at
        return self._started if sent_at is None else sent_at

    def _is_caller_too_slow(self):
        """Return whether the caller, not the target, used up the time."""
        if self._is_caller_late:
            return True
        if self._body.sent_at is None and self._body.is_waiting:
            return True
        caller_s = self._caller_read_s + self._body.waited_s
        return caller_s > (self._clock.now() - self._started) / 2

    async def _begin_response(self, method, response):
        self._stream = response.stream
        latency_s = None
        if self._body.sent_at is not None:
            latency_s = self._clock.now() - self._body.sent_at
        self._pool.record_response(self._connection, latency_s)
        self._response = responses.TargetResponse(self, response, latency_s)
        raw = response.headers.raw
        echo = header_tools.find_header(raw, b'x-request-id')
        if not self._connection.has_received():
            raise self.make_error(
                Outcome.CROSSED,
                Verdict.MAY_HAVE_RUN,
                'response arrived before its request was sent',
            )
        if not self._pool.check_echo(echo, self._request_id):
            raise self.make_error(
                Outcome.CROSSED,
                Verdict.MAY_HAVE_RUN,
                'response does not have the x-request-id of its request',
            )
        if not responses.is_framed(method, response.status_code, raw):
            raise self.make_error(
                Outcome.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                'response has neither content-length nor transfer-encoding',
            )
        not_run = header_tools.find_header(raw, b'x-request-not-run')
        if response.status_code == 503 and not_run == b'1':
            await self._drain_refusal()
            raise self.make_error(
                Outcome.SHED, Verdict.NOT_RUN, 'target sheds load'
            )
        return self._response

    async def _drain_refusal(self):
        size = 0
        try:
            async for chunk in self.iterate_body():
                size += len(chunk)
                if size > MAX_DRAINED_BYTES:
                    return
        except errors.TargetError:
            # The headers already prove that the request did not run.
            return

    async def iterate_body(self):
        """Yield the raw body; raise `TargetError` unless it is complete."""
        iterator = aiter(self._stream)
        while True:
            chunk = await self._read(iterator)
            if chunk is None:
                break
            yielded_at = self._clock.now()
            yield chunk
            self._caller_read_s += self._clock.now() - yielded_at
            self._is_caller_late = self.get_remaining() <= 0
        self.is_clean = True
        is_error = self._response.status >= 500
        self._response.outcome = (
            Outcome.ERROR_STATUS if is_error else Outcome.ANSWERED
        )

    async def _read(self, iterator):
        try:
            async with asyncio.timeout(self.get_remaining()):
                return await anext(iterator)
        except StopAsyncIteration:
            return None
        except TimeoutError:
            raise self._classify_timeout(0.0) from None
        except httpx.HTTPError as error:
            raise self.make_error(
                Outcome.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                f'response is truncated: {error}',
            ) from error

    async def end(self):
        """Close the response stream.

        Its connection closes too unless the response is complete.
        """
        if self._response is not None and self._response.outcome is None:
            self._response.outcome = Outcome.CANCELLED
        if self._stream is not None:
            await self._stream.aclose()
