"""The observations of a soak run, and which faults excuse what."""

import collections
import dataclasses

# Timing bounds apply to a gateway once it has had no fault for this long.
FAULT_FREE_PERIOD_S = 4.0
PLANNED_STOPS = {"stop", "signals_stop", "stop_half"}
INTERRUPTIONS = PLANNED_STOPS | {  # of a gateway process
    "kill", "pause", "kill_all", "signals_start", "settings_rewritten", "address_taken"}
HARMLESS_FAULTS = {  # excuse nothing
    "signals", "log_closed", "log_stalled", "names_limit", "copied_refusals", "evacuated"}
STORE_CUTS = {"store_cut", "store_silent", "store_one_way", "store_reset"}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
LINK_FAULTS = {"link_cut", "link_silent", "link_one_way", "link_delay", "link_reset"}


@dataclasses.dataclass(frozen=True)
class Signal:
    """A signal that was sent to a gateway process."""
    number: int
    time: float
    may_precede_main: bool = False  # of the process, which could not handle it then


@dataclasses.dataclass(frozen=True)
class Exit:
    """An end of a gateway process. The code is negative if a signal ended it."""
    gateway: str
    code: int
    signals: list


@dataclasses.dataclass
class Record:
    """The observations of a soak run."""
    calls: list
    runs: dict  # request id: [{"server", "time", "fault"}]
    fault_periods: list  # (target, kind, start, end)
    drains: list  # (server, time)
    arrivals: dict  # server: [(request id, time)]
    pauses: dict  # server: [(request id, time of a 503 with Retry-After, end of that time)]
    limits: dict  # server: [(time, limit that it names from then on, or 0)]
    evacuations: list  # (servers, time acknowledged, time taken back)
    cold: list  # (server, time from which it is cold)
    crashes: dict  # body: [time at which a request with it crashed a server]
    changes: list  # (index, time begun, time acknowledged)
    usage: list  # usage reports to the cloud in order of arrival
    scale: list  # capacity orders to the cloud in order of arrival
    exits: list  # ends of gateway processes
    disconnects: dict  # request id: time at which a server noticed that its caller disconnected
    bounds: dict
    limit: dict
    recovered: float  # time at which all gateways were ready after the last fault; or 0
    removed_by: dict  # key: index of the configuration version that revokes it
    limited_key: str
    probe_services: int

    def __post_init__(self):
        self.calls_by_id = collections.defaultdict(list)  # in order of time
        for call in sorted(self.calls, key=lambda call: call.sent):
            self.calls_by_id[call.request].append(call)

    def call_at(self, request, moment):
        """The call with this id that a server got at this moment. A caller repeats a call
        only after its end, so it is the last one sent until then."""
        calls = self.calls_by_id[request]
        return next((call for call in reversed(calls) if call.sent <= moment), calls[0])

    def runs_of(self, call):
        """The executions of a call, without those of other calls with its id."""
        return [run for run in self.runs.get(call.request, [])
                if self.call_at(call.request, run["time"]) is call]

    def overlaps_fault(self, targets, start, end, kinds=None):
        """Whether a fault that may do harm, of these kinds if they are given, on any of the
        targets or on "world" overlaps the time span."""
        found = self.harmful_kinds(targets, start, end)
        return bool(found if kinds is None else found & kinds)

    def harmful_kinds(self, targets, start, end):
        return {kind for target, kind, begun, over in self.fault_periods
                if (target in targets or target == "world")
                and begun <= end and over >= start and kind not in HARMLESS_FAULTS}

    def was_fault_free(self, gateway, moment):
        return not self.overlaps_fault({gateway}, moment - FAULT_FREE_PERIOD_S, moment)


def slot_of(server):
    return server.rsplit("-", 1)[0]
