#!/bin/sh
# Checks formatting and layer dependencies, and runs clang-tidy. Arguments: the files for
# clang-tidy; without any, it checks all.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cc' '*.h' | grep -v generated)
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
echo "format: ok"
python3 scripts/check_layers.py
[ $# -gt 0 ] || set -- $(git ls-files '*.cc')
printf '%s\n' "$@" | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet \
  > build-lint/tidy.log 2>/dev/null || {
  grep -E 'error:|warning:' build-lint/tidy.log | sort -u | head -60
  exit 1
}
echo "clang-tidy: ok ($# files)"
