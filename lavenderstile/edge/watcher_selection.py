"""Selection of the hosts that watch the registry for their failure domain.

Calls to the registry are expensive, and hosts of a domain notify each other of
changes within milliseconds, so only two of them watch it. The other hosts
watch it themselves once no watcher has had a response for a while.
"""

from .. import hashing
from . import models

WATCHERS = 2

# A watcher calls the registry at least once a second. A host that learns of no
# response for this time calls it itself, so that a change is in force within
# two seconds of its acceptance even if both watchers have just lost contact.
CONTACT_TIMEOUT_S = 1.5

# A host that knows of a newer revision requests it after this time, unless a
# peer sends the changes before. The second watcher reads and sends them up to
# 0.35 s after the first. A watcher may take a second to read a change; half a
# second of the two then remains for the response.
BEHIND_LIMIT_S = 0.5

# A host that has just read the registry for the first time waits this long for
# updates of its peers before it watches: until it knows who watches, each host
# of a starting fleet would call the registry.
SETTLE_S = 1.4


class WatcherSelection:
    """Decides whether this host calls the registry."""

    __slots__ = (
        '_behind_since',
        '_fleet',
        '_newest',
        '_order',
        '_ranked_members',
        '_registry_contact_at',
        '_settled_at',
        'is_failing',
    )

    def __init__(self, fleet):
        self._fleet = fleet
        self._order = ()
        self._ranked_members = None
        self._newest = models.Position(0, 0)
        self._behind_since = None
        self._registry_contact_at = float('-inf')
        self._settled_at = float('-inf')
        self.is_failing = False

    @property
    def registry_contact_at(self):
        """Time of the last response of the registry to this host."""
        return self._registry_contact_at

    @property
    def peer_contact_at(self):
        """Time of the last response of the registry to a peer."""
        return max(
            (peer.registry_contact_at for peer in self._fleet.peers.values()),
            default=float('-inf'),
        )

    def record_contact(self, now):
        """Record a response of the registry to this host."""
        if self._registry_contact_at == float('-inf'):
            self._settled_at = now + SETTLE_S
        self._registry_contact_at = now

    def record_peer_position(self, position):
        """Record the position of another host's directory."""
        self._newest = max(self._newest, position)

    def should_watch(self, now):
        """Return whether this host watches the registry itself."""
        if now < self._settled_at:
            return False
        peers = self._fleet.peers
        oldest = now - CONTACT_TIMEOUT_S
        if not any(
            peer.registry_contact_at > oldest for peer in peers.values()
        ):
            return True
        ahead = 0
        for address in self._rank_members():
            if address == self._fleet.address:
                return True
            peer = peers.get(address)
            if peer is not None and peer.registry_contact_at > oldest:
                ahead += 1
                if ahead == WATCHERS:
                    return False
        return True

    def is_behind(self, position, now):
        """Return whether this host should request changes that it missed."""
        if self._newest <= position:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since >= BEHIND_LIMIT_S

    def _rank_members(self):
        members = frozenset(self._fleet.members)
        if members != self._ranked_members:
            self._ranked_members = members
            self._order = hashing.rank('registry', members)
        return self._order
