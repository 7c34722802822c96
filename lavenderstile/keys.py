"""Digests of workspace keys and their lookup."""

import hashlib
import hmac
import re

# Longer header values are refused before they are hashed.
MAX_HEADER_CHARS = 4096

# The index uses only this many leading hexadecimal digits, so that a match
# is decided by a constant-time comparison of whole digests. An integer of
# 60 bits takes 32 bytes, half the size of a string.
INDEX_DIGITS = 15

HEX_DIGEST = re.compile('[0-9a-f]{64}')

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
    request must not run for an arbitrarily chosen workspace.
    """

    __slots__ = ('_index', '_workspaces')

    def __init__(self, workspaces):
        """Build the ring from a dict of workspaces by name."""
        self._workspaces = workspaces
        self._index = {}
        for workspace in workspaces.values():
            self._add(workspace)

    def __repr__(self):
        return f'<KeyRing of {len(self._workspaces)} workspaces>'

    @classmethod
    def from_workspaces(cls, workspaces):
        """Build the ring from a dict of workspaces by name."""
        return cls(workspaces)

    @property
    def ambiguous(self):
        """Names of workspaces that share a key digest with another one."""
        names = set()
        for entry in self._index.values():
            if isinstance(entry, tuple):
                names.update(self._find_shared(entry))
        return frozenset(names)

    def describe_ambiguous(self):
        """Return a sentence for each workspace that shares a digest."""
        return [
            f'workspaces.{name} shares a key digest with another workspace'
            for name in sorted(self.ambiguous)
        ]

    def refresh(self, workspaces, names):
        """Replace the workspaces `names`, which are all that differ.

        Takes time proportional to the change, unlike building a new ring.
        """
        for name in names:
            if name in self._workspaces:
                self._remove(self._workspaces[name])
        self._workspaces = workspaces
        for name in names:
            if name in workspaces:
                self._add(workspaces[name])

    def find(self, key):
        """Return the name of the workspace of `key`, or None."""
        return self.find_digest(digest_key(key))

    def find_digest(self, digest):
        """Return the name of the workspace of a key digest, or None."""
        if not HEX_DIGEST.fullmatch(digest):
            return None
        found = None
        for name in _as_tuple(self._index.get(_index_of(digest))):
            if self._has_digest(name, digest):
                if found is not None:
                    return None
                found = name
        return found

    def _has_digest(self, name, digest):
        return any(
            hmac.compare_digest(stored, digest)
            for stored in self._workspaces[name].key_digests
        )

    def _add(self, workspace):
        for prefix in set(map(_index_of, workspace.key_digests)):
            names = _as_tuple(self._index.get(prefix))
            self._set_names(prefix, (*names, workspace.name))

    def _remove(self, workspace):
        for prefix in set(map(_index_of, workspace.key_digests)):
            names = _as_tuple(self._index[prefix])
            remaining = tuple(name for name in names if name != workspace.name)
            self._set_names(prefix, remaining)

    def _set_names(self, prefix, names):
        # Nearly every prefix has one name, which is stored without a tuple.
        if len(names) > 1:
            self._index[prefix] = names
        elif names:
            self._index[prefix] = names[0]
        else:
            del self._index[prefix]

    def _find_shared(self, names):
        owners = {}
        for name in names:
            for digest in set(self._workspaces[name].key_digests):
                owners.setdefault(digest, []).append(name)
        for sharing in owners.values():
            if len(sharing) > 1:
                yield from sharing


def _index_of(digest):
    return int(digest[:INDEX_DIGITS], 16)


def _as_tuple(entry):
    match entry:
        case None:
            return ()
        case tuple():
            return entry
        case _:
            return (entry,)
