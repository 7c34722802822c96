"""Ejection of bad targets, limited by the capacity floor."""

from . import charts
from . import messages
from . import target_events

FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
# An ejection that begins within this time after the last one ended lasts
# twice as long.
FLAPPING_WINDOW_S = 600.0
# A suspect is ejected when it still looks bad after this time and has
# failed further requests, so that one burst of failures is not enough.
CONFIRM_DELAY_S = 0.4
# Longer for slow targets, as a short stall, such as a garbage collection,
# slows all requests down.
SLOW_CONFIRM_DELAY_S = 1.2
MIN_CONFIRM_FAILURES = 2
TRIAL_SUCCESSES = 5
HEALTHY_TRIAL_S = 30.0
MAX_HINT_AGE_S = 15.0
# An ejection taken over from the previous owner gets a trial within this time.
MAX_INHERITED_EJECTION_S = 10.0


class TargetEjection:
    """Ejection state of one target."""

    __slots__ = (
        'chart',
        'ejected_until',
        'ejection_count',
        'health_failed',
        'reason',
        'reinstated_at',
        'state_since',
        'trial_successes',
        'withheld',
    )

    def __init__(self):
        self.chart = charts.ChartRunner(charts.load_chart('ejection'))
        # Time of the last change of state.
        self.state_since = 0.0
        self.ejected_until = 0.0
        self.reinstated_at = None
        # Consecutive ejections, each within FLAPPING_WINDOW_S after the last.
        self.ejection_count = 0
        self.trial_successes = 0
        self.health_failed = False
        self.withheld = False
        self.reason = ''

    @property
    def state(self):
        """Name of the statechart's state."""
        return self.chart.state

    @property
    def out_of_service(self):
        """Whether the target is ejected or on trial."""
        return self.state in ('ejected', 'trial')


