"""What the failure cases share: load, requests and the checks that apply to all of them."""

import random
import socket
import subprocess

from checker import (Violation, check_all_answered, check_answers, check_at_most_once,
                     check_leaving, check_revisions)
from cluster import BUILD, ROOT

OBJECTS_PATH = ROOT / "examples" / "steigervergunning.toml"
AUTH_HEADERS = {"Authorization": "Bearer key-clerks"}


class LoadGenerator:
    """Runs the load tool as a child process during a case."""

    def __init__(self, cluster, seed, seconds=8, rate=40, entries=None, **options):
        targets = ",".join(cluster.entry_address(i) for i in
                           (entries if entries is not None
                            else range(cluster.entry_count)))
        command = [BUILD / "load_tool", "--targets", targets, "--seed", seed,
                   "--seconds", seconds, "--rate", rate,
                   "--history", cluster.history_path]
        for name, value in options.items():
            command += ["--" + name.replace("_", "-"), value]
        self.child = subprocess.Popen([str(part) for part in command],
                                      stdout=subprocess.PIPE, text=True)

    def finish(self, timeout=120):
        return self.child.communicate(timeout=timeout)[0].strip()


class CaseResult:
    """Violations and measurements of a case."""

    def __init__(self, violations, notes):
        self.violations = violations
        self.notes = notes


def standard_checks(cluster, allow_redone=False, unreachable=(), no_broken=False):
    """Runs the checks that apply to all cases. Returns (violations, notes)."""
    history = cluster.history()
    violations = check_at_most_once(history)
    violations += check_answers(history, allow_redone)
    violations += check_all_answered(history)
    leaving_violations, longest_leaving_ms = check_leaving(history)
    violations += leaving_violations
    accepted = [event for event in history if event["what"] == "accepted"]
    nodes = {f"entry-{i}": cluster.log_events(i) for i in range(cluster.entry_count)}
    revision_violations, slowest_revision_ms = check_revisions(accepted, nodes, unreachable)
    violations += revision_violations
    outcomes = [event for event in history if event["what"] == "outcome"]
    outcome_counts = {}
    for event in outcomes:
        name = f"{event['kind']}:{event['outcome']}"
        outcome_counts[name] = outcome_counts.get(name, 0) + 1
    broken = sum(event.get("broken", 0) for event in outcomes)
    if no_broken and broken:
        violations.append(Violation(
            "graceful_stop", f"{broken} connections were closed during a graceful stop",
            [e for e in outcomes if e.get("broken")]))
    notes = {"outcomes": outcome_counts, "broken": broken,
             "worst_leaving_ms": longest_leaving_ms, "slowest_in_force_ms": slowest_revision_ms}
    return violations, notes


def run_under_load(cluster, seed, inject_faults, checks=None, **load_options):
    cluster.start_and_configure(OBJECTS_PATH)
    load = LoadGenerator(cluster, seed, **load_options)
    inject_faults(cluster, random.Random(seed))
    load.finish()
    violations, notes = standard_checks(cluster, **(checks or {}))
    return CaseResult(violations, notes)


def send_raw(address, payload):
    """Sends bytes and returns what was received until the response header was complete,
    the peer closed the connection, or 5 s passed without data."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(payload)
        connection.settimeout(5)
        answer = b""
        try:
            while b"\r\n\r\n" not in answer:
                piece = connection.recv(65536)
                if not piece:
                    break
                answer += piece
        except (TimeoutError, ConnectionResetError):
            pass
        return answer.decode(errors="replace")
