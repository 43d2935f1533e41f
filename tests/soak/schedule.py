"""Draws the schedule of faults and configuration changes; injects nothing itself."""

import dataclasses

# Mean time between the starts of two faults; short enough that several overlap.
MEAN_FAULT_INTERVAL_S = 1.0
# Probability that a fault has the same target as the previous one, so that faults
# combine, such as a restart during a cut link or a pause during a stop.
SAME_TARGET_PROBABILITY = 0.35

GATEWAY_FAULT_WEIGHTS = {
    "stop": 3, "kill": 2, "pause": 3, "reload": 1, "bad_settings": 1,
    "store_cut": 2, "store_silent": 2, "store_one_way": 2, "store_delay": 1,
    "store_reset": 1, "callers_reset": 1, "callers_one_way": 1,
}
BACKEND_FAULT_WEIGHTS = {
    "drain": 3, "crash": 2, "reborn": 2, "misbehave": 5, "silent": 3, "link_cut": 1,
    "link_silent": 2, "link_one_way": 1, "link_delay": 1, "link_reset": 2,
}
ENVIRONMENT_FAULT_WEIGHTS = {
    "store_down": 2, "store_stalled": 1, "store_slow": 1, "store_forgets": 2,
    "store_loses_answers": 2, "cloud_down": 1, "kill_all": 0.5, "stop_half": 0.5,
}
# What servers say of themselves in their answers. Drawn apart from the other faults, which
# a seed determines as before.
NOTICE_FAULT_WEIGHTS = {"says_leaving": 1, "wants_none": 1}
MEAN_NOTICE_INTERVAL_S = 4.0
# Refusals that servers send more than once; drawn apart as well.
COPY_PROBABILITY = 0.7  # that servers do so in a run
MEAN_COPY_INTERVAL_S = 1.0
# What ends processes from outside, or keeps them from starting; drawn apart as well.
PROCESS_FAULT_WEIGHTS = {
    "signals": 3, "signals_stop": 2, "signals_start": 2, "log_closed": 1, "log_stalled": 2,
    "settings_rewritten": 2, "address_taken": 2, "few_descriptors": 2,
}
MEAN_PROCESS_FAULT_INTERVAL_S = 3.0
# Limits that servers name for all instances together; drawn apart as well.
LIMIT_PROBABILITY = 0.5  # that some servers name one in a run
LIMIT_COUNT = 2
# Requests that crash the servers that run them; drawn apart as well.
CRASHING_PROBABILITY = 0.5  # that there is one for a service in a run
CRASHING_KINDS = {"plain": ("safe", "once"), "model": ("stream", "stream1")}  # by service
# Evacuations of a failure domain, whose servers are cold when it returns; drawn apart as well.
EVACUATION_PROBABILITY = 0.4  # that there are any in a run
RESTORE_PROBABILITY = 0.5  # that the store is restored from a copy in a run
CONFIGURATION_INTERVAL_S = (2.5, 6.0)
FAULT_DURATION_S = (0.2, 5.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault. `target` is the name of a gateway or a server slot, or "world" for a
    fault of the store, the cloud or several gateways."""
    at_s: float
    kind: str
    target: str
    for_s: float


def _draw_weighted(rng, weights):
    return rng.choices(list(weights), weights=weights.values())[0]


def draw_faults(rng, seconds, gateways, backends):
    """Returns faults in order of time; each ends within `seconds`."""
    faults = []
    at_s = 0.5
    while True:
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
        if at_s >= seconds - 0.5:
            return faults
        same_target = faults and rng.random() < SAME_TARGET_PROBABILITY
        target = faults[-1].target if same_target else rng.choice(
            [rng.choice(gateways), rng.choice(gateways),
             rng.choice(backends), "world"])
        kinds = (GATEWAY_FAULT_WEIGHTS if target in gateways else
                 BACKEND_FAULT_WEIGHTS if target in backends else ENVIRONMENT_FAULT_WEIGHTS)
        for_s = min(rng.uniform(*FAULT_DURATION_S), seconds - at_s)
        faults.append(Fault(at_s, _draw_weighted(rng, kinds), target, for_s))


def _draw_series(rng, seconds, weights, mean_interval_s, targets):
    faults = []
    at_s = rng.expovariate(1 / mean_interval_s)
    while at_s < seconds - 0.5:
        for_s = min(rng.uniform(*FAULT_DURATION_S), seconds - at_s)
        faults.append(Fault(at_s, _draw_weighted(rng, weights), rng.choice(targets), for_s))
        at_s += rng.expovariate(1 / mean_interval_s)
    return faults


def draw_notices(rng, seconds, backends):
    """Returns the notices that servers begin to give in their answers."""
    return _draw_series(rng, seconds, NOTICE_FAULT_WEIGHTS, MEAN_NOTICE_INTERVAL_S, backends)


def draw_process_faults(rng, seconds, gateways):
    """Returns faults at the border of gateway processes."""
    return _draw_series(rng, seconds, PROCESS_FAULT_WEIGHTS, MEAN_PROCESS_FAULT_INTERVAL_S,
                        gateways)


def draw_limits(rng, seconds, targets):
    """Returns the times for which a server, or all servers of a service, name limits. They
    are long, since a limit binds only after some seconds and over some seconds."""
    if rng.random() >= LIMIT_PROBABILITY:
        return []
    starts = sorted(rng.uniform(0, seconds / 4) for _ in range(LIMIT_COUNT))
    return [Fault(at_s, "names_limit", rng.choice(targets),
                  rng.uniform(0.8, 1.0) * (seconds - at_s)) for at_s in starts]


def draw_copies(rng, seconds, targets):
    """Returns the times at which a server, or all servers of a service, begin to refuse requests
    and send copies of the refusals."""
    if rng.random() >= COPY_PROBABILITY:
        return []
    return _draw_series(rng, seconds, {"copied_refusals": 1}, MEAN_COPY_INTERVAL_S, targets)


def draw_crashing_requests(rng, seconds):
    """Returns the times for which a request comes again that crashes servers, at most one for
    each service. They are long, since a bound binds only after three crashes and some seconds."""
    faults = []
    for kinds in CRASHING_KINDS.values():
        if rng.random() < CRASHING_PROBABILITY:
            at_s = rng.uniform(0, seconds / 6)
            faults.append(Fault(at_s, "crashing_request", rng.choice(kinds),
                                rng.uniform(0.8, 1.0) * (seconds - at_s)))
    return faults


def draw_evacuations(rng, seconds, domain):
    """Returns the times for which a failure domain is evacuated. They are long, since requests
    may reach it for some seconds."""
    if rng.random() >= EVACUATION_PROBABILITY:
        return []
    at_s = rng.uniform(0, seconds / 4)
    return [Fault(at_s, "evacuated", domain, rng.uniform(0.4, 0.6) * seconds)]


def draw_restore(rng, seconds):
    """Returns a restore of the store from a copy that is taken `for_s` before it, or none."""
    if rng.random() >= RESTORE_PROBABILITY:
        return []
    at_s = rng.uniform(0.5, seconds / 2)
    return [Fault(at_s, "store_restored", "world", rng.uniform(0.2, seconds / 2 - 2))]


def draw_changes(rng, seconds):
    """Returns the times at which the operator writes a new configuration."""
    times = []
    at_s = 0.0
    while True:
        at_s += rng.uniform(*CONFIGURATION_INTERVAL_S)
        if at_s >= seconds:
            return times
        times.append(at_s)