class EjectionPolicy:
    """Decides which targets of one service are ejected.

    `states` are the service's targets, shared with admission; `capacity`
    is their `floors.CapacityFloor`.
    """

    __slots__ = ('_capacity', '_events', '_name', '_states', '_targets')

    def __init__(self, service_name, states, capacity):
        self._name = service_name
        self._states = states
        self._capacity = capacity
        self._targets = {}
        self._events = []

    def get(self, address):
        """Return the ejection state of a target."""
        entry = self._targets.get(address)
        if entry is None:
            entry = self._targets[address] = TargetEjection()
        return entry

    def drop_removed(self):
        """Drop targets that are no longer configured."""
        for address in self._targets.keys() - self._states.keys():
            del self._targets[address]

    def take_events(self):
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def evaluate(self, judgements, silent, floor, now):
        """Update the states of the targets from judgements and timers.

        `silent` are targets that become suspect without a bad judgement.
        """
        self.enforce_floor(floor, now)
        for address in self._states:
            self._advance(address, now)
        for address, judgement in judgements.items():
            self._update_suspicion(judgement, address in silent, now)
        bad = {a: j for a, j in judgements.items() if j.bad}
        most_bad = self._are_most_bad(len(bad))
        for address in sorted(bad, key=lambda a: (-bad[a].severity, a)):
            if not self._is_confirmed(address, bad[address], now):
                continue
            if most_bad:
                self._withhold_ejection(
                    address, 'most targets look bad', False
                )
            elif not self._capacity.allows(self._states[address], floor):
                self._withhold_ejection(
                    address, 'the floor needs the target', True
                )
            else:
                self._eject(address, 'confirmed', bad[address].reason, now)

    def enforce_floor(self, floor, now):
        """Reinstate targets while more units are ejected than allowed."""
        while self._capacity.is_broken(floor):
            out = [
                address
                for address, state in self._states.items()
                if self.get(address).out_of_service
                and self._capacity.count_units(state)
            ]
            address = min(out, key=lambda a: (self.get(a).ejected_until, a))
            self._reinstate(address, 'floor_needs_target', now)

    def record_trial(self, address, good, now):
        """Record the result of a trial request."""
        entry = self.get(address)
        if entry.state != 'trial':
            return
        if not good:
            self._eject(address, 'bad_answer', 'failed trial request', now)
            return
        entry.trial_successes += 1
        if entry.trial_successes >= TRIAL_SUCCESSES:
            self._reinstate(address, 'good_answers', now)

    def record_health(self, address, healthy, now):
        """Record the result of the target's health endpoint."""
        entry = self.get(address)
        if entry.state == 'in_service' and not healthy:
            self._suspect(
                address, 'its health endpoint reports unhealthy', now
            )
        recovered = healthy and entry.health_failed
        entry.health_failed = not healthy
        # A flapping target gets no early trial, as its endpoint may flap too.
        if (
            entry.state == 'ejected'
            and recovered
            and entry.ejection_count <= 1
        ):
            self._start_trial(address, 'healthy_again', now)

    def restart_trials(self, now):
        """Reset trials and suspicions after a pause of this process."""
        for address, entry in self._targets.items():
            entry.trial_successes = 0
            if entry.state == 'trial':
                entry.state_since = now
            elif entry.state == 'suspect':
                self._clear(address, now)

    def notes(self, now):
        """Return the ejections as notes for the next owner."""
        return tuple(
            messages.EjectionNote(
                self._name,
                address,
                entry.state,
                max(0.0, entry.ejected_until - now),
                entry.ejection_count,
                entry.reason,
            )
            for address, entry in self._targets.items()
            if entry.out_of_service and address in self._states
        )

    def inherit(self, note, now):
        """Take over an ejection of the previous owner, with an early trial."""
        if note.target not in self._states or note.state not in (
            'ejected',
            'trial',
        ):
            return
        entry = self.get(note.target)
        if entry.out_of_service:
            return
        entry.chart.send('inherit_ejected')
        entry.state_since = now
        entry.ejected_until = now + min(
            note.remaining_s, MAX_INHERITED_EJECTION_S
        )
        entry.ejection_count = note.returns
        entry.reason = note.reason
        self._update_target_state(note.target)

    def _are_most_bad(self, bad_count):
        states = [state for state in self._states.values() if state.open]
        out_count = sum(state.ejected for state in states)
        return 2 * (bad_count + out_count) > len(states)

    def _advance(self, address, now):
        entry = self.get(address)
        if entry.state == 'ejected' and now >= entry.ejected_until:
            self._start_trial(address, 'time_over', now)
        elif entry.state == 'trial' and self._stayed_healthy(address, now):
            self._reinstate(address, 'stayed_healthy', now)

    def _stayed_healthy(self, address, now):
        state = self._states[address]
        fresh = (
            state.hint_at is not None and now - state.hint_at < MAX_HINT_AGE_S
        )
        entry = self.get(address)
        if not fresh or not state.healthy:
            # The time counts from the first healthy hint.
            entry.state_since = now
            return False
        return now - entry.state_since >= HEALTHY_TRIAL_S

    def _update_suspicion(self, judgement, silent, now):
        address = judgement.target
        entry = self.get(address)
        if entry.state == 'in_service':
            if judgement.bad:
                self._suspect(address, judgement.reason, now)
            elif silent:
                self._suspect(address, 'no response to any request', now)
        elif entry.state == 'suspect':
            if not (judgement.bad or silent or entry.health_failed):
                self._clear(address, now)

    def _is_confirmed(self, address, judgement, now):
        entry = self.get(address)
        confirm_s = SLOW_CONFIRM_DELAY_S if judgement.slow else CONFIRM_DELAY_S
        if entry.state != 'suspect' or now - entry.state_since < confirm_s:
            return False
        newer = sum(at > entry.state_since for at in judgement.bad_times)
        return newer >= MIN_CONFIRM_FAILURES

    def _suspect(self, address, reason, now):
        entry = self.get(address)
        entry.chart.send('looks_bad')
        entry.state_since = now
        entry.reason = reason
        self._add_event(address, target_events.EventKind.SUSPECTED, reason)

    def _clear(self, address, now):
        entry = self.get(address)
        entry.chart.send('looks_good')
        entry.state_since = now
        self._add_event(address, target_events.EventKind.CLEARED, entry.reason)
        self._update_target_state(address)

    def _eject(self, address, event, reason, now):
        entry = self.get(address)
        recent = entry.state == 'trial' or (
            entry.reinstated_at is not None
            and now - entry.reinstated_at < FLAPPING_WINDOW_S
        )
        entry.ejection_count = entry.ejection_count + 1 if recent else 1
        entry.chart.send(event)
        entry.state_since = now
        entry.ejected_until = now + min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (entry.ejection_count - 1)
        )
        entry.reason = reason
        entry.trial_successes = 0
        self._add_event(address, target_events.EventKind.EJECTED, reason)
        self._update_target_state(address)

    def _start_trial(self, address, event, now):
        entry = self.get(address)
        entry.chart.send(event)
        entry.state_since = now
        entry.trial_successes = 0
        self._add_event(
            address,
            target_events.EventKind.TRIAL_STARTED,
            event.replace('_', ' '),
        )
        self._update_target_state(address)

    def _reinstate(self, address, event, now):
        entry = self.get(address)
        entry.chart.send(event)
        entry.state_since = now
        entry.reinstated_at = now
        self._add_event(
            address,
            target_events.EventKind.REINSTATED,
            event.replace('_', ' '),
        )
        self._update_target_state(address)
        state = self._states[address]
        state.evidence_since = now
        state.cold.restart('reinstated after ejection')

    def _withhold_ejection(self, address, reason, last_resort):
        entry = self.get(address)
        self._states[address].last_resort = last_resort
        if not entry.withheld:
            entry.withheld = True
            self._add_event(
                address, target_events.EventKind.EJECTION_WITHHELD, reason
            )

    def _update_target_state(self, address):
        """Copy the ejection state to the state that placement reads."""
        entry = self.get(address)
        state = self._states[address]
        state.ejected = entry.out_of_service
        state.trial = entry.state == 'trial'
        if entry.state != 'suspect':
            state.last_resort = False
            entry.withheld = False

    def _add_event(self, address, kind, reason):
        self._events.append(
            target_events.TargetEvent(self._name, address, kind, reason)
        )
