"""Which hosts of a failure domain follow the registry for the others.

Calls to the registry are dear, and hosts of a domain tell each other of
changes within milliseconds, so two of them follow it. The others do so
themselves as soon as no follower has had an answer lately.
"""

from .. import hashing

WATCHERS = 2

# A follower asks at least once a second; a host that hears of no answer for
# this long asks itself, so that a change is in force two seconds after it was
# accepted even when both followers were cut off just before.
CONTACT_TIMEOUT_S = 1.5

# A host that knows of a newer revision asks for it after this time, unless
# the changes arrive from a peer. A second follower reads and sends them up
# to 0.35 s later than the first; after a follower's second at most, the
# answer leaves half a second of the two.
BEHIND_LIMIT_S = 0.5


class WatcherSelection:
    """Decides whether this host asks the registry."""

    __slots__ = (
        '_behind_since',
        '_fleet',
        '_newest',
        '_order',
        '_ranked',
        'registry_contact_at',
        'is_failing',
    )

    def __init__(self, fleet):
        self._fleet = fleet
        self._order = ()
        self._ranked = None
        self._newest = 0
        self._behind_since = None
        self.registry_contact_at = float('-inf')
        self.is_failing = False

    def record_peer_revision(self, revision):
        """Another host knows of a revision."""
        self._newest = max(self._newest, revision)

    def should_watch(self, now):
        """Return whether this host follows the registry itself."""
        peers = self._fleet.peers
        oldest = now - CONTACT_TIMEOUT_S
        if not any(
            peer.registry_contact_at > oldest for peer in peers.values()
        ):
            return True
        ahead = 0
        for address in self._rank():
            if address == self._fleet.address:
                return True
            peer = peers.get(address)
            if peer is not None and peer.registry_contact_at > oldest:
                ahead += 1
                if ahead == WATCHERS:
                    return False
        return True

    def is_behind(self, revision, now):
        """Return whether this host should ask for what it has missed."""
        if self._newest <= revision:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= BEHIND_LIMIT_S

    def _rank(self):
        members = frozenset(self._fleet.members)
        if members != self._ranked:
            self._ranked = members
            self._order = hashing.rank('registry', members)
        return self._order
