"""Headers that callers, hosts and targets exchange on the platform."""

import math

from .. import header_values
from .. import headers as header_tools
from ..edge import parsed_headers

ATTEMPT_ID = b'x-lavenderstile-attempt-id'
DEADLINE = b'x-lavenderstile-deadline-ms'
EXPECTED_INSTANCE = b'x-lavenderstile-expected-instance'
TENANT_NAME = b'x-lavenderstile-tenant-name'
SIGNATURE = b'x-lavenderstile-server-signature'
NOT_EXECUTED = b'x-lavenderstile-not-executed'
LOAD = b'x-lavenderstile-server-load'
WARMUP = b'x-lavenderstile-warmup-ms'
LIMIT = b'server-limit'
LEAVING = b'server-leaving'
RETRY_AFTER = b'retry-after'
AUTHORIZATION = b'authorization'

KEY_SCHEME = 'token'

# Digits of a load. More don't fit the messages between hosts.
MAX_LOAD_DIGITS = 6

# Headers of callers that are not forwarded: the host sets its own, and the API
# key must not reach targets.
_NOT_FORWARDED_TO_TARGETS = frozenset(
    (
        ATTEMPT_ID,
        AUTHORIZATION,
        DEADLINE,
        EXPECTED_INSTANCE,
        TENANT_NAME,
        b'expect',
    )
)

# Headers of targets that are not forwarded. NOT_EXECUTED holds for one attempt
# only; the host decides about all attempts of the request.
_NOT_FORWARDED_TO_CALLERS = frozenset((NOT_EXECUTED,))


class Headers:
    """Translates between the platform's headers and the product's types."""

    def read_request(self, headers):
        """Return the `ParsedRequestHeaders` of a caller's headers."""
        values = {}
        for name, value in headers:
            values.setdefault(name, []).append(value)
        if len(values.get(AUTHORIZATION, ())) > 1:
            return parsed_headers.ParsedRequestHeaders(
                None, None, None, 'more than one Authorization header'
            )
        if len(values.get(ATTEMPT_ID, ())) > 1:
            return parsed_headers.ParsedRequestHeaders(
                None, None, None, 'more than one request id header'
            )
        return parsed_headers.ParsedRequestHeaders(
            _get_text(values, ATTEMPT_ID),
            header_values.parse_milliseconds(values.get(DEADLINE, (None,))[0]),
            _read_key(_get_text(values, AUTHORIZATION)),
        )

    def write_request(
        self, headers, request_id, remaining_s, instance, workspace
    ):
        """Return the headers of a request for a target."""
        forwarded = [
            pair
            for pair in headers
            if pair[0] not in _NOT_FORWARDED_TO_TARGETS
        ]
        if request_id is not None:
            forwarded.append((ATTEMPT_ID, request_id.encode('latin-1')))
        forwarded.append(
            (DEADLINE, str(max(1, int(remaining_s * 1000))).encode())
        )
        forwarded.append((EXPECTED_INSTANCE, instance.encode()))
        if workspace is not None:
            forwarded.append((TENANT_NAME, workspace.encode()))
        return forwarded

    def read_response(self, status, headers):
        """Return the `ParsedResponseHeaders` of a target's headers."""
        find_header = header_tools.find_header
        request_id = find_header(headers, ATTEMPT_ID)
        return parsed_headers.ParsedResponseHeaders(
            request_id=request_id and request_id.decode('latin-1'),
            is_signed=find_header(headers, SIGNATURE) is not None,
            is_encoded=find_header(headers, b'content-encoding') is not None,
            not_run=find_header(headers, NOT_EXECUTED) is not None
            or status == 421,
            wrong_instance=status == 421,
            load=_read_load(find_header(headers, LOAD)),
            cold_s=header_values.parse_milliseconds(
                find_header(headers, WARMUP)
            ),
            keep_alive_s=header_values.parse_keep_alive(
                find_header(headers, b'keep-alive')
            ),
            limit=_read_limit(find_header(headers, LIMIT)),
            is_leaving=find_header(headers, LEAVING) == b'1',
            pause_s=header_values.parse_seconds(
                find_header(headers, RETRY_AFTER)
            )
            if status == 503
            else None,
        )

    def filter_response_headers(self, headers):
        """Return a target's headers for the caller."""
        return [
            pair
            for pair in headers
            if pair[0] not in _NOT_FORWARDED_TO_CALLERS
        ]


def _get_text(values, name):
    texts = values.get(name)
    return texts[0].decode('latin-1') if texts else None


def _read_key(text):
    if text is None:
        return None
    scheme, _, key = text.partition(' ')
    if scheme.lower() != KEY_SCHEME:
        return None
    return key.strip() or None


def _read_load(value):
    """Return the running and waiting requests that a target reports."""
    if value is None:
        return None
    running, _, others = value.partition(b',')
    counts = (
        header_values.parse_count(running.strip(), MAX_LOAD_DIGITS),
        header_values.parse_count(
            others.partition(b',')[0].strip(), MAX_LOAD_DIGITS
        ),
    )
    return None if None in counts else counts


def _read_limit(value):
    """Return what a target states about its limit, in requests a second."""
    if value is None:
        return parsed_headers.Unlimited()
    try:
        rate = float(value)
    except ValueError:
        rate = math.nan
    if not 0 <= rate < math.inf:
        return parsed_headers.UnreadableLimit(value.decode('latin-1'))
    return parsed_headers.Limited(rate)
