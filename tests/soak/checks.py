"""Checks the system's guarantees on what callers, servers, store and cloud recorded.

Each check is a pure function of the record and returns a description of each
violation. Times are seconds of one monotonic clock.
"""

import collections
import signal

from crash_checks import check_crash_budget, check_sound_requests
from domain_checks import check_cold_servers, check_evacuations
from limit_checks import check_limited_refusals, check_server_limits
from record import (
    FAULT_FREE_PERIOD_S, HARMLESS_FAULTS, INTERRUPTIONS, LINK_FAULTS, NOT_EXECUTED_STATUSES,
    PLANNED_STOPS, slot_of)

# A process must not use an older version again this long after it used a newer one.
VERSION_CHANGE_GRACE_S = 0.25
RESUME_GRACE_S = 0.3  # a paused sender's call may arrive this long after it resumes
DISCONNECT_GRACE_S = 0.5  # a server must notice within this time that its caller disconnected
RECOVERY_TIMEOUT_S = 15.0
MIN_SERVED_SHARE = 0.25  # of the requests sent after the recovery
MAX_ATTEMPTS = 2  # max_attempts of the routes
ROUTE_TIMEOUT_S = 3.0  # timeout_ms of the routes
ANSWER_GRACE_S = 0.5  # tolerated delay of an answer beyond the timeout
PAUSE_GRACE_S = 0.5  # after a 503 with Retry-After, requests may still be under way
MAX_REQUESTS_IN_PAUSE = 2  # from one gateway
AT_MOST_ONCE_KINDS = ("once", "stream1")


def check_at_most_once(record):
    """An unsafe request is executed once at most over all servers, also if its caller sent it
    again, with the same id, after it was not executed."""
    return [f"{request} was executed {len(runs)} times: {runs}"
            for request, runs in record.runs.items()
            if len(runs) > 1 and record.calls_by_id[request][0].kind in AT_MOST_ONCE_KINDS]


def check_refusals(record):
    """A request that was refused as not executed was not executed, unless its caller sent it
    again before."""
    violations = []
    for call in record.calls:
        refused = call.status in NOT_EXECUTED_STATUSES or call.execution == "not-run"
        if refused and not call.signature and (runs := record.runs_of(call)):
            violations.append(f"{call} was refused but executed: {runs}")
    return violations


def check_answers(record):
    """A successful answer is complete and comes from a server that executed the request."""
    violations = []
    for call in record.calls:
        if not 200 <= call.status < 300 or not call.whole:
            continue
        servers = {f"sig-{run['server']}" for run in record.runs_of(call)}
        if not call.correct or call.signature not in servers:
            violations.append(f"{call} has a wrong answer or signature; executed by {servers}")
    return violations


def check_attempts(record):
    violations = []
    for request, runs in record.runs.items():
        undisturbed = [run for run in runs if not record.overlaps_fault(
            {slot_of(run["server"])}, run["time"] - FAULT_FREE_PERIOD_S,
            run["time"] + ROUTE_TIMEOUT_S)]
        if len(undisturbed) > MAX_ATTEMPTS:
            violations.append(f"{request} was sent {len(undisturbed)} times to servers "
                              f"without faults: {undisturbed}")
    return violations


def _probe_versions(record):
    """Yields (call, index of the configuration version that handled it) for each probe."""
    for call in record.calls:
        if call.kind != "probe" or call.status != 200 or not call.signature:
            continue
        number = int(call.signature.removeprefix("sig-probe"))
        known = [index for index, begun, _ in record.changes
                 if index % record.probe_services == number and begun <= call.ended]
        if known:
            yield call, max(known)


def check_configuration(record):
    """New configuration versions apply in time, and a process never reverts to an older one."""
    violations = []
    handled_by_process = {}  # (gateway, boot): [(time, index)]
    for call, index in sorted(_probe_versions(record), key=lambda pair: pair[0].ended):
        handled = handled_by_process.setdefault((call.gateway, call.boot), [])
        newest_before = max((i for time, i in handled
                             if time + VERSION_CHANGE_GRACE_S < call.sent), default=-1)
        if index < newest_before:
            violations.append(f"{call} was handled by version {index} after {newest_before}")
        handled.append((call.ended, index))
        due = max((i for i, _, done in record.changes
                   if done + record.bounds["apply_ms"] / 1000 < call.sent), default=-1)
        if index < due and record.was_fault_free(call.gateway, call.ended):
            violations.append(f"{call} was handled by version {index} instead of at least {due}")
    return violations


def check_keys(record):
    """A revoked key is rejected after the bound, also while faults are active."""
    violations = []
    acknowledged = {index: done for index, _, done in record.changes}
    for call in record.calls:
        revoked_at = acknowledged.get(record.removed_by.get(call.key))
        if revoked_at is None or not record.runs_of(call):
            continue
        if call.sent > revoked_at + record.bounds["revoke_ms"] / 1000:
            violations.append(f"{call} was executed {call.sent - revoked_at:.2f} s after "
                              f"its key was revoked")
    return violations


