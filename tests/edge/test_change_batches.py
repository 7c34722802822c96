"""Tests of the batches of registry changes between hosts."""

import unittest

from lavenderstile.edge import change_batches


class PackTest(unittest.TestCase):
    """Guards against failures on datagrams that were damaged on the way."""

    def test_batches_survive_a_round_trip(self):
        batches = [
            change_batches.Batch(1, 3, b'{}'),
            change_batches.Batch(3, 4, b'[]'),
        ]
        self.assertEqual(
            change_batches.unpack(change_batches.pack(batches)), batches
        )

    def test_damaged_batches_raise_an_error(self):
        packed = change_batches.pack([change_batches.Batch(1, 3, b'{}')])
        for damaged in (
            packed[:-8],
            b'',
            b'x' * 40,
            change_batches.zlib.compress(b'x'),
        ):
            with self.assertRaises(change_batches.ChangeBatchError):
                change_batches.unpack(damaged)

    def test_batches_over_the_size_limit_raise_an_error(self):
        body = bytes(change_batches.MAX_UNPACKED_BYTES + 1)
        with self.assertRaises(change_batches.ChangeBatchError):
            change_batches.unpack(
                change_batches.pack([change_batches.Batch(1, 2, body)])
            )


class RepeatTest(unittest.TestCase):
    """Guards against a call to the registry for each lost datagram.

    After one lost datagram a host can't apply the next ones. While 258 targets
    registered, 106 hosts made 340 calls for that reason.
    """

    def setUp(self):
        self.log = change_batches.ChangeLog()

    def add(self, after, revision, now, size=10):
        """Add a batch; return the first revisions of the packed batches."""
        batch = change_batches.Batch(after, revision, b'x' * size)
        return [
            b.after for b in change_batches.unpack(self.log.add(batch, now))
        ]

    def test_earlier_batches_are_repeated(self):
        self.assertEqual(self.add(1, 2, 0.0), [1])
        self.assertEqual(self.add(2, 4, 0.5), [1, 2])
        self.assertEqual(self.add(4, 5, 1.0), [1, 2, 4])

    def test_batches_that_peers_read_are_repeated(self):
        self.add(1, 2, 0.0)
        self.log.record(change_batches.Batch(2, 4, b''), 0.1)
        self.assertEqual(self.add(4, 5, 0.2), [1, 2, 4])

    def test_old_large_or_unconnected_batches_are_not_repeated(self):
        self.add(1, 2, 0.0)
        self.assertEqual(
            self.add(2, 3, change_batches.RESEND_WINDOW_S + 0.1), [2]
        )
        self.assertEqual(
            self.add(5, 6, change_batches.RESEND_WINDOW_S + 0.2), [5]
        )
        self.add(
            6,
            7,
            change_batches.RESEND_WINDOW_S + 0.3,
            size=change_batches.MAX_RESENT_BYTES + 1,
        )
        self.assertEqual(
            self.add(7, 8, change_batches.RESEND_WINDOW_S + 0.4), [7]
        )

    def test_a_new_era_starts_a_new_log(self):
        """Guards against batches of a restored registry that are dropped."""
        self.assertEqual(self.add(8, 9, 0.0), [8])
        restored = change_batches.Batch(4, 5, b'', 1)
        packed = self.log.add(restored, 0.5)
        self.assertEqual(change_batches.unpack(packed), [restored])
        later = change_batches.Batch(5, 6, b'', 1)
        packed = self.log.add(later, 0.6)
        self.assertEqual(change_batches.unpack(packed), [restored, later])


class RelayTest(unittest.TestCase):
    """Load pattern: a large configuration for all hosts of a domain.

    Guards against a burst of datagrams that the link of the sender drops.
    """

    def list_reached(self, plan):
        """Return all addresses that a plan reaches."""
        reached = [receiver for receiver, _ in plan]
        for _, relay in plan:
            reached += relay
        return reached

    def test_small_batches_go_to_each_host(self):
        plan = change_batches.plan_relays(
            'abcdefgh', change_batches.MAX_DIRECT_BYTES
        )
        self.assertEqual(sorted(self.list_reached(plan)), list('abcdefgh'))
        self.assertEqual(len(plan), 8)

    def test_large_batches_are_relayed(self):
        addresses = [f'10.1.0.{n}' for n in range(26)]
        plan = change_batches.plan_relays(
            addresses, change_batches.MAX_DIRECT_BYTES + 1
        )
        self.assertEqual(len(plan), change_batches.RELAY_COUNT)
        self.assertEqual(sorted(self.list_reached(plan)), sorted(addresses))

    def test_few_hosts_get_large_batches_directly(self):
        plan = change_batches.plan_relays(['a', 'b'], 9_000)
        self.assertEqual(sorted(plan), [('a', []), ('b', [])])
