"""Splitting of URL paths into segments for route lookup."""

import urllib.parse

_DOT_SEGMENTS = frozenset(('.', '..'))


def split_path(path):
    """Return the decoded segments of a raw (percent-encoded) path.

    Empty segments are dropped. None stands for a path whose meaning depends
    on the reader: a relative path, or one with dot segments or encoded
    slashes. Routing such a path could send it past an open route to a path
    that needs a key.
    """
    if not path.startswith('/'):
        return None
    path = path.partition('?')[0]
    segments = [segment for segment in path.split('/') if segment]
    if '%' in path:
        segments = [urllib.parse.unquote(segment) for segment in segments]
        if any('/' in segment for segment in segments):
            return None
    if '.' in path or '%' in path:
        if not _DOT_SEGMENTS.isdisjoint(segments):
            return None
    if '\\' in path or any('\\' in segment for segment in segments):
        return None
    return segments
