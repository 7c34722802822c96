"""View of the other hosts: their liveness, load and admitted requests."""

import dataclasses


# A host without contact for longer than this counts as lost; it is the time of
# three heartbeats.
PEER_TIMEOUT_S = 1.6

# The largest size of the fleet is kept for this time, so that hosts that are
# partitioned from the others keep to their share of each limit.
SIZE_RETENTION_S = 20.0

# A host of another domain relays requests for this time after a digest that
# named it.
RELAY_RETENTION_S = 3.0

# If a smaller share of the own domain reaches the targets, hosts of other
# domains relay requests as well, so that the few get no excess load.
MIN_RELAY_SHARE = 0.5

# Largest number of contacts per domain.
MAX_CONTACTS = 64


@dataclasses.dataclass(slots=True)
class Peer:
    """A host of the same failure domain.

    `starts` has the latest starts of its first waiting requests for meeting
    their objectives, by service and priority.
    """

    address: str
    started_ms: int
    last_contact_at: float
    running: dict[str, int]
    admitted: dict[str, int]
    sends: dict[str, tuple[int, int, int]]
    registry_contact_at: float
    is_full: bool
    waiting: dict[str, dict[int, int]]
    limited_sends: dict[str, int]
    reaches_targets: bool
    starts: dict[str, dict[int, list[float]]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Domain:
    """Another failure domain, according to its last digest."""

    origin: str
    started_ms: int
    last_contact_at: float
    size: int
    contacts: list[str]
    admitted: dict[str, int]
    outcomes: dict[str, tuple[int, int]]


class Fleet:
    """View of one host on its domain's hosts and on the other domains."""

    __slots__ = (
        '_address',
        '_contacts',
        '_domain',
        '_domains',
        '_largest_size',
        '_largest_at',
        '_peers',
        '_relays',
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
        self._relays = {}
        self._largest_size = 1
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
        """Live peers in the same domain, by address."""
        return self._peers

    @property
    def members(self):
        """Addresses of the domain's live hosts, including this one."""
        return [self._address, *self._peers]

    @property
    def primary(self):
        """The host that sends the domain's digests: the lowest address."""
        return min(self.members)

    @property
    def contacts(self):
        """Known addresses of hosts by failure domain, including lost hosts."""
        return self._contacts

    @property
    def domains(self):
        """Other failure domains that have sent a digest, by name."""
        return self._domains

    def count_reachable(self, now):
        """Return the number of reachable hosts, including this one."""
        return sum(self.get_domain_sizes(now).values())

    def get_domain_sizes(self, now):
        """Return the number of reachable hosts by failure domain."""
        sizes = {
            name: domain.size
            for name, domain in self._domains.items()
            if now - domain.last_contact_at < 2 * PEER_TIMEOUT_S
        }
        sizes[self._domain] = 1 + len(self._peers)
        return sizes

    def get_size(self, now):
        """Return the size of the fleet, kept for a while in a partition."""
        reachable = self.count_reachable(now)
        if (
            reachable >= self._largest_size
            or now - self._largest_at > SIZE_RETENTION_S
        ):
            self._largest_size = reachable
            self._largest_at = now
        return self._largest_size

    def get_domain_share(self, now):
        """Return the share of the fleet's hosts that is in this domain."""
        return (1 + len(self._peers)) / self.get_size(now)

    def get_running(self, instance):
        """Return the requests in flight from the domain's other hosts."""
        return self._running.get(instance, 0)

    def has_more_urgent(self, service, priority):
        """Return whether a more urgent request waits at a peer."""
        return any(
            waiting < priority
            for peer in self._peers.values()
            if peer.waiting
            for waiting in peer.waiting.get(service, ())
        )

    def list_own_relays(self):
        """Return the peers of the domain that reach the targets."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.reaches_targets
        ]

    def list_relays(self, now):
        """Return the hosts that may relay requests to targets."""
        own = self.list_own_relays()
        if len(own) >= MIN_RELAY_SHARE * len(self.members):
            return own
        return own + [
            address
            for relays in self._relays.values()
            for address, named_at in relays.items()
            if now - named_at < RELAY_RETENTION_S
        ]

    def _record_relays(self, digest, now):
        relays = {
            address: named_at
            for address, named_at in self._relays.get(
                digest.domain, {}
            ).items()
            if now - named_at < RELAY_RETENTION_S and digest.relays
        }
        relays.update(dict.fromkeys(digest.relays, now))
        self._relays[digest.domain] = relays

    def learn_contacts(self, hosts):
        """Add known addresses of hosts, by failure domain."""
        for domain, addresses in hosts.items():
            known = self._contacts.setdefault(domain, [])
            for address in addresses:
                if address != self._address and address not in known:
                    known.append(address)
            del known[:-MAX_CONTACTS]

    def apply_update(self, update, now):
        """Apply a peer's update; return its counts since the last one.

        These are the admitted requests by workspace, the requests, retries
        and failures by service, and the requests to limited targets. For a
        peer that is new or has restarted, the present counts are the
        baseline, because the time of their requests is not known.
        """
        peer = self._peers.get(update.address)
        if update.is_leaving:
            self._drop(update.address)
            return {}, {}, {}
        if peer is None or peer.started_ms != update.started_ms:
            if peer is not None and peer.started_ms > update.started_ms:
                return {}, {}, {}
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
                {},
                update.limited_sends,
                update.reaches_targets,
            )
            self._peers[update.address] = peer
            self.learn_contacts({self._domain: [update.address]})
        if not peer.is_full:
            # A partial update omits counts, so one that appears now may
            # include old requests: it becomes the baseline.
            peer.admitted = update.admitted | peer.admitted
            peer.sends = update.sends | peer.sends
            peer.limited_sends = update.limited_sends | peer.limited_sends
            peer.is_full = update.is_full
        added = _subtract(update.admitted, peer.admitted)
        sent = _subtract_counts(update.sends, peer.sends)
        limited = _subtract(update.limited_sends, peer.limited_sends)
        self._count_running(peer.running, -1)
        self._count_running(update.running, 1)
        peer.running = update.running
        peer.waiting = update.waiting
        peer.starts = _convert_starts(update.starts, now)
        peer.reaches_targets = update.reaches_targets
        peer.admitted.update(update.admitted)
        peer.sends.update(update.sends)
        peer.limited_sends.update(update.limited_sends)
        peer.registry_contact_at = now - update.contact_age_s
        peer.last_contact_at = now
        return added, sent, limited

    def apply_digest(self, digest, now):
        """Apply another domain's digest; return its counts since the last.

        These are the admitted requests by workspace, and the requests and
        failures by service.
        """
        self.learn_contacts({digest.domain: digest.hosts})
        self._record_relays(digest, now)
        known = self._domains.get(digest.domain)
        is_same = (
            known is not None
            and known.origin == digest.origin
            and known.started_ms == digest.started_ms
        )
        added, outcomes = {}, {}
        if is_same:
            added = _subtract(digest.admitted, known.admitted)
            outcomes = _subtract_counts(digest.outcomes, known.outcomes)
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
        """Remove peers without recent contact; return their addresses."""
        lost = [
            address
            for address, peer in self._peers.items()
            if now - peer.last_contact_at > PEER_TIMEOUT_S
        ]
        for address in lost:
            self._drop(address)
        return lost

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


def _convert_starts(starts, now):
    """Return times for the milliseconds from now in an update."""
    return {
        service: {
            priority: [now + start_ms / 1000 for start_ms in found]
            for priority, found in by_priority.items()
        }
        for service, by_priority in starts.items()
    }


def _subtract(new, old):
    return {
        name: count - old.get(name, 0)
        for name, count in new.items()
        if count > old.get(name, 0)
    }


def _subtract_counts(new, old):
    """Return the differences of tuples of counts, without unchanged ones."""
    changes = {}
    for name, counts in new.items():
        before = old.get(name, (0,) * len(counts))
        if tuple(counts) != tuple(before):
            pairs = zip(counts, before, strict=True)
            changes[name] = tuple(count - past for count, past in pairs)
    return changes
