#!/bin/sh
# The stand-ins are Python modules that need only the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
