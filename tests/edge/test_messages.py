"""Tests of the datagrams between hosts."""

import unittest

from lavenderstile.edge import messages
from lavenderstile import errors
from tests.edge import builders


class PackTest(unittest.TestCase):
    """Guards against messages that the receiver cannot decode.

    A field whose values do not have the declared type makes receivers reject
    every update.
    """

    def test_an_update_survives_a_round_trip(self):
        update = builders.make_update(
            '10.1.0.1',
            running={'i-1': 2},
            faults=[messages.Fault('i-1', 'error')],
            successes={'i-1': ('ledger', 0.25, 3), 'i-2': ('x', 0.1, None)},
            crashes=[messages.Crash('ff', 'i-1')],
            admitted={'club': 3},
            sends={'ledger': (3, 1, 0)},
        )
        self.assertEqual(messages.unpack(messages.pack(update)), update)

    def test_other_messages_survive_a_round_trip(self):
        for message in (
            messages.Hello('10.1.0.1', 'a', 5),
            messages.Welcome('10.1.0.1', 'a', 5, {'a': ['10.1.0.2']}),
            messages.RegistryChanges(b'x', ['10.1.0.4']),
            messages.Digest(
                '10.1.0.1', 'a', 5, 3, ['x'], {'c': 1}, {'s': (2, 1)}, 9, []
            ),
        ):
            self.assertEqual(messages.unpack(messages.pack(message)), message)

    def test_malformed_bytes_raise_an_error(self):
        for data in (
            b'',
            b'\xff',
            messages.pack(messages.RegistryChanges(b'', []))[:-1],
        ):
            with self.assertRaises(errors.DecodingError):
                messages.unpack(data)
