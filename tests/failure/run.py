"""Runs failure cases: run.py [--case NAME] [--seed N] [--without MECHANISM]."""

import argparse
import json
import os
import pathlib
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from cases import CASES, MECHANISM_BY_CASE, SHORT_CASES

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_OFFSET = int(os.environ.get("TEST_PORT_OFFSET", "0"))  # of a second run of the tests
FIRST_BASE_PORT = max(2000, 12000 + PORT_OFFSET)
BASE_PORT_STEP = 2500


def known_failing_cases():
    """Cases listed in KNOWN-RED.txt, which CI prints and skips."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("failure ")}


def run_case(name, seed, without, base_port):
    options = {"base_port": base_port}
    if without:
        options["disable"] = [without]
    started = time.monotonic()
    try:
        result = CASES[name](options, seed)
        violations, notes = result.violations, result.notes
        error = ""
    except Exception as exception:  # an exception fails the case
        violations, notes, error = [], {}, repr(exception)
    elapsed = time.monotonic() - started
    lines = [f"{'FAIL' if violations or error else 'ok'} {name} seed={seed}"
             f"{' without=' + without if without else ''} {elapsed:.1f}s "
             f"{json.dumps(notes, sort_keys=True)}"]
    if error:
        lines.append(f"ERROR {error}")
    lines += [str(violation) for violation in violations[:5]]
    if len(violations) > 5:
        lines.append(f"... {len(violations)} violations in total")
    print("\n".join(lines), flush=True)
    return not violations and not error


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="short")
    parser.add_argument("--seed", default="1", help="one seed or FIRST-LAST")
    parser.add_argument("--without", default="",
                        help="mechanism to disable, or 'each': the one that a case needs")
    parser.add_argument("--parallel", type=int, default=3)
    arguments = parser.parse_args()
    first, _, last = arguments.seed.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    names = {"short": SHORT_CASES, "all": list(CASES)}.get(arguments.case, [arguments.case])
    unknown = [name for name in names if name not in CASES]
    if unknown:
        sys.exit(f"unknown case {unknown[0]}; known cases: {', '.join(CASES)}")
    if arguments.without == "each":
        names = [name for name in names if name in MECHANISM_BY_CASE]
    known_failing = known_failing_cases()
    for name in known_failing:
        print(f"KNOWN-RED, not run: {name}")
    if arguments.case in ("short", "all"):
        names = [name for name in names if name not in known_failing]
    jobs = [(name, seed) for seed in seeds for name in names]
    workers = max(1, min(arguments.parallel, len(jobs)))
    free_slots = list(range(workers))

    def run_job(job):
        slot = free_slots.pop()
        try:
            name, seed = job
            without = MECHANISM_BY_CASE[name] if arguments.without == "each" else arguments.without
            return run_case(name, seed, without, FIRST_BASE_PORT + slot * BASE_PORT_STEP)
        finally:
            free_slots.append(slot)

    with ThreadPoolExecutor(workers) as pool:
        results = list(pool.map(run_job, jobs))
    failed = results.count(False)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
