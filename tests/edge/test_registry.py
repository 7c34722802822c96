"""Tests of watching the registry, against a stand-in for the store."""

import asyncio
import unittest

import msgspec

from emulator import registry_store
from lavenderstile import clocks
from lavenderstile.edge import change_batches
from lavenderstile.edge import directory
from lavenderstile.edge import fleet
from lavenderstile.edge import metrics
from lavenderstile.edge import registry
from lavenderstile.edge import watcher_selection
from lavenderstile import errors
from lavenderstile.platform import objects
from lavenderstile.platform import store as store_client
from tests.edge import builders
from tests.edge import edge_case

# More than a decoder accepts.
NESTED_LISTS = 100_000


def make_nested_entry(entry):
    """Return an entry whose `version` is a deeply nested list."""
    nested = b'[' * NESTED_LISTS + b']' * NESTED_LISTS
    return msgspec.json.encode(entry).replace(b'"v"', nested)


class WatcherCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a watcher and a stand-in for the store."""

    async def asyncSetUp(self):
        self.store = registry_store.RegistryStore()
        self.address = await self.enterAsyncContext(
            registry_store.serve_store(self.store)
        )
        self.view = fleet.Fleet('10.1.0.1', 'a', 1)
        self.directory = directory.Directory()
        self.watcher_selection = watcher_selection.WatcherSelection(self.view)
        self.broadcasts = []
        self.announced = []
        self.clock = clocks.Clock()
        host, _, port = self.address.rpartition(':')
        client = store_client.StoreClient((host, int(port)), self.clock)
        self.watcher = registry.RegistryWatcher(
            client,
            self.directory,
            self.watcher_selection,
            self.clock,
            metrics.EdgeMetrics(),
            lambda: None,
            lambda after, changes: self.broadcasts.append((after, changes)),
            lambda: self.announced.append(self.clock.now()),
        )

    def put_target(self, instance='i-1', **changes):
        """Register a target."""
        entry = registry_store.describe_target('10.9.0.1:80', **changes)
        self.store.put(f'servers/{instance}', entry)

    def put_configuration(self, version):
        """Publish a configuration."""
        self.store.put(
            'op/config', registry_store.describe_configuration(version)
        )

    def start(self):
        """Run the watcher until the end of the test."""
        task = asyncio.create_task(self.watcher.run())
        self.addCleanup(task.cancel)

    async def wait_until(self, predicate):
        async with asyncio.timeout(edge_case.LIMIT_S):
            while not predicate():
                await asyncio.sleep(0.005)

    def list_instances(self):
        """Return the instances that may get requests."""
        service = registry_store.SERVICE
        targets = self.directory.list_targets(service)
        return {known.target.instance for known in targets}


class WatchTest(WatcherCase):
    """Guards against changes that are missed or reverted."""

    async def test_entries_and_later_changes_are_read(self):
        self.put_configuration(3)
        self.put_target()
        self.start()
        await self.wait_until(lambda: self.list_instances() == {'i-1'})
        self.assertEqual(self.directory.configuration.version, 3)
        self.put_configuration(5)
        self.put_target('i-2')
        self.store.put('op/evacuate/zone-b', {})
        await self.wait_until(lambda: self.directory.evacuated)
        self.assertEqual(self.list_instances(), {'i-1', 'i-2'})
        self.assertEqual(self.directory.configuration.version, 5)
        self.store.remove('servers/i-1')
        self.store.remove('op/evacuate/zone-b')
        await self.wait_until(lambda: not self.directory.evacuated)
        self.assertEqual(self.list_instances(), {'i-2'})

    async def test_many_entries_come_in_pages(self):
        for number in range(registry_store.PAGE_ITEMS + 50):
            self.put_target(f'i-{number:04}', instance_number=number)
        snapshot = await self.watcher._client.read_all()
        self.assertEqual(len(snapshot.targets), registry_store.PAGE_ITEMS + 50)

    async def test_a_compacted_history_is_read_again(self):
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: self.directory.configuration)
        self.store.mode = 'busy'
        await self.wait_until(lambda: self.watcher.failing_since)
        self.put_target()
        self.store.compact()
        self.store.mode = 'normal'
        await self.wait_until(lambda: self.list_instances() == {'i-1'})

    async def test_an_unreachable_store_changes_nothing(self):
        self.put_configuration(3)
        self.put_target()
        self.start()
        await self.wait_until(lambda: self.list_instances())
        self.store.mode = 'busy'
        await self.wait_until(lambda: self.watcher.failing_since)
        self.assertEqual(self.list_instances(), {'i-1'})
        self.assertTrue(self.watcher.is_synchronized)
        self.store.mode = 'normal'
        await self.wait_until(lambda: self.watcher.failing_since is None)

    async def test_an_unreachable_store_is_awaited_at_the_start(self):
        self.store.mode = 'busy'
        self.start()
        await self.wait_until(lambda: self.watcher.failing_since)
        self.assertFalse(self.watcher.is_synchronized)
        self.put_configuration(1)
        self.store.mode = 'normal'
        await self.wait_until(lambda: self.directory.configuration)

    async def test_invalid_and_unknown_entries_are_ignored(self):
        self.put_target('good')
        self.store.put('servers/bytes', b'\xff\xfe not json')
        self.put_target('odd-state', state='resting')
        self.put_target('no-slots', slots='many')
        self.put_target('no-address', address='nowhere')
        self.store.put('other/key', b'x')
        self.start()
        await self.wait_until(lambda: self.watcher.is_synchronized)
        self.assertEqual(self.list_instances(), {'good'})

    async def test_a_deeply_nested_entry_is_ignored(self):
        """Guards against an entry that ends the process that reads it."""
        entry = registry_store.describe_target('10.9.0.1:81', version='v')
        nested = make_nested_entry(entry)
        self.put_target('first')
        self.store.put('servers/nested', nested)
        self.start()
        await self.wait_until(lambda: self.list_instances() == {'first'})
        self.store.put('servers/nested-too', nested)
        self.put_target('second', address='10.9.0.1:82')
        await self.wait_until(
            lambda: self.list_instances() == {'first', 'second'}
        )

    async def test_an_entry_that_becomes_invalid_is_removed(self):
        self.put_target()
        self.start()
        await self.wait_until(lambda: self.list_instances())
        self.store.put('servers/i-1', b'{}')
        await self.wait_until(lambda: not self.list_instances())

    async def test_an_invalid_configuration_changes_nothing(self):
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: self.directory.configuration)
        self.store.put('op/config', {'version': 'four'})
        self.put_target()
        await self.wait_until(lambda: self.list_instances())
        self.assertEqual(self.directory.configuration.version, 3)


class RestoredTest(WatcherCase):
    """Guards against changes that are skipped after a restoration.

    A registry that is restored from an older copy gives out its revisions
    again; a host that knew them took the new changes for old ones.
    """

    async def test_changes_at_known_revisions_are_read(self):
        self.put_configuration(3)
        copy = self.store.copy()
        self.put_configuration(5)
        self.put_target()
        self.start()
        await self.wait_until(self.list_instances)
        self.store.restore(copy)
        self.put_configuration(5)
        self.put_configuration(7)
        await self.wait_until(
            lambda: self.directory.configuration.version == 7
        )

    async def test_changes_of_another_era_from_peers_are_not_applied(self):
        self.put_configuration(3)
        await self.watcher._read_all()
        revision = self.directory.revision
        copy = self.store.copy()
        self.store.restore(copy)
        self.put_configuration(5)
        changes = await self.watcher._client.watch(revision, 0.0)
        batch = change_batches.Batch(
            revision, changes.revision, changes.body, changes.era
        )
        self.watcher.apply_batch(batch)
        self.assertEqual(self.directory.configuration.version, 3)

    async def test_a_restoration_between_two_pages_is_noticed(self):
        for number in range(registry_store.PAGE_ITEMS + 1):
            self.put_target(f'i-{number:04}', instance_number=number)
        read_range = self.store.read_range

        def restore_before_the_second_page(prefix, after):
            if after:
                self.store.restore(self.store.copy())
            return read_range(prefix, after)

        self.store.read_range = restore_before_the_second_page
        with self.assertRaises(registry.HistoryLost):
            await self.watcher._client.read_all()

    async def test_an_unreadable_era_fails_the_call(self):
        self.store.era = 'first'
        with self.assertRaises(errors.PlatformError):
            await self.watcher._client.read_all()

    async def test_a_state_of_an_earlier_era_is_refused(self):
        self.store.era = 4
        await self.watcher._read_all()
        self.store.era = 3
        with self.assertRaises(errors.PlatformError):
            await self.watcher._read_all()


class MovedRegistryTest(WatcherCase):
    """Guards against a host that stays with a former address for good."""

    async def test_changes_are_read_from_the_new_address(self):
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: self.directory.configuration)
        other = await self.enterAsyncContext(
            registry_store.serve_store(self.store)
        )
        host, _, port = other.rpartition(':')
        client = store_client.StoreClient((host, int(port)), self.clock)
        former = self.watcher._client
        self.watcher.use_client(client)
        self.put_configuration(5)
        await self.wait_until(lambda: self.watcher._client is client)
        self.assertIsNone(former._connection)
        self.put_configuration(6)
        await self.wait_until(
            lambda: self.directory.configuration.version == 6
        )


class SharingTest(WatcherCase):
    """Guards against 48 hosts that all watch the registry themselves."""

    def receive_update(self, address, **changes):
        """Receive a peer's update twice."""
        update = builders.make_update(address, **changes)
        now = self.clock.now()
        self.view.apply_update(update, now)
        self.view.apply_update(update, now)

    async def test_changes_are_broadcast_unchanged(self):
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: self.directory.configuration)
        self.put_target()
        await self.wait_until(lambda: self.broadcasts)
        after, changes = self.broadcasts[0]
        other = directory.Directory()
        watcher = registry.RegistryWatcher(
            self.watcher._client,
            other,
            self.watcher_selection,
            self.clock,
            metrics.EdgeMetrics(),
            lambda: None,
            lambda after, changes: None,
            lambda: None,
        )
        batch = change_batches.Batch(
            after, changes.revision, changes.body, changes.era
        )
        watcher.apply_batch(batch)
        self.assertEqual(other.targets, {}, 'not synchronized yet')
        await watcher._read_all()
        watcher.apply_batch(batch)
        self.assertIn('i-1', other.targets)

    async def test_each_response_is_announced(self):
        """Guards against peers that call a registry without changes.

        Without an announcement per response, peers take their last contact for
        too old: hosts made 780 calls on a quiet day instead of about 300.
        """
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: len(self.announced) >= 2)
        gap_s = self.announced[1] - self.announced[0]
        self.assertLess(gap_s, watcher_selection.CONTACT_TIMEOUT_S)

    async def test_a_batch_after_a_gap_is_not_applied(self):
        """Guards against a host that skips changes it has not received."""
        self.put_configuration(3)
        await self.watcher._read_all()
        self.put_target('i-1')
        changes = await self.watcher._client.watch(
            self.directory.revision, 0.0
        )
        known = self.directory.revision
        batch = change_batches.Batch(
            known + 1, known + 2, changes.body, changes.era
        )
        self.watcher.apply_batch(batch)
        self.assertEqual(self.list_instances(), set())

    async def test_an_invalid_batch_changes_nothing(self):
        self.put_configuration(3)
        await self.watcher._read_all()
        batch = change_batches.Batch(
            0, self.directory.revision + 1, b'\xff', self.store.era
        )
        self.watcher.apply_batch(batch)
        self.assertEqual(self.directory.configuration.version, 3)

    async def test_only_the_ranked_watchers_call_the_registry(self):
        self.put_configuration(3)
        await self.watcher._read_all()
        for number in range(2, 18):
            self.receive_update(f'10.1.0.{number}')
        ranked = watcher_selection.hashing.rank('registry', self.view.members)
        is_watcher = ranked.index('10.1.0.1') < watcher_selection.WATCHERS
        now = self.clock.now()
        self.assertEqual(self.watcher_selection.should_watch(now), is_watcher)

    async def test_an_outage_ends_when_peers_reach_the_registry(self):
        """Guards against an outage that a host sees end much later.

        A host that is no watcher makes no call after the outage. Its next
        call, when it takes over, would begin a grace period, in which targets
        that have left stay in use.
        """
        addresses = [f'10.1.0.{number}' for number in range(2, 50)]
        ahead = [
            address
            for address in addresses
            if watcher_selection.hashing.rank(
                'registry', [address, '10.1.0.1']
            )[0]
            == address
        ]
        self.put_configuration(3)
        self.start()
        await self.wait_until(lambda: self.directory.configuration)
        self.store.mode = 'busy'
        await self.wait_until(lambda: self.watcher.failing_since)

        def receive_and_check():
            for address in ahead[: watcher_selection.WATCHERS]:
                self.receive_update(address)
            return self.watcher.failing_since is None

        await self.wait_until(receive_and_check)
        self.assertEqual(self.store.mode, 'busy')


