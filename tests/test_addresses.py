"""Tests of address checks and network expansion."""

import unittest

from lavenderstile import addresses


class ParseIpPortTest(unittest.TestCase):
    """Guards against two spellings of one target, and invalid ports."""

    def test_accepts_canonical_pairs(self):
        for text, pair in (
            ('127.0.0.1:80', ('127.0.0.1', 80)),
            ('[2001:db8::7]:65535', ('2001:db8::7', 65535)),
        ):
            self.assertEqual(addresses.parse_ip_port(text), pair)

    def test_rejects_other_spellings(self):
        for text in (
            '',
            '127.0.0.1',
            '127.0.0.1:',
            '127.0.0.1:0',
            '127.0.0.1:080',
            '127.0.0.1:65536',
            '127.0.0.1:99999999999',
            '127.0.0.1:+80',
            '127.0.0.1:8\u0660',
            '127.0.0.01:80',
            ' 127.0.0.1:80',
            '127.0.0.1:80\n',
            'localhost:80',
            '::1:80',
            '[127.0.0.1]:80',
            '[2001:DB8::7]:80',
            '[2001:db8:0::7]:80',
        ):
            with self.assertRaises(ValueError, msg=text):
                addresses.parse_ip_port(text)


class NetworkTest(unittest.TestCase):
    """Guards against hosts that disagree on the fleet's size or members."""

    def test_expansion_is_in_numeric_order(self):
        self.assertEqual(
            addresses.expand_networks(
                ['127.0.0.10', '127.0.0.4/30', '127.0.0.2/31', '::1']
            ),
            (
                '127.0.0.2',
                '127.0.0.3',
                '127.0.0.5',
                '127.0.0.6',
                '127.0.0.10',
                '::1',
            ),
        )

    def test_host_bits_are_rejected(self):
        for text in ('127.0.0.1/24', '127.0.0.0/255.255.255.0', '10', ''):
            with self.assertRaises(ValueError, msg=text):
                addresses.parse_network(text)

    def test_overlaps_are_found_in_any_order(self):
        texts = ['10.0.3.1', '10.0.0.0/8', '192.0.2.0/24', '10.0.3.1', '::1']
        self.assertEqual(addresses.find_overlaps(texts), [(0, 1), (1, 3)])

    def test_neighbours_do_not_overlap(self):
        texts = ['10.0.0.0/25', '10.0.0.128/25', '::/127', '::2']
        self.assertEqual(addresses.find_overlaps(texts), [])

    def test_count_does_not_expand_the_network(self):
        self.assertEqual(
            addresses.count_addresses(['::/1', '10.0.0.1']), 2**127 + 1
        )
