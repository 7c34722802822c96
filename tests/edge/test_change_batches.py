"""Tests of the news of the registry between hosts."""

import unittest

from lavenderstile.edge import change_batches


class PackTest(unittest.TestCase):
    """Guards against datagrams that a faulty sender or link has damaged."""

    def test_batches_come_back(self):
        batches = [
            change_batches.Batch(1, 3, b'{}'),
            change_batches.Batch(3, 4, b'[]'),
        ]
        self.assertEqual(
            change_batches.unpack(change_batches.pack(batches)), batches
        )

    def test_damaged_news_are_an_error(self):
        packed = change_batches.pack([change_batches.Batch(1, 3, b'{}')])
        for damaged in (
            packed[:-8],
            b'',
            b'x' * 40,
            change_batches.zlib.compress(b'x'),
        ):
            with self.assertRaises(change_batches.ChangeBatchError):
                change_batches.unpack(damaged)

    def test_more_than_the_limit_is_an_error(self):
        body = bytes(change_batches.MAX_UNPACKED_BYTES + 1)
        with self.assertRaises(change_batches.ChangeBatchError):
            change_batches.unpack(
                change_batches.pack([change_batches.Batch(1, 2, body)])
            )


class RepeatTest(unittest.TestCase):
    """Guards against a call to the registry for each lost datagram.

    While 258 targets registered, 106 hosts made 340 calls, because one
    lost datagram made those after it useless.
    """

    def setUp(self):
        self.log = change_batches.ChangeLog()

    def add(self, after, revision, now, size=10):
        """Add a batch; return the revisions that the news lead from."""
        batch = change_batches.Batch(after, revision, b'x' * size)
        return [
            b.after for b in change_batches.unpack(self.log.add(batch, now))
        ]

    def test_the_batches_before_are_sent_again(self):
        self.assertEqual(self.add(1, 2, 0.0), [1])
        self.assertEqual(self.add(2, 4, 0.5), [1, 2])
        self.assertEqual(self.add(4, 5, 1.0), [1, 2, 4])

    def test_batches_that_peers_have_read_are_among_them(self):
        self.add(1, 2, 0.0)
        self.log.record(change_batches.Batch(2, 4, b''), 0.1)
        self.assertEqual(self.add(4, 5, 0.2), [1, 2, 4])

    def test_old_large_or_unconnected_batches_are_left_out(self):
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


class RelayTest(unittest.TestCase):
    """Load pattern: a large configuration goes to all hosts of a domain.

    Guards against a burst that the link of the sender drops.
    """

    def list_all(self, plan):
        """Return all addresses that a plan reaches."""
        reached = [receiver for receiver, _ in plan]
        for _, relay in plan:
            reached += relay
        return reached

    def test_small_news_go_to_each_host(self):
        plan = change_batches.plan_relays(
            'abcdefgh', change_batches.MAX_DIRECT_BYTES
        )
        self.assertEqual(sorted(self.list_all(plan)), list('abcdefgh'))
        self.assertEqual(len(plan), 8)

    def test_large_news_are_passed_on(self):
        addresses = [f'10.1.0.{n}' for n in range(26)]
        plan = change_batches.plan_relays(
            addresses, change_batches.MAX_DIRECT_BYTES + 1
        )
        self.assertEqual(len(plan), change_batches.RELAY_COUNT)
        self.assertEqual(sorted(self.list_all(plan)), sorted(addresses))

    def test_few_hosts_get_large_news_themselves(self):
        plan = change_batches.plan_relays(['a', 'b'], 9_000)
        self.assertEqual(sorted(plan), [('a', []), ('b', [])])
