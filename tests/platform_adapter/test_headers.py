"""Tests of the platform's headers."""

import unittest

from lavenderstile.edge import messages
from lavenderstile.edge import parsed_headers
from lavenderstile.platform import headers
from tests.edge import builders


class RequestTest(unittest.TestCase):
    """Guards against misread headers of callers."""

    def setUp(self):
        self.headers = headers.Headers()

    def test_fields_of_a_request(self):
        metadata = self.headers.read_request(
            [
                (headers.ATTEMPT_ID, b'abc'),
                (headers.DEADLINE, b'2500'),
                (headers.AUTHORIZATION, b'Token k1'),
            ]
        )
        self.assertEqual(metadata.request_id, 'abc')
        self.assertEqual(metadata.timeout_s, 2.5)
        self.assertEqual(metadata.key, 'k1')
        self.assertIsNone(metadata.fault)

    def test_other_schemes_and_invalid_values_are_ignored(self):
        metadata = self.headers.read_request(
            [(headers.AUTHORIZATION, b'Bearer k1'), (headers.DEADLINE, b'x')]
        )
        self.assertEqual((metadata.key, metadata.timeout_s), (None, None))

    def test_two_request_ids_are_a_fault(self):
        pair = (headers.ATTEMPT_ID, b'abc')
        self.assertIsNotNone(self.headers.read_request([pair, pair]).fault)


class NumberTest(unittest.TestCase):
    """Guards against numbers that fail where they are used.

    A deadline of 400 digits raised OverflowError in the task of its request,
    and in the one that enforces the time limits of callers, whose end is the
    end of the process. A load of 20 digits could not be sent to other hosts.
    """

    def test_a_time_that_is_too_long_is_ignored(self):
        codec = headers.Headers()
        for digits in (13, 20, 400, 5000):
            with self.subTest(digits=digits):
                request = codec.read_request(
                    [(headers.DEADLINE, b'9' * digits)]
                )
                self.assertIsNone(request.timeout_s)
                response = codec.read_response(
                    200,
                    [
                        (headers.WARMUP, b'9' * digits),
                        (b'keep-alive', b'timeout=' + b'9' * digits),
                    ],
                )
                self.assertIsNone(response.cold_s)
                self.assertIsNone(response.keep_alive_s)

    def test_a_load_that_is_no_pair_of_counts_is_ignored(self):
        codec = headers.Headers()
        for value in (
            b'',
            b'3',
            b'-3,0,4',
            b'3,-1,4',
            b'3,1_0,4',
            b'1000000,0,4',
            b'0,' + b'9' * 20 + b',4',
            b'9' * 400 + b',0,4',
            b'9' * 5000 + b',0,4',
        ):
            with self.subTest(value=value[:20]):
                response = codec.read_response(200, [(headers.LOAD, value)])
                self.assertIsNone(response.load)

    def test_the_largest_load_can_be_sent_to_other_hosts(self):
        load = headers.Headers().read_response(
            200, [(headers.LOAD, b'999999,999999,4')]
        )
        report = ('ledger', 0.1, sum(load.load))
        update = builders.make_update('10.1.0.1', successes={'i-1': report})
        self.assertEqual(messages.unpack(messages.pack(update)), update)


class ResponseTest(unittest.TestCase):
    """Guards against misread headers of targets."""

    def read(self, status, *pairs):
        return headers.Headers().read_response(status, list(pairs))

    def test_fields_of_a_response(self):
        metadata = self.read(
            200,
            (headers.ATTEMPT_ID, b'abc'),
            (headers.SIGNATURE, b's'),
            (headers.LOAD, b'3,1,4'),
            (b'keep-alive', b'timeout=7, max=3'),
        )
        self.assertEqual((metadata.request_id, metadata.load), ('abc', (3, 1)))
        self.assertTrue(metadata.is_signed)
        self.assertFalse(metadata.not_run)
        self.assertEqual(metadata.keep_alive_s, 7.0)

    def test_a_target_says_that_it_leaves(self):
        self.assertTrue(self.read(200, (headers.LEAVING, b'1')).is_leaving)
        self.assertFalse(self.read(200, (headers.LEAVING, b'0')).is_leaving)
        self.assertFalse(self.read(200).is_leaving)

    def test_a_target_that_is_busy_asks_for_a_pause(self):
        for value, pause_s in (
            (b'3', 3.0),
            (b'0.25', 0.25),
            (b'0', 0.0),
            (b'', None),
            (b'-1', None),
            (b'.5', None),
            (b'1.x', None),
            (b'1e9', None),
            (b'inf', None),
            (b'9' * 400, None),
        ):
            with self.subTest(value=value[:10]):
                pair = (headers.RETRY_AFTER, value)
                self.assertEqual(self.read(503, pair).pause_s, pause_s)
                self.assertIsNone(self.read(200, pair).pause_s)

    def test_responses_that_say_not_run(self):
        self.assertTrue(self.read(503, (headers.NOT_EXECUTED, b'1')).not_run)
        self.assertTrue(self.read(421).not_run)
        self.assertTrue(self.read(421).wrong_instance)
        self.assertFalse(self.read(503).not_run)

    def test_invalid_values_are_ignored(self):
        metadata = self.read(
            200, (headers.LOAD, b'many'), (headers.WARMUP, b'-')
        )
        self.assertEqual((metadata.load, metadata.cold_s), (None, None))

    def test_the_not_run_header_is_not_forwarded(self):
        forwarded = headers.Headers().filter_response_headers(
            [(headers.NOT_EXECUTED, b'1')]
        )
        self.assertEqual(forwarded, [])

    def test_a_limit_is_a_decimal_number_of_requests_a_second(self):
        for value, rate in ((b'2', 2.0), (b'0.5', 0.5), (b'0', 0.0)):
            with self.subTest(value=value):
                found = self.read(200, (headers.LIMIT, value)).limit
                self.assertEqual(found, parsed_headers.Limited(rate))
        self.assertEqual(self.read(200).limit, parsed_headers.Unlimited())

    def test_a_limit_that_is_no_rate_is_unreadable(self):
        """Guards against a garbled header that lifts a target's limit."""
        for value in (b'', b'few', b'-1', b'nan', b'inf'):
            with self.subTest(value=value):
                found = self.read(200, (headers.LIMIT, value)).limit
                expected = parsed_headers.UnreadableLimit(value.decode())
                self.assertEqual(found, expected)
