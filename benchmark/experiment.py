"""Compares the routing policies in one run on local fake servers.

Usage: experiment.py [--seeds N] [--scenarios a,b] [--policies a,b] [--name FILE]
Writes benchmark/results/FILE.json, FILE.md and FILE.svg.
"""

import argparse
import json
import statistics
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from measure import RESULTS, ROOT

from cluster import BUILD, Cluster

POLICIES = ("predicted", "affinity", "least_outstanding", "round_robin")
SCENARIOS = ("steady", "reclaim", "slow_server", "surge")
OBJECTS = ROOT / "examples" / "steigervergunning.toml"
ENGINE_COUNT = 8
LOAD_SECONDS = 12
ENGINE_PRICE_PER_HOUR = 1.0
# Prompts have 1,000 tokens, of which four fifths are a shared prefix. An engine computes
# 1,500 prompt tokens per second and caches 10,000.
ENGINE_ARGUMENTS = ["--prefill-rate", 1500, "--decode-ms", 8, "--decode-ms-per-stream", 0.4,
                    "--cache-tokens", 10000]
LOAD_OPTIONS = {"rate": 30, "prompt_chars": 4000, "prefixes": 24, "letters": 0.8,
                "drafts": 0.2, "filings": 0, "lookups": 0, "letter_tokens": 30,
                "draft_tokens": 60}


def start_load(cluster, seed, **changes):
    options = {**LOAD_OPTIONS, **changes}
    command = [BUILD / "load_tool", "--targets",
               ",".join(cluster.entry_address(i) for i in range(5)), "--seed", seed,
               "--seconds", LOAD_SECONDS]
    for name, value in options.items():
        command += ["--" + name.replace("_", "-"), value]
    return subprocess.Popen([str(part) for part in command], stdout=subprocess.PIPE,
                            text=True)


def inject_fault(cluster, scenario):
    if scenario != "reclaim":
        return
    time.sleep(4)
    names = [f"engine-{i}" for i in range(ENGINE_COUNT) if i % 4 == 1]
    cluster.mark_leaving(*names)
    time.sleep(3)
    for name in names:
        cluster.kill(name)


def run_experiment(policy, scenario, seed, base_port):
    with Cluster(base_port=base_port, engines=ENGINE_COUNT, plains=1, policy=policy, seed=seed,
                 keep_history=False, engine_arguments=ENGINE_ARGUMENTS) as cluster:
        if scenario == "slow_server":
            start_normal_engine = cluster.start_engine

            def start_engine(index, **options):
                extra = ("--prefill-rate", 350, "--decode-ms", 40) if index == 2 else ()
                start_normal_engine(index, extra=extra, **options)
            cluster.start_engine = start_engine
        cluster.start_and_configure(OBJECTS)
        load = start_load(cluster, seed)
        surge = None
        if scenario == "surge":
            surge = start_load(cluster, seed + 500, api_key="key-planners", rate=20,
                               prefixes=200, letters=0)
        fault_thread = threading.Thread(target=inject_fault, args=(cluster, scenario))
        fault_thread.start()
        summary = json.loads(load.communicate(timeout=180)[0])
        if surge:
            surge.communicate(timeout=180)
        fault_thread.join()
        recomputed = sum(value for i in range(5)
                         for name, value in cluster.metrics(i).items()
                         if name.startswith("cowslipknot_recomputed_tokens_total"))
    letters, drafts = summary["letter"], summary["draft"]
    requested = sum(letters["outcomes"].values())
    answered = letters["in_target"] + drafts["outcomes"].get("ok", 0)
    cost = ENGINE_COUNT * ENGINE_PRICE_PER_HOUR * summary["elapsed_s"] / 3600 / max(1, answered)
    return {"policy": policy, "scenario": scenario, "seed": seed,
            "in_target_share": letters["in_target"] / requested,
            "first_token_p95_ms": letters["first_token_ms"]["p95"],
            "between_tokens_p95_ms": letters["between_tokens_ms"]["p95"],
            "letters_refused": letters["outcomes"].get("refused", 0),
            "drafts_ok": drafts["outcomes"].get("ok", 0),
            "not_ok": sum(row["outcomes"].get(name, 0) for row in (letters, drafts)
                          for name in ("lost", "wrong", "unknown")),
            "recomputed_tokens": recomputed,
            "cost_per_1000_in_target": 1000 * cost}


