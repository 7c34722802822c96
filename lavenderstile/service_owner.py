"""The services that a host owns, and the requests that wait for slots."""

import collections

import eliot

from . import admission
from . import messages

# Time after which an unused summary of a service is dropped.
SUMMARY_LIFETIME_S = 60.0


class ServiceOwner:
    """Admits requests to all services whose slot units this host holds.

    A waiting request is a future, set when its service decides.
    """

    def __init__(self, address, configuration, borrower, metrics):
        self._address = address
        self._configuration = configuration
        self._borrower = borrower
        self._metrics = metrics
        self._admissions = {}
        self._owned = frozenset()
        self._units = {}
        self._waiting = {}
        self._summaries = {}

    @property
    def services(self):
        """Names of the services with admission on this host."""
        return tuple(self._admissions)

    def admit(self, request, reply, now):
        """Decide on a request now or later; sets `reply` to the decision."""
        service_admission = self._get_admission(request.service, now)
        result = service_admission.request(request, now)
        match result:
            case messages.Queued(request_id):
                self._waiting[request_id] = (request.service, reply)
            case _:
                self._deliver(request.service, result, reply, now)

    def cancel(self, request_id, now):
        """Remove a request from its queue."""
        service, _ = self._waiting.pop(request_id, (None, None))
        if service is not None:
            self._admissions[service].cancel(request_id, now)

    def abandon(self, service, result, now):
        """Release a grant whose requester was cancelled before it got it."""
        match result:
            case messages.Grant(grant_id=grant_id, unit=unit):
                report = messages.ReleaseReport(
                    grant_id,
                    self._address,
                    unit,
                    '',
                    messages.Outcome.NOT_SENT,
                )
                self._admissions[service].release(report, now)

    def release(self, report, now):
        """Release a slot."""
        service_admission = self._get_admission(report.unit.service, now)
        service_admission.release(report, now)
        self._poll(report.unit.service, service_admission, now)

    def reconcile_grants(self, host, running, now):
        """Update the slot tables from a host's full list of grants."""
        by_service = collections.defaultdict(list)
        for grant in running:
            by_service[grant.unit.service].append(grant)
        for service in set(by_service) | set(self._admissions):
            self._get_admission(service, now).reconcile_grants(
                host, by_service.get(service, []), now
            )

    def mark_hosts_lost(self, hosts, now):
        """Schedule the end of the grants of lost hosts."""
        for service_admission in self._admissions.values():
            for host in hosts:
                service_admission.mark_host_lost(host, now)

    def hint(self, hint, now):
        """Apply what a target's health and load endpoints report."""
        service_admission = self._admissions.get(hint.service)
        if service_admission is not None:
            service_admission.hint(hint, now)

    def drop_evidence(self, now):
        """Discard measurements that span a pause of this process."""
        for service_admission in self._admissions.values():
            service_admission.drop_evidence(now)

    def inherit(self, summary, now):
        """Store a service's summary, in case this host becomes its owner."""
        self._summaries[summary.service] = (summary, now)

    def set_owned(self, services):
        """Replace the names of the services that this host owns."""
        for service in services - self._owned:
            service_admission = self._admissions.get(service)
            if service_admission is not None:
                service_admission.start_ownership()
        self._owned = services

    def configure_all(self, now):
        """Apply a change of the configuration."""
        for service, service_admission in self._admissions.items():
            self._configure(service_admission, service, now)

    def poll_all(self, now):
        """Update the units held by this host and deliver due decisions."""
        for service in self._borrower.services(now):
            self._get_admission(service, now)
        for service, service_admission in self._admissions.items():
            self._update_units(service, service_admission, now)
            self._poll(service, service_admission, now)

    def evaluate(self, now):
        """Review the targets and drop unused summaries."""
        for service, service_admission in self._admissions.items():
            for event in service_admission.evaluate(now):
                self._report_event(service, event)
        for service, (_, received_at) in list(self._summaries.items()):
            if now - received_at > SUMMARY_LIFETIME_S:
                del self._summaries[service]

    def summaries(self, now):
        """Return the summaries of the services whose units are held here."""
        return [
            service_admission.summary(now)
            for service, service_admission in self._admissions.items()
            if self._borrower.units(service, now)
        ]

    def dump(self, now):
        """Return the state as JSON-serialisable data."""
        return {
            service: service_admission.dump(now)
            for service, service_admission in sorted(self._admissions.items())
        }

    def explain_target(self, service, target, now):
        """Explain a target's state in sentences; None if it is unknown."""
        service_admission = self._admissions.get(service)
        return (
            None
            if service_admission is None
            else service_admission.explain_target(target, now)
        )

    def _get_admission(self, service, now):
        service_admission = self._admissions.get(service)
        if service_admission is None:
            service_admission = admission.ServiceAdmission(service, now)
            self._admissions[service] = service_admission
            self._configure(service_admission, service, now)
            summary, _ = self._summaries.pop(service, (None, now))
            if summary is not None:
                service_admission.inherit(summary, now)
        self._update_units(service, service_admission, now)
        return service_admission

    def _configure(self, service_admission, service, now):
        configured = self._configuration.services.get(service)
        if configured is not None:
            service_admission.configure(
                configured, self._configuration.domains_out, now
            )

    def _update_units(self, service, service_admission, now):
        """Pass on the usable units if they have changed."""
        units = self._borrower.units(service, now)
        if units is not self._units.get(service):
            self._units[service] = units
            service_admission.set_units(units, now)

    def _deliver(self, service, result, reply, now):
        if reply.done():
            self.abandon(service, result, now)
        else:
            reply.set_result(result)

    def _poll(self, service, service_admission, now):
        for decision in service_admission.poll(now):
            _, reply = self._waiting.pop(decision.request_id, (None, None))
            if reply is None:
                self.abandon(service, decision.outcome, now)
            else:
                self._deliver(service, decision.outcome, reply, now)

    def _report_event(self, service, event):
        name = event.kind.value
        self._metrics.target_events.inc({'service': service, 'event': name})
        eliot.log_message(
            'target_event',
            service=service,
            target=event.target,
            event=name,
            reason=event.reason,
        )
