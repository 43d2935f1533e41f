"""What the measuring scripts share: processes' use and linear fits."""

import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "failure"))

RESULTS = ROOT / "benchmark" / "results"
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """User and system time of a process, all threads."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def fit(points):
    """Least squares line through (x, y); returns (intercept, slope, worst residual)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual
