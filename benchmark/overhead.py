"""Measures the latency that an entry instance adds, and its throughput per core.

Each round measures direct calls to a server and calls through an entry instance in turn,
so that noise of the machine affects both. Writes benchmark/results/overhead.json.
"""

import json
import subprocess

from measure import RESULTS, ROOT, cpu_seconds

from cluster import BUILD, Cluster

ROUNDS = 3
LETTER_RATE = 60
LOOKUP_RATE = 3000
STREAM_RATE = 60
STREAM_TOKENS = 200


def run_load(targets, **options):
    command = [BUILD / "load_tool", "--targets", ",".join(targets)]
    for name, value in options.items():
        command += ["--" + name.replace("_", "-"), str(value)]
    return json.loads(subprocess.run([str(part) for part in command], check=True,
                                     capture_output=True, text=True).stdout)


def main():
    rows = []
    letter_options = {"drafts": 0, "filings": 0, "lookups": 0, "letters": 1,
                      "letter_tokens": 10, "reuse": "yes"}
    lookup_options = {"drafts": 0, "filings": 0, "lookups": 1, "letters": 0, "reuse": "yes"}
    with Cluster(entries=1, engines=1, plains=1, keep_history=False,
                 engine_arguments=["--prefill-rate", 1000000]) as cluster:
        cluster.start_and_configure(ROOT / "examples" / "steigervergunning.toml")
        entry_pid = cluster.processes["entry-0"].child.pid
        for seed in range(1, ROUNDS + 1):
            direct = run_load([cluster.engine_address(0)], seed=seed, rate=LETTER_RATE, seconds=5,
                              direct="yes", **letter_options)["letter"]
            through = run_load([cluster.entry_address(0)], seed=seed, rate=LETTER_RATE, seconds=5,
                               **letter_options)["letter"]
            cpu = cpu_seconds(entry_pid)
            streams = run_load([cluster.entry_address(0)], seed=seed, rate=STREAM_RATE, seconds=5,
                               **{**letter_options, "letter_tokens": STREAM_TOKENS})["letter"]
            stream_cpu = cpu_seconds(entry_pid) - cpu
            tokens = streams["outcomes"].get("ok", 0) * STREAM_TOKENS
            cpu = cpu_seconds(entry_pid)
            lookups = run_load([cluster.entry_address(0)], seed=seed, rate=LOOKUP_RATE, seconds=5,
                               **lookup_options)
            cpu = cpu_seconds(entry_pid) - cpu
            answered = lookups["lookup"]["outcomes"].get("ok", 0)
            direct_lookup = run_load([cluster.plain_address(0)], seed=seed, rate=300, seconds=5,
                                     **lookup_options)["lookup"]
            through_lookup = run_load([cluster.entry_address(0)], seed=seed, rate=300, seconds=5,
                                      **lookup_options)["lookup"]
            row = {
                "seed": seed,
                "first_token_direct_ms": direct["first_token_ms"],
                "first_token_through_ms": through["first_token_ms"],
                "total_direct_ms": direct["total_ms"],
                "total_through_ms": through["total_ms"],
                "lookup_direct_ms": direct_lookup["total_ms"],
                "lookup_through_ms": through_lookup["total_ms"],
                "tokens_per_core_s": tokens / stream_cpu,
                "lookups_ok": answered,
                "lookups_per_s": answered / lookups["elapsed_s"],
                "lookups_per_core_s": answered / cpu,
            }
            print(json.dumps(row), flush=True)
            rows.append(row)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "overhead.json").write_text(json.dumps(
        {"command": "python3 benchmark/overhead.py", "rows": rows}, indent=1) + "\n")


if __name__ == "__main__":
    main()
