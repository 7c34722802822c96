"""Tests of decoding bytes from outside the process."""

import unittest

import msgspec

from lavenderstile import decoding
from lavenderstile import errors

# More than a decoder accepts.
NESTED_LISTS = 100_000


class Message(msgspec.Struct):
    """A message with one field."""

    count: int


class DecodeTest(unittest.TestCase):
    """Guards against bytes that raise an error which no caller expects."""

    def test_a_value_is_returned(self):
        decoder = msgspec.json.Decoder(Message)
        self.assertEqual(decoding.decode(decoder, b'{"count":3}'), Message(3))

    def test_whatever_json_cannot_be_read_raises_the_same_error(self):
        decoder = msgspec.json.Decoder(Message)
        nested = b'[' * NESTED_LISTS
        for data in (
            b'',
            b'\xff\xfe',
            b'null',
            b'{"count":"\xff"}',
            b'{"count":1e999}',
            b'{"count":' + b'9' * 5000 + b'}',
            b'{"count":1,"other":' + nested,
            b'{"count":1,"other":' + nested + b']' * NESTED_LISTS + b'}',
        ):
            with self.subTest(data=data[:30]):
                with self.assertRaises(errors.DecodingError):
                    decoding.decode(decoder, data)

    def test_whatever_msgpack_cannot_be_read_raises_the_same_error(self):
        decoder = msgspec.msgpack.Decoder(Message)
        nested = b'\x82\xa5count\x01\xa1x' + b'\x91' * NESTED_LISTS
        for data in (b'', b'\xc1', b'\x93', nested, nested + b'\x01'):
            with self.subTest(data=data[:30]):
                with self.assertRaises(errors.DecodingError):
                    decoding.decode(decoder, data)