def check_drains(record):
    """A draining server gets no requests after the bound."""
    violations = []
    leaving = dict(record.drains)
    for request, runs in record.runs.items():
        for run in runs:
            call = record.call_at(request, run["time"])
            drain_start = leaving.get(run["server"])
            if drain_start is None:
                continue
            due = drain_start + record.bounds["drain_ms"] / 1000
            if call.sent > due and record.was_fault_free(call.gateway, run["time"]):
                violations.append(f"{call} was executed {run['time'] - drain_start:.2f} s "
                                  f"into a drain: {run}")
    return violations


def check_leaving_answers(record):
    """A gateway that has passed on an answer that says that its server leaves sends this
    server nothing after the bound, whatever the store says and whether it responds."""
    passed_on = {}  # (gateway, boot, server): time
    for call in record.calls:
        for run in record.runs_of(call):
            if run["leaving"] and call.answered and call.signature == f"sig-{run['server']}":
                key = (call.gateway, call.boot, run["server"])
                passed_on[key] = min(passed_on.get(key, call.answered), call.answered)
    violations = []
    for server, arrivals in record.arrivals.items():
        for request, arrived in arrivals:
            call = record.call_at(request, arrived)
            told = passed_on.get((call.gateway, call.boot, server))
            if told is None or call.sent <= told + record.bounds["drain_ms"] / 1000:
                continue
            if not record.overlaps_fault({call.gateway}, told, arrived, INTERRUPTIONS):
                violations.append(f"{call} reached {server} {arrived - told:.2f} s after its "
                                  f"gateway passed on that it leaves")
    return violations


def check_pauses(record):
    """A server that asks a gateway for a pause gets at most two requests from it meanwhile."""
    violations = []
    for server, pauses in record.pauses.items():
        for request, answered, end in pauses:
            gateway = record.call_at(request, answered).gateway
            if (record.overlaps_fault({gateway}, answered, end, INTERRUPTIONS)
                    or record.overlaps_fault({slot_of(server)}, answered - PAUSE_GRACE_S, end,
                                             LINK_FAULTS)):
                continue
            late = [other for other, arrived in record.arrivals[server]
                    if answered + PAUSE_GRACE_S < arrived < end
                    and record.call_at(other, arrived).gateway == gateway]
            if len(late) > MAX_REQUESTS_IN_PAUSE:
                violations.append(f"{late} of {gateway} reached {server}, which wanted none "
                                  f"from {answered:.2f} to {end:.2f}")
    return violations


def check_duties(record):
    """Each usage window has one count, each epoch one lease holder, and epochs never decrease."""
    violations = []
    counts = {}
    for call in record.usage:
        known = counts.setdefault(call["window"], call["counts"])
        if known != call["counts"]:
            violations.append(f"window {call['window']} was reported with {known} "
                              f"and {call['counts']}")
    subjects = collections.defaultdict(list)
    for call in record.usage:
        subjects["usage"].append(call)
    for call in record.scale:
        subjects[(call["service"], call["zone"])].append(call)
    for subject, calls in subjects.items():
        holders = {}
        highest = 0
        for call in calls:
            holder = holders.setdefault(call["epoch"], call["holder"])
            if holder != call["holder"]:
                violations.append(f"{subject}: epoch {call['epoch']} was used by {holder} "
                                  f"and by {call}")
            excused = record.overlaps_fault({call["holder"]}, call["time"] - RESUME_GRACE_S,
                                            call["time"])
            if call["epoch"] < highest and not excused:
                violations.append(f"{subject}: epoch {highest} was used before {call}")
            highest = max(highest, call["epoch"])
    return violations


def check_stops(record):
    """A planned stop interrupts no request."""
    violations = []
    planned = PLANNED_STOPS | HARMLESS_FAULTS | {"reload", "bad_settings"}
    unplanned_faults = [period for period in record.fault_periods if period[1] not in planned]
    for target, kind, start, _ in record.fault_periods:
        if kind not in PLANNED_STOPS:
            continue
        for call in record.calls:
            at_target = target in (call.gateway, "world")
            during = start - FAULT_FREE_PERIOD_S < call.sent < start + record.bounds["stop_s"] + 1
            runs = record.runs_of(call)
            interrupted = not call.whole and not call.abandoned and runs
            if not (at_target and during and interrupted):
                continue
            servers = {slot_of(run["server"]) for run in runs}
            excused = any(
                name in servers | {call.gateway, "world"}
                and begun <= call.ended and over >= call.sent - FAULT_FREE_PERIOD_S
                for name, _, begun, over in unplanned_faults)
            faulty = any(run["fault"] for run in runs)
            # Requests that servers still execute near the end of the stop period may be cut.
            latest_end = start + record.bounds["stop_s"] * 5 / 6
            if not excused and not faulty and call.ended < latest_end:
                violations.append(f"{call} was interrupted by the stop at {start:.2f}")
    return violations


