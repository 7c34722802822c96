"""Splitting of URL paths into segments for route lookup."""

import urllib.parse

_DOT_SEGMENTS = frozenset(('.', '..'))


def split_path(path):
    """Return the decoded segments of a raw (percent-encoded) path.

    Empty segments are dropped. Returns None for a path that servers interpret
    differently: a relative path, or one with dot segments, encoded slashes
    or backslashes. Routing such a path could send it by an open route to a
    target that interprets it as another path, which requires a key.
    """
    if not path.startswith('/'):
        return None
    path = path.partition('?')[0]
    segments = [segment for segment in path.split('/') if segment]
    if '%' in path:
        segments = [_unquote(segment) for segment in segments]
        # Some servers decode twice.
        decodings = [segments, [_unquote(segment) for segment in segments]]
    elif '.' in path or '\\' in path:
        decodings = [segments]
    else:
        return segments
    if any(_is_ambiguous(s) for decoding in decodings for s in decoding):
        return None
    return segments


def _unquote(segment):
    # surrogateescape keeps different bytes that are not UTF-8 distinct.
    return urllib.parse.unquote(segment, errors='surrogateescape')


def _is_ambiguous(segment):
    if '/' in segment or '\\' in segment:
        return True
    # Some servers drop path parameters, such as in `..;x`, first.
    return segment.partition(';')[0] in _DOT_SEGMENTS
