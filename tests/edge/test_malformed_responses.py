"""Tests of responses of targets that are malformed or incomplete."""

import asyncio
import re

import msgspec

from emulator import registered_target as standin
from emulator import registry_store
from lavenderstile.platform import objects
from tests.edge import edge_case
from tests.edge import raw_targets
from tests.edge import test_relay

make_response = raw_targets.make_response

# More than the buffers of a loopback connection take.
UPLOAD_BYTES = 8 * 1024 * 1024

# A request that hangs until its deadline of 4 s was not answered at once.
PROMPT_S = 2.0

LENGTH_100 = ('content-length: 100',)
CHUNKED = ('transfer-encoding: chunked',)
UPGRADE = ('upgrade: x', 'connection: upgrade')

# Bytes that are no complete response, and how the stream ends.
INVALID = {
    'status 000': (make_response('000', headers=LENGTH_100), None),
    'status 099': (make_response('099', headers=LENGTH_100), None),
    'status 600': (make_response('600', b'x' * 100, LENGTH_100), None),
    'status 999': (make_response('999', b'x' * 100, LENGTH_100), None),
    'two digits': (make_response('20', b'x' * 100, LENGTH_100), None),
    'four digits': (make_response('2000', b'x' * 100, LENGTH_100), None),
    'no digits': (make_response('OK', b'x' * 100, LENGTH_100), None),
    'other version': (
        make_response(body=b'x' * 100, headers=LENGTH_100, version='2.0'),
        None,
    ),
    '101': (make_response('101', b'x', UPGRADE), None),
    '101 and a response': (
        make_response('101', headers=UPGRADE)
        + make_response(body=b'x' * 100, headers=LENGTH_100),
        None,
    ),
    '100 alone': (make_response('100'), 'end'),
    'no HTTP': (b'220 ready\r\n\r\n', None),
    'nothing': (b'', 'end'),
    'head, end': (make_response()[:-2], 'end'),
    'head, reset': (make_response()[:-2], 'reset'),
    'length, end': (make_response(body=b'x', headers=LENGTH_100), 'end'),
    'length, reset': (make_response(body=b'x', headers=LENGTH_100), 'reset'),
    'chunk, end': (make_response(body=b'9\r\nx', headers=CHUNKED), 'end'),
    'chunks, end': (make_response(body=b'1\r\nx\r\n', headers=CHUNKED), 'end'),
    'chunks, reset': (
        make_response(body=b'1\r\nx\r\n', headers=CHUNKED),
        'reset',
    ),
    'no last line, end': (
        make_response(body=b'1\r\nx\r\n0\r\n', headers=CHUNKED),
        'end',
    ),
    'no length, reset': (make_response(body=b'x'), 'reset'),
    'no length, end and reset': (make_response(body=b'x'), 'end and reset'),
}

# Bytes that hold a complete response, how the stream ends, the response.
VALID = {
    'no length': (make_response(body=b'all'), 'end', 200, b'all'),
    '1xx before it': (
        make_response('100')
        + make_response('102')
        + make_response('103')
        + make_response(body=b'all', headers=('content-length: 3',)),
        None,
        200,
        b'all',
    ),
    '204 with a body': (
        make_response('204', b'x' * 100, LENGTH_100),
        None,
        204,
        b'',
    ),
    '204 with chunks': (
        make_response('204', b'1\r\nx\r\n0\r\n\r\n', CHUNKED),
        None,
        204,
        b'',
    ),
    '304 with a body': (
        make_response('304', b'x' * 100, LENGTH_100),
        None,
        304,
        b'',
    ),
    'status 599': (
        make_response('599', b'x' * 100, LENGTH_100),
        None,
        599,
        b'x' * 100,
    ),
}


async def end_stream(writer, ending):
    """End the stream of a response as a table above names it."""
    await writer.drain()
    # Lets the host read what was sent before the end.
    await asyncio.sleep(0.02)
    match ending:
        case 'end':
            writer.write_eof()
        case 'reset':
            raw_targets.send_reset(writer)
        case 'end and reset':
            writer.write_eof()
            raw_targets.send_reset(writer)


class MalformedCase(edge_case.EdgeCase):
    """Test case with one target that sends given bytes."""

    numbers = 0

    async def use_raw_target(self, respond):
        """Register one raw target in place of all others."""
        self.numbers += 1
        instance = f'raw-{self.numbers}'
        address = await self.enterAsyncContext(raw_targets.serve(respond))
        self.remove_all_targets()
        entry = registry_store.describe_target(address, self.numbers)
        self.apply_events(
            objects.decode_target(instance, msgspec.json.encode(entry))
        )
        self.parts.health.add(instance, False, self.clock.now())
        self.parts.reports.take()
        return instance

    async def use_response(self, data, ending=None, before=()):
        """Use a target that sends other responses first, then `data`."""
        replies = [*((reply, None) for reply in before), (data, ending)]

        async def respond(head, reader, writer):
            length = re.search(rb'content-length: (\d+)', head)
            await reader.readexactly(int(length[1]) if length else 0)
            reply, reply_ending = replies.pop(0) if replies else (b'', 'reset')
            writer.write(reply)
            await end_stream(writer, reply_ending)

        return await self.use_raw_target(respond)

    def take_faults(self):
        """Return instances and kinds of the faults since the last call."""
        faults, _ = self.parts.reports.take()
        return {(fault.instance, fault.kind) for fault in faults}

    async def check_failure(self, instance, path, body=b'x'):
        """Check that a request fails, promptly and as the target's fault."""
        started = self.clock.now()
        status, _, response = await self.request(path, body)
        self.assertEqual(status, 502, response)
        self.assertIn(b'may-have-run', response)
        self.assertLess(self.clock.now() - started, PROMPT_S)
        self.assertEqual(self.take_faults(), {(instance, 'broken')})
        self.assertEqual(self.parts.balancer.own_running, {})
        self.assertEqual(self.parts.pools.response_memory.total, 0)


