"""Lending of rate and slot rights, so that no right is used twice.

Each address of the published fleet holds a share of every limit. A right is
either at its home or lent to one borrower under a lease. The borrower counts
the lease from the time it sent its request, the lender from the time it
granted it, so the borrower always stops first.
"""

import dataclasses

import xxhash

from . import hashing
from . import messages
from . import rates

LEASE_DURATION_S = 3.0
# 10% longer than the lease: the lender's clock may run that much faster
# than the borrower's.
LENDER_HOLD_S = 3.3
# Stated limit for a configuration change to be in force on every host.
SPREAD_LIMIT_S = 5.0
# A larger share under a new list of addresses waits from its publishing on
# until the hosts whose shares get smaller know of it and the leases that they
# granted before have ended (`SPREAD_LIMIT_S + LENDER_HOLD_S`). It waits
# somewhat longer, so that a list that was replaced before some hosts learned
# it is replaced here, too, before its larger shares apply.
GROWTH_DELAY_S = 2 * SPREAD_LIMIT_S
# A lender that was not called for this long, while it is called every second
# otherwise, may have missed a list. It is less than `SPREAD_LIMIT_S` by more
# than the drift of clocks.
MISSED_CHANGE_S = 4.0

# Most pools of one workspace, and the least burst for each. With four pools
# an owner's death refuses less than a tenth of what it refuses with one. A
# pool that holds fewer tokens refuses requests inside the rate.
MAX_OWNERS = 4
OWNER_BURST = 12

# How long a borrower remembers a lease that has ended. It must be longer than
# any request can take to arrive: one that arrives later renews the lease, and
# its tokens would be counted again.
LEASE_MEMORY_S = 600.0

# Shares are pairs of rate and burst in millionths.
NO_SHARE = (0, 0)
# Share of a slot unit that is homed here, in the form of a rate's share.
UNIT_SHARE = (1, 1)

# Answer to an outdated process; borrowers ignore lease 0.
NO_GRANT = messages.LeaseGrant(0, 0, 0.0, ())


