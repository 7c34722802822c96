"""Decoding of bytes from outside the process."""

import msgspec

from . import errors


def decode(decoder, data):
    """Return the value in `data`; raises `errors.DecodingError`.

    `decoder` is a decoder of msgspec. It raises errors of several kinds:
    `RecursionError` for a value that is nested too deeply, also in a field
    that is not used.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.MsgspecError,
        RecursionError,
        UnicodeDecodeError,
    ) as error:
        raise errors.DecodingError(str(error)) from None
