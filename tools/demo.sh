#!/bin/sh
# Sets up a virtual environment in .venv and runs a fleet from end to end.
set -eu
cd "$(dirname "$0")/.."
. tools/setup.sh
exec .venv/bin/python -m emulator.demo
