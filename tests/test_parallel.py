"""Tests of the parallel plugin, which run small test suites."""

import logging
import pathlib
import subprocess
import sys
import tempfile
import unittest

from tests.plugins import parallel

ROOT = pathlib.Path(__file__).parents[1]

CONFIG = """
[unittest]
plugins = tests.plugins.known_red
    tests.plugins.parallel
[parallel]
always-on = True
[time-limit]
seconds = 2
"""

SUITE = """
import os, time, unittest

class SmallTest(unittest.TestCase):
    def test_first(self):
        pass
    def test_second(self):
        {body}
"""

# Limit of a whole run; the limit of each test in it is 2 s.
LIMIT_S = 60


class WorkerTest(unittest.TestCase):
    """Guards against a run that passes or hangs with tests left to run."""

    def run_suite(self, body):
        """Run the suite with `body` as its second test."""
        with tempfile.TemporaryDirectory() as name:
            directory = pathlib.Path(name)
            (directory / 'test_small.py').write_text(SUITE.format(body=body))
            (directory / 'small.cfg').write_text(CONFIG)
            return subprocess.run(
                [sys.executable, '-m', 'nose2', '-c', 'small.cfg'],
                cwd=directory,
                env={'PYTHONPATH': str(ROOT)},
                capture_output=True,
                text=True,
                timeout=LIMIT_S,
            )

    def test_a_suite_passes(self):
        run = self.run_suite('pass')
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertIn('2 passed, 0 failed', run.stderr)

    def test_a_failure_fails_the_run(self):
        run = self.run_suite('self.fail()')
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertIn('1 passed, 1 failed', run.stderr)

    def test_a_worker_that_dies_fails_the_run(self):
        run = self.run_suite('os._exit(3)')
        self.assertNotEqual(run.returncode, 0)
        self.assertIn('ended with status 3', run.stderr)

    def test_a_test_that_hangs_is_ended_with_its_stack(self):
        run = self.run_suite('time.sleep(100)')
        self.assertNotEqual(run.returncode, 0)
        self.assertIn('Timeout', run.stderr)
        self.assertIn('in test_second', run.stderr)


class LostWorkerTest(unittest.TestCase):
    """Guards against a run that goes on for ever after it lost a worker.

    The signal handler that notices the loss mostly interrupts the logging of
    the closed connection, which swallows exceptions.
    """

    def test_logging_does_not_swallow_the_error(self):
        class InterruptedStream:
            def write(self, text):
                raise parallel.WorkerLostError('worker 1 ended')

        handler = logging.StreamHandler(InterruptedStream())
        record = logging.makeLogRecord({'msg': 'connection closed'})
        with self.assertRaises(parallel.WorkerLostError):
            handler.handle(record)
