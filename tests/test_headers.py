"""Tests of the headers that are not forwarded to targets."""

import unittest

from lavenderstile import headers


class HeadersTest(unittest.TestCase):
    """Guards against keys and hop-by-hop headers that reach a target."""

    def test_removes_the_key_and_the_hop_by_hop_headers(self):
        kept = [(b'Accept', b'*/*'), (b'X-Custom', b'1'), (b'cookie', b'c')]
        removed = [
            (b'Authorization', b'Bearer secret'),
            (b'Connection', b'keep-alive, X-Hop'),
            (b'x-hop', b'1'),
            (b'Transfer-Encoding', b'chunked'),
            (b'Upgrade', b'h2c'),
            (b'Proxy-Authorization', b'secret'),
            (b'Expect', b'100-continue'),
            (b'X-Request-Id', b'other'),
        ]
        prepared = headers.prepare_for_target(removed[:3] + kept + removed[3:])
        self.assertEqual(prepared, kept)
