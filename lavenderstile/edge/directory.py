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


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A target and the times that follow from its registry entry."""

    target: models.Target
    seen_at: float
    cold_until: float
    removed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content of the registry, read page by page.

    Later changes are read from `revision` on.
    """

    revision: int
    configuration: models.Configuration | None
    targets: tuple[models.Target, ...]
    evacuated: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision; `events` has (revision, event) pairs.

    `body` is the registry's response, to be forwarded to other hosts.
    """

    revision: int
    events: tuple
    body: bytes = b''


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
        '_domains',
        '_evacuated',
        '_grace_until',
        '_revision',
        '_targets',
    )

    def __init__(self):
        self._configuration = None
        self._targets = {}
        self._by_service = {}
        self._domains = {}
        self._evacuated = frozenset()
        self._revision = 0
        self._grace_until = 0.0

    @property
    def configuration(self):
        """The newest configuration, or None if none was read yet."""
        return self._configuration

    @property
    def revision(self):
        """Registry revision of this state."""
        return self._revision

    @property
    def evacuated(self):
        """Failure domains taken out of service."""
        return self._evacuated

    @property
    def targets(self):
        """Known targets by instance, including those in their grace period."""
        return self._targets

    def list_targets(self, service):
        """Return the targets of a service that may get new requests."""
        return self._by_service.get(service, ())

    def get_domains(self, service):
        """Return the failure domains with targets of a service in use."""
        return self._domains.get(service, frozenset())

    def begin_grace(self, now):
        """Start the grace period after an outage of the registry."""
        self._grace_until = now + LAPSE_GRACE_S

    def apply_snapshot(self, snapshot, now):
        """Replace the state; targets without an entry are removed."""
        self._update_configuration(snapshot.configuration)
        self._evacuated = snapshot.evacuated
        present = {target.instance for target in snapshot.targets}
        missing = [
            instance for instance in self._targets if instance not in present
        ]
        self._remove_all(missing, now)
        for target in snapshot.targets:
            self._add_target(target, now)
        self._revision = snapshot.revision
        self._index()

    def apply_changes(self, changes, now):
        """Apply the changes that are newer than the current revision."""
        removed = {}
        for revision, event in changes.events:
            if revision <= self._revision:
                continue
            match event:
                case models.Configuration():
                    self._update_configuration(event)
                case models.Target():
                    removed.pop(event.instance, None)
                    self._add_target(event, now)
                case TargetRemoved(instance):
                    removed[instance] = True
                case DomainEvacuated(domain):
                    self._evacuated |= {domain}
                case DomainRestored(domain):
                    self._evacuated -= {domain}
        self._remove_all(removed, now)
        self._revision = max(self._revision, changes.revision)
        self._index()

    def expire(self, now):
        """Drop the targets whose grace period is over."""
        expired = [
            instance
            for instance, known in self._targets.items()
            if known.removed_at is not None and now >= self._grace_until
        ]
        for instance in expired:
            del self._targets[instance]
        if expired:
            self._index()

    def _update_configuration(self, configuration):
        if configuration is None:
            return
        current = self._configuration
        if current is None or configuration.version > current.version:
            self._configuration = configuration

    def _add_target(self, target, now):
        known = self._targets.get(target.instance)
        if known is not None and known.target.started_ms > target.started_ms:
            return
        cold_until = now + target.cold_left_s if target.cold_left_s else 0.0
        self._targets[target.instance] = KnownTarget(target, now, cold_until)
        self._drop_former_targets(target)

    def _drop_former_targets(self, target):
        """Drop targets whose address and port now belong to a newer one."""
        endpoint = (target.address, target.port)
        former = [
            known.target.instance
            for known in self._targets.values()
            if (known.target.address, known.target.port) == endpoint
            and known.target.started_ms < target.started_ms
        ]
        for instance in former:
            del self._targets[instance]

    def _remove_all(self, instances, now):
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
                del self._targets[instance]
            elif known.removed_at is None:
                known.removed_at = now

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
        for known in self._targets.values():
            target = known.target
            if target.is_draining or target.domain in self._evacuated:
                continue
            self._by_service.setdefault(target.service, []).append(known)
        self._domains = {
            service: frozenset(known.target.domain for known in targets)
            for service, targets in self._by_service.items()
        }
