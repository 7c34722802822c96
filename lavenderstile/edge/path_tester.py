"""Reaction to the loss of the paths to the targets, and tests of them."""

import asyncio
import random

from . import http_client
from . import paths

# Interval of the new connections that test whether a cut has ended.
TEST_INTERVAL_S = 0.3
JITTER = 0.2


class PathTester:
    """Connects to a target now and then while this host is cut off.

    Only one connection at a time is tried, to a random target, so that many
    hosts that are cut off do not burden one of them when the cut ends.
    """

    def __init__(self, parts):
        self._clock = parts.clock
        self._directory = parts.directory
        self._health = parts.health
        self._paths = parts.paths
        self._pools = parts.pools
        self._reports = parts.reports
        self._waiting = parts.waiting
        self._has_work = asyncio.Event()
        self._random = random.Random()

    def record_failure(self, instance, detail):
        """Record that a connection to a target was not established."""
        count = len(self._directory.targets)
        now = self._clock.now()
        if self._paths.record_failure(instance, detail, count, now):
            self._has_work.set()
            self._reports.schedule_update()

    def record_success(self, instance):
        """Record a new connection to a target."""
        was_cut = self._paths.is_cut
        if self._paths.record_success(instance, self._clock.now()):
            # It is unknown which of the older connections still work.
            self._pools.clear()
            self._health.clear_path_faults()
        if was_cut:
            self._waiting.wake()
            self._reports.schedule_update()

    def suspect(self):
        """Test the paths soon, after a connection broke during a request.

        When a cut begins, each kept connection would otherwise cost a request
        before a new one shows the cut.
        """
        self._has_work.set()

    async def run(self):
        """Test the paths while there is reason to, until cancelled."""
        while True:
            await self._has_work.wait()
            count = 1 if self._paths.is_cut else paths.CUT_TARGETS
            await asyncio.gather(
                *(self._test(target) for target in self._choose(count))
            )
            if not self._paths.is_cut:
                self._has_work.clear()
            await asyncio.sleep(
                TEST_INTERVAL_S * self._random.uniform(1 - JITTER, 1 + JITTER)
            )

    def _choose(self, count):
        targets = self._directory.list_usable_targets()
        return self._random.sample(targets, min(count, len(targets)))

    async def _test(self, target):
        try:
            connection = await self._pools.connect(target)
        except http_client.ConnectError as error:
            self.record_failure(target.instance, str(error))
            return
        self.record_success(target.instance)
        self._pools.release(target, connection, None)
