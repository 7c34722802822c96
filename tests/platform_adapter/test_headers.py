"""Tests of the headers of the platform."""

import unittest

from lavenderstile.platform import headers


class RequestTest(unittest.TestCase):
    """Guards against callers' headers that are taken for the host's."""

    def setUp(self):
        self.headers = headers.Headers()

    def test_what_a_caller_says(self):
        facts = self.headers.read_request(
            [
                (headers.ATTEMPT_ID, b'abc'),
                (headers.DEADLINE, b'2500'),
                (headers.AUTHORIZATION, b'Token k1'),
            ]
        )
        self.assertEqual(facts.request_id, 'abc')
        self.assertEqual(facts.timeout_s, 2.5)
        self.assertEqual(facts.key, 'k1')
        self.assertIsNone(facts.fault)

    def test_other_schemes_and_odd_values_say_nothing(self):
        facts = self.headers.read_request(
            [(headers.AUTHORIZATION, b'Bearer k1'), (headers.DEADLINE, b'x')]
        )
        self.assertEqual((facts.key, facts.timeout_s), (None, None))

    def test_two_ids_are_a_fault(self):
        pair = (headers.ATTEMPT_ID, b'abc')
        self.assertIsNotNone(self.headers.read_request([pair, pair]).fault)


class AnswerTest(unittest.TestCase):
    """Guards against answers that are taken for what they are not."""

    def read(self, status, *pairs):
        return headers.Headers().read_response(status, list(pairs))

    def test_what_a_target_says(self):
        facts = self.read(
            200,
            (headers.ATTEMPT_ID, b'abc'),
            (headers.SIGNATURE, b's'),
            (headers.LOAD, b'3,1,4'),
            (b'keep-alive', b'timeout=7, max=3'),
        )
        self.assertEqual((facts.request_id, facts.load), ('abc', (3, 1)))
        self.assertTrue(facts.is_signed)
        self.assertFalse(facts.not_run)
        self.assertEqual(facts.keep_alive_s, 7.0)

    def test_who_has_not_run(self):
        self.assertTrue(self.read(503, (headers.NOT_EXECUTED, b'1')).not_run)
        self.assertTrue(self.read(421).not_run)
        self.assertTrue(self.read(421).wrong_instance)
        self.assertFalse(self.read(503).not_run)

    def test_odd_values_say_nothing(self):
        facts = self.read(200, (headers.LOAD, b'many'), (headers.WARMUP, b'-'))
        self.assertEqual((facts.load, facts.cold_s), (None, None))

    def test_the_not_run_mark_is_the_hosts_own(self):
        kept = headers.Headers().filter_response_headers(
            [(headers.NOT_EXECUTED, b'1')]
        )
        self.assertEqual(kept, [])
