"""Comparison of the configurations in force on several hosts."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """An object whose version is not the same on all hosts.

    `versions` maps each host to the pair (ticket number, digest in
    hexadecimal), or to None where the object is not in force.
    """

    kind: str
    name: str
    versions: dict[str, tuple[int, str] | None]


def find_differences(responses):
    """Yield the differences between ConfigurationResponses by address."""
    tables = {
        address: {
            (entry.kind, entry.name): (entry.ticket, entry.digest)
            for entry in response.objects
        }
        for address, response in responses.items()
    }
    for kind, name in sorted(set().union(*tables.values())):
        versions = {
            address: table.get((kind, name))
            for address, table in tables.items()
        }
        if len(set(versions.values())) > 1:
            yield Difference(kind, name, versions)
