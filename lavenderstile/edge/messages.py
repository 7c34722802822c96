"""Datagrams between the hosts of a fleet, as MessagePack."""

import msgspec

# A datagram carries 64 KB; the rest names the hosts that get the news next.
MAX_CHANGES_BYTES = 50_000


class Hello(msgspec.Struct, tag='h', array_like=True):
    """A host announces itself; the receiver answers with a `Welcome`."""

    address: str
    domain: str
    started_ms: int


class Welcome(msgspec.Struct, tag='w', array_like=True):
    """Hosts that the sender knows, by failure domain."""

    address: str
    domain: str
    started_ms: int
    hosts: dict[str, list[str]]


class Fault(msgspec.Struct, array_like=True):
    """A target failed a request."""

    instance: str
    kind: str


class Crash(msgspec.Struct, array_like=True):
    """A target ended while it ran a request with this digest."""

    digest: str
    instance: str


class RegistryChanges(msgspec.Struct, tag='n', array_like=True):
    """Changes that a host read from the registry: `change_batches.pack`.

    The receiver sends them to the hosts in `relay`.
    """

    packed: bytes
    relay: list[str]


class Update(msgspec.Struct, tag='u', array_like=True):
    """What a host runs and has seen, for the hosts of its domain.

    `running` has the requests that this host has sent to each target and
    that are not answered; a target that is missing has none of them.
    `successes` has the service, the seconds and the load that other domains
    cause by target. The
    others count since the start of the process: `admitted` the requests by
    workspace, `sends` by service the requests, the sends beyond the first and
    the requests that failed. `revision` is the registry's that the sender
    knows, `contact_age_s` the time since it had an answer of its own. Unless
    the update `is_full`, counts that have not changed are left out.
    """

    address: str
    domain: str
    started_ms: int
    running: dict[str, int]
    faults: list[Fault]
    successes: dict[str, tuple[str, float, int | None]]
    crashes: list[Crash]
    admitted: dict[str, int]
    sends: dict[str, tuple[int, int, int]]
    revision: int
    contact_age_s: float
    is_full: bool = True
    is_leaving: bool = False


class Digest(msgspec.Struct, tag='d', array_like=True):
    """What a failure domain tells the others.

    `origin` is the host that counts for its domain; `admitted` are its
    domain's counts by workspace since `started_ms`. `hosts` are some of
    the domain's hosts, `size` is how many it has. `outcomes` are the
    domain's requests and failures by service.
    """

    origin: str
    domain: str
    started_ms: int
    size: int
    hosts: list[str]
    admitted: dict[str, int]
    outcomes: dict[str, tuple[int, int]]
    revision: int
    crashes: list[Crash]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(
    Hello | Welcome | Update | Digest | RegistryChanges
)


def pack(message):
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def unpack(data):
    """Return the message in a datagram; raises `msgspec.MsgspecError`."""
    return _DECODER.decode(data)
