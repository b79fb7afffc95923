#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; everything else is the same.
cd "$(dirname "$0")" || exit 2
export TROUBLE=${TROUBLE:-1}
timeout -k 6 112 python3 case.py
status=$?
[ $status -le 2 ] || status=2
exit $status
