"""Readiness of a host for requests, with the reasons against it."""

from . import leases
from . import membership as membership_module

# A host without any contact cannot learn of withdrawn keys, so it becomes
# unready after this time.
ALONE_LIMIT_S = 10.0
# The hosts of a new fleet may not use their rights earlier, since another
# list of addresses may have been in force just before. Until then they would
# refuse all requests.
START_WAIT_S = leases.GROWTH_DELAY_S


class Readiness:
    """Derives readiness from contact, configuration and shutdown."""

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
        """Whether a graceful shutdown has begun."""
        return self._draining

    def start_draining(self):
        """Become unready for a graceful shutdown."""
        self._draining = True

    def update(self):
        """Record the last contact; call this several times a second."""
        now = self._clock.now()
        if self._membership.has_contact(now):
            self._last_contact_at = self._last_peer_contact_at = now
        read_at = self._reader.succeeded_at
        if read_at is not None:
            self._last_contact_at = max(self._last_contact_at, read_at)
        if not self._state_confirmed:
            self._state_confirmed = self._is_state_confirmed(now)

    def record_synchronized(self):
        """Record that this host has the full configuration of a ready peer."""
        self._synchronized = True

    def _is_state_confirmed(self, now):
        """Return whether the configuration in force is known to be current.

        Only a ready peer can confirm it, since the configuration service
        and peers that have just started may have an old one. If there is
        no ready peer when this host may use its rights, it is among the
        first of its fleet and starts with the configuration it has.
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
            is not membership_module.PeerState.UNREACHABLE
            for address, peer in self._membership.peers.items()
        )

    @property
    def isolated(self):
        """Whether no peer is reachable, though the platform lists some.

        Such a host has only its own share of each rate and few slots, so
        it would refuse requests that other hosts can serve.
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
        """Whether neither peers nor the service were reached for too long."""
        return self._clock.now() - self._last_contact_at > self._alone_limit_s

    def reasons(self):
        """Return the reasons why the host is not ready; empty if it is."""
        found = []
        if self._draining:
            found.append('draining: a graceful shutdown has begun')
        if not self._configuration.newest:
            found.append('no configuration is in force')
        elif not self._state_confirmed:
            found.append('no ready peer has confirmed the configuration yet')
        if self.alone:
            found.append(
                'alone: no peer and no configuration service is reachable'
            )
        elif self.isolated:
            found.append('isolated: no listed peer is reachable')
        return found

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return not self.reasons()

    @property
    def may_own(self):
        """Whether peers may treat this host as an owner."""
        return self._state_confirmed and not self._draining
