"""Tests of decisions based on outcomes and hints of targets."""

import unittest
from unittest import mock

from lavenderstile import messages
from lavenderstile import reviews
from lavenderstile import target_events

from . import fleets

Outcome = messages.Outcome
EventKind = target_events.EventKind
COLD = '10.0.0.0:80'


class ColdStartTest(unittest.TestCase):
    """Guards against full load on a target that has become cold."""

    def setUp(self):
        self.owner = fleets.Owner(fleets.make_service(2, 4))

    def _grant_on_cold(self):
        """Ask until all slots are used; return the grants on COLD."""
        grants = []
        while isinstance(answer := self.owner.ask(), messages.Grant):
            grants.append(answer)
        return [g for g in grants if g.unit.target == COLD]

    def _respond_from_cold(self, **fields):
        grant = self.owner.ask()
        while grant.unit.target != COLD:
            self.owner.release(grant)
            grant = self.owner.ask()
        self.owner.release(grant, **fields)

    def _restart_unannounced(self):
        self._respond_from_cold(instance='first')
        self._respond_from_cold(instance='second')

    def test_a_new_instance_without_announcement_gets_one_request(self):
        self._restart_unannounced()
        self.assertEqual(len(self._grant_on_cold()), 1)

    def test_without_looking_at_instances_it_gets_full_load(self):
        with mock.patch.object(
            reviews.TargetReview, '_check_instance', autospec=True
        ):
            self._restart_unannounced()
        self.assertEqual(len(self._grant_on_cold()), 4)

    def test_an_announced_cold_start_gets_one_request(self):
        self._respond_from_cold(cold=True)
        self.assertEqual(len(self._grant_on_cold()), 1)

    def test_hints_announce_cold_starts_too(self):
        for fields in ({'cold': True}, {'instance': 'other'}):
            owner = fleets.Owner(fleets.make_service(2, 4))
            for instance in ('one', fields.get('instance', 'one')):
                owner.admission.hint(
                    messages.TargetHint(
                        fleets.SERVICE,
                        COLD,
                        True,
                        cold=fields.get('cold', False),
                        instance=instance,
                    ),
                    owner.now,
                )
            dumped = owner.admission.dump(owner.now)
            self.assertEqual(dumped['targets'][COLD]['limit'], 1)

    def test_shed_load_leads_to_one_request(self):
        self._respond_from_cold(outcome=Outcome.SHED)
        self.assertEqual(len(self._grant_on_cold()), 1)

    def test_rises_with_good_responses_and_falls_when_load_is_shed(self):
        self._respond_from_cold(cold=True)
        for _ in range(8):
            self._respond_from_cold()
        grants = self._grant_on_cold()
        self.assertEqual(len(grants), 2)
        self.owner.release(grants[0], Outcome.SHED)
        decided = self.owner.poll()
        self.assertNotIn(
            COLD, {grant.unit.target for grant in decided.values()}
        )

    def test_slow_answers_after_refused_connections_mean_a_restart(self):
        for _ in range(60):
            self._respond_from_cold(latency_s=0.02)
        self.owner.admission.evaluate(self.owner.now)
        self._respond_from_cold(outcome=Outcome.CONNECT_FAILED)
        self._respond_from_cold(latency_s=0.2)
        self.assertEqual(len(self._grant_on_cold()), 1)

    def test_a_refused_connection_alone_begins_no_ramp(self):
        for _ in range(60):
            self._respond_from_cold(latency_s=0.02)
        self.owner.admission.evaluate(self.owner.now)
        self._respond_from_cold(outcome=Outcome.CONNECT_FAILED)
        self._respond_from_cold(latency_s=0.02)
        self.assertEqual(len(self._grant_on_cold()), 4)

    def test_a_ramp_is_reported_from_its_begin_to_its_end(self):
        self._respond_from_cold(cold=True)
        for _ in range(60):
            self._respond_from_cold()
        kinds = [
            event.kind
            for event in self.owner.admission.evaluate(self.owner.now)
        ]
        self.assertEqual(
            kinds, [EventKind.COLD_START_BEGAN, EventKind.COLD_START_ENDED]
        )

    def test_a_new_target_starts_cold_but_not_for_a_new_owner(self):
        service = fleets.make_service(3, 4)
        self.owner.admission.configure(service, frozenset(), self.owner.now)
        limits = [
            state['limit']
            for state in self.owner.admission.dump(self.owner.now)[
                'targets'
            ].values()
        ]
        self.assertEqual(limits, [None, None, 1])

    def test_a_successor_continues_the_ramp(self):
        self._respond_from_cold(cold=True)
        for _ in range(8):
            self._respond_from_cold()
        summary = self.owner.admission.summary(self.owner.now)
        successor = fleets.Owner(self.owner.service)
        successor.admission.inherit(summary, successor.now)
        dumped = successor.admission.dump(successor.now)
        self.assertEqual(dumped['targets'][COLD]['limit'], 2)


