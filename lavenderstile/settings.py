"""Daemon settings, merged from defaults, a file and overrides."""

import dataclasses
import pathlib
import tomllib

from . import errors
from . import schemas

SCHEMA_NAME = 'settings.schema.json'
DEFAULTS_NAME = 'settings_default.toml'

# Source that error messages name for the overrides.
OVERRIDES_SOURCE = 'overrides'


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity of this host; `address` is the IP address for peers."""

    name: str
    domain: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """The `ip:port` addresses of the three listeners."""

    caller: str
    peer: str
    admin: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """URLs of the configuration service and of the host list."""

    configuration_url: str
    host_list_url: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeersSettings:
    """The `ip:port` addresses of some peer listeners."""

    seeds: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TimingSettings:
    """Intervals and limits in seconds."""

    balancer_lag_s: float
    exchange_interval_s: float
    configuration_interval_s: float
    alone_limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitsSettings:
    """Limits of this host; `max_body_bytes` is None for no limit."""

    max_requests: int
    max_body_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """The minimum level of logged messages."""

    level: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a daemon."""

    host: HostSettings
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeersSettings
    timing: TimingSettings
    limits: LimitsSettings
    log: LogSettings


def load_settings(path=None, overrides=None):
    """Return the Settings; raise SettingsError with all faults found.

    `overrides` maps dotted keys such as `listen.caller` to values, which
    take precedence over the file at `path`.
    """
    source = OVERRIDES_SOURCE if path is None else str(path)
    layers = [load_defaults()]
    if path is not None:
        layers.append(_read_file(path))
    layers.append(_nest_overrides(overrides or {}))
    faults = _find_layer_faults(layers)
    merged = _merge(layers)
    faults.extend(_find_missing(merged))
    if not faults:
        faults.extend(_find_duplicate_listeners(merged['listen']))
    if faults:
        raise errors.SettingsError(source, faults)
    return _build(merged)


def load_defaults():
    """Return the shipped defaults as a dict of sections."""
    return tomllib.loads(schemas.read_resource(DEFAULTS_NAME))


def _read_file(path):
    try:
        return schemas.load_toml(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise errors.SettingsError(path, [f'file: {error.strerror}'])
    except schemas.SyntaxFault as error:
        raise errors.SettingsError(path, [str(error)])


def _nest_overrides(overrides):
    nested = {}
    for key, value in overrides.items():
        section, _, name = key.partition('.')
        nested.setdefault(section, {})[name] = value
    return nested


def _find_layer_faults(layers):
    validator = schemas.load_validator(SCHEMA_NAME)
    faults = []
    for layer in layers[:-1]:
        faults.extend(schemas.find_faults(validator, layer))
    for fault in schemas.find_faults(validator, layers[-1]):
        faults.append(f'{OVERRIDES_SOURCE}: {fault}')
    return faults


def _merge(layers):
    merged = {}
    for layer in layers:
        for section, table in layer.items():
            if isinstance(table, dict):
                merged.setdefault(section, {}).update(table)
    return merged


def _find_missing(merged):
    for section in dataclasses.fields(Settings):
        table = merged.get(section.name, {})
        for field in dataclasses.fields(section.type):
            required = field.default is dataclasses.MISSING
            if required and field.name not in table:
                yield f'{section.name}.{field.name}: missing'


def _find_duplicate_listeners(listeners):
    seen = {}
    for name, address in listeners.items():
        first = seen.setdefault(address, name)
        if first != name:
            yield f'listen.{name}: must differ from listen.{first}, {address}'


def _build(merged):
    merged['peers']['seeds'] = tuple(merged['peers']['seeds'])
    sections = {
        section.name: section.type(**merged[section.name])
        for section in dataclasses.fields(Settings)
    }
    return Settings(**sections)
