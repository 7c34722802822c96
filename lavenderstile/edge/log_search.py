"""What the logs of a fleet say about one request."""

import dataclasses

import msgspec

# Lines about a request's targets count within this time of its end.
RELATED_S = 10.0

# Related lines that are shown.
MAX_RELATED = 10

_TARGET_EVENTS = frozenset(('target_avoided', 'target_unreachable'))
_REQUEST_EVENTS = frozenset(('rate_refused',))
_HOST_EVENTS = frozenset(
    (
        'registry_lost',
        'registry_regained',
        'stopping',
        'configuration_in_force',
    )
)

_CAUSES = {
    'rate_exceeded': 'the workspace had used up its rate over all hosts',
    'no_capacity': 'no target could take it in its time',
    'deadline_exceeded': 'its time was over before a target could take it',
    'target_shed': 'targets rejected it and no further send was allowed',
    'target_unreachable': 'no target could be reached',
    'target_broken': 'a target ended its connection or sent a broken answer',
    'target_timeout': 'a target did not answer in the time of the request',
    'crashes_targets': 'it had crashed the targets that ran it',
    'key_unknown': 'no workspace in force holds its key',
    'key_missing': 'it came without a key on a route that needs one',
    'route_unknown': 'no route in force has its host and path',
    'host_overloaded': 'the host had no configuration or no room',
    'header_invalid': 'its headers cannot be taken',
    'failure of the target': 'the target itself answered with a failure',
    'caller left': 'its caller closed the connection before the answer',
    'answered': 'a target answered it',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """A request's line, its cause, and what else was logged about it."""

    request: dict
    sentence: str
    related: tuple[dict, ...]


def parse_line(text):
    """Return the message in a line, or None.

    Log collectors may put the time and the host before it.
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
    """Return an `Explanation` for each line of a request's id."""
    messages = [each for line in lines if (each := parse_line(line))]
    found = [
        message
        for message in messages
        if message['message_type'] == 'request'
        and message.get('id') == request_id
    ]
    return [_explain(message, messages) for message in found]


def _explain(request, messages):
    reason, _, detail = request.get('outcome', '').partition(': ')
    cause = _CAUSES.get(reason, reason)
    sends = request.get('sends') or []
    tries = f'sent to {"; ".join(sends)}' if sends else 'sent to no target'
    sentence = (
        f'{request["host"]} ended it with {request["status"]} after '
        f'{request["took_ms"]} ms ({tries}): {cause}'
    )
    if detail:
        sentence += f' ({detail})'
    return Explanation(request, sentence, _find_related(request, messages))


def _find_related(request, messages):
    at = request.get('timestamp', 0.0)
    targets = {send.partition('@')[0] for send in request.get('sends') or ()}
    related = []
    for message in messages:
        if abs(message.get('timestamp', 0.0) - at) > RELATED_S:
            continue
        kind = message['message_type']
        is_about_target = (
            kind in _TARGET_EVENTS and message.get('target') in targets
        )
        is_about_request = (
            kind in _REQUEST_EVENTS
            and message.get('id') == request['id']
            and message.get('host') == request['host']
        )
        is_about_host = (
            kind in _HOST_EVENTS and message.get('host') == request['host']
        )
        if is_about_request or is_about_target or is_about_host:
            related.append(message)
    related.sort(key=lambda each: abs(each['timestamp'] - at))
    return tuple(
        sorted(related[:MAX_RELATED], key=lambda each: each['timestamp'])
    )
