#!/bin/sh
# Keeps the example deployment running in the background, for manual experiments.
#
# usage: examples/deployment.sh up|status|down
#
# scripts/example_deployment.py starts all processes; the daemons start none themselves.
exec /usr/bin/python3 "$(dirname "$0")/../scripts/example_deployment.py" "$@"
