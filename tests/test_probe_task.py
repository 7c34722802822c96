"""Tests of the choice of probed targets."""

import types
import unittest

from lavenderstile import clocks
from lavenderstile import models
from lavenderstile import probe_task


class ListTargetsTest(unittest.TestCase):
    """Guards against probes by every host of the fleet."""

    def list_targets(self, owned):
        """Return the probed targets of a host that owns some services."""
        services = {
            name: models.Service(
                name,
                (
                    models.Target(f'{name}:1', 'north', 3),
                    models.Target(f'{name}:2', 'north', 3, leaving=True),
                ),
            )
            for name in ('orders', 'catalogue')
        }
        task = probe_task.ProbeTask(
            clocks.VirtualClock(),
            types.SimpleNamespace(services=services),
            types.SimpleNamespace(
                borrower=types.SimpleNamespace(services=lambda now: owned)
            ),
        )
        return task.list_targets()

    def test_only_targets_of_owned_services(self):
        self.assertEqual(
            self.list_targets({'orders'}), [('orders', 'orders:1')]
        )

    def test_an_owner_of_nothing_probes_nothing(self):
        self.assertEqual(self.list_targets(frozenset()), [])
