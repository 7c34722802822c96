"""Shares of rates and slot units by host, and the owners of workspaces."""

from . import hashing
from . import messages

# Maximum number of owners, and so of token pools, of one workspace. With four
# pools the loss of an owner causes less than a tenth of the refusals that it
# causes with one pool.
MAX_OWNERS = 4
# Minimum burst of each pool in tokens. A pool with a smaller burst refuses
# requests although they are within the rate.
MIN_OWNER_BURST = 12


def share_rates(workspaces, fleet_addresses, address=None):
    """Return one host's share of each workspace's rate and burst.

    The result maps workspace names to (rate, burst) in millionths. If
    `address` is given, the shares of all addresses sum to the limit exactly,
    so that a burst of one request is usable, and a host outside the list gets
    an empty result. Without `address` the shares are rounded down.
    """
    addresses = sorted(fleet_addresses)
    if address is None:
        position = len(addresses)
    elif address in addresses:
        position = addresses.index(address)
    else:
        return {}
    if not addresses:
        return {}
    return {
        workspace.name: (
            _compute_share(workspace.rate, len(addresses), position),
            _compute_share(workspace.burst, len(addresses), position),
        )
        for workspace in workspaces
    }


def _compute_share(limit, count, position):
    share, remainder = divmod(round(limit * messages.MICRO), count)
    return share + 1 if position < remainder else share


def list_units(services):
    """Return all slot units of `services`."""
    return [
        messages.SlotUnit(service.name, target.address, index)
        for service in services
        for target in service.targets
        for index in range(target.slots)
    ]


def home_units(address, services, fleet_addresses):
    """Return the slot units whose home is `address`."""
    return frozenset(
        unit
        for unit in list_units(services)
        if find_unit_home(unit, fleet_addresses) == address
    )


def find_unit_home(unit, fleet_addresses):
    """Return the address that lends `unit`."""
    item = f'{unit.service}\0{unit.target}\0{unit.index}'
    return hashing.top(item, fleet_addresses)


def list_owners(workspace, members):
    """Return the owners of a workspace's pools among the reachable `members`.

    A workspace with a large burst has several pools, so that the loss of an
    owner makes only a part of its rate unusable until the leases expire.
    """
    count = max(1, min(MAX_OWNERS, int(workspace.burst // MIN_OWNER_BURST)))
    return hashing.rank(workspace.name, members)[:count]


def find_owner(workspace, address, members):
    """Return the owner that the host at `address` lends to.

    The host also asks this owner first for tokens. When an owner is lost,
    only its lenders are assigned to another owner.
    """
    owners = list_owners(workspace, members)
    return hashing.top(f'{workspace.name}\0{address}', owners)
