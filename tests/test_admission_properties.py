"""Property tests of admission against a simple model.

The model tracks which requests wait, which units are in use and which may be
granted. Weakened variants of the code show that it detects violations.
"""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from lavenderstile import admission
from lavenderstile import floors
from lavenderstile import messages
from lavenderstile import models
from lavenderstile import slots
from lavenderstile import targets

from . import fleets

HOSTS = ['h0', 'h1', 'h2', 'h3']
WORKSPACES = ['large', 'small', 'tiny']
TARGETS = [f'10.0.0.{number}:80' for number in range(5)]
FLOOR = 0.6
SLOTS = 2
DIGESTS = [f'digest{number}' for number in range(12)]
UNITS = [
    messages.SlotUnit(fleets.SERVICE, target, index)
    for target in TARGETS
    for index in range(SLOTS)
]
SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ModelGrant:
    """A running grant in the model."""

    def __init__(self, grant_id, host, unit, now):
        self.grant_id = grant_id
        self.host = host
        self.unit = unit
        # Time of the owner's last contact with the host.
        self.last_contact_at = now
        self.lost = False

    def blocks(self, now):
        """Return whether the unit must not be granted again."""
        return not self.lost or now < self.last_contact_at + slots.HOST_LOST_S


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Random calls of one owner, checked against the model."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        # An invariant was violated, so the model no longer matches the owner.
        self.violated = False
        self.number = 0
        self.owner = admission.ServiceAdmission(
            fleets.SERVICE, self.now, owner_id='owner'
        )
        self.units = frozenset()
        self.usable_from = {}
        self.waiting = {}
        self.hosts_of = {}
        self.decided = set()
        self.running = {}
        self.ended = []
        self._configure(frozenset(), frozenset())
        self._set_units(frozenset(UNITS))
        self.now += 1.0

    # Events from the environment.

    def _configure(self, domains_out, leaving):
        service = models.Service(
            fleets.SERVICE,
            tuple(
                models.Target(
                    target,
                    fleets.DOMAINS[number % 3],
                    SLOTS,
                    leaving=target in leaving,
                )
                for number, target in enumerate(TARGETS)
            ),
            floor=FLOOR,
        )
        self.open = {
            target.address
            for target in service.targets
            if not target.leaving and target.domain not in domains_out
        }
        self.owner.configure(service, domains_out, self.now)

    def _set_units(self, units):
        for unit in units - self.units:
            self.usable_from[unit] = self.now + 1.0
        self.units = units
        self.owner.set_units(units, self.now)

    @stateful.rule(
        workspace=strategies.sampled_from(WORKSPACES),
        host=strategies.sampled_from(HOSTS),
        digest=strategies.sampled_from(DIGESTS),
        idempotent=strategies.booleans(),
        wait_s=strategies.sampled_from([0.05, 1.0, 10.0]),
        attempt=strategies.sampled_from([1, 1, 1, 2]),
        excluded=strategies.sets(strategies.sampled_from(TARGETS), max_size=2),
        count=strategies.integers(1, 4),
    )
    def request(
        self,
        workspace,
        host,
        digest,
        idempotent,
        wait_s,
        attempt,
        excluded,
        count,
    ):
        for _ in range(count):
            self.number += 1
            request = messages.AdmitRequest(
                f'r{self.number}',
                host,
                fleets.SERVICE,
                workspace,
                self.now + wait_s,
                digest,
                idempotent,
                attempt,
                tuple(excluded),
            )
            self.waiting[request.request_id] = request
            answer = self.owner.request(request, self.now)
            if not isinstance(answer, messages.Queued):
                self._decide(request.request_id, answer)

    @stateful.rule(
        count=strategies.integers(1, 12),
        idempotent=strategies.booleans(),
        wait_s=strategies.sampled_from([1.0, 10.0]),
    )
    def request_more(self, count, idempotent, wait_s):
        """Distinct requests of all workspaces, after a second without any."""
        self.advance(1.0)
        for number in range(count):
            self.request(
                WORKSPACES[number % 3],
                HOSTS[number % 4],
                f'fresh{self.number}',
                idempotent,
                wait_s,
                1,
                frozenset(),
                1,
            )

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.3, 1.0, 4.0]))
    def advance(self, seconds):
        self.now += seconds
        self._poll()

    @stateful.rule()
    def evaluate(self):
        self.now += 0.2
        self.owner.evaluate(self.now)
        self._poll()

    @stateful.rule(
        pick=strategies.integers(0, 100),
        outcome=strategies.sampled_from(
            [messages.Outcome.ANSWERED] * 8 + list(messages.Outcome)
        ),
        cold=strategies.sampled_from([False, False, False, True]),
        instance=strategies.sampled_from(['', '', 'one', 'two']),
    )
    def release(self, pick, outcome, cold, instance):
        if not self.running:
            return
        grant_id = sorted(self.running)[pick % len(self.running)]
        grant = self.running.pop(grant_id)
        self.ended.append(grant)
        self._report(grant, outcome, cold, instance)
        self._poll()

    @stateful.rule(pick=strategies.integers(0, 100))
    def release_again(self, pick):
        if self.ended:
            grant = self.ended[pick % len(self.ended)]
            self._report(grant, messages.Outcome.ANSWERED)

    @stateful.rule(address=strategies.sampled_from(TARGETS))
    def fail(self, address):
        """A target fails requests that were granted by another owner."""
        for _ in range(3):
            for host in HOSTS * 2:
                self.number += 1
                unit = messages.SlotUnit(fleets.SERVICE, address, 0)
                grant = ModelGrant(
                    f'ghost-{self.number}', host, unit, self.now
                )
                self._report(grant, messages.Outcome.ERROR_STATUS)
            for other in set(TARGETS) - {address}:
                self.number += 1
                unit = messages.SlotUnit(fleets.SERVICE, other, 0)
                grant = ModelGrant(
                    f'ghost-{self.number}', 'h0', unit, self.now
                )
                self._report(grant, messages.Outcome.ANSWERED)
            self.evaluate()

    def _report(self, grant, outcome, cold=False, instance=''):
        report = messages.ReleaseReport(
            grant.grant_id,
            grant.host,
            grant.unit,
            f'digest {grant.grant_id}',
            outcome,
            0.02,
            cold,
            instance,
        )
        self.owner.release(report, self.now)

    @stateful.rule(
        units=strategies.sets(strategies.sampled_from(UNITS), min_size=4)
    )
    def set_units(self, units):
        self._set_units(frozenset(units))
        self._poll()

    @stateful.rule(
        domains=strategies.sets(
            strategies.sampled_from(fleets.DOMAINS), max_size=1
        ),
        leaving=strategies.sets(strategies.sampled_from(TARGETS), max_size=1),
    )
    def configure(self, domains, leaving):
        self._configure(frozenset(domains), frozenset(leaving))
        self._poll()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def report_host(self, host):
        """A host reports; one that was lost has restarted and runs nothing."""
        own = [g for g in self.running.values() if g.host == host]
        for grant in own:
            if grant.lost:
                self.ended.append(self.running.pop(grant.grant_id))
        own = [grant for grant in own if not grant.lost]
        for grant in own:
            grant.last_contact_at = self.now
        self._reconcile_grants(host, own)

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        unit=strategies.sampled_from(UNITS),
    )
    def report_grant_of_another_owner(self, host, unit):
        self.number += 1
        grant = ModelGrant(f'foreign-{self.number}', host, unit, self.now)
        self.running[grant.grant_id] = grant
        self.report_host(host)

    def _reconcile_grants(self, host, grants):
        listed = [
            messages.RunningGrant(grant.grant_id, host, grant.unit)
            for grant in grants
        ]
        self.owner.reconcile_grants(host, listed, self.now)
        self._poll()

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def lose_host(self, host):
        for grant in self.running.values():
            if grant.host == host:
                grant.lost = True
        self.owner.mark_host_lost(host, self.now)
        self._poll()

    @stateful.rule(pick=strategies.integers(0, 100))
    def cancel(self, pick):
        if not self.waiting:
            return
        request_id = sorted(self.waiting)[pick % len(self.waiting)]
        if self.owner.cancel(request_id, self.now):
            del self.waiting[request_id]

    @stateful.rule(
        address=strategies.sampled_from(TARGETS),
        healthy=strategies.booleans(),
        cold=strategies.booleans(),
    )
    def hint(self, address, healthy, cold):
        self.owner.hint(
            messages.TargetHint(fleets.SERVICE, address, healthy, cold=cold),
            self.now,
        )

    @stateful.rule(
        chosen=strategies.sets(strategies.sampled_from(TARGETS), max_size=3),
    )
    def inherit(self, chosen):
        notes = tuple(
            messages.EjectionNote(
                fleets.SERVICE, target, 'ejected', 3.0, 1, 'inherited'
            )
            for target in sorted(chosen)
        )
        self.owner.inherit(
            messages.ServiceSummary(fleets.SERVICE, notes, ()), self.now
        )

    @stateful.rule()
    def pause(self):
        # The owner extends the grants that had not ended before the pause.
        for grant in self.running.values():
            if grant.blocks(self.now):
                grant.last_contact_at = self.now + 5.0
        self.now += 5.0
        self.owner.drop_evidence(self.now)
        self.usable_from = dict.fromkeys(self.units, self.now + 1.0)

    # Checks of the owner's decisions.

    def _poll(self):
        for decision in self.owner.poll(self.now):
            self._decide(decision.request_id, decision.outcome)

    def _decide(self, request_id, outcome):
        self._expect(request_id not in self.decided, 'decided twice')
        request = self.waiting.pop(request_id)
        self.decided.add(request_id)
        if isinstance(outcome, messages.Grant):
            self._check_grant(request, outcome)

    def _check_grant(self, request, grant):
        unit = grant.unit
        self._expect(self.now < request.deadline, 'granted after the deadline')
        self._expect(unit in self.units, 'not a unit of this owner')
        self._expect(self.now >= self.usable_from[unit], 'unit not settled')
        self._expect(unit.target in self.open, 'target out of service')
        self._expect(grant.grant_id not in self.running, 'id used twice')
        blocking = [
            other
            for other in self.running.values()
            if other.unit == unit and other.blocks(self.now)
        ]
        self._expect(not blocking, 'unit in use')
        self._expect(
            request.idempotent or not grant.trial, 'non-idempotent trial'
        )
        self.running[grant.grant_id] = ModelGrant(
            grant.grant_id, request.host, unit, self.now
        )
        # A lost host that sends a request is back; its old grants continue
        # until its next report omits them.
        for other in self.running.values():
            if other.host == request.host and other.blocks(self.now):
                other.lost = False
        self._check_limit(unit.target)

    def _check_limit(self, target):
        limit = self.owner.dump(self.now)['targets'][target]['limit']
        count = sum(
            other.unit.target == target and other.blocks(self.now)
            for other in self.running.values()
        )
        self._expect(
            limit is None or count <= limit, 'over the cold-start limit'
        )

    @stateful.invariant()
    def floor_holds(self):
        dumped = self.owner.dump(self.now)['targets']
        held = [unit for unit in self.units if unit.target in self.open]
        out = [
            unit
            for unit in held
            if dumped[unit.target]['state'] in ('ejected', 'trial')
        ]
        self._expect(
            len(out) <= (1 - FLOOR) * len(held) + 1e-9, 'floor broken'
        )

    def _expect(self, condition, message):
        if not condition:
            self.violated = True
            raise AssertionError(message)

    def teardown(self):
        """Every request is decided by its deadline."""
        if self.violated:
            return
        for _ in range(60):
            self.now += 0.2
            self._poll()
        self._expect(not self.waiting, 'no decision')


