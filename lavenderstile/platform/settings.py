"""Settings of a host, read from the template that the platform fills in."""

import os
import pathlib
import tomllib

from .. import errors
from ..edge import settings as edge_settings

# Environment variable with the path of the settings file.
FILE_VARIABLE = 'LAVENDERSTILE_NODE_FILE'


def _split_address(text):
    address, _, port = text.rpartition(':')
    return address, int(port)


def _read_limits(bounds):
    defaults = edge_settings.FleetLimits()
    return edge_settings.FleetLimits(
        float(bounds.get('retryBudgetRatio', defaults.retry_ratio)),
        float(bounds.get('budgetSlack', defaults.retry_slack)),
        float(bounds.get('retryWindowS', defaults.retry_window_s)),
        float(bounds.get('floorShare', defaults.floor_share)),
    )


def read_settings(text, source):
    """Return the `EdgeSettings` in a TOML text; raises `SettingsError`."""
    try:
        data = tomllib.loads(text)
        listen = data['listen']
        bounds = data['bounds']
        admin = listen.get('admin')
        return edge_settings.EdgeSettings(
            name=data['host']['name'],
            address=data['host']['address'],
            domain=data['host']['domain'],
            caller_listen=_split_address(listen['caller']),
            ready_listen=_split_address(listen['ready']),
            admin_listen=_split_address(admin) if admin else None,
            peer_port=int(listen['peer_port']),
            seeds=tuple(
                _split_address(seed)[0] for seed in data['fleet']['seeds']
            ),
            registry=_split_address(data['registry']['address']),
            stop_s=float(bounds.get('graceS', 6)),
            limits=_read_limits(bounds),
            # A text, because the platform leaves out what it has no value for.
            balancing=edge_settings.derive_balancing(
                data.get('balancing', {}).get('scope'),
                str(data['fleet'].get('tolerated_domain_losses', '')),
            ),
            max_connections=data.get('listeners', {}).get('max_connections'),
        )
    except KeyError as error:
        fault = f'{error.args[0]}: key is missing'
        raise errors.SettingsError(source, [fault]) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.SettingsError(source, [str(error)]) from None


def load_settings():
    """Return the settings from the file that `FILE_VARIABLE` names."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise errors.SettingsError(
            FILE_VARIABLE, ['environment variable is not set']
        )
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(path, [str(error)]) from None
    return read_settings(text, path)
