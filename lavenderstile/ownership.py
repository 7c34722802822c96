"""Assignment of workspaces and services to the hosts that own them."""

from . import hashing
from . import shares


def service_item(name):
    """Return the key that is hashed to find the owner of a service."""
    return f'service/{name}'


class Ownership:
    """The owners of all configured objects in one host's view.

    The assignment is cached until the view or the configuration changes, as
    each exchange reads it.
    """

    __slots__ = ('_borrowers', '_configuration', '_key', '_membership')

    def __init__(self, membership, configuration):
        self._membership = membership
        self._configuration = configuration
        self._key = None
        self._borrowers = {}

    def lent_to(self, address, now):
        """Return the (workspaces, services) that this host lends to a host."""
        self._refresh(now)
        return self._borrowers.get(address, (frozenset(), frozenset()))

    def list_token_hosts(self, name, now):
        """Return the hosts to ask for a workspace's tokens, best first.

        They are the owner that this host lends to, the other owners, and
        one more host, which may reach an owner that this host cannot reach.
        """
        workspace = self._configuration.workspaces.get(name)
        if workspace is None:
            return []
        view = self._membership.view(now)
        owners = shares.list_owners(workspace, view)
        preferred = shares.find_owner(
            workspace, self._membership.address, view
        )
        others = [owner for owner in owners if owner != preferred]
        non_owners = [host for host in view if host not in owners]
        return [preferred, *others, *hashing.rank(name, non_owners)[:1]]

    def list_slot_hosts(self, service, now):
        """Return the hosts to ask for a service's slots, best first."""
        return hashing.rank(service_item(service), self._membership.view(now))

    def find_successor(self, service, now):
        """Return the host that owns a service after this host has left."""
        address = self._membership.address
        others = [
            member
            for member in self._membership.view(now)
            if member != address
        ]
        return hashing.top(service_item(service), others)

    def _refresh(self, now):
        view = self._membership.view(now)
        key = (view, self._configuration.generation)
        if key == self._key:
            return
        self._key = key
        if not view:
            self._borrowers = {}
            return
        workspaces = {address: [] for address in view}
        services = {address: [] for address in view}
        for name, workspace in self._configuration.workspaces.items():
            owner = shares.find_owner(
                workspace, self._membership.address, view
            )
            workspaces[owner].append(name)
        for name in self._configuration.services:
            services[hashing.top(service_item(name), view)].append(name)
        self._borrowers = {
            address: (frozenset(workspaces[address]), frozenset(names))
            for address, names in services.items()
        }
