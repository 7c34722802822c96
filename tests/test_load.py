"""Tests of the load benchmarks."""

import argparse
import asyncio
import os
import pathlib
import tempfile
import unittest

from benchmarks.load import __main__ as program
from benchmarks.load import fleets
from benchmarks.load import request_run
from benchmarks.load import samples
from benchmarks.load import state_run
from emulator import processes
from lavenderstile import metrics
from lavenderstile import peers
from lavenderstile.proto import peer_pb2
from lavenderstile import tickets


class SamplesTest(unittest.TestCase):
    """Guards against figures that are read from the wrong field."""

    def test_cpu_time_is_read_after_any_command_name(self):
        head = '7 (a) b c) S ' + ' '.join(str(n) for n in range(4, 14))
        stat = f'{head} 250 50 9 9 9'
        self.assertEqual(samples.parse_cpu_s(stat), 300 / samples.TICKS_PER_S)

    def test_resident_memory_is_read_in_bytes_of_1024(self):
        status = 'VmHWM:\t9 kB\nVmRSS:\t  1000 kB\n'
        self.assertEqual(samples.parse_rss_mb(status), 1.024)

    def test_memory_of_this_process_is_found(self):
        status = pathlib.Path('/proc/self/status').read_text()
        self.assertGreater(samples.parse_rss_mb(status), 0)

    def test_calls_and_bytes_of_all_methods_are_added(self):
        counted = metrics.Metrics()
        clients = peers.PeerClients(counted)
        request = peer_pb2.TokenRequest(workspace='abc')
        clients.count('TakeToken', request, peer_pb2.TokenReply())
        clients.count('Release', peer_pb2.Empty(), peer_pb2.Empty())
        body, _ = counted.render()
        self.assertEqual(
            samples.parse_peer_counts(body.decode()),
            (2.0, request.ByteSize()),
        )

    def test_rates_are_differences_over_the_time(self):
        before = [samples.Sample(10.0, 1.0, 80.0, 5.0, 100.0)]
        after = [samples.Sample(14.0, 3.0, 90.0, 13.0, 500.0)]
        self.assertEqual(
            samples.compute_rates(before, after),
            [
                {
                    'core_share': 0.5,
                    'calls_per_s': 2.0,
                    'bytes_per_s': 100.0,
                    'rss_mb': 90.0,
                }
            ],
        )


class SplitTest(unittest.TestCase):
    """Guards against idle CPU time that is attributed to requests."""

    def test_idle_time_is_subtracted(self):
        before = [samples.Sample(0.0, 0.0, 0.0, 0.0, 0.0)]
        after = [samples.Sample(10.0, 3.0, 0.0, 0.0, 0.0)]
        spent = request_run.compute_request_cpu_ms(
            [None], before, after, [{'core_share': 0.1}], 500
        )
        self.assertAlmostEqual(spent[0], 4.0)


class BoundsTest(unittest.TestCase):
    """Guards against runs that overload the machine."""

    def test_unbounded_runs_are_refused(self):
        parser = program.build_parser()
        for arguments in (
            ['rest', '--sizes', '3', '49'],
            ['requests', '--hosts', '2'],
            ['requests', '--count', '20001'],
            ['rest', '--rounds', '0'],
            ['rest', '--duration', '61'],
        ):
            with self.assertRaises(ValueError, msg=arguments):
                program.check_bounds(parser.parse_args(arguments))

    def test_steps_are_known_kinds_within_the_limit(self):
        self.assertEqual(program.parse_step('routes=10'), ('routes', 10))
        for text in ('hosts=3', 'routes=0', 'routes=20001'):
            with self.assertRaises(argparse.ArgumentTypeError, msg=text):
                program.parse_step(text)


class ObjectsTest(unittest.TestCase):
    """Guards against generated tickets that the daemons reject."""

    def test_generated_tickets_are_valid(self):
        for kind, count in state_run.OBJECTS_PER_TICKET.items():
            tables = state_run.format_objects(kind, range(count))
            text = fleets.tickets.format_ticket(2, *tables)
            self.assertLess(len(text), 1_000_000, kind)
            tickets.parse_ticket(text, kind)


class EndTest(unittest.IsolatedAsyncioTestCase):
    """Guards against runs that leave processes behind."""

    async def test_a_signal_ends_all_processes(self):
        with tempfile.TemporaryDirectory() as directory:
            run = processes.Process(
                'load',
                ['benchmarks.load', 'rest', '--sizes', '3'],
                pathlib.Path(directory) / 'load.log',
            )
            await run.start()
            try:
                children = await self.wait_for_children(run.pid, 7)
            finally:
                await run.stop(limit_s=60)
        for pid in children:
            with self.assertRaises(ProcessLookupError):
                os.kill(pid, 0)

    async def wait_for_children(self, pid, count):
        """Wait for `count` child processes and return their ids.

        A run with 3 hosts has 7: a platform, three targets, three hosts.
        """
        path = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
        async with asyncio.timeout(60):
            while len(path.read_text().split()) < count:
                await asyncio.sleep(0.05)
        return [int(child) for child in path.read_text().split()]
