"""The state in force: a last-writer-wins map of configured objects.

Each object keeps the version (number and digest) of the ticket that set or
removed it; the higher version wins, so applying tickets is commutative and
idempotent, and a stale ticket reverts nothing.
"""

import dataclasses
import hashlib

from . import models
from . import tickets

# Digests of objects are added modulo this number. Unlike a hash over the
# sorted list, the sum is updated in time proportional to the change.
_DIGEST_MODULUS = 1 << 256


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Different tickets with the same number, an operator's error."""

    number: int
    digests: tuple[bytes, ...]

    def __str__(self):
        names = ', '.join(digest.hex()[:12] for digest in self.digests)
        return f'ticket number {self.number} was used by tickets {names}'


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """An object that refers to an object that is not in force."""

    kind: str
    name: str
    missing_kind: str
    missing: str

    def __str__(self):
        return (
            f'{self.kind}.{self.name} refers to '
            f'{self.missing_kind}.{self.missing}, which is not configured'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """The effect of a ticket; objects are tuples of (kind, name).

    `conflicts` are the conflicts that this ticket revealed; `ignored` are
    the objects for which a version at least as high is in force.
    """

    changed: tuple[tuple[str, str], ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    ignored: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects in force at one moment; its dicts never change."""

    generation: int = 0
    fleet: models.Fleet = models.Fleet()
    domains: dict[str, models.Domain] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, models.Workspace] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, models.Service] = dataclasses.field(
        default_factory=dict
    )
    routes: dict[str, models.Route] = dataclasses.field(default_factory=dict)
    domains_out: frozenset[str] = frozenset()


class Configuration:
    """The objects in force on this host, with the tickets they come from."""

    __slots__ = (
        '_digests_by_number',
        '_newest',
        '_snapshot',
        '_digest_sum',
        '_texts',
        '_unresolved',
        '_use_counts',
        '_versions',
    )

    def __init__(self):
        self._snapshot = Snapshot()
        self._versions = {kind: {} for kind in tickets.KINDS}
        self._texts = {}
        self._use_counts = {}
        self._digests_by_number = {}
        self._newest = 0
        self._digest_sum = 0
        self._unresolved = None

    @property
    def snapshot(self):
        """All objects in force, consistent with each other."""
        return self._snapshot

    @property
    def generation(self):
        """A number that increases with each change."""
        return self._snapshot.generation

    @property
    def fleet(self):
        """The published fleet; without addresses before the first ticket."""
        return self._snapshot.fleet

    @property
    def domains(self):
        """Failure domains by name."""
        return self._snapshot.domains

    @property
    def workspaces(self):
        """Workspaces by name."""
        return self._snapshot.workspaces

    @property
    def services(self):
        """Services by name."""
        return self._snapshot.services

    @property
    def routes(self):
        """Routes by name."""
        return self._snapshot.routes

    @property
    def domains_out(self):
        """Names of the failure domains that are out of service."""
        return self._snapshot.domains_out

    @property
    def fleet_version(self):
        """Identifies the ticket that set the fleet; '' before the first.

        A fleet that returns to an earlier list gets another version, since
        claims made in between are known only to other replicas.
        """
        version = self._versions['fleet'].get(tickets.FLEET)
        if version is None:
            return ''
        return f'{version[0]}-{version[1].hex()[:16]}'

    @property
    def digest(self):
        """Digest of all objects' versions, independent of arrival order."""
        return self._digest_sum.to_bytes(32, 'big')

    @property
    def newest(self):
        """Highest number of a ticket in force, 0 before the first."""
        return self._newest

    @property
    def conflicts(self):
        """Conflicts of tickets that are still in force, by number."""
        return tuple(
            Conflict(number, tuple(sorted(digests)))
            for number, digests in sorted(self._digests_by_number.items())
            if len(digests) > 1
        )

    @property
    def tickets(self):
        """Texts of the tickets in force, by digest."""
        return dict(self._texts)

    @property
    def versions(self):
        """Pairs (ticket number, ticket digest) by (kind, name).

        Removed objects are listed too, as their tombstones are in force.
        """
        return {
            (kind, name): version
            for kind, versions in self._versions.items()
            for name, version in versions.items()
        }

    @property
    def unresolved(self):
        """References to objects that are not in force."""
        if self._unresolved is None:
            self._unresolved = tuple(_find_unresolved(self._snapshot))
        return self._unresolved

    def list_missing_texts(self, known_digests):
        """Return the texts in force with digests not in `known_digests`."""
        return [
            text
            for digest, text in self._texts.items()
            if digest not in known_digests
        ]

    def apply(self, ticket):
        """Put the newer objects of a ticket in force."""
        return self.apply_all((ticket,))[0]

    def apply_all(self, batch):
        """Apply tickets with one swap of the state; return their results.

        Each swap copies the dicts of the kinds that change, so a host that
        starts with thousands of tickets must not swap for each of them.
        """
        changes = {}
        results = [self._merge(ticket, changes) for ticket in batch]
        if changes:
            self._snapshot = _replace_objects(self._snapshot, changes)
            self._unresolved = None
        return results

    def _merge(self, ticket, changes):
        changed = []
        ignored = []
        # Record the digest first: otherwise a ticket that replaces the last
        # object of another ticket with the same number would not find the
        # other ticket's digest.
        digests = self._digests_by_number.setdefault(ticket.number, set())
        is_new = ticket.digest not in digests
        digests.add(ticket.digest)
        for item, model in ticket.objects.items():
            kind, name = item
            old = self._versions[kind].get(name)
            if old is not None and not self._supersedes(ticket.version, old):
                ignored.append(item)
                continue
            changed.append(item)
            changes[item] = model
            self._set_version(item, old, ticket)
        conflicts = self._report_conflict(ticket, is_new)
        return ApplyResult(tuple(changed), conflicts, tuple(ignored))

    @staticmethod
    def _supersedes(new, old):
        return new > old

    def _set_version(self, item, old, ticket):
        kind, name = item
        self._versions[kind][name] = ticket.version
        self._digest_sum += _hash_version(item, ticket.version)
        if old is not None:
            self._digest_sum -= _hash_version(item, old)
        self._digest_sum %= _DIGEST_MODULUS
        self._newest = max(self._newest, ticket.number)
        self._use_counts[ticket.version] = (
            self._use_counts.get(ticket.version, 0) + 1
        )
        self._texts[ticket.digest] = ticket.text
        if old is not None:
            self._drop_use(old)

    def _drop_use(self, version):
        self._use_counts[version] -= 1
        if self._use_counts[version]:
            return
        number, digest = version
        del self._use_counts[version]
        del self._texts[digest]
        if not self._is_in_force(number):
            self._digests_by_number.pop(number, None)

    def _report_conflict(self, ticket, is_new):
        digests = self._digests_by_number[ticket.number]
        if not self._is_in_force(ticket.number):
            del self._digests_by_number[ticket.number]
            return ()
        if not is_new or len(digests) < 2:
            return ()
        return (Conflict(ticket.number, tuple(sorted(digests))),)

    def _is_in_force(self, number):
        digests = self._digests_by_number.get(number, ())
        return any((number, digest) in self._use_counts for digest in digests)


def collect_names(results, kind):
    """Return the names of one kind that ApplyResults changed."""
    return {
        name
        for result in results
        for changed_kind, name in result.changed
        if changed_kind == kind
    }


def _hash_version(item, version):
    kind, name = item
    number, digest = version
    content = f'{kind}\0{name}\0{number}\0'.encode() + digest
    return int.from_bytes(hashlib.sha256(content).digest(), 'big')


def _replace_objects(snapshot, changes):
    copies = {}
    for (kind, name), model in changes.items():
        if kind == 'fleet':
            copies['fleet'] = model
            continue
        if kind not in copies:
            copies[kind] = dict(getattr(snapshot, kind))
        if model is None:
            copies[kind].pop(name, None)
        else:
            copies[kind][name] = model
    if 'domains' in copies:
        copies['domains_out'] = frozenset(
            domain.name
            for domain in copies['domains'].values()
            if not domain.in_service
        )
    generation = snapshot.generation + 1
    return dataclasses.replace(snapshot, generation=generation, **copies)


def _find_unresolved(snapshot):
    for name in sorted(snapshot.routes):
        service = snapshot.routes[name].service
        if service not in snapshot.services:
            yield Unresolved('routes', name, 'services', service)
    for name in sorted(snapshot.services):
        targets = snapshot.services[name].targets
        for domain in sorted({target.domain for target in targets}):
            if domain not in snapshot.domains:
                yield Unresolved('services', name, 'domains', domain)
