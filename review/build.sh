#!/bin/bash
# Builds the stand-ins that the scripts start: they are Python programs of the standard library, so there is
# nothing to build but a check that they compile.
cd "$(dirname "$0")" || exit 1
for file in standins/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
