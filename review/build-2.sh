#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are written in Python 3, so there is nothing to compile; this
# checks that they can be read. The proxy itself is built by the command in deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for it in lib-2/small_site.py lib-2/partition.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    if [ -e "$it" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$it" || exit 1
    fi
done
