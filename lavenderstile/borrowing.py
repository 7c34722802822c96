"""Use of the rights that lenders have lent to this host."""

import dataclasses

from . import leases
from . import messages
from . import rates


class _Holding:
    """The state of a lease at its borrower.

    It is kept after its expiry: tokens that came with the lease must not be
    counted again when the lender renews it, and an older version of its items
    must not be applied as a new one.
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
        # Tokens of the rights that the current version removed.
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
        # No lease expires before this time; renewals only postpone it.
        self._check_at = float('inf')
        self._pools = {}
        # Sets of usable units by service, each with the time of its expiry.
        self._units = {}
        self._is_stopped = False

    def make_request(self, lender):
        """Return the request for the rights of `lender`."""
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
        """Apply a grant whose request was sent at `sent_at`.

        Outdated and repeated grants change nothing. Return whether the
        lender waits for the acknowledgement of removed rights; in that case
        the next request should be sent at once.
        """
        until = sent_at + grant.duration_s
        if self._is_stopped or not grant.lease_id or until <= now:
            return False
        self._drop_expired(now)
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
            # The lease had expired here but not at the lender. Its tokens
            # were dropped when it expired.
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
            for holding in self._active_holdings(now)
            for key in holding.items
            if not isinstance(key, str)
        )

    def workspaces(self, now):
        """Return the workspaces with a token pool."""
        return frozenset(
            key
            for holding in self._active_holdings(now)
            for key in holding.items
            if isinstance(key, str)
        )

    def make_returns(self, now):
        """Return all rights and stop borrowing, before a graceful shutdown.

        The result maps each lender to its message. No right is usable
        afterwards, and later grants are ignored.
        """
        self._drop_expired(now)
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
        self._drop_expired(now)
        for pool in self._pools.values():
            pool.refresh(now)
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

    def _active_holdings(self, now):
        return [
            holding
            for holding in self._holdings.values()
            if holding.is_active and holding.until > now
        ]

    def _drop_expired(self, now):
        if now < self._check_at:
            return
        expired = []
        for lender, holding in self._holdings.items():
            if holding.until <= now:
                holding.is_active = False
            if holding.until <= now - leases.LEASE_RETENTION_S:
                expired.append(lender)
        for lender in expired:
            del self._holdings[lender]
        for pool in self._pools.values():
            if pool.has_expired(now):
                pool.refresh(now)
        self._drop_empty_pools()
        self._check_at = min(
            (
                holding.until
                + (0 if holding.is_active else leases.LEASE_RETENTION_S)
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
            held_lease = (holding.incarnation, holding.lease_id)
            offered_lease = (incarnation, grant.lease_id)
            if offered_lease == held_lease:
                return holding
            if offered_lease < held_lease:
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
