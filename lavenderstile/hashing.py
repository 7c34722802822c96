"""Rendezvous hashing: assigns items to hosts without coordination."""

import xxhash


def score(item, member):
    """Return the weight of `member` for `item`."""
    return xxhash.xxh3_64_intdigest(f'{item}\0{member}'.encode())


def rank(item, members):
    """Return `members` ordered by preference for `item`.

    The order depends only on the item and the members. Hosts with the same
    view therefore agree, and the loss of a member moves only its items.
    """
    return sorted(members, key=lambda member: (-score(item, member), member))


def top(item, members):
    """Return the preferred member for `item`, or None without members."""
    return min(
        members,
        key=lambda member: (-score(item, member), member),
        default=None,
    )
