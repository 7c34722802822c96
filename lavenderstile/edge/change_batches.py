"""Changes of the registry on their way through a failure domain."""

import collections
import random
import zlib

import msgspec

# Larger news are passed on by some of the receivers. A burst of 25 datagrams
# with a configuration of 17 KB was mostly lost on links of 5 Mbit/s.
MAX_DIRECT_BYTES = 1_000
RELAY_COUNT = 5

# News carry the batches before them, too, so that a lost datagram costs no
# call to the registry: those of the last seconds, up to a size.
RESEND_WINDOW_S = 2.0
MAX_RESENT_BYTES = 4_000

# Limit of what is unpacked; the registry's answers are at most 1 MB.
MAX_UNPACKED_BYTES = 2_000_000


class ChangeBatchError(Exception):
    """News that can't be unpacked."""


class Batch(msgspec.Struct, array_like=True):
    """Changes that lead from one revision to another, as they were sent."""

    after: int
    revision: int
    body: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Batch])


def pack(batches):
    """Return batches as compressed bytes."""
    return zlib.compress(_ENCODER.encode(batches))


def unpack(packed):
    """Return the batches in compressed bytes; raises `ChangeBatchError`."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(packed, MAX_UNPACKED_BYTES)
        return _DECODER.decode(data)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ChangeBatchError(str(error)) from error


class ChangeLog:
    """The last batches that this host read from the registry."""

    __slots__ = ('_recent',)

    def __init__(self):
        self._recent = collections.deque()

    def add(self, batch, now):
        """Add a batch; return it and the latest ones before it, packed."""
        batches = [batch]
        size = 0
        for at, each in reversed(self._recent):
            size += len(each.body)
            is_linked = each.revision >= batches[0].after
            if (
                now - at > RESEND_WINDOW_S
                or size > MAX_RESENT_BYTES
                or not is_linked
            ):
                break
            batches.insert(0, each)
        self.record(batch, now)
        return pack(batches)

    def record(self, batch, now):
        """Keep a batch that this host or a peer has read."""
        if self._recent and batch.revision <= self._recent[-1][1].revision:
            return
        self._recent.append((now, batch))
        while now - self._recent[0][0] > RESEND_WINDOW_S:
            self._recent.popleft()


def plan_relays(addresses, size):
    """Return (receiver, addresses that it passes the news on to) pairs."""
    addresses = list(addresses)
    random.shuffle(addresses)
    if size <= MAX_DIRECT_BYTES:
        return [(address, []) for address in addresses]
    groups = [addresses[first::RELAY_COUNT] for first in range(RELAY_COUNT)]
    return [(group[0], group[1:]) for group in groups if group]
