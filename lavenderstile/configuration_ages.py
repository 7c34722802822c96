"""Ages of configurations: how long each has been in force."""

import collections

# The configurations of peers differ only for seconds, so few digests are
# current at any time.
MAX_DIGESTS = 64


class ConfigurationAges:
    """Records since when a digest has been in force on any host.

    A host that starts learns from its peers that a configuration has long
    been in force, so that it need not delay its own rights as after a
    change.
    """

    __slots__ = ('_since',)

    def __init__(self):
        self._since = collections.OrderedDict()

    def record(self, digest, in_force_s, now):
        """Record that a peer has had a digest in force for some time."""
        since = min(now - in_force_s, self._since.get(digest, now))
        self._since[digest] = since
        self._since.move_to_end(digest)
        if len(self._since) > MAX_DIGESTS:
            self._since.popitem(last=False)

    def get_age(self, digest, now):
        """Return for how many seconds a digest has been in force."""
        self.record(digest, 0.0, now)
        return now - self._since[digest]
