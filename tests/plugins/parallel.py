"""Runs the tests in worker processes and limits the time of each test."""

import faulthandler
import signal

from nose2 import events
from nose2.plugins import mp

# The slowest test, the seeded soak, takes about 30 s while other tests run. A
# test that takes ten times as long counts as hung.
TEST_LIMIT_S = 300


class WorkerLostError(BaseException):
    """A worker process ended before it reported its test.

    It is raised in a signal handler, which may interrupt code that swallows
    exceptions: an `Exception` that interrupted the logging of a lost
    connection was only printed, and the run went on for ever.
    """


class ParallelPlugin(mp.MultiProcess):
    """Spreads the tests over worker processes.

    nose2's own plugin waits forever for a worker that has exited early; this
    one ends the run with an error.
    """

    configSection = 'parallel'

    def __init__(self):
        super().__init__()
        self._workers = []

    def registerInSubprocess(self, event):  # noqa: N802
        """Apply the time limit in the workers too."""
        event.pluginClasses.append(TimeLimitPlugin)

    def _check_workers(self, _signal, _frame):
        for worker in self._workers:
            if worker.exitcode:
                raise WorkerLostError(
                    f'test worker {worker.pid} ended with status '
                    f'{worker.exitcode}; its output is above'
                )

    def _flatten(self, suite):
        # nose2 puts the classes with fixtures last. They start fleets of
        # processes and take longest, and only a few may run at the same time,
        # so they are started first.
        return reversed(list(super()._flatten(suite)))

    def _startProcs(self, test_count):  # noqa: N802
        workers = super()._startProcs(test_count)
        self._workers = [worker for worker, _ in workers]
        signal.signal(signal.SIGCHLD, self._check_workers)
        self._check_workers(signal.SIGCHLD, None)
        return workers


class TimeLimitPlugin(events.Plugin):
    """Ends the process with a stack trace when a test takes too long."""

    configSection = 'time-limit'
    alwaysOn = True

    def __init__(self):
        self._limit_s = self.config.as_float('seconds', TEST_LIMIT_S)

    def startTest(self, event):  # noqa: N802
        """Start the time limit of a test."""
        faulthandler.dump_traceback_later(self._limit_s, exit=True)

    def stopTest(self, event):  # noqa: N802
        """Stop the time limit of a test that ended."""
        faulthandler.cancel_dump_traceback_later()
