"""Whether a host may get requests, and why not."""

from . import membership as membership_module

# A host without any contact cannot learn of withdrawn keys; it leaves the
# balancer after this time.
ALONE_LIMIT_S = 10.0


class Readiness:
    """Derives readiness from contact, configuration and planned stops."""

    __slots__ = (
        '_alone_limit_s',
        '_clock',
        '_configuration',
        '_contact_at',
        '_draining',
        '_introduced',
        '_membership',
        '_reader',
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
        self._contact_at = clock.now()
        self._introduced = False
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
            self._contact_at = now
        read_at = self._reader.succeeded_at
        if read_at is not None:
            self._contact_at = max(self._contact_at, read_at)
        if not self._introduced:
            self._introduced = self._is_introduced(now)

    def _is_introduced(self, now):
        """Return whether the state in force is known to be current.

        A peer's answer is: it has compared its configuration. The service
        alone may be stale, so it counts only where no peer is known alive.
        """
        if not self._configuration.newest:
            return False
        if self._membership.has_contact(now):
            return True
        return self._reader.succeeded_at is not None and not self._has_peers()

    def _has_peers(self):
        now = self._clock.now()
        states = (
            self._membership.state(address, now)
            for address in self._membership.peers
        )
        return any(
            state is not membership_module.PeerState.DEAD for state in states
        )

    @property
    def alone(self):
        """Whether the host has had no contact for too long."""
        return self._clock.now() - self._contact_at > self._alone_limit_s

    def reasons(self):
        """Return why the host is not ready; empty if it is."""
        found = []
        if self._draining:
            found.append('draining: a planned stop has begun')
        if not self._configuration.newest:
            found.append('no configuration is in force')
        elif not self._introduced:
            found.append('neither a peer nor the service confirmed the state')
        if self.alone:
            found.append('alone: neither a peer nor the service answers')
        return found

    @property
    def ready(self):
        """Whether the balancer should send requests here."""
        return not self.reasons()

    @property
    def may_own(self):
        """Whether peers may count on this host as an owner."""
        return self._introduced and not self._draining