class ObjectTest(unittest.TestCase):
    """Guards against fields of a configuration that are misread."""

    def test_fields_of_a_configuration(self):
        configuration = edge_case.decode_configuration(
            registry_store.describe_configuration(4)
        )
        self.assertEqual(configuration.version, 4)
        read = configuration.find_route('races.example', '/read/1')
        pay = configuration.find_route('races.example', '/pay/1')
        self.assertTrue(read.idempotent)
        self.assertFalse(pay.idempotent)
        self.assertEqual((pay.timeout_s, pay.max_targets), (5.0, 2))
        self.assertEqual(configuration.find_workspace('key-1').name, 'club')
        self.assertEqual(configuration.services['ledger'].cold_rate, 4.0)

    def test_a_split_route(self):
        data = registry_store.describe_configuration(4)
        action = data['listeners'][0]['rules'][0]['action']
        del action['service']
        action['trafficSplit'] = [
            {'service': 'x', 'weight': 90},
            {'service': 'y', 'weight': 10},
        ]
        configuration = edge_case.decode_configuration(data)
        parts = configuration.find_route(
            'races.example', '/read/1'
        ).weighted_services
        self.assertEqual([part.service for part in parts], ['x', 'y'])

    def test_a_route_without_a_service_is_refused(self):
        data = registry_store.describe_configuration(4)
        del data['listeners'][0]['rules'][0]['action']['service']
        with self.assertRaises(objects.ObjectError):
            edge_case.decode_configuration(data)
