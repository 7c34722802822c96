"""Liveness of peer hosts, as seen from one host."""

import dataclasses
import enum

from . import hashing

EXCHANGE_INTERVAL_S = 1.0
# Three consecutive exchanges without a reply.
LIVENESS_TIMEOUT_S = 3.0
# A peer that is neither listed nor in contact for this long is removed.
REMOVE_AFTER_S = 60.0


class PeerState(enum.Enum):
    """Liveness of a peer."""

    ALIVE = 'alive'
    RELAYED = 'relayed'
    LEAVING = 'leaving'
    UNREACHABLE = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """A peer's own status, as sent in an exchange."""

    address: str
    endpoint: str
    domain: str
    incarnation: int
    leaving: bool = False
    ready: bool = True
    contacted: tuple[str, ...] = ()


class Peer:
    """A known peer host and the times of its last signs of contact."""

    __slots__ = (
        'address',
        'contacts',
        'domain',
        'endpoint',
        'incarnation',
        'last_received_at',
        'last_relayed_at',
        'last_success_at',
        'leaving',
        'listed_at',
        'ready',
    )

    def __init__(self, address, endpoint):
        self.address = address
        self.endpoint = endpoint
        self.domain = ''
        self.incarnation = 0
        self.leaving = False
        self.ready = False
        self.last_success_at = None
        self.last_received_at = None
        self.last_relayed_at = None
        self.contacts = ()
        self.listed_at = None


def _is_recent(moment, now, window=LIVENESS_TIMEOUT_S):
    return moment is not None and now - moment <= window


class Membership:
    """The peers of one host and the view derived from them.

    Only a completed exchange that this host started proves that messages
    pass in both directions. A peer that is in contact only with other hosts
    is relayed: it is not in the view, since this host cannot call it.
    """

    __slots__ = ('_address', '_domain', '_incarnation', '_leaving', '_peers')

    def __init__(self, address, domain, incarnation):
        self._address = address
        self._domain = domain
        self._incarnation = incarnation
        self._leaving = False
        self._peers = {}

    @property
    def address(self):
        """This host's address."""
        return self._address

    @property
    def incarnation(self):
        """Number that increases with each process start at an address."""
        return self._incarnation

    @property
    def leaving(self):
        """Whether this host has announced that it leaves."""
        return self._leaving

    @property
    def peers(self):
        """Known peers by address."""
        return dict(self._peers)

    def announce_leaving(self):
        """Leave the view: this host owns nothing from now on."""
        self._leaving = True

    def add(self, address, endpoint):
        """Add a peer without recording any contact with it."""
        if address == self._address:
            return None
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(address, endpoint)
        return peer

    def record_success(self, report, now):
        """Record a completed exchange; return False if it is outdated."""
        peer = self._record_report(report, now)
        if peer is None:
            return False
        peer.last_success_at = now
        self._record_relays(peer, report.contacted, now)
        return True

    def record_message(self, report, now):
        """Record a peer's message, which proves one direction only."""
        peer = self._record_report(report, now)
        if peer is None:
            return False
        self._record_relays(peer, report.contacted, now)
        return True

    def record_listing(self, hosts, now):
        """Record the platform's list: address -> (endpoint, leaving)."""
        for address, (endpoint, leaving) in hosts.items():
            peer = self.add(address, endpoint)
            if peer is None:
                continue
            peer.listed_at = now
            peer.endpoint = endpoint
            # The list lags: it may still mark a replaced host as leaving.
            if leaving and peer.incarnation == 0:
                peer.leaving = True
        self._remove_expired(now)

    def _record_report(self, report, now):
        peer = self.add(report.address, report.endpoint)
        if peer is None or report.incarnation < peer.incarnation:
            return None
        if report.incarnation > peer.incarnation:
            peer.last_success_at = None
        peer.incarnation = report.incarnation
        peer.endpoint = report.endpoint
        peer.domain = report.domain
        peer.leaving = report.leaving
        peer.ready = report.ready
        peer.last_received_at = now
        return peer

    def _record_relays(self, reporter, contacted, now):
        reporter.contacts = tuple(contacted)
        for address in contacted:
            peer = self._peers.get(address)
            if peer is not None:
                peer.last_relayed_at = now

    def _remove_expired(self, now):
        for address, peer in list(self._peers.items()):
            times = (
                peer.listed_at,
                peer.last_received_at,
                peer.last_success_at,
            )
            if not any(
                _is_recent(moment, now, REMOVE_AFTER_S) for moment in times
            ):
                del self._peers[address]

    def state(self, address, now):
        """Return a peer's state."""
        peer = self._peers.get(address)
        if peer is None:
            return PeerState.UNREACHABLE
        if _is_recent(peer.last_success_at, now):
            return PeerState.LEAVING if peer.leaving else PeerState.ALIVE
        if _is_recent(peer.last_relayed_at, now):
            return PeerState.RELAYED
        return PeerState.UNREACHABLE

    def is_reachable(self, address, now):
        """Return whether a peer recently completed an exchange."""
        state = self.state(address, now)
        return state in (PeerState.ALIVE, PeerState.LEAVING)

    @property
    def last_contact_at(self):
        """Time of the last completed exchange with any peer, or None."""
        moments = [
            peer.last_success_at
            for peer in self._peers.values()
            if peer.last_success_at is not None
        ]
        return max(moments, default=None)

    def list_contacted(self, now):
        """Return the peers with a recent completed exchange."""
        return tuple(
            address
            for address, peer in self._peers.items()
            if _is_recent(peer.last_success_at, now)
        )

    def has_contact(self, now):
        """Return whether any peer has a recent completed exchange."""
        return bool(self.list_contacted(now))

    def view(self, now):
        """Return the hosts that may be owners.

        This host is one of them unless it is leaving.
        """
        members = [
            address
            for address, peer in self._peers.items()
            if peer.ready and self.state(address, now) is PeerState.ALIVE
        ]
        if not self._leaving:
            members.append(self._address)
        return tuple(sorted(members))

    def rank(self, item, now):
        """Return the view ordered by preference for `item`."""
        return hashing.rank(item, self.view(now))

    def domain_of(self, address):
        """Return the failure domain of a host, or '' if unknown."""
        if address == self._address:
            return self._domain
        peer = self._peers.get(address)
        return peer.domain if peer else ''

    def dump(self, now):
        """Return the state as JSON-serializable data."""
        return {
            'address': self._address,
            'domain': self._domain,
            'incarnation': self._incarnation,
            'leaving': self._leaving,
            'view': list(self.view(now)),
            'peers': {
                address: {
                    'state': self.state(address, now).value,
                    'domain': peer.domain,
                    'incarnation': peer.incarnation,
                    'ready': peer.ready,
                    'seconds_since_success': _age(peer.last_success_at, now),
                    'seconds_since_heard': _age(peer.last_received_at, now),
                }
                for address, peer in sorted(self._peers.items())
            },
        }


def _age(moment, now):
    return None if moment is None else round(now - moment, 3)
