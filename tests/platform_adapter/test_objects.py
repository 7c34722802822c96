"""Tests of decoding the values of the store."""

import unittest

import h11
import hypothesis
from hypothesis import strategies
import msgspec

from emulator import registry_store
from lavenderstile.edge import crash_guard
from lavenderstile.edge import messages
from lavenderstile.edge import models
from lavenderstile.platform import headers
from lavenderstile.platform import objects
from tests.edge import builders

ADDRESS = '10.9.0.1:80'


def encode_target(**changes):
    """Return the bytes of an entry; `changes` may be `msgspec.Raw`."""
    entry = registry_store.describe_target(ADDRESS, **changes)
    # The encoder of msgspec refuses whole numbers of more than 64 bits.
    return msgspec.json.encode(
        {
            name: msgspec.Raw(str(value).encode())
            if type(value) is int
            else value
            for name, value in entry.items()
        }
    )


def make_number(digits):
    """Return a whole number of that many digits, as JSON."""
    return msgspec.Raw(b'9' * digits)


class TargetNumberTest(unittest.TestCase):
    """Guards against numbers of an entry that overflow where they are used.

    The number of slots is multiplied with fractions for each request, which
    raises OverflowError for large ones.
    """

    def test_numbers_out_of_bounds_are_errors(self):
        numbers = (
            *(make_number(digits) for digits in (16, 19, 20, 30, 400, 5000)),
            *(msgspec.Raw(text) for text in (b'1e400', b'NaN', b'-1e30')),
        )
        for name in ('slots', 'seq', 'born', 'warmupLeftS'):
            for number in numbers:
                if name == 'warmupLeftS' and bytes(number) == b'-1e30':
                    # The time that is left may have passed already.
                    continue
                with self.subTest(name=name, number=bytes(number)[:20]):
                    with self.assertRaises(objects.ObjectError):
                        objects.decode_target(
                            'i-1', encode_target(**{name: number})
                        )

    def test_slots_are_positive(self):
        for slots in (0, -1):
            with self.assertRaises(objects.ObjectError):
                objects.decode_target('i-1', encode_target(slots=slots))

    def test_the_largest_numbers_can_be_used(self):
        target = objects.decode_target(
            'i-1',
            encode_target(
                slots=objects.MAX_SLOTS,
                seq=objects.MAX_COUNT,
                born=objects.MAX_UNIX_MS,
                warmupLeftS=objects.MAX_SECONDS,
            ),
        )
        fixture = builders.BalancerFixture([target], domain='zone-a')
        chosen = fixture.choose()
        fixture.balancer.is_critical(chosen.known, 0.0)
        messages.pack(messages.Crash('d', f'{target.started_ms}'))


class TargetTextTest(unittest.TestCase):
    """Guards against texts of an entry that fill the memory of a host."""

    def test_long_texts_are_errors(self):
        for name in ('service', 'zone', 'state', 'address'):
            with self.subTest(name=name):
                with self.assertRaises(objects.ObjectError):
                    objects.decode_target(
                        'i-1', encode_target(**{name: 'x' * 100_000})
                    )


class TargetAddressTest(unittest.TestCase):
    """Guards against addresses to which no connection can be opened.

    A name is looked up for seconds, and some texts raise ValueError, which
    ends the task that connects: that of a request, or that of the path tests
    and with it the process.
    """

    def test_what_is_no_ip_address_with_a_port_is_an_error(self):
        for address in (
            '',
            '10.9.0.1',
            '10.9.0.1:',
            ':80',
            'target.example:80',
            'x' * 70 + '.example:80',
            '..:80',
            '10.9.0\0.1:80',
            '10.9.0.1:0',
            '10.9.0.1:65536',
            '10.9.0.1:-80',
            '10.9.0.1:+80',
            '10.9.0.1: 80',
            '10.9.0.1:8_0',
            '10.9.0.1:\u0668\u0660',
            '10.9.0.1:' + '9' * 60,
            '10.9.0.1:80:80',
            '0.0.0.0:80',
            '224.0.0.1:80',
            '::1:80',
            '[::1]:80',
            '[fe80::1%\0]:80',
            'http://10.9.0.1:80',
        ):
            with self.subTest(address=address[:30]):
                with self.assertRaises(objects.ObjectError):
                    objects.decode_target(
                        'i-1', encode_target(address=address)
                    )

    def test_an_address_with_a_port_is_decoded(self):
        target = objects.decode_target('i-1', encode_target())
        self.assertEqual((target.address, target.port), ('10.9.0.1', 80))


