"""Handling of one request by a stand-in target, with injected faults."""

import asyncio
import contextlib
import hashlib
import time

from . import serving

CHUNK = bytes(range(256)) * 64


class Exchange:
    """One request and its response."""

    def __init__(self, target, protocol, scope, receive, send):
        self._target = target
        self._state = target.state
        self._behaviour = target.state.behaviour
        self._protocol = protocol
        self._scope = scope
        self._receive = receive
        self._send = send
        self._query = serving.get_query(scope)
        self._headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }

    async def run(self):
        """Shed the request, or run it and record how it ended."""
        run = self._state.begin(self._describe())
        if run is None:
            await self._shed()
            return
        end = 'cancelled'
        try:
            end = await self._handle(run)
        finally:
            self._state.end(run, end)

    def _describe(self):
        timeout = self._headers.get('x-request-timeout-ms')
        path = self._scope['raw_path'].decode('ascii')
        query = self._scope['query_string'].decode('ascii')
        return {
            'method': self._scope['method'],
            'path': f'{path}?{query}' if query else path,
            'request_id': self._headers.get('x-request-id', ''),
            'idempotency_key': self._headers.get('idempotency-key', ''),
            'timeout_ms': int(timeout) if timeout else None,
            'has_authorization': 'authorization' in self._headers,
            'headers': [
                (name.decode('latin-1'), value.decode('latin-1'))
                for name, value in self._scope['headers']
                if name != b'authorization'
            ],
            'connection': self._protocol.number,
        }

    async def _shed(self):
        if self._behaviour.falls_over:
            self._target.crash()
            await serving.wait_for_disconnect(self._receive)
            return
        headers = [*self._build_headers(), (b'x-request-not-run', b'1')]
        await serving.send_json(
            self._send, 503, {'error': 'overloaded'}, headers
        )

    def _build_headers(self, crossed=False):
        request_id = self._headers.get('x-request-id', '')
        if crossed:
            request_id = f'other-{request_id}'
        return [
            (b'x-instance', self._state.instance.encode()),
            (b'x-target-state', self._state.state_name.encode()),
            (b'x-request-id', request_id.encode('latin-1')),
        ]

    async def _handle(self, run):
        try:
            has_marker = await self._read_upload(run)
        except ConnectionError:
            return 'broken_request'
        run.executed = True
        if has_marker:
            self._target.crash()
            await serving.wait_for_disconnect(self._receive)
            return 'crashed'
        end = await self._work(run)
        return end or await self._respond(run)

    async def _read_upload(self, run):
        """Read the body; return whether it carries the crash marker."""
        marker = self._behaviour.crash_marker.encode()
        digest = hashlib.sha256()
        tail = run.path.encode()
        has_marker = False
        more = True
        while more:
            event = await self._receive()
            if event['type'] == 'http.disconnect':
                raise ConnectionError('client disconnected during the request')
            chunk = event.get('body', b'')
            run.size += len(chunk)
            digest.update(chunk)
            tail = tail[-len(marker) :] + chunk if run.size else tail
            has_marker = has_marker or bool(marker and marker in tail)
            more = event.get('more_body', False)
        run.sha256 = digest.hexdigest()
        return has_marker or bool(marker and marker in run.path.encode())

    async def _work(self, run):
        """Simulate the work; return how the run ended, or None to respond."""
        work_s = float(self._query.get('work_ms', 0)) / 1000
        work_s += self._behaviour.work_s
        if self._state.draw(self._behaviour.slow_share):
            work_s += self._behaviour.slow_s
        stalled = self._state.draw(self._behaviour.stalled_share)
        if stalled:
            work_s = None
        elif not work_s:
            return None
        remaining_s = None
        if run.timeout_ms is not None and not stalled:
            remaining_s = (
                run.started + run.timeout_ms / 1000 - time.monotonic()
            )
        return await self._wait(work_s, remaining_s)

    async def _wait(self, work_s, remaining_s):
        disconnected = asyncio.create_task(
            serving.wait_for_disconnect(self._receive)
        )
        timeouts_s = [
            time_s for time_s in (work_s, remaining_s) if time_s is not None
        ]
        try:
            done, _ = await asyncio.wait(
                [disconnected],
                timeout=max(0.0, min(timeouts_s)) if timeouts_s else None,
            )
        finally:
            disconnected.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnected
        if done:
            return 'stalled' if work_s is None else 'cancelled'
        if remaining_s is not None and remaining_s < work_s:
            await serving.send_json(
                self._send, 504, {'error': 'deadline'}, self._build_headers()
            )
            return 'deadline'
        return None

    async def _respond(self, run):
        draw = self._state.draw
        behaviour = self._behaviour
        if self._protocol.silent:
            await serving.wait_for_disconnect(self._receive)
            return 'stalled'
        if draw(behaviour.error_share):
            await serving.send_json(
                self._send, 500, {'error': 'failed'}, self._build_headers()
            )
            return 'error'
        if draw(behaviour.truncated_share):
            return await self._send_truncated(chunked=False)
        if draw(behaviour.truncated_chunked_share):
            return await self._send_truncated(chunked=True)
        if draw(behaviour.unframed_share):
            return await self._send_unframed()
        if draw(behaviour.stalled_body_share):
            return await self._send_stalled_body()
        if draw(behaviour.crossed_share):
            await serving.send_json(
                self._send,
                200,
                {'sha256': 'crossed'},
                self._build_headers(True),
            )
            return 'crossed'
        await self._send_response(run)
        return 'answered'

    async def _send_response(self, run):
        if 'answer_bytes' in self._query:
            await self._send_generated(int(self._query['answer_bytes']))
            return
        response = {
            'method': run.method,
            'path': run.path,
            'size': run.size,
            'sha256': run.sha256,
            'instance': self._state.instance,
        }
        await serving.send_json(
            self._send, 200, response, self._build_headers()
        )

    async def _start(self, headers):
        await self._send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [*self._build_headers(), *headers],
            }
        )

    async def _send_generated(self, size):
        headers = [(b'content-length', str(size).encode())]
        if self._query.get('chunked'):
            headers = []
        await self._start(headers)
        while size > 0:
            chunk = CHUNK[:size]
            size -= len(chunk)
            await self._send_chunk(chunk)
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _send_chunk(self, chunk):
        await self._send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )

    async def _send_truncated(self, chunked):
        headers = [] if chunked else [(b'content-length', b'20000')]
        await self._start(headers)
        await self._send_chunk(CHUNK[:10000])
        return await self._abort()

    async def _abort(self):
        self._protocol.transport.close()
        await serving.wait_for_disconnect(self._receive)
        return 'truncated'

    async def _send_unframed(self):
        """Send a response without a length; close the connection in it."""
        header_lines = [b'HTTP/1.1 200 OK']
        header_lines += [
            b': '.join(header) for header in self._build_headers()
        ]
        header_lines += [b'connection: close', b'', b'half an answer']
        self._protocol.transport.write(b'\r\n'.join(header_lines))
        return await self._abort()

    async def _send_stalled_body(self):
        await self._start([(b'content-length', b'20000')])
        await self._send_chunk(CHUNK[:10000])
        await serving.wait_for_disconnect(self._receive)
        return 'stalled'
