"""Tests of ticket parsing and validation."""

import hashlib
import unittest

from lavenderstile import errors
from lavenderstile import models
from lavenderstile import tickets

DIGEST = 'ab' * 32

COMPLETE = f"""
ticket = 12

[fleet]
addresses = ["127.0.0.0/30", "127.0.1.1"]
claim_window_s = 600

[domains.north]
in_service = true

[workspaces.races]
key_digests = ["{DIGEST.upper()}"]
rate = 120
burst = 30.5

[services.orders]
targets = [
    {{address = "127.0.0.1:8000", domain = "north", slots = 3}},
    {{address = "[::1]:8000", domain = "north", slots = 1, leaving = true}},
]
connections = 350
floor = 0.6
timeout_ms = 2500

[routes.orders]
path = "/orders"
methods = ["POST", "GET"]
service = "orders"
open = true
idempotent = false
idempotency_key = "required"

[routes.old]
removed = true
"""


def find_faults(text):
    """Return the faults of a ticket, () when it is valid."""
    try:
        tickets.parse_ticket(text, 'test')
    except errors.TicketError as error:
        return error.faults
    return ()


class ParseTest(unittest.TestCase):
    """Guards against a ticket whose objects are parsed incorrectly."""

    def test_complete_ticket(self):
        ticket = tickets.parse_ticket(COMPLETE, 'test')
        self.assertEqual(ticket.number, 12)
        self.assertEqual(ticket.text, COMPLETE)
        self.assertEqual(
            ticket.digest, hashlib.sha256(COMPLETE.encode()).digest()
        )
        north = 'north'
        self.assertEqual(
            ticket.objects,
            {
                ('fleet', 'fleet'): models.Fleet(
                    ('127.0.0.1', '127.0.0.2', '127.0.1.1'), 600
                ),
                ('domains', north): models.Domain(north, True),
                ('workspaces', 'races'): models.Workspace(
                    'races', (DIGEST,), 120, 30.5
                ),
                ('services', 'orders'): models.Service(
                    'orders',
                    (
                        models.Target('127.0.0.1:8000', north, 3),
                        models.Target('[::1]:8000', north, 1, True),
                    ),
                    350,
                    0.6,
                    2500,
                ),
                ('routes', 'orders'): models.Route(
                    'orders',
                    '/orders',
                    'orders',
                    ('GET', 'POST'),
                    True,
                    False,
                    'required',
                ),
                ('routes', 'old'): None,
            },
        )

    def test_defaults(self):
        ticket = tickets.parse_ticket(
            'ticket = 1\n[services.s]\ntargets = []\n'
            '[routes.r]\npath = "/"\nservice = "s"\n',
            'test',
        )
        service = ticket.objects[('services', 's')]
        self.assertEqual(
            (service.connections, service.floor, service.timeout_ms),
            (400, 0.7, 10_000),
        )
        route = ticket.objects[('routes', 'r')]
        self.assertEqual(route.methods, ())
        self.assertFalse(route.open)
        self.assertTrue(route.is_idempotent('PUT'))
        self.assertFalse(route.is_idempotent('POST'))

    def test_repr_shows_no_content(self):
        ticket = tickets.parse_ticket(COMPLETE, 'test')
        self.assertNotIn(DIGEST[:8], repr(ticket).lower())
        self.assertIn('12', repr(ticket))