def check_lost(record):
    """A gateway without faults answers each request, unless a server of it is faulty."""
    violations = []
    for call in record.calls:
        timed_out = call.ended - call.sent > ROUTE_TIMEOUT_S - ANSWER_GRACE_S
        if call.whole or call.abandoned or not call.ended or timed_out:
            continue
        runs = record.runs_of(call)
        disturbed = {call.gateway} | {slot_of(run["server"]) for run in runs}
        faulty = any(run["fault"] not in ("", "silent") for run in runs)
        kinds = record.harmful_kinds(disturbed, call.sent - FAULT_FREE_PERIOD_S, call.ended)
        # A process that lacks descriptors may close idle connections, not pending requests.
        if not faulty and (not kinds or (runs and kinds == {"few_descriptors"})):
            violations.append(f"{call} got no complete answer; executed by {runs}")
    return violations


def check_limits(record):
    """A workspace gets no more than its limit, summed over all gateways."""
    span = record.bounds["quota_window_s"]
    allowed_tokens = ((record.limit["rate_per_s"] * span + record.limit["burst"])
                      * (1 + record.bounds["quota_overage"]) + record.bounds["quota_slack"])
    executions = sorted((runs[0]["time"], call.tokens) for call in record.calls
                        if call.key == record.limited_key and (runs := record.runs_of(call)))
    window = collections.deque()
    tokens = 0
    for time, size in executions:
        window.append((time, size))
        tokens += size
        while window[0][0] < time - span:
            tokens -= window.popleft()[1]
        if tokens > allowed_tokens:
            return [f"{tokens} tokens were served in {span} s; the limit is {allowed_tokens:.0f}"]
    return []


def check_time_limits(record):
    """Most requests still open at the route's timeout are answered soon after it."""
    open_at_timeout = [call for call in record.calls
                       if call.ended > call.sent + ROUTE_TIMEOUT_S
                       and record.was_fault_free(call.gateway, call.ended)]
    late = [call for call in open_at_timeout
            if call.ended > call.sent + ROUTE_TIMEOUT_S + ANSWER_GRACE_S]
    if len(late) >= 8 and len(late) > len(open_at_timeout) / 2:
        return [f"{len(late)} of {len(open_at_timeout)} requests ended late, such as {late[0]}"]
    return []


def check_abandoned(record):
    """Most abandoned streams are cancelled at the server soon after the disconnect."""
    abandoned = [call for call in record.calls
                 if call.abandoned and record.was_fault_free(call.gateway, call.abandoned)]
    late = [call for call in abandoned
            if record.disconnects.get(call.request, call.abandoned)
            > call.abandoned + DISCONNECT_GRACE_S]
    if len(late) > max(3, len(abandoned) / 4):
        return [f"{len(late)} of {len(abandoned)} abandoned streams continued at the server"]
    return []


def check_own_ends(record):
    """A process ends only by SIGKILL, and in order after SIGTERM. Before its main has begun,
    no code of it can keep any signal from ending it."""
    violations = []
    for end in record.exits:
        numbers = {sent.number for sent in end.signals}
        expected = (
            (signal.SIGKILL in numbers and end.code == -signal.SIGKILL)
            or (signal.SIGTERM in numbers and end.code == 0)
            or any(sent.may_precede_main and sent.number == -end.code for sent in end.signals))
        if not expected:
            last = [(int(sent.number), round(sent.time, 3)) for sent in end.signals[-3:]]
            violations.append(f"{end.gateway} exited unexpectedly with code {end.code}; last "
                              f"signals: {last}")
    return violations


def check_stop_times(record):
    """A process that is not paused exits within stop_s after SIGTERM."""
    violations = []
    for end in record.exits:
        stops = [sent.time for sent in end.signals if sent.number == signal.SIGTERM]
        kills = [sent.time for sent in end.signals if sent.number == signal.SIGKILL]
        late = stops and kills and kills[0] - stops[0] > record.bounds["stop_s"]
        if late and not record.overlaps_fault({end.gateway}, stops[0], kills[0], {"pause"}):
            violations.append(f"{end.gateway} still ran {kills[0] - stops[0]:.1f} s after SIGTERM")
    return violations


def check_recovery(record):
    """After the last fault all gateways become ready in time and serve requests."""
    if not record.recovered:
        return [f"not all gateways were ready within {RECOVERY_TIMEOUT_S} s after the last fault"]
    after = [call for call in record.calls if call.sent > record.recovered
             and call.kind in ("safe", "open", "stream")]
    served = [call for call in after if call.status in (200, 429)]
    if not after or len(served) < MIN_SERVED_SHARE * len(after):
        return [f"{len(served)} of {len(after)} requests after the recovery were served"]
    return []


CHECKS = {check.__name__.removeprefix("check_"): check for check in (
    check_at_most_once, check_refusals, check_answers, check_attempts,
    check_configuration, check_keys, check_drains, check_leaving_answers,
    check_pauses, check_crash_budget, check_sound_requests, check_server_limits,
    check_evacuations, check_cold_servers,
    check_limited_refusals, check_duties, check_stops, check_lost, check_limits,
    check_time_limits, check_abandoned, check_own_ends, check_stop_times, check_recovery)}
