"""The other hosts: who lives, what they run, and what they admitted."""

import dataclasses


# A host that was silent for longer than this counts as gone; it is three
# heartbeats.
SILENCE_LIMIT_S = 1.6

# The largest size of the fleet is remembered for this long, so that hosts
# that are cut off from the rest keep to their part of each limit.
SIZE_MEMORY_S = 20.0

# Hosts of each domain that are remembered as contacts.
MAX_CONTACTS = 64


@dataclasses.dataclass(slots=True)
class Peer:
    """A host of the same failure domain."""

    address: str
    started_ms: int
    heard_at: float
    running: dict[str, int]
    admitted: dict[str, int]
    sends: dict[str, tuple[int, int, int]]
    contact_at: float
    is_full: bool


@dataclasses.dataclass(slots=True)
class Domain:
    """Another failure domain, as its last digest described it."""

    origin: str
    started_ms: int
    heard_at: float
    size: int
    contacts: list[str]
    admitted: dict[str, int]
    outcomes: dict[str, tuple[int, int]]


class Fleet:
    """The view of one host; hosts of its domain tell it everything."""

    __slots__ = (
        '_address',
        '_contacts',
        '_domain',
        '_domains',
        '_largest',
        '_largest_at',
        '_peers',
        '_running',
        '_started_ms',
    )

    def __init__(self, address, domain, started_ms):
        self._address = address
        self._domain = domain
        self._started_ms = started_ms
        self._peers = {}
        self._domains = {}
        self._contacts = {}
        self._running = {}
        self._largest = 1
        self._largest_at = 0.0

    @property
    def address(self):
        """Address of this host."""
        return self._address

    @property
    def domain(self):
        """Failure domain of this host."""
        return self._domain

    @property
    def peers(self):
        """Live hosts of the same domain, by address."""
        return self._peers

    @property
    def members(self):
        """Addresses of the domain's live hosts, this one included."""
        return [self._address, *self._peers]

    @property
    def primary(self):
        """The host that speaks for the domain: the lowest address."""
        return min(self.members)

    @property
    def contacts(self):
        """Known addresses of hosts by failure domain, dead ones too."""
        return self._contacts

    @property
    def domains(self):
        """Other failure domains by name, as far as they are heard."""
        return self._domains

    def count_heard(self, now):
        """Return how many hosts this one is in touch with, itself too."""
        distant = sum(
            domain.size
            for domain in self._domains.values()
            if now - domain.heard_at < 2 * SILENCE_LIMIT_S
        )
        return 1 + len(self._peers) + distant

    def get_size(self, now):
        """Return the size of the fleet, remembered over a partition."""
        heard = self.count_heard(now)
        if heard >= self._largest or now - self._largest_at > SIZE_MEMORY_S:
            self._largest = heard
            self._largest_at = now
        return self._largest

    def get_domain_part(self, now):
        """Return the part of the fleet that this domain's hosts are."""
        return (1 + len(self._peers)) / self.get_size(now)

    def get_running(self, instance):
        """Return what the other hosts of the domain run on a target."""
        return self._running.get(instance, 0)

    def learn_contacts(self, hosts):
        """Remember addresses of hosts by failure domain."""
        for domain, addresses in hosts.items():
            known = self._contacts.setdefault(domain, [])
            for address in addresses:
                if address != self._address and address not in known:
                    known.append(address)
            del known[:-MAX_CONTACTS]

    def take_update(self, update, now):
        """Take a peer's state; return what it did since the last one.

        These are requests admitted by workspace, and by service the
        requests, the further sends and the failures. The counts of a peer
        that is new or has started again begin at what they are now, because
        nothing tells when these requests came.
        """
        peer = self._peers.get(update.address)
        if update.is_leaving:
            self._drop(update.address)
            return {}, {}
        if peer is None or peer.started_ms != update.started_ms:
            if peer is not None and peer.started_ms > update.started_ms:
                return {}, {}
            self._drop(update.address)
            peer = Peer(
                update.address,
                update.started_ms,
                now,
                {},
                update.admitted,
                update.sends,
                now,
                update.is_full,
            )
            self._peers[update.address] = peer
            self.learn_contacts({self._domain: [update.address]})
        if not peer.is_full:
            # A count that is missing so far may be of any size.
            peer.admitted = update.admitted | peer.admitted
            peer.sends = update.sends | peer.sends
            peer.is_full = update.is_full
        added = _subtract(update.admitted, peer.admitted)
        sent = _subtract_each(update.sends, peer.sends)
        self._count_running(peer.running, -1)
        self._count_running(update.running, 1)
        peer.running = update.running
        peer.admitted.update(update.admitted)
        peer.sends.update(update.sends)
        peer.contact_at = now - update.contact_age_s
        peer.heard_at = now
        return added, sent

    def take_digest(self, digest, now):
        """Take another domain's totals; return what it did since the last.

        These are requests admitted by workspace, and requests and failures
        by service.
        """
        self.learn_contacts({digest.domain: digest.hosts})
        known = self._domains.get(digest.domain)
        is_same = (
            known is not None
            and known.origin == digest.origin
            and known.started_ms == digest.started_ms
        )
        added, outcomes = {}, {}
        if is_same:
            added = _subtract(digest.admitted, known.admitted)
            outcomes = _subtract_each(digest.outcomes, known.outcomes)
        self._domains[digest.domain] = Domain(
            digest.origin,
            digest.started_ms,
            now,
            digest.size,
            digest.hosts,
            digest.admitted,
            digest.outcomes,
        )
        return added, outcomes

    def expire(self, now):
        """Forget silent peers; return their addresses."""
        silent = [
            address
            for address, peer in self._peers.items()
            if now - peer.heard_at > SILENCE_LIMIT_S
        ]
        for address in silent:
            self._drop(address)
        return silent

    def _drop(self, address):
        peer = self._peers.pop(address, None)
        if peer is not None:
            self._count_running(peer.running, -1)

    def _count_running(self, running, sign):
        for instance, count in running.items():
            total = self._running.get(instance, 0) + sign * count
            if total:
                self._running[instance] = total
            else:
                self._running.pop(instance, None)


def _subtract(new, old):
    return {
        name: count - old.get(name, 0)
        for name, count in new.items()
        if count > old.get(name, 0)
    }


def _subtract_each(new, old):
    """Return the differences of tuples of counts that are not all zero."""
    changes = {}
    for name, counts in new.items():
        before = old.get(name, (0,) * len(counts))
        if tuple(counts) != tuple(before):
            pairs = zip(counts, before, strict=True)
            changes[name] = tuple(count - past for count, past in pairs)
    return changes
