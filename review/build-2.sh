#!/bin/bash
# Checks that the stand-ins of cases 4, 5, 6 and 8 can run: they are Python programs that need its standard library only.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standins-2/standins.py [4-8]/case.py; do
    if [ -e "$file" ]; then
        python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
    fi
done
