"""Explains the outcome of one request from the logs of a fleet."""

import dataclasses

import msgspec

# Lines at most this long before or after a request's line are related.
RELATED_S = 10.0

# Limit for related lines; the nearest in time are kept.
MAX_RELATED = 10

_TARGET_EVENTS = frozenset(('target_avoided', 'target_unreachable'))
_REQUEST_EVENTS = frozenset(
    ('rate_refused', 'crash_suspected', 'relay_unreachable')
)
_HOST_EVENTS = frozenset(
    (
        'registry_lost',
        'registry_regained',
        'stopping',
        'targets_lost',
        'targets_regained',
        'configuration_in_force',
    )
)

_CAUSES = {
    'rate_exceeded': 'the workspace had used up its rate across all hosts',
    'no_capacity': 'no target had a free slot before its deadline',
    'deadline_exceeded': 'its deadline passed before a target had a free slot',
    'target_shed': 'targets rejected it and no further attempt was allowed',
    'target_unreachable': 'no target could be reached',
    'target_broken': 'the connection broke or the response was invalid',
    'target_timeout': 'a target did not respond before the deadline',
    'crashes_targets': 'earlier attempts of it had crashed their targets',
    'key_unknown': 'no workspace of the configuration has its key',
    'key_missing': 'it has no key but its route requires one',
    'route_unknown': 'no route of the configuration matches its host and path',
    'method_not_allowed': 'hosts do not serve its method',
    'host_overloaded': 'the host could not serve it at this time',
    'header_invalid': 'its headers are invalid',
    'failure of the target': 'the target responded with an error status',
    'caller left': 'its caller closed the connection before the response',
    'answered': 'a target responded to it',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """A request's log line, a sentence on its cause, and related lines."""

    request: dict
    sentence: str
    related: tuple[dict, ...]


def parse_line(text):
    """Return the message in a log line, or None.

    Log collectors may prefix lines with the time and the host.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        message = msgspec.json.decode(text[start:])
    except msgspec.MsgspecError:
        return None
    if isinstance(message, dict) and 'message_type' in message:
        return message
    return None


def explain_request(lines, request_id):
    """Return an `Explanation` for each `request` line with an id."""
    messages = [parsed for line in lines if (parsed := parse_line(line))]
    requests = [
        message
        for message in messages
        if message['message_type'] == 'request'
        and message.get('id') == request_id
    ]
    return [_explain(message, messages) for message in requests]


def _explain(request, messages):
    reason, _, detail = request.get('outcome', '').partition(': ')
    cause = _CAUSES.get(reason, reason)
    sends = request.get('sends') or []
    attempts = f'sent to {"; ".join(sends)}' if sends else 'sent to no target'
    sentence = (
        f'{request["host"]} ended it with {request["status"]} after '
        f'{request["took_ms"]} ms ({attempts}): {cause}'
    )
    if detail:
        sentence += f' ({detail})'
    return Explanation(request, sentence, _find_related(request, messages))


def _find_related(request, messages):
    timestamp = request.get('timestamp', 0.0)
    targets = {send.partition('@')[0] for send in request.get('sends') or ()}
    related = []
    for message in messages:
        if abs(message.get('timestamp', 0.0) - timestamp) > RELATED_S:
            continue
        message_type = message['message_type']
        is_about_target = (
            message_type in _TARGET_EVENTS and message.get('target') in targets
        )
        is_about_request = (
            message_type in _REQUEST_EVENTS
            and message.get('id') == request['id']
            and message.get('host') == request['host']
        )
        is_about_host = (
            message_type in _HOST_EVENTS
            and message.get('host') == request['host']
        )
        if is_about_request or is_about_target or is_about_host:
            related.append(message)
    related.sort(key=lambda entry: abs(entry['timestamp'] - timestamp))
    return tuple(
        sorted(related[:MAX_RELATED], key=lambda entry: entry['timestamp'])
    )
