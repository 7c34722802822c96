"""Responses of targets and checks of their framing."""

from . import headers as header_tools
from . import verdicts

# Statuses without a body (RFC 9110, section 6.4.1).
EMPTY_STATUSES = frozenset((204, 304))


class TargetResponse:
    """A target's response; iterate over it for the raw body.

    `headers` are pairs of bytes without the hop-by-hop ones. `latency_s`
    is the time from the end of the request to the response's headers, None
    if the response came before that end. `outcome` is set at the end of the
    body.
    """

    __slots__ = (
        'cold',
        'headers',
        'instance',
        'latency_s',
        'outcome',
        'status',
        '_exchange',
    )

    verdict = verdicts.Verdict.RAN

    def __init__(self, exchange, response, latency_s):
        raw = response.headers.raw
        find = header_tools.find_header
        self.status = response.status_code
        self.headers = header_tools.remove_hop_by_hop(raw)
        self.cold = find(raw, b'x-target-state') == b'cold'
        self.instance = (find(raw, b'x-instance') or b'').decode('latin-1')
        self.latency_s = latency_s
        self.outcome = None
        self._exchange = exchange

    def __aiter__(self):
        """Iterate over the raw body; raises `TargetError` if it is cut."""
        return self._exchange.iterate_body()


def is_disconnect(error):
    """Return whether the connection closed before complete headers.

    httpx uses one exception class for this and for malformed headers.
    """
    return str(error).startswith('Server disconnected')


def is_framed(method, status, headers):
    """Return whether the response states where its body ends.

    A body that ends with its connection looks complete even if the target
    crashes in the middle of it.
    """
    if method == 'HEAD' or status in EMPTY_STATUSES:
        return True
    return (
        header_tools.find_header(headers, b'content-length') is not None
        or header_tools.find_header(headers, b'transfer-encoding') is not None
    )
