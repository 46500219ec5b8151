#!/bin/sh
# See claim.txt.  TROUBLE=0: without the disruption.
exec python3 "$(dirname "$0")/scenario.py"
