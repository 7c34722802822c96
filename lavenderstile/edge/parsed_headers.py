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
class ParsedResponseHeaders:
    """Parsed headers of a target's response.

    `is_signed` means that the response is from the target itself. `load` is
    the pair of running and waiting requests.
    """

    request_id: str | None
    is_signed: bool
    is_encoded: bool
    not_run: bool
    wrong_instance: bool
    load: tuple[int, int] | None
    cold_s: float | None
    keep_alive_s: float | None
