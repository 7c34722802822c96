#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They use only the standard
# library of Python, so that it is enough to compile them.
cd "$(dirname "$0")/.." || exit 2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$case" ] || set -- "$@" "$case"
done
exec python3 -m compileall -q review/standins "$@"
