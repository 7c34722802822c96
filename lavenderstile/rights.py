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
# A larger share waits until the hosts whose shares get smaller know of the
# change and the leases that they granted before have ended.
GROWTH_DELAY_S = SPREAD_LIMIT_S + LENDER_HOLD_S

# Most pools of one workspace, and the least burst for each. With four pools
# an owner's death refuses less than a tenth of what it refuses with one. A
# pool that holds fewer tokens refuses requests inside the rate.
MAX_OWNERS = 4
OWNER_BURST = 12

# Shares are pairs of rate and burst in millionths.
NO_SHARE = (0, 0)
# Share of a slot unit that is homed here, in the form of a rate's share.
UNIT_SHARE = (1, 1)

# Answer to an outdated process; borrowers ignore lease 0.
NO_GRANT = messages.LeaseGrant(0, 0, 0.0, ())


def share_rates(workspaces, fleet_addresses):
    """Return one host's share of each workspace's rate and burst.

    The result maps workspace names to (rate, burst) in millionths. Shares
    are rounded down, so that their sum never exceeds the limit.
    """
    count = len(fleet_addresses)
    if not count:
        return {}
    return {
        workspace.name: (
            round(workspace.rate * messages.MICRO) // count,
            round(workspace.burst * messages.MICRO) // count,
        )
        for workspace in workspaces
    }


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


class _Growth:
    """A larger share that applies at `at`."""

    __slots__ = ('at', 'share')

    def __init__(self, at, share):
        self.at = at
        self.share = share


