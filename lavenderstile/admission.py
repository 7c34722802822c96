"""Admission control: grants the slots of a service's targets."""

import uuid

from . import admission_reports as reports
from . import crashes
from . import messages
from . import placement
from . import queueing
from . import refusals
from . import retries
from . import reviews
from . import slots
from . import throughput

SHED_INTERVAL_S = 0.2


class ServiceAdmission:
    """Admission control of one service at its owner."""

    __slots__ = (
        '_configured',
        '_counter',
        '_crashes',
        '_decisions',
        '_dirty',
        '_name',
        '_next_shed',
        '_owner_id',
        '_placement',
        '_queue',
        '_retries',
        '_review',
        '_service',
        '_settle_until',
        '_states',
        '_table',
        '_throughput',
    )

    def __init__(self, service_name, now, owner_id=None):
        self._name = service_name
        # Makes grant ids unique: there can be two owners in a partition.
        self._owner_id = owner_id or uuid.uuid4().hex[:12]
        self._counter = 0
        self._service = None
        self._states = {}
        self._table = slots.SlotTable()
        self._queue = queueing.FairQueue()
        self._crashes = crashes.CrashRegister()
        self._retries = retries.RetryBudget()
        self._review = reviews.TargetReview(
            service_name, self._states, self._table
        )
        self._placement = placement.Placement(
            self._states, self._table, self._review.is_avoided
        )
        self._decisions = []
        self._dirty = False
        self._throughput = throughput.ThroughputEstimate(
            self._states, self._table
        )
        self._next_shed = now
        # A new owner waits for one exchange, in which the hosts report the
        # grants made by its predecessor.
        self._settle_until = now + slots.SETTLE_S

    @property
    def settle_until(self):
        """Time until which a new owner grants nothing."""
        return self._settle_until

    def settle(self, now):
        """Restart as an owner that does not know the running grants."""
        self._settle_until = now + slots.SETTLE_S
        self._table.restart_settling(now)

    def configure(self, service, domains_out, now):
        """Apply the service's configuration and the domains taken out."""
        self._service = service
        self._review.configure(service, domains_out, now)
        self._dirty = True

    def start_ownership(self):
        """Expect units from now on, since this host has become the owner.

        Before that it had none, however long requests arrived here.
        """
        self._throughput.reset_no_capacity()

    def set_units(self, units, now):
        """Replace the slot units that this owner may use."""
        own = frozenset(unit for unit in units if unit.service == self._name)
        if self._table.set_units(own, now):
            self._review.enforce_floor(now)
            self._dirty = True

    def request(self, request, now):
        """Grant a slot to a request, queue it or refuse it."""
        if request.request_id in self._queue:
            return messages.Queued(request.request_id)
        refusal = self._refuse_early(request, now)
        if refusal is not None:
            return refusal
        if self._table.settle(now):
            self._dirty = True
        if not len(self._queue) and now >= self._settle_until:
            grant = self._try_grant(request, now)
            if grant is not None:
                return grant
        refusal = self._queue.push(
            request, now, self._throughput.interval_s, self._throughput.run_s
        )
        if refusal is not None:
            return refusal
        self._dirty = True
        return messages.Queued(request.request_id)

    def poll(self, now):
        """Return new decisions on queued requests."""
        self._table.settle(now)
        self._table.end_lost(now)
        if now >= self._next_shed:
            self._next_shed = now + SHED_INTERVAL_S
            self._shed(now)
        if now >= self._settle_until:
            self._grant_queued(now)
        self._dirty = False
        decisions, self._decisions = self._decisions, []
        return decisions

    def next_poll(self, now):
        """Return when the next poll is due, or None if none is needed."""
        if self._dirty or self._decisions:
            return now
        times = []
        end = self._table.next_end()
        if end is not None:
            times.append(end)
        if len(self._queue):
            times.append(max(self._next_shed, now))
            if self._settle_until > now:
                times.append(self._settle_until)
            settled_at = self._table.next_settled()
            if settled_at is not None:
                times.append(settled_at)
        return min(times, default=None)

    def cancel(self, request_id, now):
        """Remove a request from the queue; return whether it was queued."""
        return self._queue.remove(request_id) is not None

    def release(self, report, now):
        """Free a slot and record the outcome of the attempt."""
        holder, repeated = self._table.release(report.grant_id, now)
        if holder is not None:
            self._throughput.record_hold(now - holder.granted_at)
            self._dirty = True
        if not repeated:
            self._record_outcome(report, holder, now)

    def reconcile_grants(self, host, running, now):
        """Update the slot table from a host's full list of running grants."""
        own = [grant for grant in running if grant.unit.service == self._name]
        if self._table.reconcile_grants(host, own, now):
            self._dirty = True

    def mark_host_lost(self, host, now):
        """Schedule the end of a lost host's grants; refuse its requests."""
        self._table.mark_host_lost(host, now)
        for request in self._queue.requests:
            if request.host == host:
                self._refuse_queued(request, refusals.refuse_lost_host(host))

    def hint(self, hint, now):
        """Apply what a target's health and load endpoints report."""
        self._review.hint(hint, now)
        self._dirty = True

    def evaluate(self, now):
        """Review the targets; return state changes as events."""
        events = self._review.evaluate(now)
        if events:
            self._dirty = True
        return events

    def summary(self, now):
        """Return the state to hand over to a successor."""
        return messages.ServiceSummary(
            self._name,
            self._review.notes(now),
            self._crashes.notes(self._name, now),
        )

    def inherit(self, summary, now, running=None):
        """Take over a predecessor's state.

        `running` is the predecessor's complete list of grants, if known; the
        new owner then does not wait for the hosts' reports.
        """
        for note in summary.crashes:
            self._crashes.merge(note, now)
        self._review.inherit(summary.ejections, now)
        if running is None:
            return
        for host in {grant.host for grant in running}:
            own = [grant for grant in running if grant.host == host]
            self.reconcile_grants(host, own, now)
        self._settle_until = now
        self._table.skip_settling(now)
        self._dirty = True

    def drop_evidence(self, now):
        """Discard measurements that span a pause of this process.

        Another owner may have granted slots in the meantime, and reports
        from hosts were not processed.
        """
        self._review.drop_evidence(now)
        self._table.reset_report_times(now)
        self._throughput.reset_no_capacity()
        self.settle(now)

    def dump(self, now):
        """Return the whole state for operators."""
        return {
            'service': self._name,
            'settling_s': max(0.0, self._settle_until - now),
            'queued': self._queue.lengths,
            'hold_s': self._throughput.hold_s,
            'retry_tokens': self._retries.tokens,
            'targets': {
                address: reports.dump_target(
                    state, self._table, self._review, now
                )
                for address, state in self._states.items()
            },
        }

    def explain_target(self, address, now):
        """Explain a target's state and its causes, in sentences."""
        state = self._states.get(address)
        if state is None:
            return [f'{address} is not a target of service {self._name}.']
        return reports.explain_target(state, self._table, self._review, now)

    def _refuse_early(self, request, now):
        if self._service is None:
            return refusals.refuse_unknown_service(self._name)
        if self._crashes.is_blocked(request.digest, now):
            return self._refuse_crashing(request, now)
        if request.attempt <= 1:
            self._retries.record_request()
        elif request.charged and not self._retries.take():
            return refusals.refuse_retry_budget(self._name)
        if not any(state.open for state in self._states.values()):
            return refusals.refuse_no_target(self._name)
        self._throughput.record_demand(now)
        if self._throughput.lacks_capacity(now):
            return refusals.refuse_no_slots(self._name)
        return None

    def _refuse_crashing(self, request, now):
        crashed = self._crashes.crashed_targets(request.digest, now)
        return refusals.refuse_crashing(crashed)

    def _try_grant(self, request, now):
        """Return a grant for the request, or None if no slot is free."""
        suspect = None
        if self._crashes.is_suspect(request.digest, now):
            suspect = self._crashes.crashed_targets(request.digest, now)
        chosen = self._placement.choose(request, suspect, now)
        if chosen is None:
            return None
        state, unit = chosen
        self._counter += 1
        state.last_grant = self._counter
        holder = slots.Holder(
            f'{self._owner_id}-{self._counter}', request.host, unit, now
        )
        holder.request_id = request.request_id
        holder.digest = request.digest
        holder.trial = state.trial
        holder.isolated = suspect is not None
        holder.step = state.cold.step
        self._table.add_holder(holder)
        return messages.Grant(
            holder.grant_id,
            request.request_id,
            unit,
            state.target.domain,
            holder.trial,
        )

    def _grant_queued(self, now):
        def decide(request):
            if self._crashes.is_blocked(request.digest, now):
                return messages.Decision(
                    request.request_id, self._refuse_crashing(request, now)
                )
            if request.deadline <= now + self._throughput.run_s:
                return messages.Decision(
                    request.request_id, refusals.refuse_missed_deadline()
                )
            grant = self._try_grant(request, now)
            if grant is None:
                return None
            return messages.Decision(request.request_id, grant)

        while len(self._queue) and self._placement.has_free_unit(now):
            ready_at = now + self._throughput.run_s
            self._refuse_shed(self._queue.drop_late(ready_at))
            decision = self._queue.pop(decide)
            if decision is None:
                break
            self._decisions.append(decision)

    def _shed(self, now):
        if len(self._queue):
            self._throughput.record_waiting(now)
        if self._throughput.lacks_capacity(now):
            refusal = refusals.refuse_no_slots(self._name)
            for request in self._queue.requests:
                self._refuse_queued(request, refusal)
        self._refuse_shed(
            self._queue.expire(
                now, self._throughput.interval_s, self._throughput.run_s
            )
        )

    def _refuse_shed(self, shed_requests):
        for shed in shed_requests:
            self._decisions.append(
                messages.Decision(shed.request_id, shed.refusal)
            )

    def _refuse_queued(self, request, refusal):
        self._queue.remove(request.request_id)
        self._decisions.append(messages.Decision(request.request_id, refusal))

    def _record_outcome(self, report, holder, now):
        outcome = report.outcome
        if outcome is messages.Outcome.CRASHED:
            as_suspect = holder is not None and holder.isolated
            self._crashes.record(
                report.digest, report.unit.target, now, as_suspect
            )
        elif outcome is messages.Outcome.ANSWERED:
            self._crashes.clear(report.digest)
        self._review.record(report, holder, now)
