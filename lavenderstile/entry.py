"""ASGI application that serves callers' requests."""

import asyncio
import contextlib

import eliot

from . import errors
from . import gate
from . import inbound
from . import problems
from . import verdicts

# Response headers of a target that are meant for this host only.
STRIPPED_RESPONSE_HEADERS = frozenset(
    (b'x-request-id', b'x-request-not-run', b'lavenderstile-verdict')
)


class CallerResponse:
    """Sends the HTTP response to one caller over ASGI."""

    __slots__ = ('_closing', '_finished', '_request_id', '_send', '_started')

    def __init__(self, send, request_id, closing):
        self._send = send
        self._request_id = request_id
        self._closing = closing
        self._started = False
        self._finished = False

    @property
    def finished(self):
        """Whether the last part of the response was passed to the server."""
        return self._finished

    @property
    def started(self):
        """Whether sending of the response has begun."""
        return self._started

    async def _start(self, status, headers):
        if self._closing:
            headers.append((b'connection', b'close'))
        self._started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _write(self, body, more):
        self._finished = not more
        await self._send(
            {'type': 'http.response.body', 'body': body, 'more_body': more}
        )

    async def send(self, response):
        """Stream a target's response to the caller."""
        headers = [
            (name, value)
            for name, value in response.headers
            if name.lower() not in STRIPPED_RESPONSE_HEADERS
        ]
        headers.append((b'x-request-id', self._request_id.encode()))
        await self._start(response.status, headers)
        async for chunk in response:
            await self._write(chunk, True)
        await self._write(b'', False)

    async def refuse(self, refusal):
        """Send a refusal as a problem document."""
        status, headers, body = problems.render_refusal(
            refusal, self._request_id
        )
        await self._start(status, headers)
        await self._write(body, False)


class EntryApplication:
    """Checks and dispatches each request and sends its response."""

    def __init__(self, host, checks, dispatcher, journal, readiness):
        self._host = host
        self._gate = checks
        self._dispatcher = dispatcher
        self._journal = journal
        self._readiness = readiness
        self._limits = host.settings.limits
        self._active = 0

    @property
    def active(self):
        """Number of requests being served."""
        return self._active

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        if scope['type'] != 'http':
            return
        now = self._host.clock.now()
        request = inbound.InboundRequest(
            scope, receive, now, self._journal, self._limits.max_body_bytes
        )
        caller_response = CallerResponse(
            send, request.request_id, self._readiness.draining
        )
        self._active += 1
        try:
            await self._serve(request, caller_response)
        finally:
            self._active -= 1

    async def _serve(self, request, caller_response):
        outcome = 'answered'
        try:
            await self._run(request, caller_response)
        except errors.RefusedError as error:
            outcome = error.refusal.reason.value
            request.record.note(f'refused: {error}')
            await caller_response.refuse(error.refusal)
        except inbound.CallerDisconnectedError:
            outcome = 'caller_gone'
            request.record.note('the caller closed the connection')
        except errors.TargetError:
            # The response has begun: only a closed connection shows the
            # caller that it is incomplete.
            outcome = 'answer_cut'
            raise
        finally:
            self._host.metrics.requests.inc(
                {'route': request.record.route, 'outcome': outcome}
            )
            self._log(request, outcome)

    def _log(self, request, outcome):
        elapsed_s = self._host.clock.now() - request.arrived_at
        eliot.log_message(
            'request',
            request_id=request.request_id,
            method=request.method,
            route=request.record.route,
            workspace=request.record.workspace,
            outcome=outcome,
            seconds=round(elapsed_s, 6),
        )

    async def _run(self, request, caller_response):
        if self._readiness.alone:
            gate.refuse(
                verdicts.Reason.ALONE,
                'this host has lost contact with the fleet',
                retry_after_s=1.0,
            )
        if self._active > self._limits.max_requests:
            gate.refuse(
                verdicts.Reason.HOST_OVERLOADED,
                'this host has reached its limit of concurrent requests',
                retry_after_s=1.0,
            )
        admission = self._gate.check(request, self._host.clock.now())
        async with _cancel_on_disconnect(request, caller_response):
            await self._dispatcher.run(request, admission, caller_response)


@contextlib.asynccontextmanager
async def _cancel_on_disconnect(request, caller_response):
    """Cancel the enclosed block when the caller closes the connection."""
    worker = asyncio.current_task()
    disconnected = False

    async def watch():
        nonlocal disconnected
        await request.body.wait_until_complete()
        await request.body.wait_for_disconnect()
        # The server also reports a disconnect once the response is complete.
        if not caller_response.finished:
            disconnected = True
            worker.cancel()

    watcher = asyncio.create_task(watch())
    try:
        yield
    except asyncio.CancelledError:
        if not disconnected:
            raise
        worker.uncancel()
        raise inbound.CallerDisconnectedError(
            'the caller closed the connection'
        ) from None
    finally:
        watcher.cancel()