class EvidenceTest(unittest.TestCase):
    """Guards against wrong conclusions from single outcomes."""

    def _fail(self, owner, outcome, count=40, **fields):
        """Make COLD fail for many hosts while the other targets respond."""
        events = []
        for number in range(count):
            host = f'h{number % 7}'
            grants = [owner.ask(host=host, idempotent=False) for _ in 'ab']
            owner.now += 0.1
            for grant in grants:
                if grant.unit.target == COLD:
                    owner.release(grant, outcome, host, **fields)
                else:
                    owner.release(grant, host=host)
            events.extend(owner.admission.evaluate(owner.now))
        return [event.kind for event in events]

    def test_failures_count(self):
        for outcome in (
            Outcome.ERROR_STATUS,
            Outcome.CONNECT_FAILED,
            Outcome.TIMEOUT,
            Outcome.TRUNCATED,
            Outcome.CROSSED,
            Outcome.CRASHED,
        ):
            owner = fleets.Owner(fleets.make_service(4, 3))
            kinds = self._fail(owner, outcome)
            self.assertIn(EventKind.EJECTED, kinds, outcome)

    def test_inconclusive_outcomes_do_not_count(self):
        for outcome in (
            Outcome.SILENT_CONNECTION,
            Outcome.CANCELLED,
            Outcome.NOT_SENT,
        ):
            owner = fleets.Owner(fleets.make_service(4, 3))
            self.assertEqual(self._fail(owner, outcome), [], outcome)

    def test_a_target_that_sheds_its_only_request_is_bad(self):
        owner = fleets.Owner(fleets.make_service(4, 3))
        self.assertIn(EventKind.EJECTED, self._fail(owner, Outcome.SHED))

    def test_outcomes_of_unknown_grants_count_once(self):
        owner = fleets.Owner(fleets.make_service(4, 3))
        unit = messages.SlotUnit(fleets.SERVICE, COLD, 0)
        grant = messages.Grant('unknown', 'r', unit, 'north')
        for _ in range(50):
            owner.release(grant, Outcome.ERROR_STATUS)
        window = owner.admission._review._window
        self.assertEqual(len(window.samples(COLD, owner.now)), 1)

    def test_evidence_from_before_a_pause_is_dropped(self):
        def run(drop):
            """Let requests time out while the process is paused."""
            owner = fleets.Owner(fleets.make_service(4, 3))
            for number in range(8):
                grants = [
                    owner.ask(host=f'h{number + n}', idempotent=False)
                    for n in range(4)
                ]
                bad = [g for g in grants if g.unit.target == COLD]
                for grant in grants:
                    if grant not in bad:
                        owner.release(grant)
                for grant in bad:
                    owner.release(grant, Outcome.TIMEOUT, f'h{number}')
            owner.admission.evaluate(owner.now)
            owner.now += 5.0
            if drop:
                owner.admission.drop_evidence(owner.now)
            unit = messages.SlotUnit(fleets.SERVICE, COLD, 0)
            for number in range(4):
                owner.now += 0.1
                late = messages.Grant(f'late{number}', 'r', unit, 'north')
                owner.release(late, Outcome.TIMEOUT, f'h{number}')
            return [e.kind for e in owner.admission.evaluate(owner.now)]

        self.assertIn(EventKind.EJECTED, run(False))
        self.assertNotIn(EventKind.EJECTED, run(True))


class ExplanationTest(unittest.TestCase):
    """Guards against states whose cause an operator cannot see."""

    def setUp(self):
        self.owner = fleets.Owner()

    def _explain(self, address=COLD):
        lines = self.owner.admission.explain_target(address, self.owner.now)
        return ' '.join(lines)

    def test_names_a_domain_out_of_service(self):
        self.owner.admission.configure(
            self.owner.service, frozenset(['north']), self.owner.now
        )
        self.assertIn('domain north is out of service', self._explain())

    def test_names_the_cause_of_an_ejection(self):
        note = messages.EjectionNote(
            fleets.SERVICE, COLD, 'ejected', 4.0, 3, '9 of 9 requests failed'
        )
        self.owner.admission.inherit(
            messages.ServiceSummary(fleets.SERVICE, (note,), ()),
            self.owner.now,
        )
        text = self._explain()
        self.assertIn('9 of 9 requests failed', text)
        self.assertIn('trial starts in 4.0 s', text)

    def test_names_a_ramp_and_its_cause(self):
        self.owner.admission.hint(
            messages.TargetHint(fleets.SERVICE, COLD, True, cold=True),
            self.owner.now,
        )
        self.assertIn('announced by the target', self._explain())

    def test_names_an_address_that_is_no_target(self):
        self.assertIn('is not a target', self._explain('10.9.9.9:80'))
        self.assertIn('is in service', self._explain())
