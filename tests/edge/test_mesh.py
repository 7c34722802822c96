"""Tests of when a host sends updates to its domain."""

import asyncio
import types
import unittest

from lavenderstile import clocks
from lavenderstile.edge import crash_guard
from lavenderstile.edge import directory as directory_module
from lavenderstile.edge.evidence import notices
from lavenderstile.edge.evidence import reports
from lavenderstile.edge import fleet
from lavenderstile.edge import mesh
from lavenderstile.edge import messages
from lavenderstile.edge import metrics
from lavenderstile.edge import paths
from lavenderstile.edge import rate_limits
from tests.edge import builders


class RecordingTransport:
    """Datagram transport that records what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((messages.unpack(data), address[0]))


def make_mesh(peers, targets=(), is_pooled=False):
    """Return a mesh with peers in its domain, and its sent messages.

    With `is_pooled` the targets of all domains are one pool.
    """
    bench = builders.BalancerFixture(targets)
    fault_notices = notices.FaultNotices(is_pooled)
    view = fleet.Fleet('10.1.0.1', 'a', 1)
    for number in range(peers):
        view.apply_update(builders.make_update(f'10.1.1.{number}'), 0.0)
    parts = types.SimpleNamespace(
        waiting=types.SimpleNamespace(counts={}, starts={}, wake=lambda: None),
        clock=clocks.Clock(),
        fleet=view,
        rate_limits=types.SimpleNamespace(
            admitted={'shop': 1}, record=lambda added, now: None
        ),
        target_limits=bench.target_limits,
        balancer=bench.balancer,
        budgets=types.SimpleNamespace(
            own={}, record_peer=lambda *counts: None
        ),
        health=bench.health,
        guard=crash_guard.CrashGuard(),
        paths=paths.Paths(),
        watcher_selection=types.SimpleNamespace(
            registry_contact_at=0.0, record_peer_position=lambda _: None
        ),
        directory=bench.directory,
        outcomes=bench.outcomes,
        reports=reports.Reports(fault_notices),
        notices=fault_notices,
        health_exchange=notices.HealthExchange(
            bench.directory, 'a', bench.health, is_pooled
        ),
        metrics=metrics.EdgeMetrics(),
    )
    settings = types.SimpleNamespace(peer_port=7, seeds=())
    subject = mesh.Mesh(parts, settings, 1)
    transport = RecordingTransport()
    subject.connection_made(transport)
    return subject, transport.sent


class DelayTest(unittest.IsolatedAsyncioTestCase):
    """Load pattern: large domains, each host with a few requests a second.

    Guards against excessive processor use by updates, whose number grows with
    the square of the hosts: a simulated day with 106 hosts exceeded the limit.
    """

    async def schedule(self, peers, *urgencies):
        """Schedule an update per event; return the messages after a while."""
        subject, sent = make_mesh(peers)
        for is_urgent in urgencies:
            subject._schedule_update(is_urgent=is_urgent)
            await asyncio.sleep(0)
        await asyncio.sleep(2 * mesh.UPDATE_INTERVAL_S)
        return sent

    async def test_a_small_domain_sends_updates_at_once(self):
        sent = await self.schedule(mesh.FULL_RATE_PEERS, False)
        self.assertEqual(len(sent), mesh.FULL_RATE_PEERS)

    async def test_a_large_domain_delays_updates_that_are_not_urgent(self):
        sent = await self.schedule(2 * mesh.FULL_RATE_PEERS, False, False)
        self.assertEqual(sent, [])

    async def test_an_urgent_update_includes_delayed_events(self):
        sent = await self.schedule(2 * mesh.FULL_RATE_PEERS, False, True)
        self.assertEqual(len(sent), 2 * mesh.FULL_RATE_PEERS)

    async def test_delayed_updates_are_sent(self):
        subject, sent = make_mesh(2 * mesh.FULL_RATE_PEERS)
        subject._schedule_update(is_urgent=False)
        async with asyncio.timeout(10.0):
            while not sent:
                await asyncio.sleep(0.01)

    async def test_full_updates_are_rarer_in_a_large_domain(self):
        subject, _ = make_mesh(3 * mesh.FULL_RATE_PEERS)
        interval_s = subject._get_full_update_interval()
        self.assertAlmostEqual(interval_s, 3 * mesh.HEARTBEAT_INTERVAL_S)
        self.assertLess(interval_s, rate_limits.MAX_DEBT_S)


class CrashReportTest(unittest.IsolatedAsyncioTestCase):
    """Guards against hosts that go on sending a request that others block.

    A report is lost with its datagram, and a host that starts later gets none.
    """

    DIGEST = 'ff'

    def setUp(self):
        self.subject, self.sent = make_mesh(1)
        self.guard = self.subject._guard
        self.now = self.subject._clock.now()

    def crash(self, targets, now):
        """Let targets crash, and lose the updates that report it."""
        for number in range(targets):
            self.guard.record(self.DIGEST, f'i-{number}', now)
        self.subject._send_update(is_full=False)
        self.sent.clear()

    def get_sent_crashes(self):
        """Return the instances in the reports of the last message."""
        message, _ = self.sent[-1]
        return {crash.run for crash in message.crashes}

    async def test_full_updates_repeat_the_crashes_of_blocked_requests(self):
        self.crash(3, self.now - 30.0)
        self.subject._send_update()
        self.assertEqual(self.get_sent_crashes(), {'i-0', 'i-1', 'i-2'})

    async def test_full_updates_repeat_recent_crashes(self):
        self.crash(1, self.now)
        self.subject._send_update()
        self.assertEqual(self.get_sent_crashes(), {'i-0'})

    async def test_a_host_that_starts_later_is_told(self):
        self.crash(3, self.now - 30.0)
        self.subject._handle_update(builders.make_update('10.1.2.9'), self.now)
        self.assertEqual(self.get_sent_crashes(), {'i-0', 'i-1', 'i-2'})

    async def test_digests_repeat_the_crashes_of_blocked_requests(self):
        self.crash(3, self.now - 30.0)
        self.subject._fleet.learn_contacts({'b': ['10.2.0.1']})
        for _ in range(2):
            self.sent.clear()
            self.subject._send_digests(self.now)
            self.assertEqual(self.get_sent_crashes(), {'i-0', 'i-1', 'i-2'})

    async def test_updates_do_not_repeat_old_crashes_for_ever(self):
        self.crash(1, self.now)
        later = self.now + crash_guard.REPEAT_S + 0.1
        self.assertEqual(self.guard.get_reports(later).crashes, [])


class LeavingTargetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a leaving target that only one host knows of.

    Each other host would send it one request more, which may be lost.
    """

    def setUp(self):
        self.subject, self.sent = make_mesh(1)
        directory = self.subject._directory
        events = ((11, builders.make_target('i-1', started_ms=5)),)
        directory.apply_changes(directory_module.Changes(11, events), 0.0)
        self.directory = directory

    def receive(self, message):
        data = messages.pack(message)
        self.subject.datagram_received(data, ('10.1.1.0', 7))

    def test_updates_and_digests_name_it(self):
        self.directory.mark_leaving('i-1', 5)
        self.assertEqual(self.subject._make_update().leaving, [('i-1', 5)])
        self.subject._fleet.learn_contacts({'b': ['10.2.0.1']})
        self.sent.clear()
        self.subject._send_digests(1.0)
        self.assertEqual(self.sent[0][0].leaving, [('i-1', 5)])

    def test_what_hosts_of_the_domain_report_is_taken_over(self):
        self.receive(builders.make_update('10.1.1.0', leaving=[('i-1', 5)]))
        self.assertEqual(self.directory.list_targets('ledger'), ())

    def test_what_another_domain_reports_is_taken_over(self):
        self.receive(builders.make_digest(leaving=[('i-1', 5)]))
        self.assertEqual(self.directory.list_targets('ledger'), ())

    def test_another_run_and_unknown_targets_are_not_affected(self):
        self.receive(
            builders.make_update('10.1.1.0', leaving=[('i-1', 4), ('i-2', 5)])
        )
        self.assertEqual(len(self.directory.list_targets('ledger')), 1)
