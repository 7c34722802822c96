#!/bin/sh
# Sets up a virtual environment in .venv and runs the demo of a whole fleet.
set -eu
cd "$(dirname "$0")/.."
. tools/setup.sh
exec .venv/bin/python -m emulator.demo
