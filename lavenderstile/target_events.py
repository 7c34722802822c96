"""Events on state changes of targets, for logs and metrics."""

import dataclasses
import enum


class EventKind(enum.Enum):
    """Kind of a state change."""

    SUSPECTED = 'suspected'
    CLEARED = 'cleared'
    EJECTED = 'ejected'
    EJECTION_WITHHELD = 'ejection_withheld'
    TRIAL_STARTED = 'trial_started'
    REINSTATED = 'reinstated'
    COLD_START_BEGAN = 'cold_start_began'
    COLD_START_ENDED = 'cold_start_ended'
    PATH_AVOIDED = 'path_avoided'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEvent:
    """A change of a target's state and its cause."""

    service: str
    target: str
    kind: EventKind
    reason: str
