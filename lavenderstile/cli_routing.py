"""Command that asks a host on the users' platform about its routing."""

from cleo.exceptions import CleoRuntimeError
from cleo.helpers import argument
from cleo.helpers import option
import msgspec

from . import cli_base
from . import errors
from .edge import explanation


class ExplainRoutingCommand(cli_base.ToolCommand):
    """Explains where a request would go, without sending it."""

    name = 'explain routing'
    description = 'Explain where a host would send a request now, and why.'
    arguments = [
        argument('address', 'Control address of the host (ip:port).'),
        argument('method', 'Method of the request, such as POST.'),
        argument('name', 'Host name of the request, without port.'),
        argument('path', 'Path of the request, with its query.'),
    ]
    options = [
        cli_base.JSON_OPTION,
        option(
            'workspace', None, 'Name of the workspace; not a key.', flag=False
        ),
        option('bytes', None, 'Size of the body.', flag=False, default='0'),
    ]

    def handle(self):
        """Print the decision for each service, with its targets."""
        (address,) = self.read_addresses([self.argument('address')])
        try:
            query = explanation.make_query(
                self.argument('method'),
                self.argument('name'),
                self.argument('path'),
                self.option('workspace'),
                self.option('bytes'),
            )
        except errors.QueryError as error:
            raise CleoRuntimeError(str(error)) from error
        value = self.client.request_one(
            address, query.make_path(), explanation.Explanation
        )
        self.emit(msgspec.to_builtins(value), _format(value))
        return cli_base.EXIT_OK


def _format(value):
    """Yield the lines of an explanation."""
    if value.unready:
        yield f'the host is not ready: {value.unready}'
    yield (
        f'route {value.route or "-"}, workspace {value.workspace or "-"}, '
        f'priority {_format_number(value.priority)}, '
        f'configuration {_format_number(value.version)}'
    )
    if value.rate is not None:
        rate = value.rate
        yield (
            f'rate {rate.rate:g}/s, burst {rate.burst:g}, '
            f'level {rate.level:g}, share of the fleet {rate.share:g}'
        )
    if value.refusal is not None:
        yield _format_decision(value.refusal)
    for service in value.services:
        yield (
            f'service {service.service}, weight {service.weight:g}: '
            f'{_format_decision(service.decision)}'
        )
        for candidate in service.candidates:
            yield f'  {_format_candidate(candidate)}'


def _format_number(number):
    return '-' if number is None else str(number)


def _format_decision(decision):
    text = f'{decision.action}'
    if decision.target is not None:
        text += f' to {decision.target}'
    if decision.reason is not None:
        text += f' with {decision.status} {decision.reason}'
        text += f' ({decision.verdict})'
    if decision.retry_after_s is not None:
        text += f', Retry-After from {decision.retry_after_s:g} s'
    return f'{text}: {decision.detail}'


def _format_candidate(candidate):
    name = f'{candidate.instance}@{candidate.domain}'
    if candidate.exclusion is not None:
        return f'{name} excluded: {candidate.exclusion}'
    parts = ', '.join(
        f'{part} {cost_s:.3f}'
        for part, cost_s in candidate.parts.items()
        if cost_s
    )
    return f'{name} {candidate.cost_s:.3f} s: {parts}'
