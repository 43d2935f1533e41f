"""Fails when a lower layer includes a higher one."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
ALLOWED = {
    "base": {"base"},
    "transport": {"base", "transport"},
    "state": {"base", "state"},
    "protocol": {"base", "transport", "protocol"},
    "coordination": {"base", "transport", "protocol", "coordination"},
    "serve": {"base", "transport", "protocol", "coordination", "serve"},
    "cli": {"base", "transport", "cli", "serve"},
}
PUBLIC_ALLOWED = {"state": {"state"}, "coordination": {"state", "coordination"}}
INCLUDE = re.compile(r'#include "([a-z_]+)/')
PUBLIC_INCLUDE = re.compile(r'#include "cowslipknot/([a-z_]+)/')


def violations(folder, allowed, pattern):
    for path in sorted(folder.glob("*.[ch]*")):
        for line in path.read_text(encoding="utf-8").splitlines():
            found = pattern.match(line)
            if found and found.group(1) not in allowed | {"cowslipknot"}:
                yield f"{path.relative_to(ROOT)}: {line}"


def main():
    found = []
    for layer, allowed in ALLOWED.items():
        found += violations(ROOT / "src" / layer, allowed, INCLUDE)
    for layer, allowed in PUBLIC_ALLOWED.items():
        found += violations(ROOT / "include/cowslipknot" / layer, allowed, PUBLIC_INCLUDE)
    # The state layer knows nothing of coordination.
    found += violations(ROOT / "src/state", {"state"}, PUBLIC_INCLUDE)
    print("\n".join(found) or "layers: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
