"""Token buckets in integer millionths, and pools of borrowed shares."""

from . import messages

NANOSECONDS = 1_000_000_000
# Retry-After of a pool whose capacity is below one token or whose rate is 0.
# Only a change of the lent rights can help, which happens within seconds.
EMPTY_RETRY_S = 10.0


class Bucket:
    """A token bucket whose rate and capacity can change at any time.

    The level is an integer in millionths of a token. The remainder of each
    refill is carried over, so that frequent calls lose nothing.
    """

    __slots__ = (
        '_capacity_micro',
        '_carry',
        '_level_micro',
        '_rate_micro',
        '_refilled_ns',
    )

    def __init__(self, now, rate_micro=0, capacity_micro=0, level_micro=0):
        self._rate_micro = rate_micro
        self._capacity_micro = capacity_micro
        self._level_micro = min(level_micro, capacity_micro)
        self._refilled_ns = int(now * NANOSECONDS)
        self._carry = 0

    @property
    def rate_micro(self):
        """Millionths of a token added per second."""
        return self._rate_micro

    @property
    def capacity_micro(self):
        """Largest level in millionths."""
        return self._capacity_micro

    @property
    def level_micro(self):
        """Level in millionths at the last refill."""
        return self._level_micro

    def refill(self, now):
        """Add the tokens that accrued until `now`."""
        now_ns = int(now * NANOSECONDS)
        elapsed_ns = now_ns - self._refilled_ns
        if elapsed_ns <= 0:
            return
        self._refilled_ns = now_ns
        accrued = self._rate_micro * elapsed_ns + self._carry
        tokens_micro, self._carry = divmod(accrued, NANOSECONDS)
        self._add(tokens_micro)

    def resize(self, rate_micro, capacity_micro):
        """Set rate and capacity; the level is limited to the new capacity."""
        self._rate_micro = rate_micro
        self._capacity_micro = capacity_micro
        self._add(0)

    def put(self, tokens_micro):
        """Add tokens up to the capacity."""
        self._add(tokens_micro)

    def remove(self, tokens_micro):
        """Take tokens out; the caller checks that the level is sufficient."""
        self._level_micro -= tokens_micro

    def drain(self):
        """Take all tokens out and return them."""
        tokens_micro = self._level_micro
        self._level_micro = 0
        self._carry = 0
        return tokens_micro

    def _add(self, tokens_micro):
        self._level_micro += tokens_micro
        if self._level_micro >= self._capacity_micro:
            self._level_micro = self._capacity_micro
            self._carry = 0


class Share:
    """One lender's part of a pool.

    `lease` is the lease that the share belongs to; a renewal of the lease
    increases its `until`.
    """

    __slots__ = ('burst_micro', 'lease', 'rate_micro')

    def __init__(self, lease, rate_micro, burst_micro):
        self.lease = lease
        self.rate_micro = rate_micro
        self.burst_micro = burst_micro


class TokenPool:
    """The tokens of one workspace at one borrower.

    Rate and capacity are the sums over the shares held. A share whose lease
    has expired is removed before any token is taken; the refill up to each
    expiry is computed with the shares held until then.
    """

    __slots__ = ('_bucket', '_check_at', '_shares')

    def __init__(self, now):
        self._bucket = Bucket(now)
        self._shares = {}
        # No lease expires before this time. Renewals only postpone the
        # expiry, so that they need not update this bound.
        self._check_at = float('inf')

    @property
    def shares(self):
        """Shares by lender, as of the last refresh."""
        return self._shares

    @property
    def bucket(self):
        """The bucket that holds the tokens."""
        return self._bucket

    def has_expired(self, now):
        """Return whether a share may have expired since the last check."""
        return now >= self._check_at

    def refresh(self, now):
        """Refill until `now` and drop the shares whose lease has expired."""
        if now >= self._check_at:
            self._drop_expired(now)
        self._bucket.refill(now)

    def put_share(self, lender, share, tokens_micro, now):
        """Add or replace a lender's share and add its tokens to the level."""
        self.refresh(now)
        self._shares[lender] = share
        self._check_at = min(self._check_at, share.lease.until)
        self._resize()
        self._bucket.put(tokens_micro)

    def remove_share(self, lender, now):
        """Drop a lender's share and return its part of the tokens.

        Capacity and level are reduced at once.
        """
        self.refresh(now)
        share = self._shares.pop(lender, None)
        if share is None:
            return 0
        tokens_micro = self._compute_part(share, self._bucket.level_micro)
        self._bucket.remove(tokens_micro)
        self._resize()
        return tokens_micro

    def take(self, now):
        """Take one token."""
        self.refresh(now)
        bucket = self._bucket
        if not self._shares:
            return messages.NoRights()
        if bucket.capacity_micro < messages.MICRO:
            return messages.Denied(EMPTY_RETRY_S)
        if bucket.level_micro >= messages.MICRO:
            bucket.remove(messages.MICRO)
            return messages.Taken()
        if bucket.rate_micro == 0:
            return messages.Denied(EMPTY_RETRY_S)
        missing_micro = messages.MICRO - bucket.level_micro
        return messages.Denied(missing_micro / bucket.rate_micro)

    def split(self, now):
        """Take all tokens out; return each lender's part of them.

        The parts are proportional to the bursts of the shares, so no part
        exceeds the capacity of its lender's own bucket.
        """
        self.refresh(now)
        level_micro = self._bucket.level_micro
        self._bucket.drain()
        return {
            lender: self._compute_part(share, level_micro)
            for lender, share in self._shares.items()
        }

    def _compute_part(self, share, level_micro):
        capacity_micro = self._bucket.capacity_micro
        if not capacity_micro:
            return 0
        return level_micro * share.burst_micro // capacity_micro

    def _drop_expired(self, now):
        expired = [
            (share.lease.until, lender)
            for lender, share in self._shares.items()
            if share.lease.until <= now
        ]
        for until, lender in sorted(expired):
            self._bucket.refill(until)
            del self._shares[lender]
            self._resize()
        self._check_at = min(
            (share.lease.until for share in self._shares.values()),
            default=float('inf'),
        )

    def _resize(self):
        shares = self._shares.values()
        self._bucket.resize(
            sum(share.rate_micro for share in shares),
            sum(share.burst_micro for share in shares),
        )
