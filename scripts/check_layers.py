"""Checks the dependencies between source folders.

Fails when a layer includes a header of a layer above it, or when src/, include/ or
benchmark/ contains a wire name of the outer platform: only platform/ uses these names
and translates them into types. Nor may a coroutine in src/ be started detached, which drops
its exceptions.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
LAYER_DEPENDENCIES = {
    "base": {"base"},
    "transport": {"base", "transport"},
    "state": {"base", "state"},
    "protocol": {"base", "transport", "protocol"},
    "coordination": {"base", "transport", "protocol", "coordination"},
    "serve": {"base", "transport", "protocol", "coordination", "serve"},
    "cli": {"base", "transport", "cli", "serve"},
}
PUBLIC_LAYER_DEPENDENCIES = {
    "state": {"state"},
    "coordination": {"state", "coordination"},
    "gateway": {"state", "coordination", "gateway"},
}
INCLUDE = re.compile(r'#include "([a-z_]+)/')
PUBLIC_INCLUDE = re.compile(r'#include "cowslipknot/([a-z_]+)/')
# Headers in include/cowslipknot/gateway that hold state. The others make decisions, and
# neither these headers nor src/state may include them.
GATEWAY_STATE_HEADERS = {"registration_log", "routes", "server_registry", "settings",
                         "usage"}
GATEWAY_INCLUDE = re.compile(r'#include "cowslipknot/gateway/([a-z_]+)\.h"')
# HTTP headers, request paths and JSON fields whose names belong to the outer platform.
WIRE_NAME = re.compile(
    r"Cowslipknot-|Kv-From|Kv-Fetch|rows-(tx|get|feed|parts)|blob-(put|get|drop)|"
    r'/-/|"(route_list|since_rev|set_keys|preemptible|slo_ms|max_conns|'
    r'warmup_left_ms|itl_target_ms|uncached_tokens)"')
WIRE_FOLDERS = ("src", "include", "benchmark")


def wire_name_violations():
    for folder in WIRE_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.[ch]*")):
            text = path.read_text(encoding="utf-8")
            for number, line in enumerate(text.splitlines(), 1):
                if WIRE_NAME.search(line):
                    yield f"{path.relative_to(ROOT)}:{number}: {line.strip()}"


def gateway_state_violations():
    paths = [ROOT / f"include/cowslipknot/gateway/{name}.h" for name in GATEWAY_STATE_HEADERS]
    for path in paths + sorted((ROOT / "src/state").glob("*.[ch]*")):
        for line in path.read_text(encoding="utf-8").splitlines():
            found = GATEWAY_INCLUDE.match(line)
            if found and found.group(1) not in GATEWAY_STATE_HEADERS:
                yield f"{path.relative_to(ROOT)}: {line}"


def unwatched_coroutines():
    for path in sorted((ROOT / "src").rglob("*.[ch]*")):
        text = path.read_text(encoding="utf-8")
        for number, line in enumerate(text.splitlines(), 1):
            if "asio::detached" in line:
                yield f"{path.relative_to(ROOT)}:{number}: use Spawn or SpawnLoop"


def include_violations(folder, allowed, pattern):
    for path in sorted(folder.glob("*.[ch]*")):
        for line in path.read_text(encoding="utf-8").splitlines():
            found = pattern.match(line)
            if found and found.group(1) not in allowed | {"cowslipknot"}:
                yield f"{path.relative_to(ROOT)}: {line}"


def main():
    found = []
    for layer, allowed in LAYER_DEPENDENCIES.items():
        found += include_violations(ROOT / "src" / layer, allowed, INCLUDE)
    for layer, allowed in PUBLIC_LAYER_DEPENDENCIES.items():
        found += include_violations(ROOT / "include/cowslipknot" / layer, allowed, PUBLIC_INCLUDE)
    # The state layer must not depend on coordination.
    found += include_violations(ROOT / "src/state", {"state", "gateway"}, PUBLIC_INCLUDE)
    found += gateway_state_violations()
    found += wire_name_violations()
    found += unwatched_coroutines()
    print("\n".join(found) or "layers: ok")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
