"""Measures how the resource use of an instance grows with the number of instances.

docs/CAPACITY.md is calculated from these slopes. Measures 5, 20 and 60 idle entry
instances on loopback, and the pure modules by module_bench.cc. Writes
benchmark/results/capacity.json and prints a table.
"""

import json
import subprocess
import time

from measure import RESULTS, ROOT, cpu_seconds, fit_line, resident_mb

from cluster import BUILD, Cluster, wait_until

FLEET_SIZES = (5, 20, 60)
MEASUREMENT_S = 20
DESIGN_NODES = 360
OBJECTS = ROOT / "examples" / "steigervergunning.toml"
POLL_MS = 2000


def sum_metrics(metrics, prefix):
    return sum(value for name, value in metrics.items() if name.startswith(prefix))


def measure_fleet(size):
    with Cluster(base_port=21000, entries=size, engines=4, plains=2, keep_history=True,
                 settings_overrides={"platform": {"poll_ms": POLL_MS}}) as cluster:
        cluster.start_and_configure(OBJECTS)
        for i in range(size):
            cluster.wait_members(size, i)
        time.sleep(12)  # until the membership updates have spread
        pids = [cluster.processes[f"entry-{i}"].child.pid for i in range(size)]
        cpu = sum(cpu_seconds(pid) for pid in pids)
        before = [cluster.metrics(i) for i in range(size)]
        start = time.monotonic()
        time.sleep(MEASUREMENT_S)
        elapsed = time.monotonic() - start
        cpu = sum(cpu_seconds(pid) for pid in pids) - cpu
        after = [cluster.metrics(i) for i in range(size)]

        def rate(prefix):
            increase = (sum(sum_metrics(m, prefix) for m in after)
                        - sum(sum_metrics(m, prefix) for m in before))
            return increase / elapsed / size
        row = {
            "nodes": size,
            "cpu_percent_of_core": 100 * cpu / elapsed / size,
            "resident_mb": sum(resident_mb(pid) for pid in pids) / size,
            "peer_bytes_per_s": rate("cowslipknot_peer_bytes_total"),
            "platform_reads_per_s": rate("cowslipknot_platform_calls_total{kind=\"read\"}"),
        }
        path = cluster.folder / "objects.toml"
        path.write_text(OBJECTS.read_text().replace("weight = 2.0", "weight = 5.0"))
        if cluster.apply(path) != 0:
            raise RuntimeError("cowslipknot apply of the changed objects failed")
        wait_until(lambda: all(cluster.status(i)["revision"] == 2 for i in range(size)))
        accepted = [e["time_ms"] for e in cluster.history()
                    if e["what"] == "accepted" and e["revision"] == 2][0]
        in_force = [e["time_ms"] for i in range(size) for e in cluster.log_events(i)
                    if e["name"] == "revision_in_force" and e["revision"] == "2"]
        row["in_force_s"] = (max(in_force) - accepted) / 1000
        print(json.dumps(row), flush=True)
        return row


def main():
    rows = [measure_fleet(size) for size in FLEET_SIZES]
    fits = {}
    for name in rows[0]:
        if name == "nodes":
            continue
        intercept, slope, residual = fit_line([(row["nodes"], row[name]) for row in rows])
        fits[name] = {"intercept": intercept, "slope": slope, "worst_residual": residual,
                      "at_360": intercept + slope * DESIGN_NODES}
        print(f"{name}: {intercept:.4g} + {slope:.4g} n (worst residual {residual:.3g}), "
              f"at 360: {intercept + slope * DESIGN_NODES:.4g}")
    output = subprocess.run([BUILD / "module_bench"], capture_output=True, text=True,
                            check=True).stdout
    print(output)
    modules = [json.loads(line) for line in output.splitlines()]
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "capacity.json").write_text(json.dumps(
        {"command": "make capacity", "processes": rows, "fits": fits,
         "modules": modules}, indent=1) + "\n")


if __name__ == "__main__":
    main()
