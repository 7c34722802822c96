"""Commands that read the logs of hosts."""

import json
import pathlib

from cleo.helpers import argument

from . import cli_base
from . import errors
from .edge import log_search


class ExplainLogCommand(cli_base.ToolCommand):
    """Explains the outcome of a request from the logs of the hosts."""

    name = 'explain log'
    description = 'Explain the outcome of a request from log files.'
    arguments = [
        argument('id', 'ID of the request.'),
        argument(
            'files', 'Log files; standard input if none.', True, multiple=True
        ),
    ]

    def handle(self):
        """Print the explanations; fail if no line has the request ID."""
        request_id = self.argument('id')
        explanations = log_search.explain_request(
            self._read_lines(), request_id
        )
        lines = []
        for explanation in explanations:
            lines.append(explanation.sentence)
            lines.extend(
                '  ' + json.dumps(message, sort_keys=True)
                for message in explanation.related
            )
        value = [
            {
                'request': explanation.request,
                'sentence': explanation.sentence,
                'related': explanation.related,
            }
            for explanation in explanations
        ]
        if not explanations:
            self.emit_error(f'no log line has the request ID {request_id}')
            return cli_base.EXIT_FAILED
        self.emit(value, lines)
        return cli_base.EXIT_OK

    def _read_lines(self):
        files = self.argument('files')
        if not files:
            return self._stdin.readlines()
        lines = []
        for name in files:
            try:
                text = pathlib.Path(name).read_text(errors='replace')
            except OSError as error:
                raise errors.UserError(f'{name}: {error.strerror}') from error
            lines.extend(text.splitlines())
        return lines
