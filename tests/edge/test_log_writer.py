"""Tests of the log writer under load."""

import os
import unittest

import msgspec

from lavenderstile import clocks
from lavenderstile.edge import log_writer


class LogWriterTest(unittest.TestCase):
    """Guards against logging that blocks requests or fills the memory."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.partial_line = b''
        self.clock = clocks.VirtualClock()
        self.log = log_writer.LogWriter('front-1', self.clock, self.writer)

    def read_lines(self):
        """Return the complete lines that were written, decoded."""
        data = self.partial_line
        try:
            while chunk := os.read(self.reader, 65536):
                data += chunk
        except BlockingIOError:
            pass
        *lines, self.partial_line = data.split(b'\n')
        return [msgspec.json.decode(line) for line in lines]

    def test_a_message_is_one_line(self):
        self.log({'message_type': 'start', 'task_uuid': 'x', 'value': {1}})
        self.log.flush()
        line = self.read_lines()[0]
        self.assertEqual(line['host'], 'front-1')
        self.assertEqual(line['message_type'], 'start')
        self.assertNotIn('task_uuid', line)

    def test_lines_over_the_rate_are_dropped_and_counted(self):
        for number in range(log_writer.LINES_PER_S + 50):
            self.log({'number': number})
        self.clock.advance(1.0)
        self.log({'number': 'last'})
        self.log.flush()
        lines = self.read_lines()
        self.assertEqual(len(lines), log_writer.LINES_PER_S + 1)
        self.assertEqual(lines[-1]['lines_left_out'], 50)

    def test_a_slow_reader_does_not_block(self):
        for _ in range(300):
            self.clock.advance(1.0)
            for _ in range(100):
                self.log({'text': 'x' * 500})
            self.log.flush()
            limit = log_writer.MAX_PENDING_BYTES + 100 * 700
            self.assertLessEqual(self.log.pending_bytes, limit)
        self.read_lines()
        self.log.flush()
        lines = self.read_lines()
        self.assertTrue(any('lines_left_out' in line for line in lines))

    def test_a_closed_pipe_does_not_block(self):
        reader, writer = os.pipe()
        os.close(reader)
        log = log_writer.LogWriter('front-1', self.clock, writer)
        self.addCleanup(os.close, writer)
        log({'text': 'x'})
        log.flush()
        self.assertEqual(log.dropped_lines, 1)
