"""Assignment of workspaces and services to the hosts that own them."""

from . import hashing


def workspace_item(name):
    """Return the hashing item of a workspace's rate."""
    return f'workspace/{name}'


def service_item(name):
    """Return the hashing item of a service's slots."""
    return f'service/{name}'


class Ownership:
    """The owners of all configured objects in one host's view.

    The assignment is kept until the view or the configuration changes, as
    it is asked for with each exchange.
    """

    __slots__ = ('_configuration', '_key', '_membership', '_owned')

    def __init__(self, membership, configuration):
        self._membership = membership
        self._configuration = configuration
        self._key = None
        self._owned = {}

    def owned_by(self, address, now):
        """Return the (workspaces, services) that a host owns."""
        self._refresh(now)
        return self._owned.get(address, (frozenset(), frozenset()))

    def candidates(self, item, now):
        """Return the hosts to ask about an item, best first."""
        return hashing.rank(item, self._membership.view(now))

    def successor(self, item, now):
        """Return the host that owns an item once this host is gone."""
        address = self._membership.address
        others = [
            member
            for member in self._membership.view(now)
            if member != address
        ]
        return hashing.top(item, others)

    def _refresh(self, now):
        view = self._membership.view(now)
        key = (view, self._configuration.generation)
        if key == self._key:
            return
        workspaces = _assign(
            self._configuration.workspaces, workspace_item, view
        )
        services = _assign(self._configuration.services, service_item, view)
        self._owned = {
            address: (
                frozenset(workspaces.get(address, ())),
                frozenset(services.get(address, ())),
            )
            for address in view
        }
        self._key = key


def _assign(names, make_item, view):
    owned = {}
    for name in names:
        owner = hashing.top(make_item(name), view)
        owned.setdefault(owner, []).append(name)
    return owned
