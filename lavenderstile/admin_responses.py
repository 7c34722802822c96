"""JSON responses of a daemon's admin interface."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectEntry:
    """The version of a configuration object that is in force.

    `ticket` and `digest` are the number and the digest (hexadecimal) of
    the ticket that set the object or, if `removed`, removed it.
    """

    kind: str
    name: str
    ticket: int
    digest: str
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationResponse:
    """Response to `GET /-/configuration`.

    `conflicts` and `unresolved` are sentences for the operator.
    """

    newest: int
    digest: str
    objects: list[ObjectEntry]
    conflicts: list[str] = dataclasses.field(default_factory=list)
    unresolved: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainResponse:
    """Response to `GET /-/explain/...`: sentences for the operator."""

    sentences: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionResponse:
    """Response to `GET /-/version`."""

    name: str
    version: str
    python: str
    incarnation: int
    address: str


def list_objects(state):
    """Return an ObjectEntry for each object in force in a Configuration."""
    return [
        ObjectEntry(
            kind,
            name,
            number,
            digest.hex(),
            kind != 'fleet' and name not in getattr(state, kind),
        )
        for (kind, name), (number, digest) in sorted(state.versions.items())
    ]


def describe_configuration(state, ring):
    """Return the ConfigurationResponse of a Configuration and its KeyRing.

    Keys that two workspaces share are listed with the unresolved
    references, because they do not resolve to a workspace either.
    """
    return ConfigurationResponse(
        state.newest,
        state.digest.hex(),
        list_objects(state),
        [str(item) for item in state.conflicts],
        [str(item) for item in state.unresolved] + ring.describe_ambiguous(),
    )