def share_rates(workspaces, fleet_addresses, address=None):
    """Return one host's share of each workspace's rate and burst.

    The result maps workspace names to (rate, burst) in millionths. With the
    host's `address` the shares sum to the limit exactly, so that a burst of
    one request is usable, and a host outside the list gets nothing. Without
    it they are rounded down.
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
            _share(workspace.rate, len(addresses), position),
            _share(workspace.burst, len(addresses), position),
        )
        for workspace in workspaces
    }


def _share(limit, count, position):
    share, rest = divmod(round(limit * messages.MICRO), count)
    return share + 1 if position < rest else share


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
    """Return the owners of a workspace's pools among the live `members`.

    A workspace with a large burst has several pools, so that the death of
    an owner takes only a part of its rate until the leases end.
    """
    count = max(1, min(MAX_OWNERS, int(workspace.burst // OWNER_BURST)))
    return hashing.rank(workspace.name, members)[:count]


def find_owner(workspace, address, members):
    """Return the owner that host `address` lends to, and asks first.

    When an owner is lost, only its own lenders move to another.
    """
    owners = list_owners(workspace, members)
    return hashing.top(f'{workspace.name}\0{address}', owners)


class _LentRate:
    """A workspace's right at its lender; `lease` is None at home.

    `wanted` is the configured share, `share` the part of it that applies.
    """

    __slots__ = ('bucket', 'lease', 'moved_micro', 'share', 'wanted')

    def __init__(self, now):
        self.share = NO_SHARE
        self.wanted = NO_SHARE
        self.lease = None
        self.bucket = rates.Bucket(now)
        self.moved_micro = 0

    @property
    def is_gone(self):
        """Whether nothing is left of the right, now or later."""
        return self.share == self.wanted == NO_SHARE and self.lease is None

    def lend(self, lease, now):
        """Move the right and its tokens to a lease."""
        self.bucket.settle(now)
        self.moved_micro = self.bucket.drain()
        self.lease = lease

    def come_home(self, since, tokens_micro):
        """Take the right back; it accrues tokens again from `since`."""
        self.lease = None
        self.moved_micro = 0
        self.bucket = rates.Bucket(since, *self.share, tokens_micro)

    def set_share(self, share, now):
        """Apply a share at once."""
        if self.lease is None:
            self.bucket.settle(now)
            self.bucket.resize(*share)
        self.share = share

    def make_item(self, workspace):
        """Return the item that tells the borrower of this right."""
        rate_micro, burst_micro = self.share
        return messages.RateItem(
            workspace, rate_micro, burst_micro, self.moved_micro
        )


class _LentUnit:
    """A slot unit at its lender, like `_LentRate`."""

    __slots__ = ('lease', 'share', 'wanted')

    def __init__(self, _now):
        self.share = NO_SHARE
        self.wanted = NO_SHARE
        self.lease = None

    @property
    def is_gone(self):
        """Whether nothing is left of the right, now or later."""
        return self.share == self.wanted == NO_SHARE and self.lease is None

    def lend(self, lease, _now):
        """Move the unit to a lease."""
        self.lease = lease

    def come_home(self, _since, _tokens_micro):
        """Take the unit back."""
        self.lease = None

    def set_share(self, share, _now):
        """Apply a share at once."""
        self.share = share

    def make_item(self, unit):
        """Return the item that tells the borrower of this right."""
        return unit


class _Lease:
    """A lease as its lender knows it.

    `removed` maps each right that left the list, but that the borrower may
    still use, to the version that left it out. `basis` is what `items` were
    made from.
    """

    __slots__ = (
        'acknowledged',
        'basis',
        'borrower',
        'incarnation',
        'items',
        'lease_id',
        'removed',
        'until',
        'version',
    )

    def __init__(self, borrower, incarnation, lease_id):
        self.borrower = borrower
        self.incarnation = incarnation
        self.lease_id = lease_id
        self.version = 1
        self.acknowledged = 0
        self.basis = None
        self.items = {}
        self.removed = {}
        self.until = 0.0

    def holds(self):
        """Return the keys of all rights that the borrower may use."""
        return [*self.items, *self.removed]


class Lender:
    """Lends the rights whose home is this address.

    Rights are keyed by workspace name or by slot unit.
    """

    __slots__ = (
        '_address',
        '_changes',
        '_ended',
        '_fleet_version',
        '_grow_from',
        '_is_growing',
        '_last_lease_id',
        '_leases',
        '_quarantine_until',
        '_rights',
        '_settled_at',
    )

    def __init__(self, address, now):
        self._address = address
        # A predecessor at this address may have lent the rights just
        # before it ended.
        self._quarantine_until = now + LENDER_HOLD_S
        self._rights = {}
        # Number of changes of rights that can change the items of a lease;
        # without one, a renewal does not look at every right.
        self._changes = 0
        self._fleet_version = None
        # Time from which larger shares apply, and whether some wait for it.
        self._grow_from = now + GROWTH_DELAY_S
        self._is_growing = False
        self._settled_at = now
        self._leases = {}
        # Leases of earlier incarnations of borrowers, until their end.
        self._ended = []
        # Lease ids of a predecessor must not match, or a late message
        # about its leases would end or acknowledge one of this process.
        seed = f'{address}\0{now!r}'.encode()
        self._last_lease_id = xxhash.xxh3_64_intdigest(seed) >> 1

    def set_rights(
        self, shares, units, now, in_force_s=0.0, fleet_version=None
    ):
        """Set this host's shares of the rates and its slot units.

        Smaller shares apply at once. Larger ones do if the published list
        of addresses is the same as before: nothing moves from host to host
        then. Under a new list they apply `GROWTH_DELAY_S` after it was
        published. `fleet_version` names the list; it differs for each
        change, also for one that restores an earlier list, and None stands
        for a new one. `in_force_s` is for how long at least the list is
        known to have been published, for example because a peer that now
        has it in force has had it for that time.
        """
        self._settle(now)
        grow_from = max(
            now + GROWTH_DELAY_S - in_force_s, self._quarantine_until
        )
        if fleet_version is not None and fleet_version == self._fleet_version:
            grow_from = min(grow_from, self._grow_from)
        self._fleet_version = fleet_version
        self._grow_from = grow_from
        wanted = dict(shares)
        wanted.update(dict.fromkeys(sorted(units), UNIT_SHARE))
        for key in [*wanted, *(self._rights.keys() - wanted.keys())]:
            self._set_right(key, wanted.get(key, NO_SHARE), now)
        self._changes += 1
        self._settle(now)

    def hold_back(self, now):
        """Stop lending for `GROWTH_DELAY_S`, as a list may have been missed.

        A list that was in force meanwhile may have moved the rights to other
        hosts, even if they belong here again. Called after a pause, and for
        a host that had no news for longer than `MISSED_CHANGE_S`.
        """
        for right in self._rights.values():
            right.set_share(NO_SHARE, now)
        self._fleet_version = None
        self._grow_from = now + GROWTH_DELAY_S
        self._is_growing = True
        self._changes += 1

    def grant(self, request, owned_workspaces, owned_services, now):
        """Answer a borrower that owns the given workspaces and services."""
        self._settle(now)
        lease = self._find_lease(request)
        if lease is None:
            return NO_GRANT
        if request.known_lease == lease.lease_id:
            self._acknowledge(lease, request, now)
        self._update_items(lease, owned_workspaces, owned_services, now)
        lease.until = now + LENDER_HOLD_S
        known = (request.known_lease, request.known_version)
        if known == (lease.lease_id, lease.version):
            items = None
        else:
            items = tuple(lease.items.values())
        return messages.LeaseGrant(
            lease.lease_id, lease.version, LEASE_DURATION_S, items
        )

    def take_back(self, rights_return, now):
        """End a lease that its borrower has given back."""
        self._settle(now)
        lease = self._leases.get(rights_return.borrower)
        if lease is None or not self._matches(lease, rights_return):
            lease = self._find_ended(rights_return)
        if lease is None:
            return
        self._forget_lease(lease)
        tokens = {
            item.workspace: item.tokens_micro for item in rights_return.tokens
        }
        for key in lease.holds():
            self._rights[key].come_home(now, tokens.get(key, 0))
        self._changes += 1
        self._drop_gone()

    def dump(self, now):
        """Return the state for the admin API."""
        self._settle(now)
        leases = [*self._leases.values(), *self._ended]
        return {
            'address': self._address,
            'quarantine_s': max(0.0, self._quarantine_until - now),
            'rates': {
                key: self._dump_rate(right)
                for key, right in self._rights.items()
                if isinstance(right, _LentRate)
            },
            'units': [
                {
                    **dataclasses.asdict(key),
                    'lent_to': right.lease and right.lease.borrower,
                }
                for key, right in self._rights.items()
                if isinstance(right, _LentUnit)
            ],
            'leases': [self._dump_lease(lease, now) for lease in leases],
        }

    def _dump_rate(self, right):
        rate_micro, burst_micro = right.share
        return {
            'rate_micro': rate_micro,
            'burst_micro': burst_micro,
            'tokens_micro': right.bucket.level_micro,
            'lent_to': right.lease and right.lease.borrower,
            'growing': right.share != right.wanted,
        }

    def _dump_lease(self, lease, now):
        return {
            'borrower': lease.borrower,
            'incarnation': lease.incarnation,
            'lease_id': lease.lease_id,
            'version': lease.version,
            'acknowledged': lease.acknowledged,
            'items': len(lease.items),
            'awaiting_acknowledgement': len(lease.removed),
            'held_s': lease.until - now,
        }

    def _set_right(self, key, wanted, now):
        right = self._rights.get(key)
        if right is None:
            kind = _LentRate if isinstance(key, str) else _LentUnit
            right = self._rights[key] = kind(now)
        right.wanted = wanted
        smaller = tuple(map(min, right.share, wanted))
        if smaller != right.share:
            right.set_share(smaller, now)
        if wanted != smaller:
            self._is_growing = True

    def _settle(self, now):
        changes = self._changes
        for lease in [*self._leases.values(), *self._ended]:
            if lease.until <= now:
                self._forget_lease(lease)
                for key in lease.holds():
                    self._rights[key].come_home(lease.until, 0)
                self._changes += 1
        if now - self._settled_at > MISSED_CHANGE_S:
            self.hold_back(now)
        self._settled_at = max(self._settled_at, now)
        if self._is_growing and self._grow_from <= now:
            self._grow(now)
        if self._changes != changes:
            self._drop_gone()

    def _grow(self, now):
        for right in self._rights.values():
            if right.share != right.wanted:
                right.set_share(right.wanted, now)
        self._is_growing = False
        self._changes += 1

    def _drop_gone(self):
        gone = [key for key, right in self._rights.items() if right.is_gone]
        for key in gone:
            del self._rights[key]

    def _find_lease(self, request):
        lease = self._leases.get(request.borrower)
        if lease is not None:
            if request.incarnation < lease.incarnation:
                return None
            if request.incarnation == lease.incarnation:
                return lease
            # The earlier process may only be paused, so its rights stay
            # lent until its lease has surely ended.
            self._ended.append(lease)
        self._last_lease_id += 1
        lease = _Lease(
            request.borrower, request.incarnation, self._last_lease_id
        )
        self._leases[request.borrower] = lease
        return lease

    def _find_ended(self, rights_return):
        for lease in self._ended:
            if self._matches(lease, rights_return):
                return lease
        return None

    def _matches(self, lease, rights_return):
        return (
            lease.borrower == rights_return.borrower
            and lease.incarnation == rights_return.incarnation
            and lease.lease_id == rights_return.lease_id
        )

    def _forget_lease(self, lease):
        if self._leases.get(lease.borrower) is lease:
            del self._leases[lease.borrower]
        else:
            self._ended.remove(lease)

    def _acknowledge(self, lease, request, now):
        # A right that is still to be freed was taken away by a version that
        # no earlier request knew, so the returned tokens are not old ones.
        tokens = {
            item.workspace: item.tokens_micro for item in request.returned
        }
        lease.acknowledged = max(lease.acknowledged, request.known_version)
        stopped = [
            key
            for key, removed_in in lease.removed.items()
            if removed_in <= lease.acknowledged
        ]
        for key in stopped:
            del lease.removed[key]
            self._rights[key].come_home(now, tokens.get(key, 0))
        if stopped:
            self._changes += 1
            self._drop_gone()

    def _update_items(self, lease, owned_workspaces, owned_services, now):
        basis = (self._changes, owned_workspaces, owned_services)
        if basis == lease.basis:
            return
        lease.basis = basis
        items = {}
        for key, right in self._rights.items():
            if right.share == NO_SHARE:
                continue
            if isinstance(key, str):
                owned = key in owned_workspaces
            else:
                owned = key.service in owned_services
            if not owned or key in lease.removed:
                continue
            if right.lease is None:
                right.lend(lease, now)
            if right.lease is lease:
                items[key] = right.make_item(key)
        if items == lease.items:
            return
        lease.version += 1
        for key in lease.items.keys() - items.keys():
            lease.removed[key] = lease.version
        lease.items = items


class _Holding:
    """A lease as its borrower knows it.

    It is kept after its end: tokens that came with it must not be counted
    again when the lender renews it, and an older version of its items must
    not be taken for a new one.
    """

    __slots__ = (
        'incarnation',
        'is_active',
        'items',
        'lease_id',
        'returned',
        'returned_at',
        'until',
        'version',
    )

    def __init__(self, incarnation, lease_id):
        self.incarnation = incarnation
        self.lease_id = lease_id
        self.version = 0
        self.items = {}
        # Tokens of the rights that the present version took away.
        self.returned = ()
        self.returned_at = 0.0
        self.until = float('-inf')
        self.is_active = False


class Borrower:
    """Uses the rights that lenders, this host included, have lent it."""

    __slots__ = (
        '_address',
        '_check_at',
        '_holdings',
        '_incarnation',
        '_is_stopped',
        '_pools',
        '_units',
    )

    def __init__(self, address, incarnation):
        self._address = address
        self._incarnation = incarnation
        self._holdings = {}
        # No lease ends before this time; renewals only postpone ends.
        self._check_at = float('inf')
        self._pools = {}
        # Sets of usable units by service, with the end of their validity.
        self._units = {}
        self._is_stopped = False

    def make_request(self, lender):
        """Return the request for the rights that `lender` has for us."""
        holding = self._holdings.get(lender)
        if holding is None or self._is_stopped:
            return messages.BorrowRequest(self._address, self._incarnation)
        return messages.BorrowRequest(
            self._address,
            self._incarnation,
            holding.lease_id,
            holding.version,
            holding.returned,
        )

    def accept(self, lender, lender_incarnation, sent_at, grant, now):
        """Take over a grant; the request for it left at `sent_at`.

        Outdated and repeated grants change nothing. Return whether the
        lender waits for the acknowledgement of rights taken away; the next
        request is better sent at once then.
        """
        until = sent_at + grant.duration_s
        if self._is_stopped or not grant.lease_id or until <= now:
            return False
        self._drop_ended(now)
        holding = self._find_holding(lender, lender_incarnation, grant, now)
        if holding is None or grant.version < holding.version:
            return False
        if grant.version > holding.version and grant.items is None:
            return False
        holding.until = max(holding.until, until)
        if sent_at > holding.returned_at:
            holding.returned = ()
        is_reduced = False
        if grant.version > holding.version:
            is_reduced = self._replace_items(lender, holding, grant, now)
        elif not holding.is_active:
            # The lender kept the lease while our side had ended it; the
            # tokens were dropped at that end.
            for item in holding.items.values():
                self._add_item(lender, holding, item, 0, now)
        holding.is_active = True
        self._check_at = min(self._check_at, holding.until)
        return is_reduced

    def take_token(self, workspace, now):
        """Take one token of a workspace's rate."""
        pool = self._pools.get(workspace)
        if pool is None:
            return messages.NoRights()
        return pool.take(now)

    def units(self, service, now):
        """Return the slot units of `service` that may be used now."""
        cached = self._units.get(service)
        if cached is not None and now < cached[1]:
            return cached[0]
        usable = set()
        valid_until = float('inf')
        for holding in self._holdings.values():
            if not holding.is_active or holding.until <= now:
                continue
            units = [
                key
                for key in holding.items
                if not isinstance(key, str) and key.service == service
            ]
            if units:
                usable.update(units)
                valid_until = min(valid_until, holding.until)
        result = frozenset(usable)
        self._units[service] = (result, valid_until)
        return result

    def services(self, now):
        """Return the services with usable slot units."""
        return frozenset(
            key.service
            for holding in self._live_holdings(now)
            for key in holding.items
            if not isinstance(key, str)
        )

    def workspaces(self, now):
        """Return the workspaces with a token pool."""
        return frozenset(
            key
            for holding in self._live_holdings(now)
            for key in holding.items
            if isinstance(key, str)
        )

    def make_returns(self, now):
        """Give everything back and stop borrowing, for a planned stop.

        The result maps lenders to messages. No right is usable afterwards,
        and later grants are ignored.
        """
        self._drop_ended(now)
        tokens = {
            workspace: pool.split(now)
            for workspace, pool in self._pools.items()
        }
        returns = {
            lender: self._make_return(lender, holding, tokens)
            for lender, holding in self._holdings.items()
            if holding.is_active
        }
        self._is_stopped = True
        self._holdings.clear()
        self._pools.clear()
        self._units.clear()
        return returns

    def dump(self, now):
        """Return the state for the admin API."""
        self._drop_ended(now)
        for pool in self._pools.values():
            pool.settle(now)
        return {
            'address': self._address,
            'incarnation': self._incarnation,
            'stopped': self._is_stopped,
            'pools': {
                workspace: {
                    'rate_micro': pool.bucket.rate_micro,
                    'capacity_micro': pool.bucket.capacity_micro,
                    'level_micro': pool.bucket.level_micro,
                    'lenders': len(pool.shares),
                }
                for workspace, pool in self._pools.items()
            },
            'leases': {
                lender: {
                    'incarnation': holding.incarnation,
                    'lease_id': holding.lease_id,
                    'version': holding.version,
                    'items': len(holding.items),
                    'remaining_s': holding.until - now,
                }
                for lender, holding in self._holdings.items()
                if holding.is_active
            },
        }

    def _live_holdings(self, now):
        return [
            holding
            for holding in self._holdings.values()
            if holding.is_active and holding.until > now
        ]

    def _drop_ended(self, now):
        if now < self._check_at:
            return
        forgotten = []
        for lender, holding in self._holdings.items():
            if holding.until <= now:
                holding.is_active = False
            if holding.until <= now - LEASE_MEMORY_S:
                forgotten.append(lender)
        for lender in forgotten:
            del self._holdings[lender]
        for pool in self._pools.values():
            if pool.has_ended(now):
                pool.settle(now)
        self._drop_empty_pools()
        self._check_at = min(
            (
                holding.until + (0 if holding.is_active else LEASE_MEMORY_S)
                for holding in self._holdings.values()
            ),
            default=float('inf'),
        )

    def _drop_empty_pools(self):
        empty = [
            workspace
            for workspace, pool in self._pools.items()
            if not pool.shares
        ]
        for workspace in empty:
            del self._pools[workspace]

    def _find_holding(self, lender, incarnation, grant, now):
        holding = self._holdings.get(lender)
        if holding is not None:
            known = (holding.incarnation, holding.lease_id)
            offered = (incarnation, grant.lease_id)
            if offered == known:
                return holding
            if offered < known:
                return None
            self._replace_items(
                lender, holding, dataclasses.replace(grant, items=()), now
            )
        holding = _Holding(incarnation, grant.lease_id)
        self._holdings[lender] = holding
        return holding

    def _replace_items(self, lender, holding, grant, now):
        items = {
            item.workspace
            if isinstance(item, messages.RateItem)
            else item: item
            for item in grant.items
        }
        dropped = holding.items.keys() - items.keys()
        holding.returned = self._remove_shares(lender, holding, dropped, now)
        holding.returned_at = now
        for key, item in items.items():
            tokens_micro = 0
            if isinstance(key, str) and key not in holding.items:
                tokens_micro = min(item.tokens_micro, item.burst_micro)
            self._add_item(lender, holding, item, tokens_micro, now)
        holding.items = items
        holding.version = grant.version
        self._units.clear()
        self._drop_empty_pools()
        return bool(dropped)

    def _remove_shares(self, lender, holding, keys, now):
        return tuple(
            dataclasses.replace(
                holding.items[key],
                tokens_micro=self._pools[key].remove_share(lender, now),
            )
            for key in keys
            if key in self._pools
        )

    def _add_item(self, lender, holding, item, tokens_micro, now):
        if not isinstance(item, messages.RateItem):
            self._units.clear()
            return
        pool = self._pools.get(item.workspace)
        if pool is None:
            pool = self._pools[item.workspace] = rates.TokenPool(now)
        share = rates.Share(holding, item.rate_micro, item.burst_micro)
        pool.put_share(lender, share, tokens_micro, now)

    def _make_return(self, lender, holding, tokens):
        items = tuple(
            dataclasses.replace(
                item,
                tokens_micro=tokens.get(key, {}).get(lender, 0),
            )
            for key, item in holding.items.items()
            if isinstance(key, str)
        )
        return messages.RightsReturn(
            self._address, self._incarnation, holding.lease_id, items
        )
