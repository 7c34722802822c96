"""Splitting of URL paths into segments for route lookup."""

import urllib.parse

_DOT_SEGMENTS = frozenset(('.', '..'))


def split_path(path):
    """Return the decoded segments of a raw (percent-encoded) path.

    Empty segments are dropped. None stands for a path whose meaning depends
    on the reader: a relative path, or one with dot segments, encoded
    slashes or backslashes. Routing such a path could send it by an open
    route to a target that reads another path, which needs a key.
    """
    if not path.startswith('/'):
        return None
    path = path.partition('?')[0]
    segments = [segment for segment in path.split('/') if segment]
    if '%' in path:
        segments = [_unquote(segment) for segment in segments]
        # Some servers decode twice.
        readings = [segments, [_unquote(segment) for segment in segments]]
    elif '.' in path or '\\' in path:
        readings = [segments]
    else:
        return segments
    if any(_is_ambiguous(s) for reading in readings for s in reading):
        return None
    return segments


def _unquote(segment):
    # Bytes that are no UTF-8 stay apart from each other.
    return urllib.parse.unquote(segment, errors='surrogateescape')


def _is_ambiguous(segment):
    if '/' in segment or '\\' in segment:
        return True
    # Some servers drop path parameters, such as in `..;x`, first.
    return segment.partition(';')[0] in _DOT_SEGMENTS
