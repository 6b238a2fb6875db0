#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: Python of the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/kit3
