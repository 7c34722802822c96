"""Exception hierarchy of the package."""


class LavenderstileError(Exception):
    """Base class of all errors raised by this package."""


class UserError(LavenderstileError):
    """An error in the operator's input; printed without a stack trace."""


class FaultListError(UserError):
    """Input that failed validation, with every fault found.

    `source` names the checked file or ticket, and each fault is a line of
    the form `path: what is expected`.
    """

    def __init__(self, source, faults):
        self.source = source
        self.faults = tuple(faults)
        lines = [f'{source}: {fault}' for fault in self.faults]
        super().__init__('\n'.join(lines))


class SettingsError(FaultListError):
    """The settings file is missing, unreadable or invalid."""


class TicketError(FaultListError):
    """A change ticket failed validation and was refused as a whole."""


class QueryError(UserError):
    """A query to a host is malformed."""


class PeerError(LavenderstileError):
    """A peer host could not be reached or sent no usable response."""


class PlatformError(LavenderstileError):
    """The configuration service or host list sent no usable response."""


class DecodingError(LavenderstileError):
    """Bytes from outside the process hold no value of the expected type."""


class RefusedError(LavenderstileError):
    """A request was refused; `refusal` says why and whether it ran."""

    def __init__(self, refusal):
        self.refusal = refusal
        super().__init__(f'{refusal.reason.value}: {refusal.detail}')


class TargetError(LavenderstileError):
    """An attempt on a target got no complete response.

    `outcome` is evidence about the target, and `verdict` says whether the
    request may have run. `latency_s`, `cold` and `instance` are those of
    the target's response, if it began.
    """

    def __init__(self, outcome, verdict, detail):
        self.outcome = outcome
        self.verdict = verdict
        self.detail = detail
        self.latency_s = None
        self.cold = False
        self.instance = ''
        super().__init__(f'{outcome.value}: {detail}')