def mean_and_deviation(values):
    return statistics.mean(values), (statistics.stdev(values) if len(values) > 1 else 0.0)


def write_report(rows, seeds, name, scenarios, policies):
    columns = ("in_target_share", "first_token_p95_ms", "between_tokens_p95_ms",
               "letters_refused", "not_ok", "recomputed_tokens", "cost_per_1000_in_target")
    lines = [f"# Server choice, {seeds} seeds", "",
             f"Command: `python3 benchmark/experiment.py --seeds {seeds} --name {name}`.",
             "Mean and standard deviation over the seeds. Cost in price units an engine "
             "hour.", "",
             "| scenario | policy | " + " | ".join(columns) + " |",
             "|---|---|" + "---|" * len(columns)]
    for scenario in scenarios:
        for policy in policies:
            chosen = [r for r in rows if (r["scenario"], r["policy"]) == (scenario, policy)]
            cells = []
            for column in columns:
                mean, deviation = mean_and_deviation([row[column] for row in chosen])
                cells.append(f"{mean:.4g} ± {deviation:.2g}")
            lines.append(f"| {scenario} | {policy} | " + " | ".join(cells) + " |")
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f"{name}.md").write_text("\n".join(lines) + "\n")
    (RESULTS / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")
    (RESULTS / f"{name}.svg").write_text(plot_svg(rows, scenarios, policies))
    print("\n".join(lines))


def plot_svg(rows, scenarios, policies):
    """Draws an SVG bar chart of the share of interactive requests that met their target."""
    colours = ("#2b6cb0", "#68a063", "#c05621", "#a0aec0")
    height, bar, gap = 220, 22, 40
    parts = []
    x = 50
    for scenario in scenarios:
        begin = x
        for colour, policy in zip(colours, policies):
            mean, _ = mean_and_deviation([r["in_target_share"] for r in rows
                                          if (r["scenario"], r["policy"]) == (scenario, policy)])
            size = mean * height
            parts.append(f'<rect x="{x}" y="{30 + height - size:.1f}" width="{bar}" '
                         f'height="{size:.1f}" fill="{colour}"/>')
            parts.append(f'<text x="{x + bar / 2}" y="{25 + height - size:.1f}" '
                         f'font-size="9" text-anchor="middle">{mean:.2f}</text>')
            x += bar + 3
        parts.append(f'<text x="{(begin + x) / 2}" y="{height + 48}" font-size="12" '
                     f'text-anchor="middle">{scenario}</text>')
        x += gap
    for i, (colour, policy) in enumerate(zip(colours, policies)):
        parts.append(f'<rect x="{50 + i * 130}" y="{height + 62}" width="10" height="10" '
                     f'fill="{colour}"/><text x="{64 + i * 130}" y="{height + 71}" '
                     f'font-size="11">{policy}</text>')
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{max(x, 600)}" '
            f'height="{height + 85}" font-family="sans-serif">'
            f'<text x="50" y="14" font-size="13">Share of interactive answers in target'
            f'</text>{"".join(parts)}</svg>\n')


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--name", default="server_choice")
    parser.add_argument("--parallel", type=int, default=2)
    arguments = parser.parse_args()
    scenarios = arguments.scenarios.split(",")
    policies = arguments.policies.split(",")
    jobs = [(policy, scenario, seed) for seed in range(1, arguments.seeds + 1)
            for scenario in scenarios for policy in policies]
    # Jobs that run in parallel use separate port ranges.
    slots = list(range(arguments.parallel))

    def run_job(job):
        slot = slots.pop()
        try:
            row = run_experiment(*job, base_port=21000 + slot * 2500)
            print(json.dumps(row), flush=True)
            return row
        finally:
            slots.append(slot)

    with ThreadPoolExecutor(arguments.parallel) as pool:
        rows = list(pool.map(run_job, jobs))
    write_report(rows, arguments.seeds, arguments.name, scenarios, policies)


if __name__ == "__main__":
    main()
