#!/bin/sh
# Builds the stand-ins of the third review's scripts. They are Python (harness3.py), so there is
# nothing to compile; this checks that each of them can be read by the interpreter.
set -eu
cd "$(dirname "$0")"
for file in harness3.py 1[1-5]/*.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1])" "$file"
done
