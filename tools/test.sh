#!/bin/sh
# Sets up a virtual environment in .venv, then runs formatter, linter and tests.
set -eu
cd "$(dirname "$0")/.."
. tools/setup.sh
.venv/bin/ruff format --check .
.venv/bin/flake8
exec .venv/bin/python -m nose2 "$@"
