"""What the headers of requests and answers say, free of their names."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRequestHeaders:
    """What a caller's headers say.

    `request_id` names one try of the caller. `timeout_s` is how long the
    caller waits. `fault` says why the headers cannot be taken.
    """

    request_id: str | None
    timeout_s: float | None
    key: str | None
    fault: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedResponseHeaders:
    """What a target's headers say.

    `is_signed` marks bytes that a target wrote itself. `load` is the pair
    of running and waiting requests.
    """

    request_id: str | None
    is_signed: bool
    is_encoded: bool
    not_run: bool
    wrong_instance: bool
    load: tuple[int, int] | None
    cold_s: float | None
    keep_alive_s: float | None
