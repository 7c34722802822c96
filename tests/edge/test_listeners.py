"""Tests of the counts and limits that the listeners of a host share."""

import unittest
from unittest import mock

from lavenderstile.edge.listeners import held_bytes
from lavenderstile.edge.listeners import limits
from lavenderstile.edge.listeners import open_connections
from lavenderstile.edge.listeners import reports
from lavenderstile.edge.listeners import request_bodies
from lavenderstile.edge.listeners import response_output
from lavenderstile.edge import metrics


class FakeClock:
    """A clock that tests set."""

    def __init__(self):
        self.time = 100.0

    def now(self):
        """Return the set time."""
        return self.time


class FakeConnection:
    """A connection as the counts see it."""

    def __init__(self, progress_at=0.0, is_running=False, is_far_ahead=False):
        self.progress_at = progress_at
        self.is_running = is_running
        self.is_far_ahead = is_far_ahead
        self.peer = ('127.0.0.1', 1)
        self.is_closed = False
        self.is_refused = False

    def give_up(self):
        """Record the close."""
        self.is_closed = True

    def refuse_request(self):
        """Record the refusal."""
        self.is_refused = True


class FakeTransport:
    """A transport that takes bytes up to a limit, then pauses its output."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.written = bytearray()
        self.output = None

    def set_write_buffer_limits(self, high):
        """Accept any limit."""

    def get_write_buffer_size(self):
        """Return 0; the fake sends what it takes."""
        return 0

    def write(self, data):
        """Take bytes; pause the output at the limit."""
        self.written += data
        if len(self.written) >= self.capacity:
            self.output.pause()


class LimitTest(unittest.TestCase):
    """Guards against connections that leave no descriptors for targets."""

    def test_connections_leave_descriptors_for_files_and_targets(self):
        for descriptors in (4100, 10436):
            with self.subTest(descriptors=descriptors):
                count = limits.derive_connections(descriptors)
                spare = descriptors - 200 - count - limits.ACCEPTS_PER_STEP
                self.assertGreaterEqual(spare, count // 2)
                self.assertGreater(count, descriptors // 2)

    def test_few_descriptors_still_allow_a_connection(self):
        self.assertEqual(limits.derive_connections(64), 1)

    def test_an_explicit_number_takes_precedence(self):
        self.assertEqual(limits.make_limits(7).connections, 7)


class LimitReportsTest(unittest.TestCase):
    """Guards against log lines without a bound, and limits without a count."""

    def test_each_event_is_counted_and_one_in_a_second_logged(self):
        clock, counters = FakeClock(), metrics.EdgeMetrics()
        subject = reports.LimitReports(clock, counters)
        with mock.patch.object(
            reports.eliot, 'log_message', autospec=True
        ) as log_message:
            for _ in range(50):
                subject.record('connections', count=3)
            clock.time += reports.LOG_INTERVAL_S
            subject.record('connections', count=3)
            subject.record('held_bytes', size=1)
        fields = [call.kwargs for call in log_message.call_args_list]
        self.assertEqual(
            [(line['limit'], line['unlogged']) for line in fields],
            [('connections', 0), ('connections', 49), ('held_bytes', 0)],
        )
        body, _ = counters.render()
        self.assertIn(
            b'lavenderstile_edge_listener_limits_total'
            b'{limit="connections"} 51',
            body,
        )


class HeldBytesTest(unittest.TestCase):
    """Guards against memory that grows with the number of connections."""

    def setUp(self):
        self.clock = FakeClock()
        self.reports = mock.Mock(spec=reports.LimitReports)
        self.subject = held_bytes.HeldBytes(self.clock, 100, self.reports)

    def test_the_connection_that_holds_the_most_is_closed(self):
        small, large = FakeConnection(), FakeConnection()
        self.subject.set_size(large, 60)
        self.subject.set_size(small, 40)
        self.assertFalse(large.is_closed)
        self.subject.set_size(small, 41)
        self.assertTrue(large.is_closed)
        self.assertFalse(small.is_closed)
        self.assertEqual(self.subject.total, 41)
        self.reports.record.assert_called_once_with(
            'held_bytes', size=60, peer=large.peer
        )

    def test_one_whose_client_reads_is_kept(self):
        """Guards against a slow reader that loses its long response."""
        reading = FakeConnection(progress_at=self.clock.time)
        stalled = FakeConnection(progress_at=0.0)
        self.subject.set_size(reading, 80)
        self.subject.set_size(stalled, 30)
        self.assertTrue(stalled.is_closed)
        self.assertFalse(reading.is_closed)

    def test_released_bytes_do_not_count(self):
        first, second = FakeConnection(), FakeConnection()
        self.subject.set_size(first, 90)
        self.subject.release(first)
        self.subject.set_size(second, 90)
        self.subject.set_size(second, 0)
        self.assertEqual(self.subject.total, 0)
        self.assertFalse(first.is_closed or second.is_closed)


class RequestBodiesTest(unittest.TestCase):
    """Guards against bodies that fill the memory or keep others out."""

    def setUp(self):
        self.reports = mock.Mock(spec=reports.LimitReports)
        self.subject = request_bodies.RequestBodies(100, self.reports)

    def test_the_largest_incomplete_body_is_refused(self):
        large, small = FakeConnection(), FakeConnection()
        self.subject.add(large, 40)
        self.subject.add(large, 30)
        self.subject.add(small, 31)
        self.assertTrue(large.is_refused)
        self.assertFalse(small.is_refused)
        self.assertEqual(self.subject.size, 31)

    def test_a_complete_request_is_not_refused(self):
        """Guards against a refusal of a request that may have run."""
        complete, incomplete = FakeConnection(), FakeConnection()
        self.subject.add(complete, 90)
        self.subject.complete(complete)
        self.subject.add(incomplete, 20)
        self.assertFalse(complete.is_refused)
        self.assertTrue(incomplete.is_refused)
        self.subject.release(complete)
        self.assertEqual(self.subject.size, 0)


class OpenConnectionsTest(unittest.TestCase):
    """Guards against clients whose connections keep all others out."""

    def setUp(self):
        self.reports = mock.Mock(spec=reports.LimitReports)
        self.subject = open_connections.OpenConnections(3, self.reports)

    def add(self, *connections):
        """Add connections; return which of them are closed."""
        for connection in connections:
            self.subject.add(connection)
        return [connection.is_closed for connection in connections]

    def test_the_one_without_progress_for_the_longest_time_is_closed(self):
        closed = self.add(*map(FakeConnection, (2.0, 1.0, 3.0, 4.0)))
        self.assertEqual(closed, [False, True, False, False])
        self.assertEqual(self.subject.count, 3)

    def test_one_with_a_running_request_is_kept(self):
        running = FakeConnection(0.0, is_running=True)
        closed = self.add(running, *map(FakeConnection, (2.0, 1.0, 3.0)))
        self.assertEqual(closed, [False, False, True, False])

    def test_one_that_sends_too_far_ahead_is_closed_first(self):
        flooding = FakeConnection(9.0, is_running=True, is_far_ahead=True)
        closed = self.add(flooding, *map(FakeConnection, (2.0, 1.0, 3.0)))
        self.assertEqual(closed, [True, False, False, False])

    def test_a_new_one_is_closed_if_requests_run_on_all(self):
        running = [FakeConnection(0.0, is_running=True) for _ in range(3)]
        closed = self.add(*running, FakeConnection(4.0))
        self.assertEqual(closed, [False, False, False, True])
        self.assertEqual(self.subject.count, 3)

    def test_a_closed_one_leaves_its_place(self):
        first, second = FakeConnection(1.0), FakeConnection(2.0)
        self.add(first, second)
        self.subject.discard(first)
        closed = self.add(FakeConnection(3.0), FakeConnection(4.0))
        self.assertEqual(closed, [False, False])
        self.assertFalse(second.is_closed)


class ResponseOutputTest(unittest.TestCase):
    """Guards against responses that lie in the transport or lose bytes."""

    def test_it_writes_as_much_as_the_client_reads(self):
        transport = FakeTransport(300_000)
        subject = response_output.ResponseOutput(transport, 1000)
        transport.output = subject
        body = bytes(range(256)) * 4000
        subject.write([b'head', body])
        self.assertTrue(subject.is_blocked)
        taken = len(transport.written)
        self.assertLessEqual(taken, 300_000 + response_output.PIECE_BYTES)
        self.assertEqual(subject.unsent, len(body) + 4 - taken)
        transport.capacity = 10_000_000
        subject.resume()
        self.assertEqual(transport.written, b'head' + body)
        self.assertEqual(subject.unsent, 0)
        self.assertFalse(subject.is_blocked)

    def test_dropped_bytes_are_not_written(self):
        transport = FakeTransport(1)
        subject = response_output.ResponseOutput(transport, 1000)
        transport.output = subject
        subject.write([b'head', b'x' * 500_000])
        subject.drop()
        subject.resume()
        self.assertEqual(transport.written, b'head')
        self.assertEqual(subject.unsent, 0)
