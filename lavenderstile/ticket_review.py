"""Review of tickets against the configuration that is in force."""

import dataclasses

from . import admin_responses
from . import configuration
from . import keys
from . import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """The effect that a ticket would have.

    `changed` lists the objects that it would set or remove; `problems`
    lists what the operator has to check.
    """

    source: str
    number: int
    digest: str
    changed: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()


def review_tickets(batch, entries):
    """Return the reviews of (source, ticket) pairs, applied in order.

    `entries` are the ObjectEntry items of all objects in force before them.
    """
    objects = {(entry.kind, entry.name): entry for entry in entries}
    numbers = {entry.ticket: entry.digest for entry in entries}
    drafts = []
    for source, ticket in batch:
        problems = list(_find_number_problems(ticket, numbers))
        changed = []
        for item in ticket.objects:
            problem = _apply_object(ticket, item, objects)
            if problem is None:
                changed.append(schemas.format_path(item))
            elif problem:
                problems.append(problem)
        numbers.setdefault(ticket.number, ticket.digest.hex())
        drafts.append((source, ticket, changed, problems))
    return [_build_review(*draft, objects) for draft in drafts]


def find_reused_numbers(batch):
    """Yield problems for different tickets of a batch with the same number."""
    numbers = {}
    for source, ticket in batch:
        first, digest = numbers.setdefault(
            ticket.number, (source, ticket.digest)
        )
        if digest != ticket.digest:
            yield (
                f'{source}: ticket: number {ticket.number} is also used by '
                f'{first}'
            )


def _find_number_problems(ticket, numbers):
    digest = ticket.digest.hex()
    used = numbers.get(ticket.number, digest)
    if used != digest:
        yield (
            f'ticket: number {ticket.number} is already used by '
            f'another ticket, {used[:12]}'
        )


def _apply_object(ticket, item, objects):
    """Return None if the object changes, '' if it does not, or a problem."""
    removed = ticket.objects[item] is None
    new = admin_responses.ObjectEntry(
        *item, ticket.number, ticket.digest.hex(), removed
    )
    old = objects.get(item)
    if old is not None:
        if _version(old) == _version(new):
            return ''
        if _version(old) > _version(new):
            return (
                f'{schemas.format_path(item)}: would be ignored, as ticket '
                f'{old.ticket} ({old.digest[:12]}) is in force'
            )
    objects[item] = new
    return None


def _version(entry):
    return entry.ticket, entry.digest


def _build_review(source, ticket, changed, problems, objects):
    return Review(
        source,
        ticket.number,
        ticket.digest.hex(),
        tuple(changed),
        (*problems, *_find_unresolved(ticket, objects)),
    )


def _find_unresolved(ticket, objects):
    for (kind, name), model in ticket.objects.items():
        if model is None:
            continue
        for needed in _find_references(kind, model):
            found = objects.get(needed)
            if found is None or found.removed:
                yield (
                    f'{schemas.format_path((kind, name))}: refers to '
                    f'{schemas.format_path(needed)}, '
                    'which is not configured'
                )


def _find_references(kind, model):
    if kind == 'routes':
        yield 'services', model.service
    elif kind == 'services':
        for domain in sorted({target.domain for target in model.targets}):
            yield 'domains', domain


def find_lasting_problems(before, batch):
    """Return problems of the state after `batch` is applied to `before`.

    Such problems show only in all objects in force together, for example
    routes whose service a ticket removes, or a key that two workspaces
    would share.
    """
    state = configuration.Configuration()
    state.apply_all([*before, *(ticket for _, ticket in batch)])
    ring = keys.KeyRing.from_workspaces(state.workspaces)
    problems = [str(item) for item in state.unresolved]
    problems.extend(ring.describe_ambiguous())
    return [f'after all tickets: {problem}' for problem in problems]
