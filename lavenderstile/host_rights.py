"""The rights of one host: those that it lends and those lent to it."""

import eliot

from . import borrowing
from . import leases
from . import lending
from . import shares


class HostRights:
    """Lends this host's rights and uses those that other hosts lend to it."""

    def __init__(
        self, clock, membership, configuration, ownership, configuration_ages
    ):
        self._clock = clock
        self._membership = membership
        self._configuration = configuration
        self._ownership = ownership
        self._configuration_ages = configuration_ages
        self._generation = -1
        self._last_contact_at = None
        self._lender = lending.Lender(membership.address, clock.now())
        self._borrower = borrowing.Borrower(
            membership.address, membership.incarnation
        )

    @property
    def lender(self):
        """The lender of the rights whose home is this host."""
        return self._lender

    @property
    def borrower(self):
        """The borrower of the rights lent to this host."""
        return self._borrower

    def lend(self, request, now):
        """Return the lease grant for a borrower."""
        workspaces, services = self._ownership.lent_to(request.borrower, now)
        return self._lender.grant(request, workspaces, services, now)

    def lend_to_self(self, now):
        """Lend this host's rights to itself, as far as it is their owner."""
        address = self._membership.address
        grant = self.lend(self._borrower.make_request(address), now)
        incarnation = self._membership.incarnation
        self._borrower.accept(address, incarnation, now, grant, now)

    def apply_configuration(self, now):
        """Apply a changed configuration; return whether it has changed."""
        configuration = self._configuration
        if configuration.generation == self._generation:
            return False
        self._generation = configuration.generation
        address = self._membership.address
        addresses = configuration.fleet.addresses
        rates, units = {}, frozenset()
        if address in addresses:
            rates = shares.share_rates(
                configuration.workspaces.values(), addresses, address
            )
            units = shares.home_units(
                address, configuration.services.values(), addresses
            )
        in_force_s = self._configuration_ages.get_age(
            configuration.digest, now
        )
        self._lender.set_rights(
            rates, units, now, in_force_s, configuration.fleet_version
        )
        return True

    def check_last_contact(self, now):
        """Hold rights back after a period without contact to any peer.

        A list of addresses that was in force in the meantime may have moved
        this host's rights and idempotency keys to other hosts. Return whether
        that is possible.
        """
        last_contact_at, previous_at = (
            self._membership.last_contact_at,
            self._last_contact_at,
        )
        if last_contact_at is None:
            return False
        self._last_contact_at = last_contact_at
        if (
            previous_at is None
            or last_contact_at - previous_at <= leases.MISSED_CHANGE_S
        ):
            return False
        self._lender.hold_back(now)
        eliot.log_message(
            'rights_held_back', seconds=last_contact_at - previous_at
        )
        return True

    def dump(self, now):
        """Return the state as JSON-serializable data."""
        return {
            'lender': self._lender.dump(now),
            'borrower': self._borrower.dump(now),
        }
