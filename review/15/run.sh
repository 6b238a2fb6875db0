#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it can't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. exec python3 review/15/case.py
