"""Logs as JSON lines on standard output."""

import sys

import eliot


def start_logging(host, stream=None):
    """Write all log messages to `stream`, each with the host's name."""
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stdout)
