"""Tests of the limits that targets state for all hosts together."""

import math
import random
import unittest

from emulator import registered_target as standin
from lavenderstile.edge import balancing
from lavenderstile.edge import directory
from lavenderstile.edge import messages
from lavenderstile.edge import parsed_headers
from lavenderstile.edge import target_limits
from tests.edge import builders
from tests.edge import edge_case


async def _reject_with_limit(target, request, writer):
    headers = ['x-lavenderstile-not-executed: 1', 'server-limit: 0.5']
    writer.write(standin.render(request.request_id, 503, b'', headers))


async def _answer_with_limit(target, request, writer):
    headers = ['server-limit: 2']
    writer.write(standin.render(request.request_id, headers=headers))


async def _answer_with_garbled_limit(target, request, writer):
    headers = ['server-limit: many']
    writer.write(standin.render(request.request_id, headers=headers))


class StatementTest(edge_case.EdgeCase):
    """Guards against limits that a host does not notice, or keeps too long."""

    async def get_rate_after(self, *behaviours):
        """Return the known limit of a target after a request for each."""
        target = await self.add_target(*behaviours)
        for _ in behaviours:
            await self.request('/read/1')
        return self.parts.target_limits.get_rate(target.instance)

    async def test_a_response_states_a_limit(self):
        self.assertEqual(await self.get_rate_after(_answer_with_limit), 2.0)

    async def test_a_rejection_states_a_limit(self):
        self.assertEqual(await self.get_rate_after(_reject_with_limit), 0.5)

    async def test_a_response_without_a_limit_lifts_it(self):
        rate = await self.get_rate_after(_answer_with_limit, standin.answer)
        self.assertIsNone(rate)

    async def test_an_unreadable_limit_changes_nothing(self):
        rate = await self.get_rate_after(
            _answer_with_limit, _answer_with_garbled_limit
        )
        self.assertEqual(rate, 2.0)


class LimitedFleet:
    """Hosts of one domain that learn of each other's requests with a delay.

    Requests arrive at random hosts; all go to the same limited target if it
    may get them.
    """

    STEP_S = 0.01
    HEARTBEAT_STEPS = 50
    SETTLE_S = 3.0

    def __init__(self, hosts, rate, delay_s, loss_share=0.0, seed=1):
        self.sent = []
        self._rng = random.Random(seed)
        self._delay_s = delay_s
        self._loss_share = loss_share
        self._in_flight = []
        target = builders.make_target('i-0')
        addresses = [f'10.1.0.{number + 1}' for number in range(hosts)]
        self.hosts = [
            builders.BalancerFixture([target], address=address)
            for address in addresses
        ]
        for _ in range(2):
            for host in self.hosts:
                update = builders.make_update(host.fleet.address)
                self._deliver(messages.pack(update))
        self.hosts[0].target_limits.record(
            'i-0', parsed_headers.Limited(rate), 0.0, self.now
        )

    @property
    def now(self):
        """Time of the hosts' clocks."""
        return self.hosts[0].clock.now()

    def run(self, per_s, duration_s):
        """Send requests at a rate; record when the target gets one."""
        for step in range(round(duration_s / self.STEP_S)):
            is_heartbeat = step % self.HEARTBEAT_STEPS == 0
            senders = self.hosts if is_heartbeat else []
            if self._rng.random() < per_s * self.STEP_S:
                host = self._rng.choice(self.hosts)
                if self._send_request(host):
                    senders = [*senders, host]
            for host in senders:
                data = messages.pack(self._make_update(host))
                self._in_flight.append((self.now + self._delay_s, data))
            while self._in_flight and self._in_flight[0][0] <= self.now:
                self._deliver(self._in_flight.pop(0)[1])
            for host in self.hosts:
                host.clock.advance(self.STEP_S)

    def _send_request(self, host):
        choice = host.choose()
        if not isinstance(choice, balancing.Chosen):
            return False
        host.balancer.begin(choice.known, self.now)
        host.balancer.end(choice.known)
        self.sent.append(self.now)
        return True

    def _make_update(self, host):
        return builders.make_update(
            host.fleet.address,
            limits=host.target_limits.get_reports(
                target_limits.Source.RESPONSE, self.now
            ),
            limited_sends=host.target_limits.sends,
        )

    def _deliver(self, data):
        sender = messages.unpack(data).address
        for host in self.hosts:
            if host.fleet.address == sender:
                continue
            if self._rng.random() < self._loss_share:
                continue
            update = messages.unpack(data)
            _, _, limited = host.fleet.apply_update(update, self.now)
            host.target_limits.record_reports(
                update.limits, target_limits.Source.PEER, self.now
            )
            host.target_limits.record_peer_sends(limited, self.now)

    def find_largest_window(self, window_s):
        """Return the largest number of requests in a window.

        The limit binds some seconds after it was stated.
        """
        sent = [at for at in self.sent if at >= self.sent[0] + self.SETTLE_S]
        return max(
            sum(start <= at < start + window_s for at in sent)
            for start in sent
        )


