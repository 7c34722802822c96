#!/bin/sh
# Sets up a virtual environment in .venv and runs formatter, linter, tests.
set -eu
cd "$(dirname "$0")/.."
. tools/setup.sh
.venv/bin/ruff format --check .
.venv/bin/flake8
exec .venv/bin/python -m nose2 "$@"