class MalformedResponseTest(MalformedCase):
    """Guards against callers that get what is no response as one."""

    async def test_an_unsafe_request_fails(self):
        for name, (data, ending) in INVALID.items():
            with self.subTest(name):
                instance = await self.use_response(data, ending)
                await self.check_failure(instance, f'/pay/{self.numbers}')

    async def test_on_a_kept_connection(self):
        first = standin.render('try-1')
        for name, (data, ending) in INVALID.items():
            with self.subTest(name):
                instance = await self.use_response(data, ending, [first])
                await self.request('/pay/1', b'x')
                opened = self.parts.pools.opened
                await self.check_failure(instance, f'/pay/{self.numbers}')
                self.assertEqual(self.parts.pools.opened, opened)

    async def test_an_idempotent_request_goes_to_another_target(self):
        for name, (data, ending) in INVALID.items():
            with self.subTest(name):
                instance = await self.use_response(data, ending)
                other = await self.add_target()
                for _ in range(3):
                    self.parts.health.record_success(
                        instance,
                        registry_store.SERVICE,
                        0.01,
                        self.clock.now(),
                    )
                status, _, body = await self.request(f'/read/{self.numbers}')
                self.assertEqual((status, body), (200, b'done'))
                self.assertEqual(len(other.seen), 1)
                self.assertEqual(self.take_faults(), {(instance, 'broken')})

    async def test_complete_responses(self):
        for name, (data, ending, status, body) in VALID.items():
            with self.subTest(name):
                await self.use_response(data, ending)
                response = await self.request(f'/read/{self.numbers}')
                self.assertEqual((response[0], response[2]), (status, body))

    async def test_a_body_that_must_not_be_does_not_reach_the_next_request(
        self,
    ):
        """Guards against the body of a 204 that is read as a response.

        It arrives after the host has sent the next request.
        """
        for status in ('204', '304'):
            for headers in (LENGTH_100, CHUNKED):
                with self.subTest(status=status, headers=headers):
                    first = []

                    async def respond(head, reader, writer, headers=headers):
                        if b'/read/' in head:
                            first.append(writer)
                            reply = make_response(status, headers=headers)
                            writer.write(reply)
                            return
                        await reader.readexactly(1)
                        stray = b'x' * 100 if writer in first else b''
                        writer.write(stray + standin.render('try-1'))

                    await self.use_raw_target(respond)
                    await self.request('/read/1')
                    response = await self.request('/pay/1', b'x')
                    self.assertEqual(response[0], 200)


class HedgedResponseTest(MalformedCase):
    """Guards against a hedge whose malformed response comes first."""

    async def test_the_response_of_the_other_target_is_used(self):
        async def answer_late(target, request, writer):
            await asyncio.sleep(1.2)
            await standin.answer(target, request, writer)

        for name in ('status 600', 'chunks, end', 'no length, end and reset'):
            with self.subTest(name):
                instance = await self.use_response(*INVALID[name])
                slow = await self.add_target(answer_late)
                self.prefer(slow)
                status, _, body = await self.request(f'/read/{self.numbers}')
                self.assertEqual((status, body), (200, b'done'))
                self.assertIn((instance, 'broken'), self.take_faults())


class RelayedResponseTest(test_relay.RelayCase, MalformedCase):
    """Guards against a relay that passes on what is no response."""

    async def test_a_target_behind_a_relay(self):
        for name, (data, ending) in INVALID.items():
            with self.subTest(name):
                instance = await self.use_response(data, ending)
                await self.check_failure(instance, f'/pay/{self.numbers}')

    async def test_a_peer_that_ends_before_its_response_is_whole(self):
        for name in ('status 600', 'length, end', 'no length, reset'):
            with self.subTest(name):
                data, ending = INVALID[name]

                async def respond(head, reader, writer):
                    await reader.readexactly(1)
                    writer.write(data)
                    await end_stream(writer, ending)

                address = await self.enterAsyncContext(
                    raw_targets.serve(respond)
                )
                self.cut.relay._port = int(address.rpartition(':')[2])
                self.learn_peer(reaches_targets=True)
                status, _, body = await self.request('/pay/1', b'x')
                self.assertEqual(status, 502)
                self.assertIn(b'may-have-run', body)


