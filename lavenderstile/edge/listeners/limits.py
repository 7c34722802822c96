"""The limits of the listeners and their defaults."""

import dataclasses
import resource

# Bytes that a connection reads behind the request that runs. One read, of
# `READ_BUFFER_BYTES` at most, may exceed it.
READ_AHEAD_BYTES = 64 * 1024

# Bytes that all connections of a listener read at once into a shared buffer.
READ_BUFFER_BYTES = 64 * 1024

# Unsent response bytes above which the next pipelined request of a connection
# waits until the client has read.
UNSENT_BYTES = 64 * 1024

# Bytes that all connections of a host together read ahead and have not sent.
# A response has up to 32 MB; one to a slow reader has to fit beside others.
HELD_BYTES = 36 * 1024 * 1024

# Bytes of the request bodies of all connections of a host, and of the heads
# that take more than `SMALL_HEAD_BYTES`.
BODY_BYTES = 96 * 1024 * 1024
SMALL_HEAD_BYTES = 4096

# Of the process's descriptors, the number that is for files.
FILE_DESCRIPTORS = 200

# Taken as the limit of descriptors where the process has none.
UNLIMITED_DESCRIPTORS = 65536

# Share of the other descriptors that is for the connections of clients. The
# rest is for targets: one for each running request, more for hedged ones and
# for idle connections.
CONNECTION_SHARE = 2 / 3

# Connections that a listener accepts in one iteration of the event loop, and
# thereby the descriptors that it may open above the limit.
ACCEPTS_PER_STEP = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of all listeners of a host together."""

    connections: int
    held_bytes: int = HELD_BYTES
    body_bytes: int = BODY_BYTES


def derive_connections(descriptors):
    """Return the limit of connections for a limit of open descriptors."""
    usable = descriptors - FILE_DESCRIPTORS - ACCEPTS_PER_STEP
    return max(1, int(usable * CONNECTION_SHARE))


def make_limits(connections=None):
    """Return the limits; the process's descriptors set the connections."""
    if connections is None:
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit == resource.RLIM_INFINITY:
            soft_limit = UNLIMITED_DESCRIPTORS
        connections = derive_connections(soft_limit)
    return ListenerLimits(connections)
