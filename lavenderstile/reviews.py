"""Review of a service's targets: evidence, hints, ejection, cold start."""

import collections
import statistics

from . import avoidance
from . import ejection
from . import evidence
from . import floors
from . import messages
from . import partitions
from . import silent_targets
from . import target_events
from . import targets

Outcome = messages.Outcome
EventKind = target_events.EventKind

_FAILURE_OUTCOMES = frozenset(
    (
        Outcome.ERROR_STATUS,
        Outcome.CONNECT_FAILED,
        Outcome.TIMEOUT,
        Outcome.TRUNCATED,
        Outcome.CROSSED,
        Outcome.CRASHED,
    )
)
# State in a note about a cold start; its `returns` is the concurrency limit.
RAMPING_NOTE = 'ramping'


class TargetReview:
    """An owner's view of a service's targets, and its decisions on them.

    `states` is shared with placement; `table` is the owner's slot table.
    """

    __slots__ = (
        '_avoidance',
        '_ejection',
        '_events',
        '_floor',
        '_median_latency_s',
        '_name',
        '_pending_notes',
        '_silent_targets',
        '_states',
        '_table',
        '_window',
    )

    def __init__(self, service_name, states, table):
        self._name = service_name
        self._states = states
        self._table = table
        self._window = evidence.EvidenceWindow()
        self._avoidance = avoidance.PathAvoidance()
        self._silent_targets = silent_targets.SilentTargetDetector()
        self._ejection = ejection.EjectionPolicy(
            service_name, states, floors.CapacityFloor(states, table)
        )
        self._floor = 1.0
        # Median of the targets' median latencies at the last review, or None.
        self._median_latency_s = None
        # Notes received before the first configuration.
        self._pending_notes = ()
        self._events = []

    def configure(self, service, domains_out, now):
        """Apply the configured targets and the domains' states."""
        is_first = not self._states
        self._floor = service.floor
        addresses = {target.address for target in service.targets}
        for address in self._states.keys() - addresses:
            del self._states[address]
            self._window.remove_target(address)
            self._avoidance.remove_target(address)
        for target in service.targets:
            in_service = target.domain not in domains_out
            state = self._states.get(target.address)
            if state is None:
                state = targets.TargetState(target, in_service)
                self._states[target.address] = state
                if not is_first:
                    self._begin_cold_start(state, 'new target')
                continue
            was_open = state.open
            state.configure(target, in_service)
            if state.open and not was_open:
                self._begin_cold_start(state, 'back in service')
        self._ejection.drop_removed()
        self._inherit_notes(now)
        self.enforce_floor(now)

    def enforce_floor(self, now):
        """Reinstate targets when the floor no longer allows ejections."""
        self._ejection.enforce_floor(self._floor, now)

    def record(self, report, holder, now):
        """Record the outcome of an attempt; `holder` is None if unknown."""
        state = self._states.get(report.unit.target)
        if state is None:
            return
        self._check_instance(state, report.instance)
        self._record_cold_announcement(state, report.cold)
        failed = self._is_failure(state, report, holder)
        self._update_ramp(state, report, holder, failed)
        if failed is None:
            return
        self._check_refused_connection(state, report)
        if holder is not None and holder.trial:
            slow = self._is_slow(report.latency_s, self._median_latency_s)
            self._ejection.record_trial(
                state.address, not failed and not slow, now
            )
            return
        if state.ejected:
            return
        if holder is not None and holder.granted_at < state.evidence_since:
            return
        if self._avoidance.record(report.host, state.address, failed, now):
            return
        latency_s = None if failed else report.latency_s
        self._window.record(state.address, report.host, failed, latency_s, now)
        self._silent_targets.record(
            state.address, report.host, failed, now, latency_s
        )

    def hint(self, hint, now):
        """Apply a hint from a target's health and load endpoints."""
        state = self._states.get(hint.target)
        if state is None:
            return
        state.healthy = hint.healthy
        state.draining = hint.draining
        state.hint_at = now
        state.hinted_running = hint.running
        self._check_instance(state, hint.instance)
        self._record_cold_announcement(state, hint.cold)
        self._ejection.record_health(state.address, hint.healthy, now)

    def evaluate(self, now):
        """Review all targets; return the events since the last review."""
        eligible = [a for a, state in self._states.items() if state.eligible]
        silent = self._silent_targets.review(eligible, self._table, now)
        judgements = self._window.compare(eligible, now)
        if self._avoid_partitioned_paths(judgements, now):
            judgements = self._window.compare(eligible, now)
        judgements = {
            address: self._silent_targets.judge(judgement)
            for address, judgement in judgements.items()
        }
        self._store_medians(judgements)
        self._ejection.evaluate(judgements, silent, self._floor, now)
        self._review_paths(eligible, now)
        self._collect_ejection_events()
        events, self._events = self._events, []
        return events

    def is_avoided(self, host, target, now):
        """Return whether a host avoids a target."""
        return self._avoidance.is_avoided(host, target, now)

    def notes(self, now):
        """Return ejections and cold starts as notes for the next owner."""
        ramping = tuple(
            messages.EjectionNote(
                self._name,
                address,
                RAMPING_NOTE,
                0.0,
                state.cold.limit(),
                state.cold.reason,
            )
            for address, state in self._states.items()
            if state.cold.ramping
        )
        return self._ejection.notes(now) + ramping

    def inherit(self, notes, now):
        """Take over the notes of the previous owner."""
        self._pending_notes = tuple(notes)
        self._inherit_notes(now)
        self.enforce_floor(now)

    def drop_evidence(self, now):
        """Drop evidence from before a pause of this process."""
        self._window.clear()
        self._avoidance.clear()
        self._silent_targets.clear()
        self._ejection.restart_trials(now)
        for state in self._states.values():
            state.cold.reset_progress()
            state.connect_refused = False
            state.evidence_since = now

    def ejection_of(self, address):
        """Return the ejection state of a target."""
        return self._ejection.get(address)

    def avoided_hosts(self, address, now):
        """Return the hosts that avoid a target."""
        avoided = self._avoidance.avoided(now)
        return sorted(host for host, target in avoided if target == address)

    def _inherit_notes(self, now):
        if not self._states:
            return
        for note in self._pending_notes:
            state = self._states.get(note.target)
            if note.state != RAMPING_NOTE:
                self._ejection.inherit(note, now)
            elif state is not None and not state.cold.ramping:
                state.cold.resume(note.returns, note.reason)
        self._pending_notes = ()

    def _is_failure(self, state, report, holder):
        """Return whether the target failed, or None if that is unknown."""
        if report.outcome is Outcome.ANSWERED:
            return False
        if report.outcome is Outcome.SHED:
            # A cold target that sheds its only request serves nothing.
            was_only_request = self._table.running(state.address) == 0
            return True if was_only_request and state.cold.first_step else None
        if report.outcome is Outcome.CRASHED:
            # A suspect request runs isolated, so it caused the crash itself.
            return None if holder is not None and holder.isolated else True
        return True if report.outcome in _FAILURE_OUTCOMES else None

    def _update_ramp(self, state, report, holder, failed):
        if report.outcome is Outcome.SHED:
            self._begin_cold_start(state, 'shed load')
        elif failed:
            state.cold.record_failure()
        elif failed is False and holder is not None:
            if state.cold.record_success(holder.step):
                self._add_event(
                    state, EventKind.COLD_START_ENDED, 'ramp complete'
                )

    def _check_refused_connection(self, state, report):
        """Begin a cold start if responses are slow after a refused connect."""
        if report.outcome is Outcome.CONNECT_FAILED:
            state.connect_refused = True
        elif report.outcome is Outcome.ANSWERED and state.connect_refused:
            state.connect_refused = False
            if self._is_slow(report.latency_s, state.median_s):
                self._begin_cold_start(state, 'slow after refused connections')

    def _check_instance(self, state, instance):
        if not instance:
            return
        if state.instance and state.instance != instance:
            self._begin_cold_start(state, 'instance changed')
        state.instance = instance

    def _record_cold_announcement(self, state, cold):
        if state.cold.record_announcement(cold):
            self._add_event(
                state, EventKind.COLD_START_BEGAN, state.cold.reason
            )

    def _begin_cold_start(self, state, reason):
        if state.cold.restart(reason):
            self._add_event(state, EventKind.COLD_START_BEGAN, reason)

    def _is_slow(self, latency_s, usual_s):
        if latency_s is None or usual_s is None:
            return False
        return latency_s > max(
            usual_s * evidence.LATENCY_FACTOR,
            usual_s + evidence.MIN_LATENCY_EXCESS_S,
        )

    def _avoid_partitioned_paths(self, judgements, now):
        """Make hosts avoid the targets of a domain that they cannot reach.

        Return whether there are such hosts; their samples are then dropped.
        """
        groups = collections.defaultdict(list)
        for address, judgement in judgements.items():
            if judgement.bad and not judgement.slow:
                domain = self._states[address].target.domain
                groups[domain].append(address)
        found = False
        for domain, addresses in groups.items():
            samples = [
                sample
                for address in addresses
                for sample in self._window.samples(address, now)
            ]
            hosts = partitions.find_partitioned_hosts(samples, now)
            if hosts:
                found = True
                self._avoid_unreachable_targets(domain, hosts, judgements, now)
        return found

    def _avoid_unreachable_targets(self, domain, hosts, addresses, now):
        """Make hosts avoid the targets of a domain that fail for them."""
        groups = collections.defaultdict(list)
        for address in addresses:
            if self._states[address].target.domain != domain:
                continue
            working = partitions.find_working_hosts(
                self._window.samples(address, now), now
            )
            for host in hosts - working:
                groups[host].append(address)
            self._window.remove_hosts(address, hosts - working)
        for host, group in groups.items():
            self._avoidance.avoid(host, group, now)
        for address in sorted({a for group in groups.values() for a in group}):
            self._add_event(
                self._states[address],
                EventKind.PATH_AVOIDED,
                f'{len(hosts)} hosts cannot reach domain {domain}',
            )

    def _store_medians(self, judgements):
        for address, judgement in judgements.items():
            self._states[address].median_s = judgement.median_s
        medians = [
            judgement.median_s
            for judgement in judgements.values()
            if judgement.median_s is not None
        ]
        if medians:
            self._median_latency_s = statistics.median(medians)

    def _review_paths(self, eligible, now):
        found = self._avoidance.review(self._window, eligible, now)
        for host, target in found:
            self._add_event(
                self._states[target],
                EventKind.PATH_AVOIDED,
                f'fails only for host {host}',
            )

    def _collect_ejection_events(self):
        for event in self._ejection.take_events():
            self._events.append(event)
            if event.kind is EventKind.EJECTED:
                self._window.remove_target(event.target)
                self._avoidance.remove_target(event.target)

    def _add_event(self, state, kind, reason):
        self._events.append(
            target_events.TargetEvent(self._name, state.address, kind, reason)
        )
