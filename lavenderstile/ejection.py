"""Ejection of bad targets, as far as the floor of capacity allows."""

from . import charts
from . import messages
from . import target_events

FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
# An ejection within this time after the last one lasts twice as long.
FLAPPING_S = 600.0
# A suspect is ejected when it still looks bad after this time and has
# failed further requests, so that one burst of failures is not enough.
CONFIRM_S = 0.4
# A short stall, such as a garbage collection, slows all requests down.
SLOW_CONFIRM_S = 1.2
CONFIRM_FAILURES = 2
GOOD_IN_TRIAL = 5
HEALTHY_TRIAL_S = 30.0
HINT_AGE_S = 15.0
# An ejection learnt from a predecessor is tried again within this time.
INHERITED_S = 10.0


class TargetEjection:
    """A target's state with respect to ejection."""

    __slots__ = (
        'chart',
        'good',
        'health_failed',
        'reason',
        'returned_at',
        'ejection_count',
        'since',
        'ejected_until',
        'withheld',
    )

    def __init__(self):
        self.chart = charts.ChartRunner(charts.load_chart('ejection'))
        # Time of the last change of state.
        self.since = 0.0
        self.ejected_until = 0.0
        self.returned_at = None
        # Ejections without FLAPPING_S of service between them.
        self.ejection_count = 0
        self.good = 0
        self.health_failed = False
        self.withheld = False
        self.reason = ''

    @property
    def state(self):
        """Name of the chart's state."""
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
        known = self._targets.get(address)
        if known is None:
            known = self._targets[address] = TargetEjection()
        return known

    def forget_removed(self):
        """Drop targets that are no longer configured."""
        for address in self._targets.keys() - self._states.keys():
            del self._targets[address]

    def take_events(self):
        """Return the events since the last call."""
        events, self._events = self._events, []
        return events

    def evaluate(self, judgements, silent, floor, now):
        """Move the targets on by the evidence and the time.

        `silent` are targets that should be suspect without evidence.
        """
        self.enforce_floor(floor, now)
        for address in self._states:
            self._advance(address, now)
        for address, judgement in judgements.items():
            self._review(judgement, address in silent, now)
        bad = {a: j for a, j in judgements.items() if j.bad}
        most_bad = self._are_most_bad(len(bad))
        for address in sorted(bad, key=lambda a: (-bad[a].severity, a)):
            if not self._is_confirmed(address, bad[address], now):
                continue
            if most_bad:
                self._withhold(address, 'most targets look bad', False)
            elif not self._capacity.allows(self._states[address], floor):
                self._withhold(address, 'the floor needs the target', True)
            else:
                self._eject(address, 'confirmed', bad[address].reason, now)

    def enforce_floor(self, floor, now):
        """Bring targets back while too many of the held units are out."""
        while self._capacity.is_broken(floor):
            out = [
                address
                for address, state in self._states.items()
                if self.get(address).out_of_service
                and self._capacity.count_units(state)
            ]
            address = min(out, key=lambda a: (self.get(a).ejected_until, a))
            self._return(address, 'floor_needs_target', now)

    def record_trial(self, address, good, now):
        """Count the answer to a trial request."""
        own = self.get(address)
        if own.state != 'trial':
            return
        if not good:
            self._eject(address, 'bad_answer', 'bad answer in trial', now)
            return
        own.good += 1
        if own.good >= GOOD_IN_TRIAL:
            self._return(address, 'good_answers', now)

    def record_health(self, address, healthy, now):
        """Take what the target's health endpoint says."""
        own = self.get(address)
        if own.state == 'in_service' and not healthy:
            self._suspect(address, 'unhealthy by its own endpoint', now)
        recovered = healthy and own.health_failed
        own.health_failed = not healthy
        # Not for a flapping target, whose endpoint may flap with it.
        if own.state == 'ejected' and recovered and own.ejection_count <= 1:
            self._start_trial(address, 'healthy_again', now)

    def restart_trials(self, now):
        """Forget the progress of trials and suspicions after a pause."""
        for address, own in self._targets.items():
            own.good = 0
            if own.state == 'trial':
                own.since = now
            elif own.state == 'suspect':
                self._clear(address, now)

    def notes(self, now):
        """Return the ejections as notes for a successor."""
        return tuple(
            messages.EjectionNote(
                self._name,
                address,
                own.state,
                max(0.0, own.ejected_until - now),
                own.ejection_count,
                own.reason,
            )
            for address, own in self._targets.items()
            if own.out_of_service and address in self._states
        )

    def inherit(self, note, now):
        """Take over a predecessor's ejection; a trial confirms it soon."""
        if note.target not in self._states or note.state not in (
            'ejected',
            'trial',
        ):
            return
        own = self.get(note.target)
        if own.out_of_service:
            return
        own.chart.send('inherit_ejected')
        own.since = now
        own.ejected_until = now + min(note.remaining_s, INHERITED_S)
        own.ejection_count = note.returns
        own.reason = note.reason
        self._apply(note.target)

    def _are_most_bad(self, bad_count):
        states = [state for state in self._states.values() if state.open]
        out_count = sum(state.ejected for state in states)
        return 2 * (bad_count + out_count) > len(states)

    def _advance(self, address, now):
        own = self.get(address)
        if own.state == 'ejected' and now >= own.ejected_until:
            self._start_trial(address, 'time_over', now)
        elif own.state == 'trial' and self._stayed_healthy(address, now):
            self._return(address, 'stayed_healthy', now)

    def _stayed_healthy(self, address, now):
        state = self._states[address]
        fresh = state.hint_at is not None and now - state.hint_at < HINT_AGE_S
        own = self.get(address)
        if not fresh or not state.healthy:
            # The time counts from the first healthy hint.
            own.since = now
            return False
        return now - own.since >= HEALTHY_TRIAL_S

    def _review(self, judgement, silent, now):
        address = judgement.target
        own = self.get(address)
        if own.state == 'in_service':
            if judgement.bad:
                self._suspect(address, judgement.reason, now)
            elif silent:
                self._suspect(address, 'no answer to any request', now)
        elif own.state == 'suspect':
            if not (judgement.bad or silent or own.health_failed):
                self._clear(address, now)

    def _is_confirmed(self, address, judgement, now):
        own = self.get(address)
        confirm_s = SLOW_CONFIRM_S if judgement.slow else CONFIRM_S
        if own.state != 'suspect' or now - own.since < confirm_s:
            return False
        newer = sum(at > own.since for at in judgement.bad_times)
        return newer >= CONFIRM_FAILURES

    def _suspect(self, address, reason, now):
        own = self.get(address)
        own.chart.send('looks_bad')
        own.since = now
        own.reason = reason
        self._log(address, target_events.EventKind.SUSPECTED, reason)

    def _clear(self, address, now):
        own = self.get(address)
        own.chart.send('looks_good')
        own.since = now
        self._log(address, target_events.EventKind.CLEARED, own.reason)
        self._apply(address)

    def _eject(self, address, event, reason, now):
        own = self.get(address)
        recent = own.state == 'trial' or (
            own.returned_at is not None and now - own.returned_at < FLAPPING_S
        )
        own.ejection_count = own.ejection_count + 1 if recent else 1
        own.chart.send(event)
        own.since = now
        own.ejected_until = now + min(
            MAX_EJECTION_S, FIRST_EJECTION_S * 2 ** (own.ejection_count - 1)
        )
        own.reason = reason
        own.good = 0
        self._log(address, target_events.EventKind.EJECTED, reason)
        self._apply(address)

    def _start_trial(self, address, event, now):
        own = self.get(address)
        own.chart.send(event)
        own.since = now
        own.good = 0
        self._log(
            address,
            target_events.EventKind.TRIAL_STARTED,
            event.replace('_', ' '),
        )
        self._apply(address)

    def _return(self, address, event, now):
        own = self.get(address)
        own.chart.send(event)
        own.since = now
        own.returned_at = now
        self._log(
            address,
            target_events.EventKind.REINSTATED,
            event.replace('_', ' '),
        )
        self._apply(address)
        state = self._states[address]
        state.evidence_since = now
        state.cold.restart('back from ejection')

    def _withhold(self, address, why, last_resort):
        own = self.get(address)
        self._states[address].last_resort = last_resort
        if not own.withheld:
            own.withheld = True
            self._log(address, target_events.EventKind.EJECTION_WITHHELD, why)

    def _apply(self, address):
        """Copy the chart's state to what placement looks at."""
        own = self.get(address)
        state = self._states[address]
        state.ejected = own.out_of_service
        state.trial = own.state == 'trial'
        if own.state != 'suspect':
            state.last_resort = False
            own.withheld = False

    def _log(self, address, kind, reason):
        self._events.append(
            target_events.TargetEvent(self._name, address, kind, reason)
        )
