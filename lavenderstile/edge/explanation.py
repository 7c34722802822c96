"""Question where a request would go now, and the answer of a host."""

import re
import urllib.parse

import msgspec

from .. import errors

PATH = '/explain'

# Far above what any host accepts as a body.
MAX_BODY_BYTES = 2**40

_METHOD = re.compile(r'[A-Z]+')
_HOST = re.compile(r'[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]')
_COUNT = re.compile(r'[0-9]{1,13}', re.ASCII)
_NAMES = ('method', 'host', 'path', 'workspace', 'bytes')


class Query(msgspec.Struct, frozen=True):
    """A request that is not sent; `workspace` is a name, and not a key."""

    method: str
    host: str
    path: str
    workspace: str | None = None
    size: int = 0

    def make_path(self):
        """Return the path that asks a host."""
        fields = {'method': self.method, 'host': self.host, 'path': self.path}
        if self.workspace is not None:
            fields['workspace'] = self.workspace
        fields['bytes'] = str(self.size)
        return f'{PATH}?{urllib.parse.urlencode(fields)}'


def parse_query(text):
    """Return the `Query` in a query string; raises `errors.QueryError`."""
    try:
        values = urllib.parse.parse_qs(
            text,
            keep_blank_values=True,
            strict_parsing=True,
            errors='strict',
            max_num_fields=len(_NAMES),
        )
    except ValueError as error:
        raise errors.QueryError(f'malformed query: {error}') from error
    for name, found in values.items():
        # Neither is repeated, since an operator may have passed a key.
        if name not in _NAMES:
            raise errors.QueryError(f'known fields are {", ".join(_NAMES)}')
        if len(found) > 1:
            raise errors.QueryError(f'more than one {name}')
    fields = {name: found[0] for name, found in values.items()}
    return make_query(
        fields.get('method', 'GET'),
        fields.get('host', ''),
        fields.get('path', ''),
        fields.get('workspace'),
        fields.get('bytes', '0'),
    )


def make_query(method, host, path, workspace, size):
    """Return the `Query` of texts; raises `errors.QueryError`."""
    if not _METHOD.fullmatch(method):
        raise errors.QueryError('method must be letters in upper case')
    if not _HOST.fullmatch(host):
        raise errors.QueryError('host must be a name or address without port')
    if not path.startswith('/') or not path.isascii() or ' ' in path:
        raise errors.QueryError('path must be ASCII and begin with a slash')
    if workspace == '':
        raise errors.QueryError('workspace must not be empty')
    if not _COUNT.fullmatch(size) or int(size) > MAX_BODY_BYTES:
        raise errors.QueryError(
            f'bytes must be a number of 0 to {MAX_BODY_BYTES}'
        )
    return Query(method, host.lower(), path, workspace, int(size))


class Decision(msgspec.Struct, frozen=True):
    """What would happen: `send`, `wait`, `relay` or `refuse`.

    `target` is the first choice. The other fields are those of a refusal;
    its Retry-After is up to half longer, at random.
    """

    action: str
    detail: str
    target: str | None = None
    reason: str | None = None
    verdict: str | None = None
    status: int | None = None
    retry_after_s: float | None = None


class Candidate(msgspec.Struct, frozen=True):
    """A target; `parts` add up to its cost in seconds, the lowest is chosen.

    Each choice adds up to 0.01 s at random.
    """

    instance: str
    domain: str
    cost_s: float
    parts: dict[str, float]
    exclusion: str | None


class ServiceExplanation(msgspec.Struct, frozen=True):
    """A service of the route, which gets the share `weight` of requests."""

    service: str
    weight: float
    decision: Decision
    candidates: list[Candidate]


class RateState(msgspec.Struct, frozen=True):
    """Tokens of a workspace at this host; see `rate_refused` in the logs."""

    level: float
    rate: float
    burst: float
    share: float


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go.

    A `refusal` names what would refuse it before a target is chosen.
    """

    version: int | None
    unready: str | None
    route: str | None = None
    workspace: str | None = None
    priority: int | None = None
    timeout_s: float | None = None
    rate: RateState | None = None
    refusal: Decision | None = None
    services: list[ServiceExplanation] = []
