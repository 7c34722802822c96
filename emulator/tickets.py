"""Tickets that describe a stand-in fleet."""

import hashlib
import json

DEMO_KEYS = {'club-a': 'key-of-club-a', 'club-b': 'key-of-club-b'}


def digest_key(key):
    """Return the digest of a key in the format of tickets."""
    return hashlib.sha256(key.encode()).hexdigest()


def _format(table, values):
    lines = [f'[{table}]']
    lines += [f'{name} = {json.dumps(values[name])}' for name in values]
    return '\n'.join(lines)


def _format_target(target, slots, leaving):
    return (
        f'{{ address = "{target.address}", domain = "{target.domain}", '
        f'slots = {slots}, leaving = {json.dumps(leaving)} }}'
    )


def format_fleet(addresses):
    """Return the fleet table."""
    return _format('fleet', {'addresses': list(addresses)})


def format_workspace(name, key, rate, burst):
    """Return a workspace's table."""
    values = {'key_digests': [digest_key(key)] if key else []}
    values |= {'rate': rate, 'burst': burst}
    return _format(f'workspaces.{name}', values)


def format_domain(name, in_service=True):
    """Return a failure domain's table."""
    return _format(f'domains.{name}', {'in_service': in_service})


def format_service(name, targets, slots=3, leaving=(), **values):
    """Return a service's table."""
    target_rows = ',\n  '.join(
        _format_target(target, slots, target in leaving) for target in targets
    )
    table = _format(f'services.{name}', values)
    return f'{table}\ntargets = [\n  {target_rows}\n]'


def format_route(name, path, service, **values):
    """Return a route's table."""
    values = {'path': path, 'service': service} | values
    return _format(f'routes.{name}', values)


def format_ticket(number, *tables):
    """Return a ticket."""
    return '\n\n'.join((f'ticket = {number}', *tables)) + '\n'


def list_demo_tables(fleet, rate=200.0, burst=100.0):
    """Return the tables of a ticket for a whole stand-in fleet."""
    domains = sorted({host.domain for host in fleet.hosts})
    return (
        format_fleet(host.address for host in fleet.hosts),
        *(format_domain(domain) for domain in domains),
        *(
            format_workspace(name, key, rate, burst)
            for name, key in DEMO_KEYS.items()
        ),
        format_service('ledger', fleet.targets, timeout_ms=10_000),
        format_route('fees', '/fees', 'ledger', idempotency_key='required'),
        format_route('heats', '/heats', 'ledger'),
        format_route('standings', '/standings', 'ledger', open=True),
    )


def format_demo_ticket(fleet, number=1):
    """Return a ticket for a whole stand-in fleet."""
    return format_ticket(number, *list_demo_tables(fleet))
