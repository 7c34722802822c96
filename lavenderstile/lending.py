"""Lending of the rights whose home is this host.

Each address of the published fleet holds a share of every limit. A right is
either at its home or lent to one borrower under a lease.
"""

import dataclasses

import xxhash

from . import leases
from . import messages
from . import rates

# Shares are pairs of rate and burst in millionths.
NO_SHARE = (0, 0)
# Share of a slot unit whose home is this host, in the form of a rate share.
UNIT_SHARE = (1, 1)

# Reply to a borrower of an outdated incarnation; borrowers ignore lease 0.
NO_GRANT = messages.LeaseGrant(0, 0, 0.0, ())


class _LentRate:
    """A workspace's right at its lender.

    `lease` is None while the right is not lent. `configured_share` is the
    share by the configuration, `share` the part of it that applies now.
    """

    __slots__ = (
        'bucket',
        'configured_share',
        'lease',
        'moved_micro',
        'share',
    )

    def __init__(self, now):
        self.share = NO_SHARE
        self.configured_share = NO_SHARE
        self.lease = None
        self.bucket = rates.Bucket(now)
        self.moved_micro = 0

    @property
    def is_obsolete(self):
        """Whether the right is not lent and has no share, now or later."""
        return (
            self.share == self.configured_share == NO_SHARE
            and self.lease is None
        )

    def lend(self, lease, now):
        """Move the right and its tokens to a lease."""
        self.bucket.refill(now)
        self.moved_micro = self.bucket.drain()
        self.lease = lease

    def reclaim(self, since, tokens_micro):
        """End the lending; the bucket accrues tokens again from `since`."""
        self.lease = None
        self.moved_micro = 0
        self.bucket = rates.Bucket(since, *self.share, tokens_micro)

    def set_share(self, share, now):
        """Apply a share at once."""
        if self.lease is None:
            self.bucket.refill(now)
            self.bucket.resize(*share)
        self.share = share

    def make_item(self, workspace):
        """Return this right as an item of a lease grant."""
        rate_micro, burst_micro = self.share
        return messages.RateItem(
            workspace, rate_micro, burst_micro, self.moved_micro
        )


class _LentUnit:
    """A slot unit at its lender, like `_LentRate`."""

    __slots__ = ('configured_share', 'lease', 'share')

    def __init__(self, _now):
        self.share = NO_SHARE
        self.configured_share = NO_SHARE
        self.lease = None

    @property
    def is_obsolete(self):
        """Whether the right is not lent and has no share, now or later."""
        return (
            self.share == self.configured_share == NO_SHARE
            and self.lease is None
        )

    def lend(self, lease, _now):
        """Move the unit to a lease."""
        self.lease = lease

    def reclaim(self, _since, _tokens_micro):
        """End the lending."""
        self.lease = None

    def set_share(self, share, _now):
        """Apply a share at once."""
        self.share = share

    def make_item(self, unit):
        """Return this right as an item of a lease grant."""
        return unit


