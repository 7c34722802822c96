"""Parsed headers of requests and responses, without the platform's names."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequestHeaders:
    """Parsed headers of a caller's request.

    `request_id` identifies one attempt of the caller. `timeout_s` is the time
    for which the caller waits. `fault` says why the headers are invalid.
    """

    request_id: str | None
    timeout_s: float | None
    key: str | None
    fault: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """The target takes `rate` requests a second from all hosts together."""

    rate: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unlimited:
    """The target states no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The target states a limit that is not a number."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedResponseHeaders:
    """Parsed headers of a target's response.

    `is_signed` means that the response is from the target itself. `load` is
    the pair of running and waiting requests. `limit` is what the target states
    about the rate that it takes. A target that `is_leaving` must get no more
    requests, one that names a `pause_s` none from this host for so long.
    """

    request_id: str | None
    is_signed: bool
    is_encoded: bool
    not_run: bool
    wrong_instance: bool
    load: tuple[int, int] | None
    cold_s: float | None
    keep_alive_s: float | None
    limit: Limited | Unlimited | UnreadableLimit = Unlimited()
    is_leaving: bool = False
    pause_s: float | None = None
