"""The configuration and the targets in use on a host."""

import collections
import dataclasses

from . import models

# Entries that expired during an outage of the registry are written again
# within two seconds of its return. Until then a missing entry does not mean
# that the target has left.
LAPSE_GRACE_S = 2.0

# An outage makes most entries of a service expire at once. If a smaller share
# is missing after it, those targets have left and get no more requests.
LAPSE_SHARE = 0.4

# A restored registry may list targets that have left, and may lack evacuations
# that are still wanted. It drops the former after three missed heartbeats, and
# the operator writes the latter again. Until then what the host knew counts.
RESTORE_GRACE_S = 6.0

# An entry of a target that has left, with nothing newer than before, may be a
# write that the registry has done late. It drops such an entry after three
# missed heartbeats; one that is listed for longer is of a live target.
LATE_WRITE_HOLD_S = 6.0

# Targets that have left are remembered for this time, which is longer than
# the age of a copy from which the registry may be restored.
DEPARTED_RETENTION_S = 60.0


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A target and the times that follow from its registry entry.

    `is_leaving` is set when the target itself has said in a response that it
    leaves, which its entry may say later or not at all.
    """

    target: models.Target
    seen_at: float
    cold_until: float
    removed_at: float | None = None
    is_leaving: bool = False

    @property
    def takes_requests(self):
        """Whether the target may get new requests."""
        return not (self.target.is_draining or self.is_leaving)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldTarget:
    """An entry of a target that had left, not used before `until`."""

    target: models.Target
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content of the registry, read page by page.

    Later changes are read from `revision` on.
    """

    revision: int
    configuration: models.Configuration | None
    targets: tuple[models.Target, ...]
    evacuated: frozenset[str]
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision; `events` has (revision, event) pairs.

    `body` is the registry's response, to be forwarded to other hosts.
    """

    revision: int
    events: tuple
    body: bytes = b''
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target's entry was removed or names no usable target."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """The targets of a failure domain get no more requests."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRestored:
    """The targets of a failure domain get requests again."""

    domain: str