class EarlyEndTest(MalformedCase):
    """Guards against a part of a response that passes for all of it.

    The target sends a response without a length while the host still writes
    the request's body.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        data = registry_store.describe_configuration(2)
        data['limits']['maxBodyBytes'] = 2 * UPLOAD_BYTES
        self.configure(data)

    async def use_early_response(self, end, read_bytes=0, size=UPLOAD_BYTES):
        """Use a target that responds after a part of the upload."""

        async def respond(head, reader, writer):
            await reader.readexactly(read_bytes)
            writer.write(make_response(body=b'part'))
            await end(reader, writer, size - read_bytes)

        return await self.use_raw_target(respond)

    @staticmethod
    async def reset(reader, writer, left):
        """Reset the connection."""
        await end_stream(writer, 'reset')

    @staticmethod
    async def reset_at_once(reader, writer, left):
        """Reset the connection before the host has read the response."""
        raw_targets.send_reset(writer)

    @staticmethod
    async def close(reader, writer, left):
        """Close the connection, with bytes that are not read."""
        writer.close()

    @staticmethod
    async def end_and_reset(reader, writer, left):
        """End the stream, and reset the connection later."""
        await end_stream(writer, 'end')
        await asyncio.sleep(0.1)
        raw_targets.send_reset(writer)

    @staticmethod
    async def end_and_reset_at_once(reader, writer, left):
        """End the stream, and reset the connection at once."""
        await end_stream(writer, 'end and reset')

    @staticmethod
    async def end_and_read(reader, writer, left):
        """End the stream, and read the rest of the upload."""
        await end_stream(writer, 'end')
        await reader.readexactly(left)

    async def test_a_reset_is_no_end(self):
        for end in (
            self.reset,
            self.reset_at_once,
            self.close,
            self.end_and_reset,
            self.end_and_reset_at_once,
        ):
            # The receive buffers of the target take less than the rest.
            for read_bytes, size in (
                (0, 300_000),
                (0, UPLOAD_BYTES),
                (200_000, UPLOAD_BYTES),
            ):
                with self.subTest(
                    end=end.__name__, read=read_bytes, size=size
                ):
                    instance = await self.use_early_response(
                        end, read_bytes, size
                    )
                    await self.check_failure(
                        instance, f'/pay/{self.numbers}', bytes(size)
                    )

    async def test_a_reset_after_the_whole_upload_is_no_end(self):
        for end in (self.reset, self.end_and_reset_at_once):
            for size in (300_000, UPLOAD_BYTES):
                with self.subTest(end=end.__name__, size=size):
                    instance = await self.use_early_response(end, size, size)
                    await self.check_failure(
                        instance, f'/pay/{self.numbers}', bytes(size)
                    )

    async def test_an_end_of_the_response_alone_completes_it(self):
        """Guards against early responses of sound targets that are lost."""
        for size in (300_000, UPLOAD_BYTES):
            with self.subTest(size=size):
                await self.use_early_response(self.end_and_read, 0, size)
                status, _, body = await self.request('/pay/1', bytes(size))
                self.assertEqual((status, body), (200, b'part'))
                self.assertEqual(self.take_faults(), set())


class CallerLengthTest(MalformedCase):
    """Guards against responses whose end a caller can't tell from a cut."""

    async def test_a_response_has_a_length(self):
        """The target's response has none, or is in chunks."""
        for name, data, ending in (
            ('no length', make_response(body=b'all'), 'end'),
            (
                'chunks',
                make_response(body=b'3\r\nall\r\n0\r\n\r\n', headers=CHUNKED),
                None,
            ),
        ):
            for version in ('1.0', '1.1'):
                with self.subTest(name, version=version):
                    await self.use_response(data, ending)
                    async with self.connect() as caller:
                        head = (
                            f'GET /read/1 HTTP/{version}\r\n'
                            'host: races.example\r\n'
                            'authorization: Token key-1\r\n'
                            'connection: close\r\n'
                            'x-lavenderstile-attempt-id: try-1\r\n\r\n'
                        )
                        caller.writer.write(head.encode())
                        response = await caller.read_to_end()
                    head, _, body = response.partition(b'\r\n\r\n')
                    self.assertEqual(body, b'all')
                    self.assertIn(b'content-length: 3', head.lower())

    async def test_a_connection_that_breaks_cuts_the_length_short(self):
        """The caller has not read all when the host's process ends."""
        size = 8 * 1024 * 1024
        data = make_response(
            body=bytes(size), headers=(f'content-length: {size}',)
        )
        await self.use_response(data)
        async with self.connect() as caller:
            caller.send('/read/1')
            async with asyncio.timeout(edge_case.LIMIT_S):
                head = await caller.reader.readuntil(b'\r\n\r\n')
            for connection in list(self.server._connections):
                connection._transport.abort()
            received = 0
            try:
                while part := await caller.reader.read(65536):
                    received += len(part)
            except ConnectionError:
                pass
        self.assertIn(f'content-length: {size}'.encode(), head.lower())
        self.assertLess(received, size)
