"""Runs failure cases: run.py [--case NAME] [--seed N] [--without MECHANISM]."""

import argparse
import json
import pathlib
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from cases import CASES, MECHANISM, SHORT

ROOT = pathlib.Path(__file__).resolve().parents[2]
FIRST_BASE = 12000
BASE_STEP = 2500


def known_red():
    """Cases listed in KNOWN-RED.txt, which CI passes over and prints."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("failure ")}


def run_case(name, seed, without, base):
    options = {"base": base}
    if without:
        options["disable"] = [without]
    started = time.monotonic()
    try:
        outcome = CASES[name](options, seed)
        breaches, notes = outcome.breaches, outcome.notes
        error = ""
    except Exception as exception:  # a case that cannot run has failed
        breaches, notes, error = [], {}, repr(exception)
    elapsed = time.monotonic() - started
    lines = [f"{'FAIL' if breaches or error else 'ok'} {name} seed={seed}"
             f"{' without=' + without if without else ''} {elapsed:.1f}s "
             f"{json.dumps(notes, sort_keys=True)}"]
    if error:
        lines.append(f"ERROR {error}")
    lines += [str(breach) for breach in breaches[:5]]
    if len(breaches) > 5:
        lines.append(f"... {len(breaches)} breaches in all")
    print("\n".join(lines), flush=True)
    return not breaches and not error


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="short")
    parser.add_argument("--seed", default="1", help="one seed or FIRST-LAST")
    parser.add_argument("--without", default="", help="mechanism, or 'each'")
    parser.add_argument("--parallel", type=int, default=3)
    arguments = parser.parse_args()
    first, _, last = arguments.seed.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    names = {"short": SHORT, "all": list(CASES)}.get(arguments.case, [arguments.case])
    unknown = [name for name in names if name not in CASES]
    if unknown:
        sys.exit(f"no such case: {unknown[0]}; known: {', '.join(CASES)}")
    if arguments.without == "each":
        names = [name for name in names if name in MECHANISM]
    red = known_red()
    for name in red:
        print(f"KNOWN-RED, not run: {name}")
    if arguments.case in ("short", "all"):
        names = [name for name in names if name not in red]
    jobs = [(name, seed) for seed in seeds for name in names]
    workers = max(1, min(arguments.parallel, len(jobs)))
    slots = list(range(workers))

    def work(job):
        slot = slots.pop()
        try:
            name, seed = job
            without = MECHANISM[name] if arguments.without == "each" else arguments.without
            return run_case(name, seed, without, FIRST_BASE + slot * BASE_STEP)
        finally:
            slots.append(slot)

    with ThreadPoolExecutor(workers) as pool:
        results = list(pool.map(work, jobs))
    failed = results.count(False)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
