"""Refusals as HTTP responses of type application/problem+json."""

import math

import msgspec

VERDICT_HEADER = b'lavenderstile-verdict'
REQUEST_ID_HEADER = b'x-request-id'


def render_refusal(refusal, request_id):
    """Return (status, headers, body) of the response to a refused request."""
    reason = refusal.reason.value
    verdict = refusal.verdict.value
    body = msgspec.json.encode(
        {
            'type': f'urn:lavenderstile:{reason}',
            'title': reason.replace('_', ' '),
            'status': refusal.status,
            'detail': refusal.detail,
            'verdict': verdict,
            'reason': reason,
            'request_id': request_id,
        }
    )
    headers = [
        (b'content-type', b'application/problem+json'),
        (b'content-length', str(len(body)).encode()),
        (VERDICT_HEADER, f'{verdict}; reason={reason}'.encode()),
        (REQUEST_ID_HEADER, request_id.encode()),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b'retry-after', str(seconds).encode()))
    return refusal.status, headers, body
