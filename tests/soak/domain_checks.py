"""Checks of evacuated failure domains and of cold servers."""

from record import LINK_FAULTS, slot_of

COLD_WINDOW_S = 1.0
COLD_RATE = 3  # requests a second that a cold server takes from all gateways together
COLD_TOLERANCE = (1.5, 5)  # factor and further requests
WARMUP_S = 3.0  # for which a server is cold


def check_evacuations(record):
    """The servers of an evacuated domain get nothing once the bound is over, from gateways that
    are in touch."""
    violations = []
    for servers, acknowledged, taken_back in record.evacuations:
        due = acknowledged + record.bounds["evacuate_ms"] / 1000
        for server in servers:
            for request, arrived in record.arrivals[server]:
                call = record.call_at(request, arrived)
                counts = due < arrived < taken_back and call.sent > due
                if counts and record.was_fault_free(call.gateway, arrived):
                    violations.append(f"{call} reached {server} {arrived - acknowledged:.2f} s "
                                      f"after the evacuation of its domain")
    return violations


def check_cold_servers(record):
    """A cold server gets no more than it tolerates in any second, from all gateways together,
    whatever happens to them."""
    factor, further = COLD_TOLERANCE
    allowed = factor * COLD_RATE + further
    violations = []
    for server, begun in record.cold:
        arrivals = [arrived for _, arrived in record.arrivals[server]
                    if begun <= arrived <= begun + WARMUP_S]
        for start in arrivals:
            count = sum(start <= arrived < start + COLD_WINDOW_S for arrived in arrivals)
            delayed = record.overlaps_fault({slot_of(server)}, start - COLD_WINDOW_S,
                                            start + COLD_WINDOW_S, LINK_FAULTS)
            if count > allowed and not delayed:
                violations.append(f"{server}, cold since {begun:.2f}, got {count} requests in the "
                                  f"second from {start:.2f}; it takes {allowed:.1f}")
                break
    return violations
