"""Digests of workspace keys and their lookup."""

import hashlib
import hmac
import re

# Longer header values are refused before they are hashed.
MAX_HEADER_CHARS = 4096

# Digests are indexed by this many hexadecimal digits, so that only the
# rest of a digest, compared in constant time, decides.
INDEX_DIGITS = 16

# RFC 6750, section 2.1; the scheme's case is ignored (RFC 9110, 11.1).
_BEARER = re.compile(r'(?i:bearer) +([A-Za-z0-9\-._~+/]+=*) *')


def digest_key(key):
    """Return the SHA-256 digest of a key as 64 hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def extract_bearer(header):
    """Return the key in an Authorization header (str or bytes), or None."""
    if header is None or len(header) > MAX_HEADER_CHARS:
        return None
    if isinstance(header, bytes):
        header = header.decode('latin-1')
    found = _BEARER.fullmatch(header)
    return found[1] if found else None


class KeyRing:
    """Finds the workspace that a key belongs to.

    A digest that more than one workspace lists belongs to none of them: a
    request must not run for a workspace chosen by accident.
    """

    __slots__ = ('_index',)

    def __init__(self, index):
        self._index = index

    def __repr__(self):
        return f'<KeyRing of {len(self._index)} index entries>'

    @classmethod
    def from_workspaces(cls, workspaces):
        """Build the ring from a dict of workspaces by name."""
        index = {}
        for workspace in workspaces.values():
            for digest in workspace.key_digests:
                entry = (digest, workspace.name)
                prefix = digest[:INDEX_DIGITS]
                index[prefix] = index.get(prefix, ()) + (entry,)
        return cls(index)

    @property
    def ambiguous(self):
        """Names of workspaces that share a key digest with another one."""
        names = set()
        for entries in self._index.values():
            if len(entries) > 1:
                names.update(_find_shared(entries))
        return frozenset(names)

    def find(self, key):
        """Return the name of the workspace of `key`, or None."""
        return self.find_digest(digest_key(key))

    def find_digest(self, digest):
        """Return the name of the workspace of a key digest, or None."""
        names = set()
        for stored, name in self._index.get(digest[:INDEX_DIGITS], ()):
            if hmac.compare_digest(stored, digest):
                names.add(name)
        return names.pop() if len(names) == 1 else None


def _find_shared(entries):
    owners = {}
    for digest, name in entries:
        owners.setdefault(digest, set()).add(name)
    for names in owners.values():
        if len(names) > 1:
            yield from names
