#!/bin/sh
# Checks the stand-ins of cases 4 to 8. They are Python files that need the
# standard library only, so there is nothing else to build.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