class FaultTest(unittest.TestCase):
    """Guards against applying a ticket that has an error."""

    def check(self, text, *starts):
        faults = find_faults(text)
        self.assertEqual(len(faults), len(starts), faults)
        for fault, start in zip(faults, starts, strict=True):
            self.assertEqual(fault[: len(start)], start)

    def check_replaced(self, old, new, *starts):
        self.assertIn(old, COMPLETE)
        self.check(COMPLETE.replace(old, new, 1), *starts)

    def test_number(self):
        for new in ('', 'ticket = 0', 'ticket = -1', 'ticket = true'):
            self.check_replaced('ticket = 12', new, 'ticket: m')
        for new in ('ticket = 1.0', 'ticket = "1"', f'ticket = {2**63}'):
            self.check_replaced('ticket = 12', new, 'ticket: must be a posi')

    def test_syntax_error_names_the_line(self):
        self.check('ticket = 1\nticket = = 2\n', 'line 2, column 10: ')
        self.check('ticket = 1\n[fleet]\n[fleet]\n', 'line 3, column 7: ')
        self.check('ticket =', 'end of document: ')

    def test_unusable_texts(self):
        self.check('ticket = ' + '9' * 5000, 'document: a number or date')
        self.check('a = ' + '[' * 100_000, 'document: nested too deeply')
        self.check('a = "\ud800"', 'document: must be UTF-8')
        self.check(COMPLETE + '#' * 10**6, 'document: must have at most 10')

    def test_size_limit_counts_bytes(self):
        head = 'ticket = 1\n[domains.a]\nin_service = true\n#'
        room = tickets.MAX_TICKET_BYTES - len(head)
        self.check(head + 'x' * room)
        self.check(head + '\u00e9' * room, 'document: must have at most')

    def test_no_object(self):
        self.check('ticket = 1', 'document: a ticket must have at least one')
        self.check('ticket = 1\n[routes]\n', 'document: a ticket must')

    def test_unknown_keys(self):
        self.check_replaced('[domains.north]', '[domain.north]', 'domain: unk')
        for table in (
            'fleet',
            'domains.north',
            'workspaces.races',
            'services.orders',
            'routes.orders',
        ):
            self.check_replaced(
                f'[{table}]\n', f'[{table}]\nx = 1\n', f'{table}.x: unknown'
            )
        self.check_replaced(
            'slots = 3', 'slots = 3, x = 1', 'services.orders.targets[0].x: u'
        )

    def test_missing_keys(self):
        self.check(
            'ticket = 1\n[fleet]\n[domains.a]\n[workspaces.a]\n'
            '[services.a]\n[services.b]\ntargets = [{}]\n[routes.a]\n',
            'domains.a.in_service: missing',
            'fleet.addresses: missing',
            'routes.a.path: missing',
            'routes.a.service: missing',
            'services.a.targets: missing',
            'services.b.targets[0].address: missing',
            'services.b.targets[0].domain: missing',
            'services.b.targets[0].slots: missing',
            'workspaces.a.burst: missing',
            'workspaces.a.key_digests: missing',
            'workspaces.a.rate: missing',
        )

    def test_wrong_types_and_ranges(self):
        for old, new, path in (
            ('= 600', '= 0', 'fleet.claim_window_s'),
            ('= 600', '= nan', 'fleet.claim_window_s'),
            (
                'in_service = true',
                'in_service = 1',
                'domains.north.in_service',
            ),
            ('= 120', '= -1', 'workspaces.races.rate'),
            ('= 120', '= inf', 'workspaces.races.rate'),
            ('= 120', '= nan', 'workspaces.races.rate'),
            ('= 120', '= true', 'workspaces.races.rate'),
            ('= 120', '= 2025-01-01', 'workspaces.races.rate'),
            ('= 30.5', '= "30"', 'workspaces.races.burst'),
            ('= 350', '= 0', 'services.orders.connections'),
            ('= 350', '= 350.0', 'services.orders.connections'),
            ('= 0.6', '= 1.1', 'services.orders.floor'),
            ('= 2500', '= 0', 'services.orders.timeout_ms'),
            ('slots = 3', 'slots = 0', 'services.orders.targets[0].slots'),
            ('slots = 3', 'slots = 1.5', 'services.orders.targets[0].slots'),
            ('open = true', 'open = "yes"', 'routes.orders.open'),
            ('"required"', '"always"', 'routes.orders.idempotency_key'),
            ('"POST", "GET"', '"post"', 'routes.orders.methods[0]'),
            ('"POST", "GET"', '"GET", "GET"', 'routes.orders.methods'),
            ('"POST", "GET"', '', 'routes.orders.methods'),
            ('service = "orders"', 'service = ""', 'routes.orders.service'),
        ):
            self.check_replaced(old, new, f'{path}: must be ')

    def test_tables_of_wrong_type(self):
        self.check(
            'ticket = 1\nfleet = 1\nroutes = []\n[domains]\na = 1\n',
            'domains.a: must be a table, got an integer 1',
            'fleet: must be a table, got an integer 1',
            'routes: must be a table of routes, got an array',
        )

    def test_names(self):
        for name in ('""', '"a b"', '"a\\n"', '"-a"', '"' + 'a' * 65 + '"'):
            faults = find_faults(
                f'ticket = 1\n[domains.{name}]\nin_service = true\n'
            )
            self.assertEqual(len(faults), 1, name)
            self.assertIn('a name must have 1 to 64', faults[0])

    def test_tombstone_has_no_other_key(self):
        self.check(
            'ticket = 1\n[routes.r]\nremoved = true\npath = "/"\n',
            'routes.r.path: unknown key; known keys here: removed',
        )
        self.check(
            'ticket = 1\n[routes.r]\nremoved = false\n',
            'routes.r.removed: must be true, got a boolean',
        )

    def test_fleet_cannot_be_removed(self):
        self.check(
            'ticket = 1\n[fleet]\nremoved = true\n',
            'fleet.addresses: missing',
            'fleet.removed: unknown key',
        )

    def test_key_digests(self):
        place = 'workspaces.races.key_digests'
        for new in ('', DIGEST[1:], DIGEST + '0', 'g' * 64, DIGEST + '\\n'):
            self.check_replaced(DIGEST.upper(), new, f'{place}[0]: must be')
        self.check_replaced(
            '["' + DIGEST.upper(),
            f'["{DIGEST}", "{DIGEST.upper()}',
            f'{place}[1]: same digest as {place}[0]',
        )

    def test_key_digest_in_two_workspaces(self):
        table = f'key_digests = ["{DIGEST}"]\nrate = 0\nburst = 0\n'
        self.check(
            f'ticket = 1\n[workspaces.a]\n{table}[workspaces.b]\n{table}',
            'workspaces.b.key_digests[0]: same digest as workspaces.a.key_',
        )

    def test_burst_under_one_request(self):
        self.check_replaced(
            '30.5', '0.5', 'workspaces.races.burst: must be at least 1'
        )

    def test_target_addresses(self):
        place = 'services.orders.targets'
        for new in (
            '',
            '127.0.0.1',
            'orders:80',
            '127.0.0.1:0',
            '::1:80',
            '0.0.0.0:80',
            '[::]:80',
            '224.0.0.1:80',
        ):
            self.check_replaced(
                '127.0.0.1:8000', new, f'{place}[0].address: must be the add'
            )
        self.check_replaced(
            '[::1]:8000',
            '127.0.0.1:8000',
            f'{place}[1].address: duplicate target 127.0.0.1:8000, same as '
            f'{place}[0]',
        )

    def test_paths(self):
        for new in ('', 'orders', '/a b', '/a?b', '/a//b', '/a%2', '/a\\n'):
            self.check_replaced('"/orders"', f'"{new}"', 'routes.orders.path')
        for new in ('/a/../b', '/.', '/%2e%2E/b', '/a%2fb'):
            self.check_replaced('"/orders"', f'"{new}"', 'routes.orders.path')
        for new in ('/', '/a/', '/a/b.c', '/a/%20'):
            self.check_replaced('"/orders"', f'"{new}"')

    def test_fleet_networks(self):
        place = 'fleet.addresses'
        self.check_replaced('127.0.0.0/30', '127.0.0.1/30', f'{place}[0]: mu')
        self.check_replaced('127.0.1.1', 'host', f'{place}[1]: must be an IP')
        self.check_replaced(
            '127.0.1.1', '127.0.0.2', f'{place}[1]: 127.0.0.2 overlaps'
        )
        self.check_replaced('/30', '/8', place + ': must', place + '[1]: 127')
        self.check_replaced('127.0.0.0/30', '::/1', f'{place}: must have at m')

    def test_all_faults_are_reported_at_once(self):
        text = COMPLETE.replace('= 0.6', '= 2').replace('"/orders"', '1')
        self.check(text, 'routes.orders.path: ', 'services.orders.floor: ')

    def test_valid_objects_are_checked_beside_faulty_ones(self):
        target = '{address = "127.0.0.1:1", domain = "a", slots = 1}'
        self.check(
            'ticket = 0\n[services.a]\ntargets = []\nfloor = 7\n'
            f'[services.b]\ntargets = [{target}, {target}]\n'
            '[services."c\\n"]\ntargets = []\n'
            '[fleet]\naddresses = ["127.0.0.1", "127.0.0.1"]\n'
            '[routes.r]\npath = "/.."\nservice = "a"\n',
            'fleet.addresses[1]: 127.0.0.1 overlaps fleet.addresses[0]',
            'routes.r.path: must not have segments that are',
            'services."c\\n": a name must have',
            'services.a.floor: must be a fraction',
            'services.b.targets[1].address: duplicate target',
            'ticket: must be a positive integer',
        )

    def test_every_fault_of_a_large_ticket_is_listed(self):
        tables = ''.join(
            f'[domains.d{index}]\nin_service = 1\n' for index in range(300)
        )
        self.assertEqual(len(find_faults(f'ticket = 1\n{tables}')), 300)

    def test_message_names_the_source(self):
        with self.assertRaises(errors.TicketError) as caught:
            tickets.parse_ticket('ticket = 0', 'tickets/12.toml')
        self.assertIn('tickets/12.toml: ticket: must', str(caught.exception))
