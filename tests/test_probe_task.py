"""Tests of the selection of targets to probe."""

import types
import unittest

from lavenderstile import clocks
from lavenderstile import models
from lavenderstile import probe_task


class ListTargetsTest(unittest.TestCase):
    """Guards against probes by hosts that do not own the service."""

    def list_targets(self, owned):
        """Return the targets that a host with these services probes."""
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

    def test_a_host_without_services_probes_nothing(self):
        self.assertEqual(self.list_targets(frozenset()), [])
