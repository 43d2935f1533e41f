#!/bin/sh
# Builds the stand-ins of cases 6 and later. They are Python modules, the project's own and those
# of review/, that need no build; this checks that they and the deploy file's program are there.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
[ -x target/cowslipknot ] || { echo "target/cowslipknot is missing: build it first"; exit 1; }
set -- review/harness2.py
for case in 6 7 8 9 10; do
  [ ! -f "review/$case/case.py" ] || set -- "$@" "review/$case/case.py"
done
python3 -B -c 'import ast, sys
for name in sys.argv[1:]: ast.parse(open(name, encoding="utf-8").read(), name)' "$@" \
  tests/platform/fakes.py tests/platform/configuration_documents.py \
  tests/platform/crashing_servers.py
echo "stand-ins: ok"
