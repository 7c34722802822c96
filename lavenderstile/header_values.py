"""Numbers in the headers of callers and targets, within bounds."""

import eliot

# Digits of a time. More can't be converted to a float.
MAX_TIME_DIGITS = 12

MAX_LOGGED_TEXT = 40


def parse_count(value, max_digits):
    """Return the whole number in a header's value, or None."""
    if value.isdigit() and len(value) <= max_digits:
        return int(value)
    eliot.log_message(
        'header_unreadable', text=value[:MAX_LOGGED_TEXT].decode('latin-1')
    )
    return None


def parse_milliseconds(value):
    """Return the seconds in a value of whole milliseconds, or None."""
    if not value:
        return None
    count = parse_count(value, MAX_TIME_DIGITS)
    return None if count is None else count / 1000


def parse_seconds(value):
    """Return the time in a decimal number of seconds, or None."""
    if value is None:
        return None
    whole, _, fraction = value.partition(b'.')
    seconds = parse_count(whole, MAX_TIME_DIGITS)
    if seconds is None or (fraction and not fraction.isdigit()):
        return None
    return seconds + float(b'0.' + fraction[:MAX_TIME_DIGITS])


def parse_keep_alive(value):
    """Return the idle time-out in a Keep-Alive header, or None."""
    for part in (value or b'').split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return parse_count(text, MAX_TIME_DIGITS)
    return None
