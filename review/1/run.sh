#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0: the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 -B case.py
