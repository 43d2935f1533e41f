"""Draws which faults come when. Nothing here touches a process."""

import dataclasses

# Mean time between the starts of two faults, so that several overlap.
MEAN_GAP_S = 1.0
# A fault follows the one before on the same target this often: a restart into
# a cut, a pause within a stop.
SAME_TARGET = 0.35

GATEWAY_KINDS = {
    "stop": 3, "kill": 2, "pause": 3, "reload": 1, "bad_settings": 1,
    "store_cut": 2, "store_silent": 2, "store_one_way": 2, "store_delay": 1,
    "store_reset": 1, "callers_reset": 1, "callers_one_way": 1,
}
BACKEND_KINDS = {
    "drain": 3, "crash": 2, "reborn": 2, "misbehave": 5, "link_cut": 1,
    "link_silent": 2, "link_one_way": 1, "link_delay": 1, "link_reset": 2,
}
WORLD_KINDS = {
    "store_down": 2, "store_stalled": 1, "store_slow": 1, "store_forgets": 2,
    "store_loses_answers": 2, "cloud_down": 1, "kill_all": 0.5, "stop_half": 0.5,
}
CONFIGURATION_GAP_S = (2.5, 6.0)
DURATION_S = (0.2, 5.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One disturbance. `target` is a gateway's or server's name, or "world"."""
    at_s: float
    kind: str
    target: str
    for_s: float


def _pick(random, weights):
    return random.choices(list(weights), weights=weights.values())[0]


def draw_faults(random, seconds, gateways, backends):
    """Faults in order of time; each ends by the end of `seconds`."""
    faults = []
    at_s = 0.5
    while True:
        at_s += random.expovariate(1 / MEAN_GAP_S)
        if at_s >= seconds - 0.5:
            return faults
        again = faults and random.random() < SAME_TARGET
        target = faults[-1].target if again else random.choice(
            [random.choice(gateways), random.choice(gateways),
             random.choice(backends), "world"])
        kinds = (GATEWAY_KINDS if target in gateways else
                 BACKEND_KINDS if target in backends else WORLD_KINDS)
        for_s = min(random.uniform(*DURATION_S), seconds - at_s)
        faults.append(Fault(at_s, _pick(random, kinds), target, for_s))


def draw_changes(random, seconds):
    """Times at which the operator writes a new configuration."""
    times = []
    at_s = 0.0
    while True:
        at_s += random.uniform(*CONFIGURATION_GAP_S)
        if at_s >= seconds:
            return times
        times.append(at_s)
