"""The promises, checked on what callers, servers, store and cloud have seen.

Each check is a pure function of the record and returns the broken promises it
found as texts. Times are seconds of one monotonic clock.
"""

import collections
import dataclasses

# Without a disturbance for this long a gateway owes the bounds with a time.
CONTACT_S = 4.0
BACK_S = 0.25  # after which a gateway must not fall back to an older version
THAW_S = 0.3  # a call may cross the sender's thaw by this
GONE_S = 0.5  # a server may go on working this long after its caller left
RECOVERY_S = 15.0
ANSWERED_SHARE = 0.25  # after the recovery
ATTEMPTS = 2  # of the routes
TIMEOUT_S = 3.0  # of the routes
LATE_S = 0.5
NOT_RUN = (408, 421, 429, 503)
ONCE = ("once", "stream1")


@dataclasses.dataclass
class Record:
    """What a soak has seen."""
    calls: list
    runs: dict  # id: [{"server", "time", "fault"}]
    troubles: list  # (target, kind, start, end)
    drains: list  # (server, time)
    changes: list  # (index, begun, acknowledged)
    usage: list  # calls to the cloud in order of arrival
    scale: list
    own_ends: list  # (gateway, exit code)
    gone: dict  # id: time at which a server noticed that its caller had left
    bounds: dict
    limit: dict
    recovered: float  # when all gateways were ready after the last fault; or 0
    removed_by: dict  # key: index of the version that takes it away
    limited_key: str
    probe_services: int

    def __post_init__(self):
        self.by_id = {call.request: call for call in self.calls}

    def disturbed(self, targets, start, end):
        """Whether a fault touched any of the targets, or all, in the span."""
        return any((target in targets or target == "world")
                   and begun <= end and over >= start
                   for target, _, begun, over in self.troubles)

    def in_touch(self, gateway, moment):
        return not self.disturbed({gateway}, moment - CONTACT_S, moment)


def slot_of(server):
    return server.rsplit("-", 1)[0]


def check_at_most_once(record):
    return [f"{request} ran {len(runs)} times: {runs}"
            for request, runs in record.runs.items()
            if len(runs) > 1 and record.by_id[request].kind in ONCE]


def check_refusals(record):
    """What is refused as not run has not run."""
    broken = []
    for call in record.calls:
        refused = call.status in NOT_RUN or call.execution == "not-run"
        if refused and not call.signature and call.request in record.runs:
            broken.append(f"{call} ran: {record.runs[call.request]}")
    return broken


def check_answers(record):
    """A success is the whole answer of a server that ran this request."""
    broken = []
    for call in record.calls:
        if not 200 <= call.status < 300 or not call.whole:
            continue
        servers = {f"sig-{run['server']}" for run in record.runs.get(call.request, [])}
        if not call.correct or call.signature not in servers:
            broken.append(f"{call}, servers {servers}")
    return broken


def check_attempts(record):
    broken = []
    for request, runs in record.runs.items():
        sound = [run for run in runs if not record.disturbed(
            {slot_of(run["server"])}, run["time"] - CONTACT_S, run["time"] + TIMEOUT_S)]
        if len(sound) > ATTEMPTS:
            broken.append(f"{request} was sent {len(sound)} times: {sound}")
    return broken


def _probe_versions(record):
    """(call, index of the configuration that it was handled by)"""
    for call in record.calls:
        if call.kind != "probe" or call.status != 200 or not call.signature:
            continue
        number = int(call.signature.removeprefix("sig-probe"))
        known = [index for index, begun, _ in record.changes
                 if index % record.probe_services == number and begun <= call.ended]
        if known:
            yield call, max(known)


def check_configuration(record):
    """New versions come into force in time, and a process never goes back."""
    broken = []
    newest = {}  # (gateway, boot): [(time, index)]
    for call, index in sorted(_probe_versions(record), key=lambda pair: pair[0].ended):
        seen = newest.setdefault((call.gateway, call.boot), [])
        before = max((i for time, i in seen if time + BACK_S < call.sent), default=-1)
        if index < before:
            broken.append(f"{call} was handled by version {index} after {before}")
        seen.append((call.ended, index))
        due = max((i for i, _, done in record.changes
                   if done + record.bounds["apply_ms"] / 1000 < call.sent), default=-1)
        if index < due and record.in_touch(call.gateway, call.ended):
            broken.append(f"{call} was handled by version {index}, due was {due}")
    return broken


def check_keys(record):
    """A key that was taken away serves nobody after the bound; no exception."""
    broken = []
    acknowledged = {index: done for index, _, done in record.changes}
    for call in record.calls:
        removal = acknowledged.get(record.removed_by.get(call.key))
        if removal is None or call.request not in record.runs:
            continue
        if call.sent > removal + record.bounds["revoke_ms"] / 1000:
            broken.append(f"{call} ran {call.sent - removal:.2f} s after its key went")
    return broken


