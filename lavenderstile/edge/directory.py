"""The configuration and targets in force on a host."""

import collections
import dataclasses

from . import models

# Entries that lapsed while the registry was away are back within two
# seconds of its return; until then their removal says nothing.
LAPSE_GRACE_S = 2.0

# Entries that lapse are most of a service's at once; where fewer are missing
# after an outage, their targets have left and get nothing more.
LAPSE_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A target with what follows from the time of its entry."""

    target: models.Target
    seen_at: float
    cold_until: float
    removed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything in the registry, read page by page.

    `revision` is the one from which later changes follow.
    """

    revision: int
    configuration: models.Configuration | None
    targets: tuple[models.Target, ...]
    evacuated: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed up to a revision: pairs of a revision and an event.

    `body` is the registry's answer itself, to be passed on to other hosts.
    """

    revision: int
    events: tuple
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target's entry is gone, or names no target to use."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """No request may go to the targets of a failure domain."""

    domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class DomainRestored:
    """The targets of a failure domain may get requests again."""

    domain: str


class Directory:
    """The state in force; versions of the configuration only go up."""

    __slots__ = (
        '_by_service',
        '_configuration',
        '_evacuated',
        '_grace_until',
        '_revision',
        '_targets',
    )

    def __init__(self):
        self._configuration = None
        self._targets = {}
        self._by_service = {}
        self._evacuated = frozenset()
        self._revision = 0
        self._grace_until = 0.0

    @property
    def configuration(self):
        """The newest configuration, or None before the first one."""
        return self._configuration

    @property
    def revision(self):
        """Revision of the registry that this state follows from."""
        return self._revision

    @property
    def evacuated(self):
        """Failure domains taken out of service."""
        return self._evacuated

    @property
    def targets(self):
        """Known targets by instance, those in their grace included."""
        return self._targets

    def list_targets(self, service):
        """Return the targets of a service that may get new requests."""
        return self._by_service.get(service, ())

    def begin_grace(self, now):
        """The registry is back after an outage: entries may be missing."""
        self._grace_until = now + LAPSE_GRACE_S

    def apply_snapshot(self, snapshot, now):
        """Replace the state; entries that are missing are gone."""
        self._take_configuration(snapshot.configuration)
        self._evacuated = snapshot.evacuated
        present = {target.instance for target in snapshot.targets}
        missing = [each for each in self._targets if each not in present]
        self._remove_all(missing, now)
        for target in snapshot.targets:
            self._put(target, now)
        self._revision = snapshot.revision
        self._index()

    def apply_changes(self, changes, now):
        """Apply the changes that are newer than the state."""
        removed = {}
        for revision, event in changes.events:
            if revision <= self._revision:
                continue
            match event:
                case models.Configuration():
                    self._take_configuration(event)
                case models.Target():
                    removed.pop(event.instance, None)
                    self._put(event, now)
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
        """Drop the targets whose grace is over."""
        over = [
            instance
            for instance, known in self._targets.items()
            if known.removed_at is not None and now >= self._grace_until
        ]
        for instance in over:
            del self._targets[instance]
        if over:
            self._index()

    def _take_configuration(self, configuration):
        if configuration is None:
            return
        current = self._configuration
        if current is None or configuration.version > current.version:
            self._configuration = configuration

    def _put(self, target, now):
        known = self._targets.get(target.instance)
        if known is not None and known.target.started_ms > target.started_ms:
            return
        cold_until = now + target.cold_left_s if target.cold_left_s else 0.0
        self._targets[target.instance] = KnownTarget(target, now, cold_until)
        self._drop_former_holders(target)

    def _drop_former_holders(self, target):
        """An address that is used again has ended its former holder."""
        place = (target.address, target.port)
        former = [
            known.target.instance
            for known in self._targets.values()
            if (known.target.address, known.target.port) == place
            and known.target.started_ms < target.started_ms
        ]
        for instance in former:
            del self._targets[instance]

    def _remove_all(self, instances, now):
        """Remove targets; keep those for a while that seem to have lapsed."""
        missing = [each for each in instances if each in self._targets]
        lapsed = self._find_lapsed(missing) if now < self._grace_until else ()
        for instance in missing:
            known = self._targets[instance]
            if known.target.service not in lapsed:
                del self._targets[instance]
            elif known.removed_at is None:
                known.removed_at = now

    def _find_lapsed(self, missing):
        """Return the services that miss too many targets at once."""
        services = [self._targets[each].target.service for each in missing]
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
