"""Task that watches the registry of targets and configurations."""

import asyncio
import random

import eliot

from .. import errors

# A longer wait would detect a lost response too late: a change has to be in
# force two seconds after a stable registry accepted it.
WATCH_WAIT_S = 1.0

# Interval at which hosts that rely on other watchers check whether they have
# to call the registry themselves.
IDLE_POLL_INTERVAL_S = 0.1

# Pause between two watches, so that consecutive changes cost one call.
WATCH_PAUSE_S = 0.35

# Exponential backoff after failed calls.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0

# After a longer outage the registry may have expired entries.
MIN_OUTAGE_S = 1.5


class HistoryLost(Exception):
    """The registry does not have the changes after a revision.

    It has dropped them, or it was restored from a copy without them.
    """


class RegistryWatcher:
    """Keeps a directory up to date; never writes to the registry.

    `client` has `read_all()` and `watch(revision, wait_s)`, which raise
    `errors.PlatformError` and `HistoryLost`, `decode_changes(body, era)` and
    `close()`.
    `watcher_selection` decides whether this host calls the registry.
    `on_change()` is called after each change of the directory.
    `broadcast_changes(after, changes)` sends changes to the peers, and
    `announce()` notifies them that the registry responded.
    """

    def __init__(
        self,
        client,
        directory,
        watcher_selection,
        clock,
        metrics,
        on_change,
        broadcast_changes,
        announce,
    ):
        self._client = client
        self._next_client = None
        self._watcher_selection = watcher_selection
        self._broadcast_changes = broadcast_changes
        self._announce = announce
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._failing_since = None
        self._failed_at = float('-inf')
        self._failures = 0
        self._is_synchronized = False

    @property
    def is_synchronized(self):
        """Whether the whole registry has been read once."""
        return self._is_synchronized

    @property
    def failing_since(self):
        """Time of the first call of the current failures, or None."""
        return self._failing_since

    def use_client(self, client):
        """Use another client from the next call on."""
        self._next_client = client

    def _switch_client(self):
        if self._next_client is not None:
            self._client.close()
            self._client, self._next_client = self._next_client, None

    async def run(self):
        """Watch the registry until cancelled."""
        needs_all = True
        while True:
            self._switch_client()
            try:
                if needs_all:
                    await self._read_all()
                    needs_all = False
                elif self._watcher_selection.should_watch(self._clock.now()):
                    await self._watch(WATCH_WAIT_S)
                    await asyncio.sleep(WATCH_PAUSE_S)
                elif self._is_behind():
                    await self._watch(0.0)
                else:
                    self._note_peer_contact()
                    await asyncio.sleep(IDLE_POLL_INTERVAL_S)
            except HistoryLost:
                position = self._directory.position
                eliot.log_message(
                    'registry_history_lost',
                    era=position.era,
                    revision=position.revision,
                )
                needs_all = True
            except errors.PlatformError as error:
                await self._back_off(error)

    async def _read_all(self):
        snapshot = await self._client.read_all()
        if snapshot.era < self._directory.position.era:
            raise errors.PlatformError(
                f'era {snapshot.era} is older than'
                f' {self._directory.position.era}'
            )
        self._note_success()
        self._directory.apply_snapshot(snapshot, self._clock.now())
        self._is_synchronized = True
        self._on_change()

    def _is_behind(self):
        return self._watcher_selection.is_behind(
            self._directory.position, self._clock.now()
        )

    async def _watch(self, wait_s):
        after = self._directory.revision
        changes = await self._client.watch(after, wait_s)
        if changes.era != self._directory.position.era:
            raise HistoryLost
        self._note_success()
        if wait_s and changes.events:
            self._broadcast_changes(after, changes)
        self._apply(changes)
        if wait_s:
            # Peers call the registry themselves when no watcher has announced
            # a response for a while.
            self._announce()

    def apply_batch(self, batch):
        """Apply changes that a peer read."""
        position = self._directory.position
        if (
            not self._is_synchronized
            or batch.era != position.era
            or not batch.after <= position.revision < batch.revision
        ):
            return
        try:
            changes = self._client.decode_changes(batch.body, batch.era)
            self._apply(changes)
        except errors.PlatformError as error:
            eliot.log_message('registry_news_unreadable', error=str(error))

    def _apply(self, changes):
        now = self._clock.now()
        self._directory.expire(now)
        self._directory.apply_changes(changes, now)
        self._on_change()

    def _note_success(self):
        self._metrics.count_registry_call('ok')
        self._watcher_selection.record_contact(self._clock.now())
        self._end_outage()

    def _note_peer_contact(self):
        """End an outage that is over for the peers that watch the registry.

        Otherwise this host's next call, perhaps much later, would seem to end
        it, and targets that leave then would stay in use for a while.
        """
        if self._failing_since is None:
            return
        if self._watcher_selection.peer_contact_at > self._failed_at:
            self._end_outage()

    def _end_outage(self):
        failing_since = self._failing_since
        self._failures = 0
        if failing_since is None:
            return
        self._failing_since = None
        now = self._clock.now()
        eliot.log_message(
            'registry_regained', after_s=round(now - failing_since, 2)
        )
        if now - failing_since > MIN_OUTAGE_S:
            self._directory.begin_grace(now)

    async def _back_off(self, error):
        self._metrics.count_registry_call('failed')
        self._failed_at = self._clock.now()
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            eliot.log_message('registry_lost', error=str(error))
        pause_s = min(MIN_RETRY_DELAY_S * 2**self._failures, MAX_RETRY_DELAY_S)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(pause_s * (0.5 + random.random() * 0.5))