class _Lease:
    """The state of a lease at its lender.

    `removed` maps each right that is no longer in `items`, but that the
    borrower may still use, to the version that removed it. `item_inputs` are
    the values that `items` were computed from.
    """

    __slots__ = (
        'acknowledged',
        'borrower',
        'incarnation',
        'item_inputs',
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
        self.item_inputs = None
        self.items = {}
        self.removed = {}
        self.until = 0.0

    def usable_keys(self):
        """Return the keys of all rights that the borrower may use."""
        return [*self.items, *self.removed]


class Lender:
    """Lends the rights whose home is this address.

    Rights are keyed by workspace name or by slot unit.
    """

    __slots__ = (
        '_address',
        '_changes',
        '_superseded_leases',
        '_fleet_version',
        '_grow_from',
        '_is_growth_pending',
        '_last_lease_id',
        '_leases',
        '_quarantine_until',
        '_rights',
        '_refreshed_at',
    )

    def __init__(self, address, now):
        self._address = address
        # An earlier process at this address may have lent the rights just
        # before it ended.
        self._quarantine_until = now + leases.LENDER_HOLD_S
        self._rights = {}
        # Number of changes of rights that can change the items of a lease.
        # If there was none, a renewal need not check every right.
        self._changes = 0
        self._fleet_version = None
        # Time from which larger shares apply, and whether any are pending.
        self._grow_from = now + leases.GROWTH_DELAY_S
        self._is_growth_pending = False
        self._refreshed_at = now
        self._leases = {}
        # Leases of earlier incarnations of borrowers, until they expire.
        self._superseded_leases = []
        # Lease ids must differ from those of earlier processes, or a late
        # message about their leases would end or acknowledge one of this
        # process.
        seed = f'{address}\0{now!r}'.encode()
        self._last_lease_id = xxhash.xxh3_64_intdigest(seed) >> 1

    def set_rights(
        self, shares, units, now, in_force_s=0.0, fleet_version=None
    ):
        """Set this host's shares of the rates and its slot units.

        Smaller shares apply at once. Larger shares apply at once only if
        the published list of addresses is unchanged, as no right moves to
        another host then. Under a new list they apply `GROWTH_DELAY_S`
        after its publication.

        `fleet_version` identifies the list. It differs after each change,
        also after one that restores an earlier list; None stands for a new
        list. `in_force_s` is the minimum time for which the list is known
        to have been published, for example because a peer has had it in
        force for that time.
        """
        self._refresh(now)
        grow_from = max(
            now + leases.GROWTH_DELAY_S - in_force_s, self._quarantine_until
        )
        if fleet_version is not None and fleet_version == self._fleet_version:
            grow_from = min(grow_from, self._grow_from)
        self._fleet_version = fleet_version
        self._grow_from = grow_from
        configured = dict(shares)
        configured.update(dict.fromkeys(sorted(units), UNIT_SHARE))
        for key in [*configured, *(self._rights.keys() - configured.keys())]:
            self._set_right(key, configured.get(key, NO_SHARE), now)
        self._changes += 1
        self._refresh(now)

    def hold_back(self, now):
        """Stop lending for `GROWTH_DELAY_S`, as a list may have been missed.

        A list that was in force in the meantime may have moved the rights to
        other hosts, even if their home is this host again. Called after a
        pause, and for a host that contacted no peer for longer than
        `MISSED_CHANGE_S`.
        """
        for right in self._rights.values():
            right.set_share(NO_SHARE, now)
        self._fleet_version = None
        self._grow_from = now + leases.GROWTH_DELAY_S
        self._is_growth_pending = True
        self._changes += 1

    def grant(self, request, owned_workspaces, owned_services, now):
        """Return the grant for a borrower.

        The borrower owns the given workspaces and services.
        """
        self._refresh(now)
        lease = self._find_lease(request)
        if lease is None:
            return NO_GRANT
        if request.known_lease == lease.lease_id:
            self._acknowledge(lease, request, now)
        self._update_items(lease, owned_workspaces, owned_services, now)
        lease.until = now + leases.LENDER_HOLD_S
        borrower_state = (request.known_lease, request.known_version)
        if borrower_state == (lease.lease_id, lease.version):
            items = None
        else:
            items = tuple(lease.items.values())
        return messages.LeaseGrant(
            lease.lease_id, lease.version, leases.LEASE_DURATION_S, items
        )

    def take_back(self, rights_return, now):
        """End a lease that its borrower has returned."""
        self._refresh(now)
        lease = self._leases.get(rights_return.borrower)
        if lease is None or not self._matches(lease, rights_return):
            lease = self._find_superseded(rights_return)
        if lease is None:
            return
        self._remove_lease(lease)
        tokens = {
            item.workspace: item.tokens_micro for item in rights_return.tokens
        }
        for key in lease.usable_keys():
            self._rights[key].reclaim(now, tokens.get(key, 0))
        self._changes += 1
        self._drop_obsolete()

    def dump(self, now):
        """Return the state for the admin API."""
        self._refresh(now)
        leases = [*self._leases.values(), *self._superseded_leases]
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
            'growing': right.share != right.configured_share,
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

    def _set_right(self, key, configured_share, now):
        right = self._rights.get(key)
        if right is None:
            right_class = _LentRate if isinstance(key, str) else _LentUnit
            right = self._rights[key] = right_class(now)
        right.configured_share = configured_share
        reduced_share = tuple(map(min, right.share, configured_share))
        if reduced_share != right.share:
            right.set_share(reduced_share, now)
        if configured_share != reduced_share:
            self._is_growth_pending = True

    def _refresh(self, now):
        changes = self._changes
        for lease in [*self._leases.values(), *self._superseded_leases]:
            if lease.until <= now:
                self._remove_lease(lease)
                for key in lease.usable_keys():
                    self._rights[key].reclaim(lease.until, 0)
                self._changes += 1
        if now - self._refreshed_at > leases.MISSED_CHANGE_S:
            self.hold_back(now)
        self._refreshed_at = max(self._refreshed_at, now)
        if self._is_growth_pending and self._grow_from <= now:
            self._grow(now)
        if self._changes != changes:
            self._drop_obsolete()

    def _grow(self, now):
        for right in self._rights.values():
            if right.share != right.configured_share:
                right.set_share(right.configured_share, now)
        self._is_growth_pending = False
        self._changes += 1

    def _drop_obsolete(self):
        obsolete = [
            key for key, right in self._rights.items() if right.is_obsolete
        ]
        for key in obsolete:
            del self._rights[key]

    def _find_lease(self, request):
        lease = self._leases.get(request.borrower)
        if lease is not None:
            if request.incarnation < lease.incarnation:
                return None
            if request.incarnation == lease.incarnation:
                return lease
            # The earlier process may only be paused, so its rights stay
            # lent until its lease has certainly expired.
            self._superseded_leases.append(lease)
        self._last_lease_id += 1
        lease = _Lease(
            request.borrower, request.incarnation, self._last_lease_id
        )
        self._leases[request.borrower] = lease
        return lease

    def _find_superseded(self, rights_return):
        for lease in self._superseded_leases:
            if self._matches(lease, rights_return):
                return lease
        return None

    def _matches(self, lease, rights_return):
        return (
            lease.borrower == rights_return.borrower
            and lease.incarnation == rights_return.incarnation
            and lease.lease_id == rights_return.lease_id
        )

    def _remove_lease(self, lease):
        if self._leases.get(lease.borrower) is lease:
            del self._leases[lease.borrower]
        else:
            self._superseded_leases.remove(lease)

    def _acknowledge(self, lease, request, now):
        # A right in `removed` was removed by a version that no earlier
        # request acknowledged, so the returned tokens were not counted yet.
        tokens = {
            item.workspace: item.tokens_micro for item in request.returned
        }
        lease.acknowledged = max(lease.acknowledged, request.known_version)
        freed = [
            key
            for key, removed_in in lease.removed.items()
            if removed_in <= lease.acknowledged
        ]
        for key in freed:
            del lease.removed[key]
            self._rights[key].reclaim(now, tokens.get(key, 0))
        if freed:
            self._changes += 1
            self._drop_obsolete()

    def _update_items(self, lease, owned_workspaces, owned_services, now):
        item_inputs = (self._changes, owned_workspaces, owned_services)
        if item_inputs == lease.item_inputs:
            return
        lease.item_inputs = item_inputs
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
