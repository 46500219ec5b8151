#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1}
PYTHONDONTWRITEBYTECODE=1
export TROUBLE PYTHONDONTWRITEBYTECODE
timeout -k 5 118 python3 case.py
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
