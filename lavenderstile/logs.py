"""Logs as JSON lines on standard output."""

import logging
import sys

import eliot
from eliot import stdlib

LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
# Libraries that report each of their calls at the level "info".
VERBOSE_LIBRARIES = ('httpx', 'httpcore')


def start_logging(host, level='info', stream=None):
    """Write all log messages to `stream`, each with the host's name.

    Messages of libraries that use the standard logging come in the same
    form, from `level` on.
    """
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stdout)
    root = logging.getLogger()
    root.handlers = [stdlib.EliotHandler()]
    root.setLevel(LEVELS[level])
    for name in VERBOSE_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