class InstanceTest(unittest.TestCase):
    """Guards against instances that cannot be sent in a header.

    The error would end the task of each request that chooses the target, and
    its caller would get no response.
    """

    def test_what_a_header_cannot_hold_is_an_error(self):
        for instance in ('', ' i-1', 'i-1 ', 'i\n1', 'i-1\n', 'i\0', 'i-\x7f'):
            with self.subTest(instance=instance):
                with self.assertRaises(objects.ObjectError):
                    objects.decode_target(instance, encode_target())

    def test_visible_characters_are_accepted(self):
        target = objects.decode_target('i-1/a:b', encode_target())
        self.assertEqual(target.instance, 'i-1/a:b')


ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(10**40), 10**40),
    strategies.integers(-2, 100_001),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=300),
    strategies.sampled_from(
        (
            'ready',
            'draining',
            '10.9.0.1:80',
            '10.9.0.1:65536',
            '::1:80',
            [],
            {},
            [[[[]]]],
        )
    ),
)
FIELDS = strategies.sampled_from(
    (*registry_store.describe_target(ADDRESS), 'another')
)


class OddEntryTest(unittest.TestCase):
    """Guards against an entry that is accepted and fails where it is used.

    The uses are those of an entry's fields: the choice of a target, its sums,
    the header of a request, the messages between hosts and the state dump.
    """

    def use(self, target):
        """Use a decoded target as a host does."""
        configuration = models.Configuration(
            1,
            models.CallerLimits(),
            [],
            [models.Service(target.service, '/health', 1, 3.0, 4.0)],
            [],
        )
        fixture = builders.BalancerFixture(
            [target], domain='zone-a', configuration=configuration
        )
        now = fixture.clock.now()
        (known,) = fixture.directory.targets.values()
        for _ in range(3):
            fixture.balancer.choose(
                target.service, now, 1.0, True, (), lambda instance: True
            )
            fixture.balancer.begin(known, now)
            fixture.balancer.is_critical(known, now)
        update = builders.make_update(
            '10.1.0.1',
            running=dict(fixture.balancer.own_running),
            crashes=[messages.Crash('d', crash_guard.identify_run(target))],
            leaving=[(target.instance, target.started_ms)],
        )
        self.assertEqual(messages.unpack(messages.pack(update)), update)
        msgspec.json.encode([target.cold_left_s, known.cold_until])
        h11.Request(
            method='GET',
            target='/x',
            headers=headers.Headers().write_request(
                [(b'host', b'a')], 'id', 1.0, target.instance, None
            ),
        )

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.dictionaries(FIELDS, ODD_VALUES, max_size=4),
        strategies.text(max_size=250) | strategies.just('i-1'),
    )
    def test_a_decoded_entry_can_be_used_everywhere(self, changes, instance):
        try:
            target = objects.decode_target(instance, encode_target(**changes))
        except objects.ObjectError:
            return
        self.use(target)


class ConfigurationNumberTest(unittest.TestCase):
    """Guards against numbers that cannot be sent to other hosts or summed."""

    def decode(self, version=3, **changes):
        data = registry_store.describe_configuration(version, **changes)
        return objects.decode_configuration(msgspec.json.encode(data))

    def decode_rule(self, **changes):
        rule = registry_store.make_rule('read', '/read/', 'safe', **changes)
        listener = {'host': 'races.example', 'rules': [rule]}
        return self.decode(listeners=[listener])

    def test_numbers_out_of_bounds_are_errors(self):
        huge = make_number(30)
        tenant = {'name': 'club', 'apiKeys': ['k']}
        for changes in (
            {'version': huge},
            {'version': -1},
            {'tenants': [{**tenant, 'priority': huge}]},
            {'tenants': [{**tenant, 'ratePerS': huge}]},
            {'tenants': [{**tenant, 'burst': -1}]},
            {'limits': {'maxHeaderBytes': -1}},
            {'limits': {'headerTimeoutS': huge}},
        ):
            with self.subTest(changes=str(changes)[:40]):
                with self.assertRaises(objects.ObjectError):
                    self.decode(**changes)

    def test_weights_that_choose_no_service_are_an_error(self):
        for weights in ((0, 0), (1, -1)):
            parts = [
                {'service': f's-{index}', 'weight': weight}
                for index, weight in enumerate(weights)
            ]
            with self.assertRaises(objects.ObjectError):
                self.decode_rule(service=None, trafficSplit=parts)

    def test_the_largest_priority_fits_a_message(self):
        priority = objects.MAX_PRIORITY
        tenant = {'name': 'club', 'apiKeys': ['k'], 'priority': -priority}
        configuration = self.decode(tenants=[tenant])
        found = configuration.workspaces['club'].priority
        update = builders.make_update(
            '10.1.0.1', waiting={'ledger': {found: 1, priority: 2}}
        )
        self.assertEqual(messages.unpack(messages.pack(update)), update)
