"""Checks recorded histories of concurrent requests against the system's guarantees."""

import collections
import json

MAX_LEAVING_DISPATCH_MS = 3000
MAX_REVISION_DELAY_MS = 5000
LIMIT_WINDOW_MS = 4000
LIMIT_CONTACT_MS = 3000  # from its first answer that names a limit until a server is held to it
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


class Violation:
    """A violated guarantee with the events that show it."""

    def __init__(self, rule, detail, events=()):
        self.rule = rule
        self.detail = detail
        self.events = list(events)

    def __str__(self):
        lines = [f"VIOLATION {self.rule}: {self.detail}"]
        lines += [f"    {json.dumps(event, sort_keys=True)}" for event in self.events[:8]]
        return "\n".join(lines)


def check_at_most_once(history):
    """No key is executed twice, and no request refused as not executed was executed."""
    executions = collections.defaultdict(list)
    outcomes = collections.defaultdict(list)
    for event in history:
        key = event.get("key")
        if not key:
            continue
        if event["what"] == "execute":
            executions[key].append(event)
        elif event["what"] == "outcome":
            outcomes[key].append(event)
    violations = []
    for key, events in executions.items():
        if len(events) > 1:
            violations.append(Violation(
                "at_most_once", f"key {key} was executed {len(events)} times",
                events + outcomes[key]))
        answered = outcomes[key]
        if answered and all(event["outcome"] == "refused" for event in answered):
            violations.append(Violation(
                "not_run", f"key {key} was refused as not executed but was executed",
                events + answered))
    for key, events in outcomes.items():
        if any(event["outcome"] == "ok" for event in events) and not executions[key]:
            violations.append(Violation(
                "answer_without_run", f"key {key} was answered but never executed", events))
        answers = {event["answer"] for event in events if event["outcome"] == "ok"}
        if len(answers) > 1:
            violations.append(Violation(
                "own_answer", f"key {key} got different answers", events))
    return violations


def check_answers(history, allow_redone=False):
    """Each accepted request gets its own complete answer."""
    violations = []
    for event in history:
        if event["what"] != "outcome":
            continue
        if event["outcome"] == "wrong":
            violations.append(Violation(
                "own_answer", f"call {event['call']} got a wrong answer", [event]))
        if event["outcome"] == "lost":
            violations.append(Violation(
                "accepted_survives", f"call {event['call']} was lost", [event]))
        if event["outcome"] == "redone" and not allow_redone:
            violations.append(Violation(
                "accepted_survives",
                f"call {event['call']} was forgotten and had to be sent again", [event]))
        if event["outcome"] == "unknown" and event.get("kind") == "lookup":
            violations.append(Violation(
                "accepted_survives", f"lookup {event['call']} has an unknown outcome",
                [event]))
    return violations


def check_all_answered(history):
    """Each invocation has an outcome."""
    invoked = {(e["kind"], e["call"]): e for e in history if e["what"] == "invoke"}
    for event in history:
        if event["what"] == "outcome":
            invoked.pop((event["kind"], event["call"]), None)
    return [Violation("answered", f"{kind} {call} has no outcome", [event])
            for (kind, call), event in invoked.items()]


def check_leaving(history):
    """A leaving server gets no new requests after MAX_LEAVING_DISPATCH_MS.

    Returns (violations, longest time in ms between the notice and a dispatch).
    """
    leaving_since_ms = {}
    longest_ms = 0
    violations = []
    for event in sorted(history, key=lambda e: e["time_ms"]):
        server = event.get("server")
        if event["what"] == "leaving":
            leaving_since_ms.setdefault(server, event["time_ms"])
        elif event["what"] in ("dispatch", "execute") and server in leaving_since_ms:
            elapsed_ms = event["time_ms"] - leaving_since_ms[server]
            longest_ms = max(longest_ms, elapsed_ms)
            if elapsed_ms > MAX_LEAVING_DISPATCH_MS:
                violations.append(Violation(
                    "leaving", f"{server} got a request {elapsed_ms} ms after its notice",
                    [event]))
    return violations, longest_ms


def check_server_limits(history):
    """A server gets no more requests than it says that it takes from all instances together.

    Event "named_limit" marks the first answer that names a limit, or that names none again.
    Returns (violations, highest share of the requests allowed that a server got).
    """
    steps = collections.defaultdict(list)
    arrivals = collections.defaultdict(list)
    for event in sorted(history, key=lambda e: e["time_ms"]):
        if event["what"] == "named_limit":
            steps[event["server"]].append((event["time_ms"], float(event["limit"] or 0)))
        elif event["what"] in ("dispatch", "execute"):
            arrivals[event["server"]].append(event)
    violations = []
    highest = 0.0
    for server, named in steps.items():
        for end_event in arrivals[server]:
            end = end_event["time_ms"]
            start = end - LIMIT_WINDOW_MS
            gaps = [time for time, limit in named if not limit and time <= end]
            first = min((time for time, limit in named if limit and
                         time > max(gaps, default=float("-inf"))), default=end)
            if start < first + LIMIT_CONTACT_MS:
                continue
            times = [time for time, _ in named] + [end]
            allowed = LIMIT_SLACK + LIMIT_FACTOR * sum(
                limit / 1000 * max(0, min(over, end) - max(time, start))
                for (time, limit), over in zip(named, times[1:]))
            window = [e for e in arrivals[server] if start <= e["time_ms"] <= end]
            highest = max(highest, len(window) / allowed)
            if len(window) > allowed:
                violations.append(Violation(
                    "server_limit", f"{server} got {len(window)} requests in "
                    f"{LIMIT_WINDOW_MS} ms; its limits allow {allowed:.1f}", window[-1:]))
    return violations, highest


def check_revisions(accepted, events_by_node, unreachable=()):
    """Revisions only increase, and reachable nodes apply each within the limit.

    accepted: history events "accepted"; events_by_node: log events by node.
    Returns (violations, longest time in ms from acceptance to application).
    """
    violations = []
    slowest_ms = 0
    for node, events in events_by_node.items():
        last = 0
        restarted = False
        for event in events:
            if event["name"] == "started":
                restarted = True
            if event["name"] != "revision_in_force":
                continue
            revision = int(event["revision"])
            # A restarted process may apply the revision of its predecessor again.
            is_regression = revision < last or (revision == last and not restarted)
            restarted = False
            if is_regression:
                violations.append(Violation(
                    "never_reverts", f"{node} applied revision {revision} after {last}",
                    [event]))
            last = revision
    for acceptance in accepted:
        revision = acceptance["revision"]
        for node, events in events_by_node.items():
            if node in unreachable:
                continue
            started = [e["time_ms"] for e in events if e["name"] == "started"]
            if not started or started[0] > acceptance["time_ms"]:
                continue
            applied_ms = [e["time_ms"] for e in events
                     if e["name"] == "revision_in_force" and int(e["revision"]) >= revision]
            if not applied_ms:
                violations.append(Violation(
                    "in_force", f"{node} never applied revision {revision}", [acceptance]))
                continue
            delay_ms = min(applied_ms) - acceptance["time_ms"]
            slowest_ms = max(slowest_ms, delay_ms)
            if delay_ms > MAX_REVISION_DELAY_MS:
                violations.append(Violation(
                    "in_force", f"{node} applied revision {revision} after {delay_ms} ms",
                    [acceptance]))
    return violations, slowest_ms