class _LentRate:
    """A workspace's right at its lender; `lease` is None at home."""

    __slots__ = ('bucket', 'growth', 'lease', 'moved_micro', 'share')

    def __init__(self, now):
        self.share = NO_SHARE
        self.growth = None
        self.lease = None
        self.bucket = rates.Bucket(now)
        self.moved_micro = 0

    @property
    def is_gone(self):
        """Whether nothing is left of the right, now or later."""
        no_share = self.share == NO_SHARE and self.growth is None
        return no_share and self.lease is None

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
    """A slot unit at its lender; `lease` is None at home."""

    __slots__ = ('growth', 'lease', 'share')

    def __init__(self, _now):
        self.share = NO_SHARE
        self.growth = None
        self.lease = None

    @property
    def is_gone(self):
        """Whether nothing is left of the right, now or later."""
        no_share = self.share == NO_SHARE and self.growth is None
        return no_share and self.lease is None

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
    still use, to the version that left it out. `reviewed` tells for which
    rights and owned objects the list was made.
    """

    __slots__ = (
        'acknowledged',
        'borrower',
        'incarnation',
        'items',
        'lease_id',
        'removed',
        'reviewed',
        'until',
        'version',
    )

    def __init__(self, borrower, incarnation, lease_id):
        self.borrower = borrower
        self.incarnation = incarnation
        self.lease_id = lease_id
        self.version = 1
        self.acknowledged = 0
        self.items = {}
        self.removed = {}
        self.reviewed = None
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
        '_last_lease_id',
        '_leases',
        '_quarantine_until',
        '_rights',
    )

    def __init__(self, address, now):
        self._address = address
        # A predecessor at this address may have lent the rights just
        # before it ended.
        self._quarantine_until = now + LENDER_HOLD_S
        self._rights = {}
        # Count of changes to shares and of rights that came home.
        self._changes = 0
        self._leases = {}
        # Leases of earlier incarnations of borrowers, until their end.
        self._ended = []
        # Lease ids of a predecessor must not match, or a late message
        # about its leases would end or acknowledge one of this process.
        seed = f'{address}\0{now!r}'.encode()
        self._last_lease_id = xxhash.xxh3_64_intdigest(seed) >> 1

    def set_rights(self, shares, units, now, in_force_s=0.0):
        """Set this host's shares of the rates and its slot units.

        Smaller shares apply at once, larger ones `GROWTH_DELAY_S` after the
        change was published. `in_force_s` is for how long at least the
        change is known to have been published, for example because a peer
        has had it for that time.
        """
        self._settle(now)
        wanted = dict(shares)
        wanted.update(dict.fromkeys(sorted(units), UNIT_SHARE))
        grow_at = max(
            now + GROWTH_DELAY_S - in_force_s, self._quarantine_until
        )
        for key in [*wanted, *(self._rights.keys() - wanted.keys())]:
            self._set_right(key, wanted.get(key, NO_SHARE), grow_at, now)
        self._settle(now)
        self._record_change()

    def grant(self, request, owned_workspaces, owned_services, now):
        """Answer a borrower that owns the given workspaces and services."""
        self._settle(now)
        lease = self._find_lease(request)
        if lease is None:
            return NO_GRANT
        if request.known_lease == lease.lease_id:
            self._acknowledge(lease, request.known_version, now)
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
        self._record_change()

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
            'growing': right.growth is not None,
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

    def _set_right(self, key, share, grow_at, now):
        right = self._rights.get(key)
        if right is None:
            kind = _LentRate if isinstance(key, str) else _LentUnit
            right = self._rights[key] = kind(now)
        smaller = tuple(map(min, right.share, share))
        if smaller != right.share:
            right.set_share(smaller, now)
        if share == smaller:
            right.growth = None
        elif right.growth is None or any(
            new > old
            for new, old in zip(share, right.growth.share, strict=True)
        ):
            right.growth = _Growth(grow_at, share)
        else:
            # No more than what was to come: the time since then counts.
            right.growth.share = share
            right.growth.at = min(right.growth.at, grow_at)
            right.growth.at = min(right.growth.at, grow_at)

    def _settle(self, now):
        has_changed = False
        for lease in [*self._leases.values(), *self._ended]:
            if lease.until <= now:
                has_changed = True
                self._forget_lease(lease)
                for key in lease.holds():
                    self._rights[key].come_home(lease.until, 0)
        for right in self._rights.values():
            if right.growth is not None and right.growth.at <= now:
                has_changed = True
                right.set_share(right.growth.share, right.growth.at)
                right.growth = None
        if has_changed:
            self._record_change()

    def _record_change(self):
        """Let all leases be reviewed, and drop rights that are gone."""
        self._changes += 1
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

    def _acknowledge(self, lease, version, now):
        lease.acknowledged = max(lease.acknowledged, version)
        stopped = [
            key
            for key, removed_in in lease.removed.items()
            if removed_in <= lease.acknowledged
        ]
        for key in stopped:
            del lease.removed[key]
            self._rights[key].come_home(now, 0)
        if stopped:
            self._record_change()

    def _update_items(self, lease, owned_workspaces, owned_services, now):
        owned_workspaces = frozenset(owned_workspaces)
        owned_services = frozenset(owned_services)
        reviewed = (self._changes, owned_workspaces, owned_services)
        if reviewed == lease.reviewed:
            return
        lease.reviewed = reviewed
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
        'until',
        'version',
    )

    def __init__(self, incarnation, lease_id):
        self.incarnation = incarnation
        self.lease_id = lease_id
        self.version = 0
        self.items = {}
        self.until = float('-inf')
        self.is_active = False


class Borrower:
    """Uses the rights that lenders, this host included, have lent it."""

    __slots__ = (
        '_address',
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
        )

    def accept(self, lender, lender_incarnation, sent_at, grant, now):
        """Take over a grant; the request for it left at `sent_at`.

        Outdated and repeated grants change nothing.
        """
        until = sent_at + grant.duration_s
        if self._is_stopped or not grant.lease_id or until <= now:
            return
        self._drop_ended(now)
        holding = self._find_holding(lender, lender_incarnation, grant, now)
        if holding is None or grant.version < holding.version:
            return
        if grant.version > holding.version and grant.items is None:
            return
        holding.until = max(holding.until, until)
        if grant.version > holding.version:
            self._replace_items(lender, holding, grant, now)
        elif not holding.is_active:
            # The lender kept the lease while our side had ended it; the
            # tokens were dropped at that end.
            for item in holding.items.values():
                self._add_item(lender, holding, item, 0, now)
        holding.is_active = True

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
        for holding in self._holdings.values():
            if holding.is_active and holding.until <= now:
                holding.is_active = False
        for pool in self._pools.values():
            if pool.has_ended(now):
                pool.settle(now)
        self._drop_empty_pools()

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
        for key in holding.items.keys() - items.keys():
            if key in self._pools:
                self._pools[key].remove_share(lender, now)
        for key, item in items.items():
            tokens_micro = 0
            if isinstance(key, str) and key not in holding.items:
                tokens_micro = min(item.tokens_micro, item.burst_micro)
            self._add_item(lender, holding, item, tokens_micro, now)
        holding.items = items
        holding.version = grant.version
        self._units.clear()
        self._drop_empty_pools()

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
