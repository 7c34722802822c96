"""Requests of clients and the checks of their heads."""

# Colon, space and line end of a header line.
_HEADER_EXTRA_BYTES = 4

# Memory of a header line beside its text: tuples and objects of bytes.
_HEADER_OBJECT_BYTES = 256


class CallerRequest:
    """A request of a caller; `head_memory` estimates its head's memory."""

    __slots__ = (
        'arrived_at',
        'body',
        'head_memory',
        'headers',
        'host',
        'method',
        'path',
    )

    def __init__(self, method, host, path, headers, arrived_at):
        self.method = method
        self.host = host
        self.path = path
        self.headers = headers
        self.body = b''
        self.arrived_at = arrived_at
        self.head_memory = 0


class RequestError(Exception):
    """A request is malformed or over a limit; `status` is the response's."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


def _split_target(target, host):
    """Return host and path of a request target in origin or absolute form."""
    if target.startswith('/'):
        return host, target
    scheme, separator, remainder = target.partition('://')
    if separator and scheme.lower() == 'http':
        authority, slash, path = remainder.partition('/')
        return authority, slash + path if slash else '/'
    raise RequestError(400, 'request target is neither a path nor an http URL')


def _strip_port(host):
    name = host.lower()
    if name.endswith(']'):
        return name
    head, colon, port = name.rpartition(':')
    return head if colon and port.isdigit() else name


def read_head(event, now, max_bytes):
    """Return the `CallerRequest` of an h11 request event."""
    headers = list(event.headers)
    # The parser enforces its own limit only on heads that arrive in pieces.
    size = len(event.target) + sum(
        len(name) + len(value) + _HEADER_EXTRA_BYTES for name, value in headers
    )
    if size > max_bytes:
        raise RequestError(431, 'request header is too large')
    names = [name for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise RequestError(400, 'both Content-Length and Transfer-Encoding')
    hosts = [value for name, value in headers if name == b'host']
    host = hosts[0].decode('latin-1') if hosts else ''
    target = event.target.decode('latin-1')
    host, path = _split_target(target, host)
    method = event.method.decode('latin-1')
    request = CallerRequest(method, _strip_port(host), path, headers, now)
    # The parser keeps the names once more.
    request.head_memory = 2 * size + len(headers) * _HEADER_OBJECT_BYTES
    return request
