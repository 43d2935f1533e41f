"""Resource use of processes, and linear fits; shared by the measurement scripts."""

import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "failure"))

RESULTS = ROOT / "benchmark" / "results"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns the user and system CPU time of all threads of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    """Returns the resident set size of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def fit_line(points):
    """Fits a least-squares line to (x, y) points.

    Returns (intercept, slope, largest absolute residual).
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual
