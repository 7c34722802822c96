"""Tests of admission control."""

import unittest
from unittest import mock

from lavenderstile import messages
from lavenderstile import models
from lavenderstile import slots
from lavenderstile import throughput
from lavenderstile import verdicts

from . import fleets

Outcome = messages.Outcome


class SlotTest(unittest.TestCase):
    """Guards against more concurrent requests on a target than its slots."""

    def test_each_unit_is_granted_once(self):
        owner = fleets.Owner(fleets.make_service(4, 3))
        grants = [owner.ask() for _ in range(12)]
        self.assertEqual(len({grant.unit for grant in grants}), 12)
        self.assertIsInstance(owner.ask(), messages.Queued)

    def test_a_released_unit_goes_to_the_queue(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        grant = owner.ask()
        waiting = owner.ask()
        self.assertEqual(owner.poll(), {})
        owner.release(grant)
        self.assertEqual(owner.admission.next_poll(owner.now), owner.now)
        decided = owner.poll()
        self.assertEqual(decided[waiting.request_id].unit, grant.unit)

    def test_a_second_release_frees_no_other_grant(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        first = owner.ask()
        owner.release(first)
        owner.ask()
        owner.release(first)
        self.assertIsInstance(owner.ask(), messages.Queued)

    def test_removed_units_finish_their_work_and_get_no_more(self):
        service = fleets.make_service(2, 2)
        owner = fleets.Owner(service)
        grant = owner.ask()
        kept = frozenset(
            unit
            for unit in fleets.all_units(service)
            if unit.target != grant.unit.target
        )
        owner.admission.set_units(kept, owner.now)
        others = [owner.ask() for _ in range(2)]
        self.assertEqual({other.unit for other in others}, kept)
        owner.release(grant)
        self.assertIsInstance(owner.ask(), messages.Queued)

    def test_work_is_spread_over_targets_and_domains(self):
        owner = fleets.Owner(fleets.make_service(6, 3))
        grants = [owner.ask() for _ in range(6)]
        self.assertEqual(len({grant.unit.target for grant in grants}), 6)
        first = {grant.domain for grant in grants[:3]}
        self.assertEqual(len(first), 3)


class DomainTest(unittest.TestCase):
    """Guards against requests to a domain or target out of service."""

    def setUp(self):
        self.service = fleets.make_service(6, 2)
        self.owner = fleets.Owner(self.service)

    def _ask_all(self, count):
        answers = [self.owner.ask() for _ in range(count)]
        return [a for a in answers if isinstance(a, messages.Grant)]

    def _configure(self, service, domains_out=frozenset()):
        self.owner.admission.configure(service, domains_out, self.owner.now)

    def test_a_domain_taken_out_gets_nothing_new_while_work_goes_on(self):
        running = self._ask_all(6)
        self._configure(self.service, frozenset(['north']))
        domains = {grant.domain for grant in self._ask_all(12)}
        self.assertEqual(domains, {'south', 'west'})
        for grant in running:
            self.owner.release(grant)
        domains = {decision.domain for decision in self.owner.poll().values()}
        self.assertEqual(domains, {'south', 'west'})

    def test_a_domain_comes_back_by_a_ramp(self):
        self._configure(self.service, frozenset(['north']))
        self._configure(self.service)
        grants = self._ask_all(12)
        north = [grant for grant in grants if grant.domain == 'north']
        self.assertEqual(len(north), 2)
        self.assertEqual({grant.unit.index for grant in north}, {0})
        self.assertEqual(len(grants), 10)

    def test_a_cold_domain_becomes_warm_at_low_load(self):
        """A cold target with one usable unit must still be chosen."""
        owner = fleets.Owner()
        owner.admission.configure(owner.service, {'north'}, owner.now)
        owner.admission.configure(owner.service, frozenset(), owner.now)
        chosen = set()
        for _ in range(60):
            grant = owner.ask()
            chosen.add(grant.unit.target)
            owner.release(grant)
        cold = {
            target.address
            for target in owner.service.targets
            if target.domain == 'north'
        }
        self.assertLessEqual(cold, chosen)

    def test_a_leaving_target_gets_nothing_new(self):
        leaving = self.service.targets[0].address
        self._configure(fleets.make_service(6, 2, leaving=(leaving,)))
        targets = {grant.unit.target for grant in self._ask_all(12)}
        self.assertEqual(len(targets), 5)
        self.assertNotIn(leaving, targets)

    def test_refuses_at_once_when_all_domains_are_out(self):
        self._configure(self.service, frozenset(fleets.DOMAINS))
        refusal = self.owner.ask()
        self.assertIs(refusal.reason, verdicts.Reason.NO_CAPACITY)
        self.assertIs(refusal.verdict, verdicts.Verdict.NOT_RUN)

    def test_a_removed_target_gets_nothing(self):
        service = models.Service(fleets.SERVICE, self.service.targets[1:])
        self._configure(service)
        targets = {grant.unit.target for grant in self._ask_all(12)}
        self.assertNotIn(self.service.targets[0].address, targets)


class QueueTest(unittest.TestCase):
    """Guards against requests that stay queued beyond their deadline."""

    def test_refuses_at_once_when_the_wait_exceeds_the_deadline(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        grant = owner.ask()
        owner.now += 1.0
        owner.release(grant)
        owner.ask()
        self.assertIsInstance(owner.ask(wait_s=3.5), messages.Queued)
        refusal = owner.ask(wait_s=3.5)
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)
        self.assertAlmostEqual(refusal.retry_after_s, 0.5)

    def test_sheds_queued_requests_when_slots_are_taken_away(self):
        service = fleets.make_service(2, 2)
        owner = fleets.Owner(service)
        grant = owner.ask()
        owner.now += 0.4
        owner.release(grant)
        for _ in range(4):
            owner.ask()
        for _ in range(6):
            self.assertIsInstance(owner.ask(wait_s=1.5), messages.Queued)
        units = [unit for unit in fleets.all_units(service)]
        owner.admission.set_units(frozenset(units[:1]), owner.now)
        refused = owner.poll()
        self.assertEqual(len(refused), 5)
        for refusal in refused.values():
            self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)

    def test_no_grant_after_the_deadline(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        grant = owner.ask()
        waiting = owner.ask(wait_s=0.05)
        owner.poll()
        owner.now += 0.1
        owner.release(grant)
        refusal = owner.poll()[waiting.request_id]
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)

    def test_no_grant_without_time_for_the_run(self):
        """A run granted just before the deadline would time out."""
        owner = fleets.Owner(fleets.make_service(1, 1))
        waiting = []
        for wait_s in (100.0, 3.0):
            waiting.append(owner.ask(wait_s=wait_s))
        owner.now += 1.5
        owner.release(waiting[0])
        refusal = owner.poll()[waiting[1].request_id]
        self.assertIs(refusal.reason, verdicts.Reason.QUEUE_DEADLINE)

    def test_a_late_request_does_not_use_up_a_turn(self):
        """Guards against workspaces whose turns are used up by refusals."""
        owner = fleets.Owner(fleets.make_service(1, 1))
        grant = owner.ask()
        owner.ask(workspace='long', wait_s=0.15)
        due = owner.ask(workspace='long', wait_s=100.0)
        owner.ask(workspace='short', wait_s=100.0)
        owner.poll()
        owner.now += 0.1
        owner.release(grant)
        self.assertIsInstance(owner.poll()[due.request_id], messages.Grant)

    def test_a_cancelled_request_gets_no_slot(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        grant = owner.ask()
        waiting = owner.ask()
        owner.admission.cancel(waiting.request_id, owner.now)
        owner.release(grant)
        self.assertEqual(owner.poll(), {})

    def test_waits_a_bounded_time_without_any_unit(self):
        owner = fleets.Owner(units=frozenset())
        waiting = owner.ask(wait_s=60.0)
        self.assertIsInstance(waiting, messages.Queued)
        owner.now += throughput.NO_CAPACITY_WAIT_S
        refusal = owner.poll()[waiting.request_id]
        self.assertIs(refusal.reason, verdicts.Reason.NO_CAPACITY)
        self.assertIs(owner.ask().reason, verdicts.Reason.NO_CAPACITY)
        units = fleets.all_units(owner.service)
        owner.admission.set_units(units, owner.now)
        owner.now += slots.SETTLE_S
        self.assertIsInstance(owner.ask(), messages.Grant)


class RetryTest(unittest.TestCase):
    """Guards against retries on the failed target and unlimited retries."""

    def test_a_retry_avoids_the_failed_target_and_domain(self):
        owner = fleets.Owner(fleets.make_service(6, 1))
        first = owner.ask()
        owner.release(first, Outcome.TIMEOUT)
        second = owner.ask(
            attempt=2,
            excluded_targets=(first.unit.target,),
            excluded_domains=(first.domain,),
        )
        self.assertNotEqual(second.domain, first.domain)

    def test_a_retry_waits_rather_than_use_the_failed_target(self):
        owner = fleets.Owner(fleets.make_service(2, 1))
        owner.ask()
        answer = owner.ask(attempt=2, excluded_targets=('10.0.0.0:80',))
        self.assertEqual(answer.unit.target, '10.0.0.1:80')
        answer = owner.ask(attempt=2, excluded_targets=('10.0.0.1:80',))
        self.assertIsInstance(answer, messages.Queued)

    def test_the_only_target_is_used_again(self):
        owner = fleets.Owner(fleets.make_service(1, 1))
        answer = owner.ask(attempt=2, excluded_targets=('10.0.0.0:80',))
        self.assertIsInstance(answer, messages.Grant)

    def test_the_budget_refuses_further_retries(self):
        owner = fleets.Owner()
        answers = []
        for _ in range(20):
            answers.append(owner.ask(attempt=2))
            if isinstance(answers[-1], messages.Grant):
                owner.release(answers[-1])
        refused = [a for a in answers if not isinstance(a, messages.Grant)]
        self.assertEqual(len(refused), 10)
        self.assertIs(refused[0].reason, verdicts.Reason.NO_CAPACITY)
        self.assertIs(refused[0].verdict, verdicts.Verdict.NOT_RUN)


class CrashTest(unittest.TestCase):
    """Guards against a request that crashes one target after another."""

    def _crash(self, owner, grant, digest):
        owner.release(grant, Outcome.CRASHED, digest=digest)

    def test_a_request_that_crashes_targets_reaches_two(self):
        owner = fleets.Owner()
        reached = set()
        for _ in range(10):
            answer = owner.ask(digest='poison')
            if not isinstance(answer, messages.Grant):
                break
            reached.add(answer.unit.target)
            self._crash(owner, answer, 'poison')
        self.assertEqual(len(reached), 2)
        self.assertIs(answer.reason, verdicts.Reason.CRASHES_TARGETS)
        self.assertIsInstance(owner.ask(digest='other'), messages.Grant)

    def test_requests_that_ran_on_killed_targets_are_not_blocked(self):
        # One target is killed while it runs three requests, which succeed
        # when retried; later another target is killed running the same three.
        owner = fleets.Owner()
        for _ in range(2):
            grants = {}
            while len(grants) < 3:
                digest = f'innocent{len(grants)}'
                grants[digest] = owner.ask(digest=digest)
            for digest, grant in grants.items():
                self._crash(owner, grant, digest)
            for digest in grants:
                answer = owner.ask(digest=digest)
                self.assertIsInstance(answer, messages.Grant)
                owner.release(answer, digest=digest)

    def test_a_suspect_runs_alone(self):
        owner = fleets.Owner(fleets.make_service(2, 3))
        first = owner.ask(digest='suspect')
        self._crash(owner, first, 'suspect')
        second = owner.ask(digest='suspect')
        self.assertNotEqual(second.unit.target, first.unit.target)
        others = [owner.ask() for _ in range(5)]
        beside = [
            grant
            for grant in others
            if isinstance(grant, messages.Grant)
            and grant.unit.target == second.unit.target
        ]
        self.assertEqual(beside, [])
        self.assertIsInstance(owner.ask(digest='suspect'), messages.Queued)


class SuccessionTest(unittest.TestCase):
    """Guards against slots that are granted twice when the owner changes."""

    def _hand_over(self, owner, running):
        successor = fleets.Owner(owner.service, now=owner.now, settled=False)
        successor.admission.inherit(
            owner.admission.summary(owner.now), owner.now, running
        )
        return successor

    def test_a_new_owner_grants_nothing_until_hosts_have_reported(self):
        owner = fleets.Owner(settled=False)
        waiting = owner.ask()
        self.assertIsInstance(waiting, messages.Queued)
        self.assertEqual(owner.poll(), {})
        planned = owner.admission.next_poll(owner.now)
        self.assertLessEqual(planned, owner.admission.settle_until)
        owner.now = owner.admission.settle_until
        self.assertIsInstance(owner.poll()[waiting.request_id], messages.Grant)

    def test_a_planned_succession_needs_no_wait(self):
        owner = fleets.Owner()
        grant = owner.ask()
        running = (messages.RunningGrant(grant.grant_id, 'h1', grant.unit),)
        successor = self._hand_over(owner, running)
        units = set()
        while isinstance(answer := successor.ask(), messages.Grant):
            units.add(answer.unit)
        self.assertEqual(len(units), 17)
        self.assertNotIn(grant.unit, units)

    def test_reported_grants_mark_their_units_busy(self):
        owner = fleets.Owner(fleets.make_service(1, 2), settled=False)
        unit = messages.SlotUnit(fleets.SERVICE, '10.0.0.0:80', 0)
        running = [messages.RunningGrant('old-1', 'h7', unit)]
        owner.admission.reconcile_grants('h7', running, owner.now)
        owner.now += 1.0
        self.assertEqual(owner.ask().unit.index, 1)
        self.assertIsInstance(owner.ask(), messages.Queued)

    def test_a_unit_that_comes_back_waits_for_reports_of_its_use(self):
        owner = fleets.Owner(fleets.make_service(1, 2))
        units = sorted(fleets.all_units(owner.service))
        owner.admission.set_units(frozenset(units[:1]), owner.now)
        # Another owner grants the second unit in the meantime.
        owner.now += 5.0
        owner.admission.set_units(frozenset(units), owner.now)
        self.assertEqual(owner.ask().unit, units[0])
        waiting = owner.ask()
        self.assertIsInstance(waiting, messages.Queued)
        running = (messages.RunningGrant('other-1', 'h7', units[1]),)
        owner.admission.reconcile_grants('h7', running, owner.now)
        owner.poll()
        self.assertLessEqual(
            owner.admission.next_poll(owner.now), owner.now + slots.SETTLE_S
        )
        owner.now += slots.SETTLE_S
        self.assertEqual(owner.poll(), {})

    def test_without_the_wait_a_unit_is_used_twice(self):
        with mock.patch.object(slots, 'SETTLE_S', 0.0):
            owner = fleets.Owner(fleets.make_service(1, 1), settled=False)
            grant = owner.ask()
        running = (messages.RunningGrant('other-1', 'h7', grant.unit),)
        owner.admission.reconcile_grants('h7', running, owner.now)
        dumped = owner.admission.dump(owner.now)['targets']
        self.assertEqual(dumped['10.0.0.0:80']['running'], 2)

    def test_a_crashing_request_stays_blocked(self):
        owner = fleets.Owner()
        for _ in range(2):
            grant = owner.ask(digest='poison')
            owner.release(grant, Outcome.CRASHED, digest='poison')
        successor = self._hand_over(owner, ())
        answer = successor.ask(digest='poison')
        self.assertIs(answer.reason, verdicts.Reason.CRASHES_TARGETS)


class ReportTest(unittest.TestCase):
    """Guards against slots that are lost with a release or with a host."""

    def setUp(self):
        self.owner = fleets.Owner(fleets.make_service(1, 1))
        self.grant = self.owner.ask()
        self.waiting = self.owner.ask(wait_s=60.0)

    def _report(self, running=()):
        self.owner.admission.reconcile_grants(
            'h1', list(running), self.owner.now
        )
        return self.owner.poll()

    def test_frees_a_grant_missing_from_two_reports(self):
        self.owner.now += slots.GRANT_REPORT_S + 0.1
        self.assertEqual(self._report(), {})
        self.owner.now += 1.0
        self.assertIn(self.waiting.request_id, self._report())

    def test_keeps_a_recent_grant(self):
        for _ in range(3):
            self.owner.now += 1.0
            self.assertEqual(self._report(), {})

    def test_keeps_a_grant_that_is_reported_again(self):
        running = messages.RunningGrant(
            self.grant.grant_id, 'h1', self.grant.unit
        )
        self.owner.now += 5.0
        for listed in ((), (running,), ()):
            self.assertEqual(self._report(listed), {})

    def test_a_late_report_does_not_take_a_released_slot(self):
        running = messages.RunningGrant(
            self.grant.grant_id, 'h1', self.grant.unit
        )
        self.owner.release(self.grant)
        decided = self._report((running,))
        self.assertIsInstance(decided[self.waiting.request_id], messages.Grant)

    def test_a_lost_host_keeps_its_slots_for_three_seconds(self):
        self._report()
        self.owner.admission.cancel(self.waiting.request_id, self.owner.now)
        waiting = self.owner.ask(host='h2', wait_s=60.0)
        self.owner.admission.mark_host_lost('h1', self.owner.now)
        planned = self.owner.now + slots.HOST_LOST_S
        self.owner.now = planned - 0.1
        self.assertEqual(self.owner.poll(), {})
        self.owner.now = planned
        self.assertIn(waiting.request_id, self.owner.poll())

    def test_a_lost_host_that_reports_again_keeps_its_slots(self):
        running = messages.RunningGrant(
            self.grant.grant_id, 'h1', self.grant.unit
        )
        self.owner.admission.mark_host_lost('h1', self.owner.now)
        self._report((running,))
        self.owner.now += 10.0
        self._report((running,))
        self.assertIsInstance(self.owner.ask(host='h2'), messages.Queued)
