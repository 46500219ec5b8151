#!/bin/sh
# Keeps the example deployment running in the background, for manual experiments.
#
# usage: examples/deployment.sh up|status|down
#
# scripts/deployment.py starts all processes; the daemons start none.
exec /usr/bin/python3 "$(dirname "$0")/../scripts/deployment.py" "$@"
