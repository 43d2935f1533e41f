#!/bin/sh
# Builds the stand-ins of the cases. They are Python modules that need no build; this checks
# that they and the deploy file's program are in place.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
[ -x target/cowslipknot ] || { echo "target/cowslipknot is missing: build it first"; exit 1; }
python3 -B -c 'import ast, sys
for name in sys.argv[1:]: ast.parse(open(name, encoding="utf-8").read(), name)' \
  review/standins.py review/*/case.py tests/platform/fakes.py
echo "stand-ins: ok"