class SumTest(unittest.TestCase):
    """Load pattern: a target in need states a limit while its service is busy.

    Guards against hosts that each keep to the limit but exceed it together,
    and against a limited target that gets much less than it takes.
    """

    WINDOW_S = 4.0
    DURATION_S = 40.0

    def check(self, rate, per_s=50.0, **changes):
        """Run a fleet; check the requests that the target gets."""
        hosts = LimitedFleet(16, rate, **changes)
        hosts.run(per_s, self.DURATION_S)
        allowed = 1.5 * rate * self.WINDOW_S + 5
        self.assertLessEqual(hosts.find_largest_window(self.WINDOW_S), allowed)
        self.assertGreater(len(hosts.sent), 0.7 * rate * self.DURATION_S)

    def test_the_sum_of_all_hosts_keeps_to_the_limit(self):
        for rate in (0.5, 1.0, 1.8, 10.0):
            with self.subTest(rate=rate):
                self.check(rate, delay_s=0.03)

    def test_late_and_lost_updates(self):
        """Guards against an excess of each token on busy hosts."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self.check(1.0, 20.0, delay_s=0.15, loss_share=0.1, seed=seed)

    def test_a_target_that_takes_nothing_is_still_asked_for_a_change(self):
        hosts = LimitedFleet(hosts=16, rate=0.0, delay_s=0.03)
        hosts.run(50.0, self.DURATION_S)
        self.assertLessEqual(hosts.find_largest_window(self.WINDOW_S), 5)
        self.assertGreater(len(hosts.sent), 3)


class LimitCase(unittest.TestCase):
    """Test case with the limits known to one host."""

    def setUp(self):
        self.fixture = builders.BalancerFixture(
            [
                builders.make_target('i-1'),
                builders.make_target('j-1', domain='b'),
            ]
        )
        self.limits = self.fixture.target_limits

    def state(self, instance, rate, sent_at, now):
        """Let a response state a limit, or none."""
        limit = (
            parsed_headers.Unlimited()
            if rate is None
            else parsed_headers.Limited(rate)
        )
        self.limits.record(instance, limit, sent_at, now)

    def get_wait(self, instance):
        """Return the wait for a target."""
        known = self.fixture.directory.targets[instance]
        return self.limits.get_wait(known.target, self.fixture.clock.now())


class ChangeTest(LimitCase):
    """Guards against limits that are lifted early or kept for ever."""

    def test_an_overtaken_response_lifts_nothing(self):
        self.state('i-1', 1.0, 9.0, 10.0)
        self.state('i-1', None, 9.9, 10.1)
        self.assertEqual(self.limits.get_rate('i-1'), 1.0)
        self.state('i-1', None, 10.1, 10.3)
        self.assertIsNone(self.limits.get_rate('i-1'))

    def test_the_newest_statement_counts(self):
        """Guards against a peer's old report that restores a lifted limit."""
        self.state('i-1', 1.0, 9.0, 10.0)
        self.state('i-1', None, 11.0, 11.2)
        old = {'i-1': messages.LimitReport(1.0, 2.0)}
        self.limits.record_reports(old, target_limits.Source.PEER, 12.0)
        self.assertIsNone(self.limits.get_rate('i-1'))
        new = {'i-1': messages.LimitReport(3.0, 0.1)}
        self.limits.record_reports(new, target_limits.Source.PEER, 12.0)
        self.assertEqual(self.limits.get_rate('i-1'), 3.0)

    def test_a_lift_is_reported_for_a_while(self):
        self.state('i-1', 1.0, 9.0, 10.0)
        self.state('i-1', None, 11.0, 11.2)
        source = target_limits.Source.RESPONSE
        reports = self.limits.get_reports(source, 12.0)
        self.assertEqual(reports, {'i-1': messages.LimitReport(None, 1.0)})
        later = 11.0 + target_limits.LIFT_RETENTION_S
        self.assertEqual(self.limits.get_reports(source, later), {})

    def test_reports_of_peers_go_to_other_domains_only(self):
        """Guards against statements that circulate and never grow old."""
        reports = {'i-1': messages.LimitReport(1.0, 0.0)}
        source = target_limits.Source
        self.limits.record_reports(reports, source.PEER, 10.0)
        self.assertEqual(self.limits.get_reports(source.RESPONSE, 10.0), {})
        self.assertEqual(self.limits.get_reports(source.PEER, 10.0), reports)
        reports = {'j-1': messages.LimitReport(1.0, 0.0)}
        self.limits.record_reports(reports, source.OTHER_DOMAIN, 10.0)
        self.assertNotIn('j-1', self.limits.get_reports(source.PEER, 10.0))

    def test_a_target_that_has_left_is_forgotten(self):
        self.state('i-1', 1.0, 9.0, 10.0)
        self.limits.record_send('i-1', 10.0)
        self.limits.keep({'j-1'})
        self.assertIsNone(self.limits.get_rate('i-1'))
        self.assertEqual(self.limits.sends, {})


