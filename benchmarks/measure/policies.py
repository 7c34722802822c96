"""The product and its baselines with a common interface."""

import collections
import dataclasses

from lavenderstile import admission
from lavenderstile import messages
from lavenderstile import queueing
from lavenderstile import target_events

POLL_INTERVAL_S = 0.1
EVALUATION_INTERVAL_S = 0.2
EXCHANGE_INTERVAL_S = 1.0
MAX_CONSECUTIVE_ERRORS = 5
ROUND_ROBIN_EJECTION_S = 30.0
SHARED_WORKSPACE = 'all'

FAILED = frozenset(messages.Outcome) - {
    messages.Outcome.ANSWERED,
    messages.Outcome.SHED,
}


class FifoQueue(queueing.FairQueue):
    """Baseline: one FIFO queue for all workspaces."""

    def push(self, request, *arguments):
        request = dataclasses.replace(request, workspace=SHARED_WORKSPACE)
        return super().push(request, *arguments)


class OwnerPolicy:
    """The product: the owner of the service grants its slots.

    Each message to or from the owner takes `delay_s`.
    """

    def __init__(self, engine, deployment, service, weights, fifo=False):
        self._engine = engine
        self._service = service
        self.delay_s = deployment.delay_s
        self._pending_callbacks = {}
        self.ejections = []
        self._ejected = set()
        self._admission = admission.ServiceAdmission(
            service.name, engine.now, owner_id='measured'
        )
        if fifo:
            self._admission._queue = FifoQueue()
        self.configure(frozenset())
        units = {
            messages.SlotUnit(service.name, target.address, index)
            for target in service.targets
            for index in range(target.slots)
        }
        self.set_units(units)
        engine.every(POLL_INTERVAL_S, self._poll)
        engine.every(EVALUATION_INTERVAL_S, self._evaluate)
        # Running grants by id: (host, unit, start time).
        self._running = {}
        self._hosts = set()
        engine.every(EXCHANGE_INTERVAL_S, self._exchange)

    def configure(self, domains_out):
        """Set the failure domains that are out of service."""
        now = self._engine.now
        self._admission.configure(self._service, domains_out, now)

    def set_units(self, units):
        """Set the slot units that are lent to the owner."""
        self._admission.set_units(units, self._engine.now)

    def ejected_share(self, target):
        """Return the share of the load that avoids the target."""
        return float(target in self._ejected)

    def request_slot(self, request, on_decision):
        """Request a slot; call `on_decision` with a grant or a refusal."""
        self._engine.after(self.delay_s, self._admit, request, on_decision)

    def _admit(self, request, on_decision):
        result = self._admission.request(request, self._engine.now)
        if isinstance(result, messages.Queued):
            self._pending_callbacks[request.request_id] = on_decision
        else:
            self._engine.after(self.delay_s, on_decision, result)

    def record_start(self, host, grant):
        """Record that a host sends a request with its grant."""
        self._hosts.add(host)
        self._running[grant.grant_id] = (host, grant.unit, self._engine.now)

    def _exchange(self):
        """Report each host's running grants and their ages to the owner."""
        now = self._engine.now
        lists = {host: [] for host in self._hosts}
        for grant_id, (host, unit, since) in self._running.items():
            report = messages.RunningGrant(grant_id, host, unit, now - since)
            lists[host].append(report)
        for host, running in lists.items():
            self._admission.reconcile_grants(host, running, now)

    def release(self, report):
        """Report the outcome of an attempt to the owner."""
        self._running.pop(report.grant_id, None)
        self._engine.after(self.delay_s, self._release, report)

    def _release(self, report):
        self._admission.release(report, self._engine.now)
        self._poll()

    def _poll(self):
        for decision in self._admission.poll(self._engine.now):
            on_decision = self._pending_callbacks.pop(decision.request_id)
            self._engine.after(self.delay_s, on_decision, decision.outcome)

    def _evaluate(self):
        for event in self._admission.evaluate(self._engine.now):
            match event.kind:
                case target_events.EventKind.EJECTED:
                    self._ejected.add(event.target)
                    self.ejections.append((self._engine.now, event))
                case target_events.EventKind.REINSTATED:
                    self._ejected.discard(event.target)
        self._poll()


class RoundRobinPolicy:
    """Baseline: each host uses its targets in turn, without an owner.

    A host ejects a target after 5 consecutive errors.
    """

    def __init__(self, engine, deployment, service, weights):
        self._engine = engine
        self._weights = dict(zip(deployment.host_names, weights, strict=True))
        self._service = service
        self._request_counts = collections.Counter()
        self._consecutive_errors = collections.Counter()
        self._ejected_until = {}
        self._domains_out = frozenset()
        self.delay_s = 0.0
        self.ejections = []

    def configure(self, domains_out):
        """Set the failure domains that are out of service."""
        self._domains_out = domains_out

    def record_start(self, host, grant):
        """Do nothing: this policy does not count grants."""

    def set_units(self, units):
        """Do nothing: this policy has no slot units."""

    def ejected_share(self, target):
        """Return the share of the load that avoids the target."""
        ejected_weight = sum(
            weight
            for host, weight in self._weights.items()
            if self._is_ejected(host, target)
        )
        return ejected_weight / sum(self._weights.values())

    def request_slot(self, request, on_decision):
        """Grant the next target that the host has not ejected."""
        targets = [
            target
            for target in self._service.targets
            if target.domain not in self._domains_out
        ]
        not_ejected = [
            target
            for target in targets
            if not self._is_ejected(request.host, target.address)
        ]
        usable = not_ejected or targets
        self._request_counts[request.host] += 1
        target = usable[self._request_counts[request.host] % len(usable)]
        unit = messages.SlotUnit(self._service.name, target.address, 0)
        grant = messages.Grant('', request.request_id, unit, target.domain)
        self._engine.after(0.0, on_decision, grant)

    def release(self, report):
        """Count the consecutive errors between a host and a target."""
        path = (report.host, report.unit.target)
        failed = report.outcome in FAILED
        self._consecutive_errors[path] = (
            self._consecutive_errors[path] + 1 if failed else 0
        )
        if self._consecutive_errors[path] >= MAX_CONSECUTIVE_ERRORS:
            self._consecutive_errors[path] = 0
            now = self._engine.now
            self._ejected_until[path] = now + ROUND_ROBIN_EJECTION_S
            self.ejections.append((now, path))

    def _is_ejected(self, host, target):
        return self._ejected_until.get((host, target), 0.0) > self._engine.now
