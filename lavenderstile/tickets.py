"""Parsing and validation of change tickets."""

import hashlib

from . import addresses
from . import errors
from . import models
from . import paths
from . import schemas

# The configuration service holds values of up to 1 MB.
MAX_TICKET_BYTES = 1_000_000

SCHEMA_NAME = 'ticket.schema.json'

# The fleet is a single object; it has this name.
FLEET = 'fleet'


class Ticket:
    """A valid change ticket.

    `objects` maps (kind, name) to the object's model, or to None when the
    ticket removes the object. `digest` is the SHA-256 digest of `text`.
    `version` is the pair (number, digest); the higher one wins.
    """

    __slots__ = ('digest', 'number', 'objects', 'text', 'version')

    def __init__(self, number, digest, text, objects):
        self.number = number
        self.digest = digest
        self.text = text
        self.objects = objects
        # Built once, as every object in force refers to this tuple.
        self.version = (number, digest)

    def __repr__(self):
        return f'<Ticket {self.number} {self.digest.hex()[:12]}>'


def parse_ticket(text, source):
    """Return the Ticket in `text`; raise TicketError with every fault.

    `source` names the ticket's origin in error messages. A ticket of 1 MB
    takes more than a second, so daemons parse tickets in a worker thread.
    """
    content = _encode(text, source)
    try:
        document = schemas.load_toml(text)
    except schemas.SyntaxFault as error:
        raise errors.TicketError(source, [str(error)])
    faults = _find_faults(document)
    if faults:
        raise errors.TicketError(source, faults)
    return Ticket(
        document['ticket'],
        hashlib.sha256(content).digest(),
        text,
        _build_objects(document),
    )


def _encode(text, source):
    try:
        content = text.encode()
    except UnicodeEncodeError:
        raise errors.TicketError(source, ['document: must be UTF-8 text'])
    if len(content) > MAX_TICKET_BYTES:
        fault = (
            f'document: must have at most {MAX_TICKET_BYTES} bytes, '
            f'got {len(content)}'
        )
        raise errors.TicketError(source, [fault])
    return content


def _find_faults(document):
    validator = schemas.load_validator(SCHEMA_NAME)
    located = schemas.find_located_faults(validator, document)
    valid = _drop_faulty_objects(document, set(located.values()))
    faults = [*located, *_find_semantic_faults(valid)]
    if not any(document[key] for key in document if key != 'ticket'):
        faults.append('document: a ticket must have at least one object')
    return sorted(faults)


def _drop_faulty_objects(document, faulty_paths):
    """Return the objects in which the schema check found no fault."""
    faulty = {path[:2] for path in faulty_paths}
    kinds = {path[0] for path in faulty_paths if path}
    valid = {}
    for kind in KINDS:
        table = document.get(kind)
        if not isinstance(table, dict):
            continue
        if kind != 'fleet':
            valid[kind] = {
                name: value
                for name, value in table.items()
                if (kind, name) not in faulty
            }
        elif kind not in kinds:
            valid[kind] = table
    return valid


def _find_semantic_faults(document):
    yield from _find_fleet_faults(document.get('fleet'))
    yield from _find_digest_faults(document.get('workspaces', {}))
    for name, table in document.get('services', {}).items():
        yield from _find_target_faults(name, table.get('targets', ()))
    for name, table in document.get('routes', {}).items():
        yield from _find_route_faults(name, table)


def _find_fleet_faults(fleet):
    if fleet is None:
        return
    networks = fleet['addresses']
    for one, other in addresses.find_overlaps(networks):
        yield (
            f'fleet.addresses[{other}]: {networks[other]} overlaps '
            f'fleet.addresses[{one}], {networks[one]}'
        )
    count = addresses.count_addresses(networks)
    if count > addresses.MAX_FLEET_ADDRESSES:
        yield (
            f'fleet.addresses: must have at most '
            f'{addresses.MAX_FLEET_ADDRESSES} addresses, got {count}'
        )


def _find_digest_faults(workspaces):
    owners = {}
    for name, table in workspaces.items():
        for index, digest in enumerate(table.get('key_digests', ())):
            path = schemas.format_path(
                ['workspaces', name, 'key_digests', index]
            )
            first = owners.setdefault(digest.lower(), path)
            if first != path:
                yield f'{path}: same digest as {first}'
        yield from _find_rate_faults(name, table)


def _find_rate_faults(name, table):
    if table.get('rate', 0) > 0 and table['burst'] < 1:
        path = schemas.format_path(['workspaces', name, 'burst'])
        yield f'{path}: must be at least 1 request when the rate is above 0'


def _find_target_faults(service, targets):
    seen = {}
    for index, target in enumerate(targets):
        path = schemas.format_path(['services', service, 'targets', index])
        first = seen.setdefault(target['address'], path)
        if first != path:
            yield (
                f'{path}.address: duplicate target {target["address"]}, '
                f'same as {first}'
            )


def _find_route_faults(name, table):
    path = table.get('path', '/')
    if paths.split_path(path) is None:
        place = schemas.format_path(['routes', name, 'path'])
        yield f'{place}: must not have segments that are "." or ".."'


def _build_objects(document):
    objects = {}
    if 'fleet' in document:
        objects[('fleet', FLEET)] = _build_fleet(document['fleet'])
    for kind, build in _BUILDERS.items():
        for name, table in document.get(kind, {}).items():
            removed = 'removed' in table
            model = None if removed else build(name, table)
            objects[(kind, name)] = model
    return objects


def _build_fleet(table):
    networks = table['addresses']
    return models.Fleet(
        **{**table, 'addresses': addresses.expand_networks(networks)}
    )


def _build_domain(name, table):
    return models.Domain(name, **table)


def _build_workspace(name, table):
    digests = tuple(digest.lower() for digest in table['key_digests'])
    return models.Workspace(name, digests, table['rate'], table['burst'])


def _build_service(name, table):
    targets = tuple(models.Target(**target) for target in table['targets'])
    return models.Service(name, **{**table, 'targets': targets})


def _build_route(name, table):
    methods = tuple(sorted(table.get('methods', ())))
    return models.Route(name, **{**table, 'methods': methods})


_BUILDERS = {
    'domains': _build_domain,
    'workspaces': _build_workspace,
    'services': _build_service,
    'routes': _build_route,
}

# Kinds of objects, in the order in which they are listed.
KINDS = ('fleet', *_BUILDERS)