def check_drains(record):
    """A server that leaves gets nothing after the bound."""
    broken = []
    leaving = dict(record.drains)
    for request, runs in record.runs.items():
        call = record.by_id[request]
        for run in runs:
            left = leaving.get(run["server"])
            if left is None:
                continue
            due = left + record.bounds["drain_ms"] / 1000
            if call.sent > due and record.in_touch(call.gateway, run["time"]):
                broken.append(f"{call} ran {run['time'] - left:.2f} s after {run}")
    return broken


def check_duties(record):
    """One holder at a time, one count a window."""
    broken = []
    counts = {}
    for call in record.usage:
        known = counts.setdefault(call["window"], call["counts"])
        if known != call["counts"]:
            broken.append(f"window {call['window']}: {known} and {call['counts']}")
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
                broken.append(f"{subject}: epoch {call['epoch']} of {holder} and {call}")
            excused = record.disturbed({call["holder"]}, call["time"] - THAW_S,
                                       call["time"])
            if call["epoch"] < highest and not excused:
                broken.append(f"{subject}: epoch {highest} before {call}")
            highest = max(highest, call["epoch"])
    return broken


def check_stops(record):
    """A planned stop cuts no request off."""
    broken = []
    planned = {"stop", "reload", "bad_settings", "stop_half"}
    harm = [trouble for trouble in record.troubles if trouble[1] not in planned]
    for target, kind, start, _ in record.troubles:
        if kind not in ("stop", "stop_half"):
            continue
        for call in record.calls:
            at_it = target in (call.gateway, "world")
            during = start - CONTACT_S < call.sent < start + record.bounds["stop_s"] + 1
            cut = not call.whole and not call.abandoned and call.request in record.runs
            if not (at_it and during and cut):
                continue
            servers = {slot_of(run["server"]) for run in record.runs[call.request]}
            excused = any(
                name in servers | {call.gateway, "world"}
                and begun <= call.ended and over >= call.sent - CONTACT_S
                for name, _, begun, over in harm)
            faulty = any(run["fault"] for run in record.runs[call.request])
            # The servers' last requests may outlast the time to stop.
            last = start + record.bounds["stop_s"] * 5 / 6
            if not excused and not faulty and call.ended < last:
                broken.append(f"{call} was cut by the stop at {start:.2f}")
    return broken


def check_limits(record):
    """A workspace gets no more than its limit over all gateways."""
    span = record.bounds["quota_window_s"]
    most = ((record.limit["rate_per_s"] * span + record.limit["burst"])
            * (1 + record.bounds["quota_overage"]) + record.bounds["quota_slack"])
    ran = sorted((record.runs[call.request][0]["time"], call.tokens)
                 for call in record.calls
                 if call.key == record.limited_key and call.request in record.runs)
    window = collections.deque()
    tokens = 0
    for time, size in ran:
        window.append((time, size))
        tokens += size
        while window[0][0] < time - span:
            tokens -= window.popleft()[1]
        if tokens > most:
            return [f"{tokens} tokens ran in {span} s, allowed are {most:.0f}"]
    return []


def check_time_limits(record):
    """Requests still open at the route's timeout are answered soon after."""
    open_then = [call for call in record.calls
                 if call.ended > call.sent + TIMEOUT_S
                 and record.in_touch(call.gateway, call.ended)]
    held = [call for call in open_then if call.ended > call.sent + TIMEOUT_S + LATE_S]
    if len(held) >= 8 and len(held) > len(open_then) / 2:
        return [f"{len(held)} of {len(open_then)} requests were held, such as {held[0]}"]
    return []


def check_abandoned(record):
    """The work of a caller that has left ends."""
    left = [call for call in record.calls
            if call.abandoned and record.in_touch(call.gateway, call.abandoned)]
    late = [call for call in left
            if record.gone.get(call.request, call.abandoned) > call.abandoned + GONE_S]
    if len(late) > max(3, len(left) / 4):
        return [f"{len(late)} of {len(left)} abandoned streams ran on"]
    return []


def check_own_ends(record):
    return [f"{name} ended by itself with {code}" for name, code in record.own_ends]


def check_recovery(record):
    """After the last fault all gateways are ready in time, and serve."""
    if not record.recovered:
        return [f"not all gateways were ready {RECOVERY_S} s after the last fault"]
    after = [call for call in record.calls if call.sent > record.recovered
             and call.kind in ("safe", "open", "stream")]
    served = [call for call in after if call.status in (200, 429)]
    if not after or len(served) < ANSWERED_SHARE * len(after):
        return [f"{len(served)} of {len(after)} requests were served at the end"]
    return []


CHECKS = {check.__name__.removeprefix("check_"): check for check in (
    check_at_most_once, check_refusals, check_answers, check_attempts,
    check_configuration, check_keys, check_drains, check_duties, check_stops,
    check_limits, check_time_limits, check_abandoned, check_own_ends, check_recovery)}
