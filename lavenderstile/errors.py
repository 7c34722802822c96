"""Exception tree of the package."""


class LavenderstileError(Exception):
    """Base class of all errors raised by this package."""


class UserError(LavenderstileError):
    """An error caused by the operator's input; printed without a trace."""


class FaultListError(UserError):
    """Input that failed its check, with every fault found.

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
    """A change ticket failed its check and was refused whole."""


class PeerError(LavenderstileError):
    """A peer host could not be reached or gave no usable answer."""


class PlatformError(LavenderstileError):
    """The configuration service or the host list gave no usable answer."""


class RefusedError(LavenderstileError):
    """A request was refused; `refusal` says why and whether it ran."""

    def __init__(self, refusal):
        self.refusal = refusal
        super().__init__(f'{refusal.reason.value}: {refusal.detail}')


class TargetError(LavenderstileError):
    """An attempt on a target gave no complete answer.

    `outcome` is evidence about the target, `verdict` says whether the
    request may have run. `latency_s`, `cold` and `instance` are what the
    target's answer told, if one began.
    """

    def __init__(self, outcome, verdict, detail):
        self.outcome = outcome
        self.verdict = verdict
        self.detail = detail
        self.latency_s = None
        self.cold = False
        self.instance = ''
        super().__init__(f'{outcome.value}: {detail}')
