#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python on the standard library alone, so there is nothing
# to compile: this checks that the interpreter of the deploy file's build reads them all.
cd "$(dirname "$0")" || exit 2
for file in common-2/deployment.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    test -e "$file" || continue
    ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