class Directory:
    """The current state; the configuration's version never decreases."""

    __slots__ = (
        '_by_service',
        '_configuration',
        '_departed',
        '_domains',
        '_evacuated',
        '_grace_until',
        '_held_targets',
        '_leaving',
        '_listed_evacuated',
        '_position',
        '_replayed_until',
        '_restore_grace_until',
        '_targets',
    )

    def __init__(self):
        self._configuration = None
        self._targets = {}
        self._by_service = {}
        self._domains = {}
        self._evacuated = frozenset()
        self._position = None
        self._grace_until = 0.0
        self._departed = {}
        self._held_targets = {}
        self._leaving = []
        self._listed_evacuated = frozenset()
        self._replayed_until = 0
        self._restore_grace_until = 0.0

    @property
    def configuration(self):
        """The newest configuration, or None if none was read yet."""
        return self._configuration

    @property
    def revision(self):
        """Registry revision of this state."""
        return self.position.revision

    @property
    def position(self):
        """Era and revision of this state."""
        return self._position or models.Position(0, 0)

    @property
    def evacuated(self):
        """Failure domains taken out of service."""
        return self._evacuated

    @property
    def targets(self):
        """Known targets by instance, including those in their grace period."""
        return self._targets

    @property
    def leaving(self):
        """Instance and start of the targets that say that they leave."""
        return self._leaving

    def mark_leaving(self, instance, started_ms):
        """Send no more requests to a run of a target that leaves.

        Returns whether this was not known.
        """
        known = self._targets.get(instance)
        if (
            known is None
            or known.is_leaving
            or known.target.started_ms != started_ms
        ):
            return False
        known.is_leaving = True
        self._index()
        return True

    def list_targets(self, service):
        """Return the targets of a service that may get new requests."""
        return self._by_service.get(service, ())

    def list_usable_targets(self):
        """Return the targets of known services that may get new requests."""
        return [
            known.target
            for service, targets in self._by_service.items()
            if self._is_service_known(service)
            for known in targets
        ]

    def get_domains(self, service):
        """Return the failure domains with targets of a service in use."""
        return self._domains.get(service, frozenset())

    def begin_grace(self, now):
        """Start the grace period after an outage of the registry."""
        self._grace_until = now + LAPSE_GRACE_S

    def apply_snapshot(self, snapshot, now):
        """Replace the state; targets without an entry are removed.

        A snapshot of a new era is from a restored registry: for a while,
        targets without an entry may still have to register again.
        """
        if self._position is not None and snapshot.era > self._position.era:
            self._restore_grace_until = now + RESTORE_GRACE_S
            self.begin_grace(now)
        is_restored = now < self._restore_grace_until
        self._update_configuration(snapshot.configuration)
        self._listed_evacuated = snapshot.evacuated
        self._evacuated = (
            self._evacuated | snapshot.evacuated
            if is_restored
            else snapshot.evacuated
        )
        present = {target.instance for target in snapshot.targets}
        missing = [
            instance for instance in self._targets if instance not in present
        ]
        self._note_replay(snapshot)
        if is_restored:
            self._keep_missing(missing, now)
        else:
            self._remove_all(missing, snapshot.revision, now)
        self._held_targets = {
            instance: held
            for instance, held in self._held_targets.items()
            if instance in present
        }
        for target in snapshot.targets:
            self._add_unless_departed(target, now)
        self._position = models.Position(snapshot.era, snapshot.revision)
        self._index()

    def _note_replay(self, snapshot):
        """Note up to which revision the changes of this era are known.

        A snapshot of an earlier state makes them come again. What they remove
        may be there again at their end.
        """
        if self._position is None or snapshot.era != self._position.era:
            self._replayed_until = 0
        else:
            self._replayed_until = max(self._replayed_until, self.revision)

    def _add_unless_departed(self, target, now):
        """Add a target, or hold it if it had left when the entry was made."""
        instance = target.instance
        age_order, _ = self._departed.get(instance, (None, None))
        # Without its start a target that begins anew can't be told apart.
        is_departed = (
            instance not in self._targets
            and age_order is not None
            and target.started_ms
            and target.age_order <= age_order
        )
        if not is_departed:
            self._held_targets.pop(instance, None)
            self._add_target(target, now)
        elif instance not in self._held_targets:
            until = max(self._restore_grace_until, now + LATE_WRITE_HOLD_S)
            self._held_targets[instance] = HeldTarget(target, until)

    def apply_changes(self, changes, now):
        """Apply the changes that are newer than the current revision.

        Changes of another era are ignored.
        """
        if changes.era != self.position.era:
            return
        removed = {}
        for revision, event in changes.events:
            if revision <= self.revision:
                continue
            match event:
                case models.Configuration():
                    self._update_configuration(event)
                case models.Target():
                    removed.pop(event.instance, None)
                    self._add_unless_departed(event, now)
                case TargetRemoved(instance):
                    self._held_targets.pop(instance, None)
                    removed[instance] = True
                case DomainEvacuated(domain):
                    self._evacuated |= {domain}
                    self._listed_evacuated |= {domain}
                case DomainRestored(domain):
                    self._evacuated -= {domain}
                    self._listed_evacuated -= {domain}
        revision = max(self.revision, changes.revision)
        self._remove_all(removed, revision, now)
        self._position = models.Position(changes.era, revision)
        self._index()

    def expire(self, now):
        """Drop what was only kept for a grace period that is over."""
        expired = [
            instance
            for instance, known in self._targets.items()
            if known.removed_at is not None and now >= self._grace_until
        ]
        for instance in expired:
            self._remove(instance, now)
        is_changed = bool(expired)
        is_changed |= self._release_held(now)
        if now >= self._restore_grace_until:
            is_changed |= self._evacuated != self._listed_evacuated
            self._evacuated = self._listed_evacuated
        if is_changed:
            self._index()

    def _release_held(self, now):
        """Add the held targets that are still listed; return if any."""
        due = [
            held.target
            for held in self._held_targets.values()
            if now >= held.until
        ]
        for target in due:
            del self._held_targets[target.instance]
            self._add_target(target, now)
        return bool(due)

    def _update_configuration(self, configuration):
        if configuration is None:
            return
        current = self._configuration
        if current is None or configuration.version > current.version:
            self._configuration = configuration

    def _add_target(self, target, now):
        known = self._targets.get(target.instance)
        if known is not None and known.target.age_order > target.age_order:
            if known.target.started_ms == target.started_ms:
                known.removed_at = None
            return
        cold_until = now + target.cold_left_s if target.cold_left_s else 0.0
        is_leaving = (
            known is not None
            and known.is_leaving
            and known.target.started_ms == target.started_ms
        )
        self._targets[target.instance] = KnownTarget(
            target, now, cold_until, is_leaving=is_leaving
        )
        self._departed.pop(target.instance, None)
        self._drop_former_targets((target.address, target.port), now)

    def _is_service_known(self, service):
        """Return whether the configuration, if there is one, has a service."""
        return (
            self._configuration is None
            or service in self._configuration.services
        )

    def _drop_former_targets(self, endpoint, now):
        """Drop targets whose address and port now belong to a newer one."""
        sharing = [
            known.target
            for known in self._targets.values()
            if (known.target.address, known.target.port) == endpoint
        ]
        newest_ms = max(
            target.started_ms if self._is_service_known(target.service) else 0
            for target in sharing
        )
        for target in sharing:
            if target.started_ms < newest_ms:
                self._remove(target.instance, now)

    def _remove(self, instance, now):
        """Remove a target; remember the age of its last entry."""
        known = self._targets.pop(instance)
        self._departed = {
            departed: (age_order, at)
            for departed, (age_order, at) in self._departed.items()
            if now - at < DEPARTED_RETENTION_S
        }
        self._departed[instance] = (known.target.age_order, now)

    def _keep_missing(self, missing, now):
        """Keep targets without an entry until the end of the grace period."""
        for instance in missing:
            if self._targets[instance].removed_at is None:
                self._targets[instance].removed_at = now

    def _remove_all(self, instances, revision, now):
        """Remove targets; those that seem to have lapsed stay for a while."""
        missing = [
            instance for instance in instances if instance in self._targets
        ]
        lapsed = (
            self._find_lapsed_services(missing)
            if now < self._grace_until
            else ()
        )
        for instance in missing:
            known = self._targets[instance]
            if known.target.service not in lapsed:
                self._remove(instance, now)
            elif known.removed_at is None:
                known.removed_at = now
        if revision <= self._replayed_until:
            for instance in instances:
                self._departed.pop(instance, None)

    def _find_lapsed_services(self, missing):
        """Return the services that miss too many targets to have left."""
        services = [
            self._targets[instance].target.service for instance in missing
        ]
        counts = collections.Counter(services)
        totals = collections.Counter(
            known.target.service for known in self._targets.values()
        )
        return {
            service
            for service, count in counts.items()
            if count > LAPSE_SHARE * totals[service]
        }

    def _index(self):
        self._by_service = {}
        # Without its start a run can't be told from the next one.
        self._leaving = [
            (known.target.instance, known.target.started_ms)
            for known in self._targets.values()
            if known.is_leaving and known.target.started_ms
        ]
        for known in self._targets.values():
            target = known.target
            if not known.takes_requests or target.domain in self._evacuated:
                continue
            self._by_service.setdefault(target.service, []).append(known)
        self._domains = {
            service: frozenset(known.target.domain for known in targets)
            for service, targets in self._by_service.items()
        }
