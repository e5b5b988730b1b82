#!/bin/sh
# Checks the stand-ins; they are Python 3 with the standard library only, so nothing is compiled.
set -e
cd "$(dirname "$0")"
for file in standin/kit.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; sys.path.insert(0, "standin"); import kit'