class ChoiceTest(LimitCase):
    """Guards against requests that are sent in spite of a limit."""

    def test_a_limited_target_gets_one_request_at_a_time(self):
        self.state('i-1', 1.0, 0.0, self.fixture.clock.now())
        self.assertEqual(set(self.fixture.send(8)), {'i-1', 'j-1'})
        self.assertEqual(self.limits.sends, {'i-1': 1})

    def test_a_service_with_limited_targets_only_says_when_to_return(self):
        fixture = builders.BalancerFixture([builders.make_target('i-1')])
        fixture.target_limits.record(
            'i-1', parsed_headers.Limited(0.5), 0.0, fixture.clock.now()
        )
        self.assertEqual(fixture.send(1), ['i-1'])
        choice = fixture.choose()
        self.assertIsInstance(choice, balancing.Full)
        self.assertAlmostEqual(choice.wait_s, 2.0, delta=0.1)

    def test_requests_to_limited_targets_are_reported_at_once(self):
        """Guards against hosts of a large domain that use the same token."""
        now = self.fixture.clock.now()
        self.fixture.record_successes('i-1')
        known = self.fixture.directory.targets['i-1']
        self.assertFalse(self.fixture.balancer.is_critical(known, now))
        self.state('i-1', 1.0, 0.0, now)
        self.assertTrue(self.fixture.balancer.is_critical(known, now))


class ShareTest(LimitCase):
    """Guards against domains that exceed a limit together.

    Domains learn of each other's requests half a second late.
    """

    def hear_of_domain(self, domain, size):
        """Receive the digest of another domain."""
        digest = messages.Digest(
            '10.2.0.1', domain, 1, size, [], {}, {}, 1, []
        )
        self.fixture.fleet.apply_digest(digest, self.fixture.clock.now())

    def test_targets_of_another_domain_are_left_to_its_hosts(self):
        self.hear_of_domain('b', 1)
        self.state('j-1', 1.0, 0.0, self.fixture.clock.now())
        self.assertEqual(self.get_wait('j-1'), math.inf)

    def test_a_domain_without_targets_gets_a_part_of_the_limit(self):
        """Guards against callers that no target serves, in a whole domain."""
        self.fixture.directory.apply_changes(
            directory.Changes(11, ((11, directory.TargetRemoved('i-1')),)),
            self.fixture.clock.now(),
        )
        self.hear_of_domain('b', 3)
        self.hear_of_domain('c', 1)
        self.state('j-1', 1.0, 0.0, self.fixture.clock.now())
        self.assertEqual(self.get_wait('j-1'), 0.0)
        self.limits.record_send('j-1', self.fixture.clock.now())
        # One host of five that have to share the limit.
        self.assertAlmostEqual(self.get_wait('j-1'), 5.0, delta=0.3)
