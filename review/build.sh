#!/bin/sh
# The stand-ins are Python files that need the standard library alone: this only
# checks that they compile. They start the daemons from `target/`, so the build
# of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml first"; exit 1; }
for file in review/standins/world.py review/[0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
