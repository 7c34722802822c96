"""Datagrams between the hosts of a fleet, as MessagePack."""

import msgspec

from .. import decoding
from . import models

# A datagram carries 64 KB; the remainder is for the addresses to forward to.
MAX_CHANGES_BYTES = 50_000


class Hello(msgspec.Struct, tag='h', array_like=True):
    """A host announces itself; the receiver replies with a `Welcome`."""

    address: str
    domain: str
    started_ms: int


class Welcome(msgspec.Struct, tag='w', array_like=True):
    """Addresses of the hosts that the sender knows, by failure domain."""

    address: str
    domain: str
    started_ms: int
    hosts: dict[str, list[str]]


class Fault(msgspec.Struct, array_like=True):
    """A target failed a request."""

    instance: str
    kind: str


class Crash(msgspec.Struct, array_like=True):
    """A run of a target ended while it had a request with this digest."""

    digest: str
    run: str
    age_s: float = 0.0


class LimitReport(msgspec.Struct, array_like=True):
    """The limit that a target stated, in requests a second from all hosts.

    Without a `rate` it was lifted. `age_s` is the age of the statement.
    """

    rate: float | None
    age_s: float


class RegistryChanges(msgspec.Struct, tag='n', array_like=True):
    """Changes that a host read from the registry.

    `packed` is made by `change_batches.pack`. The receiver forwards it to the
    hosts in `relay`.
    """

    packed: bytes
    relay: list[str]


class Update(msgspec.Struct, tag='u', array_like=True):
    """State of a host for the hosts of its domain.

    `running` has the number of this host's requests in flight by target; a
    missing target has none. `successes` has, by target, the service, the
    latency in seconds and the load that other domains cause. The other counts
    are totals since the start of the process: `admitted` has the admitted
    requests by workspace, and `sends` by service the requests, the attempts
    after the first and the failed requests. `waiting` has the requests that
    wait for a slot, by service and priority. `era` and `revision` are the
    latest position in the registry that the sender has, `contact_age_s` the
    time since the registry last responded to the sender. `limits` has the
    limits that targets stated, and `limited_sends` the requests to targets
    while they were limited. `answers` has the ages in seconds of answers to
    requests that were suspected of crashes, by digest. Unless the update
    `is_full`, unchanged counts and limits are left out. A host that
    `reaches_targets` relays requests for those that do not. `leaving` has the
    instance and start of the targets that said that they leave. `starts` has
    the latest starts of the first waiting requests for meeting their
    objectives, by service and priority, in milliseconds from now.
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
    waiting: dict[str, dict[int, int]] = {}
    limits: dict[str, LimitReport] = {}
    limited_sends: dict[str, int] = {}
    era: int = 0
    answers: dict[str, float] = {}
    reaches_targets: bool = True
    leaving: list[tuple[str, int]] = []
    starts: dict[str, dict[int, list[int]]] = {}

    @property
    def position(self):
        """Position of the sender's directory."""
        return models.Position(self.era, self.revision)


class FaultNotice(msgspec.Struct, tag='f', array_like=True):
    """Targets that have begun to fail, for the hosts of another domain.

    `faults` has the kind of the fault by instance. The receiver forwards the
    notice inside its domain. `number` counts the notices of the host `origin`
    since `started_ms`, so that copies are told from further faults.
    """

    origin: str
    domain: str
    started_ms: int
    number: int
    faults: dict[str, str]


class Digest(msgspec.Struct, tag='d', array_like=True):
    """Totals of a failure domain for the hosts of other domains.

    `origin` is the host that sums them up for its domain. `admitted` has the
    domain's admitted requests by workspace since `started_ms`. `hosts` are
    some of the domain's hosts, `size` is the number of all. `outcomes` has
    the domain's requests and failures by service, `limits` the limits that
    targets stated, `answers` the ages of answers to suspected requests,
    `relays` some hosts of the domain that reach the targets, `leaving` the
    instance and start of the targets that said that they leave, `healthy` the
    targets of the domain that have served requests well lately.
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
    limits: dict[str, LimitReport] = {}
    era: int = 0
    answers: dict[str, float] = {}
    relays: list[str] = []
    leaving: list[tuple[str, int]] = []
    healthy: list[str] = []

    @property
    def position(self):
        """Position of the sender's directory."""
        return models.Position(self.era, self.revision)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(
    Hello | Welcome | Update | Digest | RegistryChanges | FaultNotice
)


def pack(message):
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def unpack(data):
    """Return the message in a datagram; raises `errors.DecodingError`."""
    return decoding.decode(_DECODER, data)
