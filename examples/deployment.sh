#!/bin/sh
# The example deployment, kept running for trying things by hand.
#
# usage: examples/deployment.sh up|status|down
#
# Daemons start no processes; scripts/deployment.py starts them.
exec /usr/bin/python3 "$(dirname "$0")/../scripts/deployment.py" "$@"
