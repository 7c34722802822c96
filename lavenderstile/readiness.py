"""Whether a host may get requests, and why not."""

from . import leases
from . import membership as membership_module

# A host without any contact cannot learn of withdrawn keys; it leaves the
# balancer after this time.
ALONE_LIMIT_S = 10.0
# A new fleet cannot know whether another list of addresses was in force just
# before; it may not use its rights earlier and would refuse all requests.
START_WAIT_S = leases.GROWTH_DELAY_S


class Readiness:
    """Derives readiness from contact, configuration and planned stops."""

    __slots__ = (
        '_alone_limit_s',
        '_clock',
        '_configuration',
        '_last_contact_at',
        '_draining',
        '_state_confirmed',
        '_membership',
        '_last_peer_contact_at',
        '_reader',
        '_started_at',
        '_synchronized',
    )

    def __init__(
        self,
        clock,
        membership,
        configuration,
        reader,
        alone_limit_s=ALONE_LIMIT_S,
    ):
        self._alone_limit_s = alone_limit_s
        self._clock = clock
        self._membership = membership
        self._configuration = configuration
        self._reader = reader
        self._last_contact_at = self._last_peer_contact_at = clock.now()
        self._started_at = clock.now()
        self._synchronized = False
        self._state_confirmed = False
        self._draining = False

    @property
    def draining(self):
        """Whether a planned stop has begun."""
        return self._draining

    def start_draining(self):
        """Begin a planned stop."""
        self._draining = True

    def update(self):
        """Record contact; called a few times a second."""
        now = self._clock.now()
        if self._membership.has_contact(now):
            self._last_contact_at = self._last_peer_contact_at = now
        read_at = self._reader.succeeded_at
        if read_at is not None:
            self._last_contact_at = max(self._last_contact_at, read_at)
        if not self._state_confirmed:
            self._state_confirmed = self._is_state_confirmed(now)

    def record_synchronized(self):
        """Record that this host has all that a ready peer has in force."""
        self._synchronized = True

    def _is_state_confirmed(self, now):
        """Return whether the state in force is known to be current.

        Only a ready peer proves it: the service may be stale, and so may
        peers that have just started. Without any ready peer until its own
        rights may be used, this host is among the first of its fleet and
        begins with what it has.
        """
        if not self._configuration.newest:
            return False
        if self._synchronized:
            return True
        if now - self._started_at < START_WAIT_S or self._has_ready_peer(now):
            return False
        read = self._reader.succeeded_at is not None
        return read or self._membership.has_contact(now)

    def _has_ready_peer(self, now):
        return any(
            peer.ready
            and self._membership.state(address, now)
            is not membership_module.PeerState.DEAD
            for address, peer in self._membership.peers.items()
        )

    @property
    def isolated(self):
        """Whether no peer answers, though the platform lists some.

        Such a host has only its own part of each rate and few slots, so
        that it would refuse requests which the other hosts can serve.
        """
        if (
            self._clock.now() - self._last_peer_contact_at
            <= self._alone_limit_s
        ):
            return False
        return any(
            peer.listed_at is not None and not peer.leaving
            for peer in self._membership.peers.values()
        )

    @property
    def alone(self):
        """Whether the host has had no contact for too long."""
        return self._clock.now() - self._last_contact_at > self._alone_limit_s

    def reasons(self):
        """Return why the host is not ready; empty if it is."""
        found = []
        if self._draining:
            found.append('draining: a planned stop has begun')
        if not self._configuration.newest:
            found.append('no configuration is in force')
        elif not self._state_confirmed:
            found.append('no ready peer has confirmed the state yet')
        if self.alone:
            found.append('alone: neither a peer nor the service answers')
        elif self.isolated:
            found.append('isolated: no peer answers, but some are listed')
        return found

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return not self.reasons()

    @property
    def may_own(self):
        """Whether peers may count on this host as an owner."""
        return self._state_confirmed and not self._draining
