"""Checks of requests that crash the servers that run them."""

from record import INTERRUPTIONS, LINK_FAULTS, STORE_CUTS, slot_of

CRASHES = 3  # of a request, until it is known to crash servers
CONTACT_S = 3.0  # from the last of these until the bound holds; and for a gateway in touch
MAX_LATER_REQUESTS = 3
QUARANTINED = "2008"  # result code
EXCUSES = INTERRUPTIONS | STORE_CUTS | {"few_descriptors"}  # of gateways


def check_crash_budget(record):
    """A request that has crashed three servers reaches few servers from then on. Gateways count
    that were neither interrupted nor cut off."""
    violations = []
    for body, crashes in record.crashes.items():
        if len(crashes) < CRASHES:
            continue
        due = sorted(crashes)[CRASHES - 1] + CONTACT_S
        late = [(server, request, round(arrived, 3))
                for server, arrivals in record.arrivals.items() for request, arrived in arrivals
                if _counts(record, server, record.call_at(request, arrived), arrived, body, due)]
        if len(late) > MAX_LATER_REQUESTS:
            violations.append(f"{body} reached servers {len(late)} times after {due:.2f}; it "
                              f"crashed {len(crashes)} servers: {late}")
    return violations


def _counts(record, server, call, arrived, body, due):
    if call.body != body or arrived <= due:
        return False
    delayed = record.overlaps_fault({slot_of(server)}, due, arrived, LINK_FAULTS)
    if delayed and call.sent <= due:
        return False
    return not record.overlaps_fault({call.gateway}, arrived - CONTACT_S, arrived, EXCUSES)


def check_sound_requests(record):
    """Only requests that crash servers are quarantined."""
    return [f"{call} was quarantined" for call in record.calls
            if call.result_code == QUARANTINED and call.body not in record.crashes]
