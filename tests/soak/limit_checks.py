"""Checks of the limits that servers name for all gateways together."""

import dataclasses

from record import INTERRUPTIONS, LINK_FAULTS, STORE_CUTS, slot_of

LIMIT_WINDOW_S = 4.0
LIMIT_CONTACT_S = 3.0  # from its first answer that names a limit until a server is held to it
LIMIT_NOTICE_S = 0.5  # a gateway is held to a limit this long after it has passed it on
LIMIT_TOLERANCE = (1.5, 5)  # factor and further requests
MAX_LATE_REFUSALS = 3
REFUSAL_TIME_S = 0.5  # slo_ms of the routes
KINDS_BY_SERVICE = {"plain": ("safe", "once", "open"), "model": ("stream", "stream1")}


@dataclasses.dataclass
class LimitPeriod:
    """A time for which a server names limits without a break."""
    steps: list  # (time, limit)
    end: float = float("inf")

    def allowed(self, start, end):
        """The number of requests that the limits allow in a time span."""
        ends = [time for time, _ in self.steps[1:]] + [self.end]
        return sum(limit * max(0.0, min(end, over) - max(start, begun))
                   for (begun, limit), over in zip(self.steps, ends))


def limit_periods(named):
    periods = []
    for time, limit in named:
        if not periods or periods[-1].end != float("inf"):
            if limit:
                periods.append(LimitPeriod([(time, limit)]))
        elif limit:
            periods[-1].steps.append((time, limit))
        else:
            periods[-1].end = time
    return periods


def _limits_passed_on(record, server, period):
    """By (gateway, boot): when it first passed on an answer of the server with a limit."""
    passed_on = {}
    for call in record.calls:
        if (call.signature == f"sig-{server}" and call.answered < period.end
                and any(run["server"] == server and run["time"] > period.steps[0][0]
                        for run in record.runs_of(call))):
            key = (call.gateway, call.boot)
            passed_on[key] = min(passed_on.get(key, call.answered), call.answered)
    return passed_on


def check_server_limits(record):
    """A server gets no more requests than it says that it takes from all gateways together.
    Gateways count that know the limit and were neither interrupted nor cut off."""
    violations = []
    excuses = INTERRUPTIONS | STORE_CUTS | {"few_descriptors"}
    for server, named in record.limits.items():
        for period in limit_periods(named):
            passed_on = _limits_passed_on(record, server, period)
            arrivals = [(time, record.call_at(request, time))
                        for request, time in record.arrivals[server]
                        if period.steps[0][0] < time < period.end]
            for last, (end, _) in enumerate(arrivals):
                start = end - LIMIT_WINDOW_S
                since = start - LIMIT_CONTACT_S
                if since < arrivals[0][0] or record.overlaps_fault(
                        {slot_of(server)}, since, end, LINK_FAULTS):
                    continue
                gateways = {gateway for gateway in {call.gateway for _, call in arrivals}
                            if not record.overlaps_fault({gateway}, since, end, excuses)}
                count = sum(
                    time >= start and call.gateway in gateways and time >= LIMIT_NOTICE_S
                    + passed_on.get((call.gateway, call.boot), float("inf"))
                    for time, call in arrivals[:last + 1])
                factor, further = LIMIT_TOLERANCE
                allowed = factor * period.allowed(start, end) + further
                if count > allowed:
                    violations.append(f"{server} got {count} requests from {start:.2f} to "
                                      f"{end:.2f}; its limits allow {allowed:.1f}")
    return violations


def check_limited_refusals(record):
    """While all servers of a service name limits, requests that none of them gets are refused
    at once and with a time to come back."""
    violations = []
    for service, kind, start, end in record.fault_periods:
        if kind != "names_limit" or service not in KINDS_BY_SERVICE:
            continue
        late = []
        for call in record.calls:
            rejected = (call.kind in KINDS_BY_SERVICE[service] and call.status in (503, 504)
                        and not call.signature and not record.runs_of(call))
            during = start + LIMIT_CONTACT_S < call.sent and call.ended < end
            if not (rejected and during and record.was_fault_free(call.gateway, call.ended)):
                continue
            if call.ended - call.sent > REFUSAL_TIME_S:
                late.append(call)
            elif not call.retry_after:
                violations.append(f"{call} was refused without a time to come back")
        if len(late) > MAX_LATE_REFUSALS:
            violations.append(f"{len(late)} requests to {service} were refused late, such as "
                              f"{late[0]}")
    return violations
