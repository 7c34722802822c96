"""Headers that a proxy removes, replaces or adds."""

# RFC 9110, section 7.6.1, and the older names that are still in use.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

# API keys must not reach targets. The listener has already answered
# `Expect: 100-continue`. The other two get new values in each attempt.
STRIPPED_REQUEST_HEADERS = frozenset(
    (
        b'authorization',
        b'expect',
        b'x-request-id',
        b'x-request-timeout-ms',
    )
)


def remove_hop_by_hop(headers):
    """Return headers without the hop-by-hop ones.

    Headers are pairs of bytes, as in ASGI.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }
    removed = HOP_BY_HOP | named if named else HOP_BY_HOP
    return [pair for pair in headers if pair[0].lower() not in removed]


def prepare_for_target(headers):
    """Return a caller's headers without those not meant for targets."""
    return [
        pair
        for pair in remove_hop_by_hop(headers)
        if pair[0].lower() not in STRIPPED_REQUEST_HEADERS
    ]


def find_header(headers, name):
    """Return a header's first value, or None; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
