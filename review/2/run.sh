#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# An interpreter without these would exit with 1, which stands for a broken rule.
python3 -c 'import asyncio, tomllib; asyncio.timeout' 2>/dev/null || exit 2
exec python3 review/2/case.py
