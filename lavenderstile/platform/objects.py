"""Objects in the platform's store, decoded into the product's types."""

import base64
import binascii
import ipaddress
import re
import typing

import msgspec

from .. import addresses
from .. import decoding
from .. import errors
from ..edge import directory
from ..edge import models

CONFIGURATION_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
TARGET_PREFIX = 'servers/'

# Values of `routeType`: requests that may run more than once, and uploads.
_IDEMPOTENT_KIND = 'safe'
_UPLOAD_KIND = 'upload'


# Bounds of numbers, far above those of any real target or configuration.
# Larger ones don't fit the messages between hosts or overflow in sums.
MAX_SLOTS = 100_000
MAX_UNIX_MS = 2**43
MAX_COUNT = 2**53
MAX_SECONDS = 1e6
MAX_RATE = 1e9
MAX_PRIORITY = 2**31

# Longest text of an entry, in characters. Keys of the store are shorter.
MAX_TEXT = 200

# An instance is sent to its target in a header.
_INSTANCE = re.compile(f'[!-~]{{1,{MAX_TEXT}}}')

_Text = typing.Annotated[str, msgspec.Meta(max_length=MAX_TEXT)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
_Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
_Priority = typing.Annotated[
    int, msgspec.Meta(ge=-MAX_PRIORITY, le=MAX_PRIORITY)
]


class ObjectError(Exception):
    """A value of the store is invalid."""


class _Part(msgspec.Struct, rename='camel'):
    service: str
    weight: _Rate


class _Action(msgspec.Struct, rename='camel'):
    service: str | None = None
    traffic_split: list[_Part] | None = None
    timeout_s: _Seconds | None = None
    max_attempts: _Count = 1


class _Match(msgspec.Struct, rename='camel'):
    prefix: str


class _Rule(msgspec.Struct, rename='camel'):
    match: _Match
    action: _Action
    name: str = ''
    route_type: str = 'unsafe'
    # Latency objective, not a time-out.
    target_latency_s: _Seconds | None = None
    priority: _Priority = 0
    # Whether callers need no API key.
    public: bool = False


class _Listener(msgspec.Struct, rename='camel'):
    host: str
    rules: list[_Rule] = []


class _Cluster(msgspec.Struct, rename='camel'):
    name: str
    health_check: str = '/health'
    max_connections: _Count = 100
    warmup_s: _Seconds = 0.0
    cold_per_s: _Rate = 0.0


class _Tenant(msgspec.Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: _Priority | None = None
    rate_per_s: _Rate = 0.0
    burst: _Rate = 0.0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: _Count = 16 * 1024
    max_body_bytes: _Count = 64 * 1024 * 1024
    header_timeout_s: _Seconds = 5.0
    idle_timeout_s: _Seconds = 15.0


class _Config(msgspec.Struct, rename='camel'):
    version: _Count
    listeners: list[_Listener] = []
    clusters: list[_Cluster] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename='camel'):
    service: _Text
    address: _Text
    zone: _Text
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: _Text
    # Remaining time, not the whole warm-up.
    warmup_left_s: typing.Annotated[float, msgspec.Meta(le=MAX_SECONDS)] = 0.0
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0
    # Counts the heartbeats since `born`.
    seq: _Count = 0


_CONFIG_DECODER = msgspec.json.Decoder(_Config)
_SERVER_DECODER = msgspec.json.Decoder(_Server)


def decode_configuration(data):
    """Return the `Configuration` in a value; raises `ObjectError`."""
    try:
        config = decoding.decode(_CONFIG_DECODER, data)
    except errors.DecodingError as error:
        raise ObjectError(f'configuration: {error}') from None
    routes = [
        _make_route(listener.host, rule)
        for listener in config.listeners
        for rule in listener.rules
    ]
    limits = config.limits
    return models.Configuration(
        config.version,
        models.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        routes,
        [
            models.Service(
                cluster.name,
                cluster.health_check,
                cluster.max_connections,
                cluster.warmup_s,
                cluster.cold_per_s,
            )
            for cluster in config.clusters
        ],
        [
            models.Workspace(
                tenant.name,
                tuple(tenant.api_keys),
                tenant.priority,
                tenant.rate_per_s,
                tenant.burst,
            )
            for tenant in config.tenants
        ],
    )


def _make_route(host, rule):
    action = rule.action
    if action.traffic_split:
        parts = tuple(
            models.WeightedService(part.service, part.weight)
            for part in action.traffic_split
        )
        if not any(part.weight for part in parts):
            raise ObjectError(f'route {rule.name}: all weights are 0')
    elif action.service:
        parts = (models.WeightedService(action.service, 1.0),)
    else:
        raise ObjectError(
            f'route {rule.name}: neither service nor trafficSplit is set'
        )
    return models.Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        idempotent=rule.route_type == _IDEMPOTENT_KIND,
        is_upload=rule.route_type == _UPLOAD_KIND,
        weighted_services=parts,
        timeout_s=action.timeout_s,
        max_targets=max(1, action.max_attempts),
        objective_s=rule.target_latency_s,
        priority=rule.priority,
        is_public=rule.public,
    )


def decode_target(instance, data):
    """Return the `Target` in a value; raises `ObjectError`."""
    if not _INSTANCE.fullmatch(instance):
        raise ObjectError(f'target {instance!r}: not the name of an instance')
    try:
        server = decoding.decode(_SERVER_DECODER, data)
        address, port = addresses.parse_host_port(server.address)
        ipaddress.IPv4Address(address)
    except (errors.DecodingError, ValueError) as error:
        raise ObjectError(f'target {instance}: {error}') from None
    if server.state not in ('ready', 'draining'):
        raise ObjectError(f'target {instance}: unknown state')
    return models.Target(
        instance=instance,
        service=server.service,
        address=address,
        port=port,
        domain=server.zone,
        slots=server.slots,
        is_draining=server.state == 'draining',
        cold_left_s=max(0.0, server.warmup_left_s),
        started_ms=server.born,
        sequence=server.seq,
    )


def decode_value(text):
    """Return the bytes of a value in base64; raises `ObjectError`."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ObjectError(f'value is not base64: {error}') from None


def decode_written(key, text):
    """Return the object or event for a written key, or None.

    Raises `ObjectError` for an invalid value.
    """
    if key == CONFIGURATION_KEY:
        return decode_configuration(decode_value(text))
    if key.startswith(TARGET_PREFIX):
        instance = key.removeprefix(TARGET_PREFIX)
        return decode_target(instance, decode_value(text))
    if key.startswith(EVACUATION_PREFIX):
        return directory.DomainEvacuated(key.removeprefix(EVACUATION_PREFIX))
    return None


def decode_removed(key):
    """Return the event for a removed key, or None."""
    if key.startswith(TARGET_PREFIX):
        return directory.TargetRemoved(key.removeprefix(TARGET_PREFIX))
    if key.startswith(EVACUATION_PREFIX):
        return directory.DomainRestored(key.removeprefix(EVACUATION_PREFIX))
    return None
