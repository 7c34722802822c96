"""Logging of JSON lines to standard output."""

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
# Libraries that log each of their calls at the level "info".
VERBOSE_LIBRARIES = ('httpx', 'httpcore')


def start_logging(host, level='info', stream=None):
    """Write all log messages to `stream`, each with the host's name.

    Messages of libraries that use the `logging` module are written in the
    same form if their level is `level` or higher.
    """
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stdout)
    root = logging.getLogger()
    root.handlers = [stdlib.EliotHandler()]
    root.setLevel(LEVELS[level])
    for name in VERBOSE_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)
