#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they need the standard library only, so they are compiled.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile stand_ins_2.py [4-8]/case.py
