#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need no more than a check.
set -e
cd "$(dirname "$0")"
for file in standins.py [1-5]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
