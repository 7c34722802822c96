"""Builders of services and requests for tests of admission."""

import itertools

from lavenderstile import admission
from lavenderstile import messages
from lavenderstile import models

SERVICE = 'orders'
DOMAINS = ('north', 'south', 'west')


def make_service(count=6, slots=3, floor=0.7, leaving=()):
    """Return a service with targets distributed over the domains."""
    return models.Service(
        SERVICE,
        tuple(
            models.Target(
                f'10.0.0.{number}:80',
                DOMAINS[number % len(DOMAINS)],
                slots,
                leaving=f'10.0.0.{number}:80' in leaving,
            )
            for number in range(count)
        ),
        floor=floor,
    )


def all_units(service):
    """Return every slot unit of a service."""
    return frozenset(
        messages.SlotUnit(service.name, target.address, index)
        for target in service.targets
        for index in range(target.slots)
    )


class Owner:
    """A service's admission with a clock and defaults for tests."""

    def __init__(self, service=None, units=None, now=100.0, settled=True):
        self.service = service or make_service()
        self.now = now
        self.admission = admission.ServiceAdmission(
            SERVICE, now, owner_id=f'owner{next(_numbers)}'
        )
        self.admission.configure(self.service, frozenset(), now)
        if units is None:
            units = all_units(self.service)
        self.admission.set_units(units, now)
        if settled:
            self.now += 1.0

    def ask(self, workspace='shop', host='h1', wait_s=5.0, **fields):
        """Request admission and return the decision."""
        number = next(_numbers)
        request = messages.AdmitRequest(
            fields.pop('request_id', f'r{number}'),
            host,
            SERVICE,
            workspace,
            self.now + wait_s,
            fields.pop('digest', f'digest{number}'),
            fields.pop('idempotent', True),
            **fields,
        )
        return self.admission.request(request, self.now)

    def release(
        self,
        grant,
        outcome=messages.Outcome.ANSWERED,
        host='h1',
        digest='',
        latency_s=0.02,
        **fields,
    ):
        """Release a grant with the outcome of its attempt."""
        self.admission.release(
            messages.ReleaseReport(
                grant.grant_id,
                host,
                grant.unit,
                digest,
                outcome,
                latency_s,
                **fields,
            ),
            self.now,
        )

    def poll(self):
        """Return the due decisions by request id."""
        decisions = self.admission.poll(self.now)
        return {item.request_id: item.outcome for item in decisions}


_numbers = itertools.count(1)