class PropertyTest(unittest.TestCase):
    """Guards against orders of events that violate an invariant."""

    def test_promises_hold(self):
        stateful.run_state_machine_as_test(AdmissionMachine, settings=SETTINGS)

    def _assert_detected(self, text):
        settings = hypothesis.settings(
            SETTINGS, phases=[hypothesis.Phase.generate], print_blob=False
        )
        with self.assertRaisesRegex(AssertionError, text):
            stateful.run_state_machine_as_test(
                AdmissionMachine, settings=settings
            )

    def test_notices_units_that_are_granted_twice(self):
        with mock.patch.object(
            slots.SlotTable, 'free_units', slots.SlotTable.units
        ):
            self._assert_detected('unit in use|not settled')

    def test_notices_units_that_do_not_settle(self):
        with mock.patch.object(slots, 'SETTLE_S', 0.0):
            self._assert_detected('not settled')

    def test_notices_targets_out_of_service(self):
        with mock.patch.object(
            targets.TargetState,
            'eligible',
            property(lambda state: not state.ejected),
        ):
            self._assert_detected('out of service')

    def test_notices_a_broken_floor(self):
        with (
            mock.patch.object(
                floors.CapacityFloor,
                'allows',
                autospec=True,
                return_value=True,
            ),
            mock.patch.object(
                floors.CapacityFloor,
                'is_broken',
                autospec=True,
                return_value=False,
            ),
        ):
            self._assert_detected('floor broken')

    def test_notices_load_over_the_ramp(self):
        def usable_units(state, table, now):
            return list(table.free_units(state.address))

        with mock.patch.object(
            targets.TargetState, 'usable_units', usable_units
        ):
            self._assert_detected('over the cold-start limit')

    def test_notices_grants_of_lost_hosts_that_end_too_early(self):
        with mock.patch.object(slots, 'HOST_LOST_S', -10.0):
            with mock.patch.object(ModelGrant, 'blocks', blocks_as_specified):
                self._assert_detected('unit in use')


def blocks_as_specified(grant, now):
    """Return `ModelGrant.blocks` with the specified time, not the patched."""
    return not grant.lost or now < grant.last_contact_at + 3.0
