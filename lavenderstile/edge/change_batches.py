"""Batches of registry changes that hosts of a failure domain exchange."""

import collections
import random
import zlib

import msgspec

from .. import decoding
from .. import errors
from . import models

# Larger messages go to RELAY_COUNT hosts, which forward them to the others: a
# burst of 25 datagrams with a configuration of 17 KB was mostly lost on links
# of 5 Mbit/s.
MAX_DIRECT_BYTES = 1_000
RELAY_COUNT = 5

# Each message repeats the batches of the last seconds, up to a size, so that a
# lost datagram costs no call to the registry.
RESEND_WINDOW_S = 2.0
MAX_RESENT_BYTES = 4_000

# Limit for decompressed batches; the registry's responses are at most 1 MB.
MAX_UNPACKED_BYTES = 2_000_000


class ChangeBatchError(Exception):
    """The packed batches can't be decoded."""


class Batch(msgspec.Struct, array_like=True):
    """Changes from revision `after` to `revision`, as the registry sent."""

    after: int
    revision: int
    body: bytes
    era: int = 0

    @property
    def position(self):
        """Position after the changes."""
        return models.Position(self.era, self.revision)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Batch])


def pack(batches):
    """Return batches as compressed bytes."""
    return zlib.compress(_ENCODER.encode(batches))


def unpack(packed):
    """Return the batches in compressed bytes; raises `ChangeBatchError`."""
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        return decoding.decode(_DECODER, data)
    except (zlib.error, errors.DecodingError) as error:
        raise ChangeBatchError(str(error)) from error


class ChangeLog:
    """Recent batches that this host or a peer read from the registry."""

    __slots__ = ('_recent',)

    def __init__(self):
        self._recent = collections.deque()

    def add(self, batch, now):
        """Record a batch; return it and the batches to repeat, packed."""
        batches = [batch]
        size = 0
        for recorded_at, earlier in reversed(self._recent):
            size += len(earlier.body)
            is_contiguous = (
                earlier.era == batch.era
                and earlier.revision >= batches[0].after
            )
            if (
                now - recorded_at > RESEND_WINDOW_S
                or size > MAX_RESENT_BYTES
                or not is_contiguous
            ):
                break
            batches.insert(0, earlier)
        self.record(batch, now)
        return pack(batches)

    def record(self, batch, now):
        """Record a batch that this host or a peer has read."""
        if self._recent and batch.position <= self._recent[-1][1].position:
            return
        self._recent.append((now, batch))
        while now - self._recent[0][0] > RESEND_WINDOW_S:
            self._recent.popleft()


def plan_relays(addresses, size):
    """Return pairs of a receiver and the addresses that it forwards to."""
    addresses = list(addresses)
    random.shuffle(addresses)
    if size <= MAX_DIRECT_BYTES:
        return [(address, []) for address in addresses]
    groups = [addresses[offset::RELAY_COUNT] for offset in range(RELAY_COUNT)]
    return [(group[0], group[1:]) for group in groups if group]
