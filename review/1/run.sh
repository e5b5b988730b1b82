#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption, and must exit with 0.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 -B "$(dirname "$0")/case.py"
