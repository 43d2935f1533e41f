"""Randomized soak of gateway processes under faults: soak.py --seed FIRST[-LAST].

A seed determines faults and load, but real processes interleave differently in
each run. Prints one line per seed, the violations of each check, and the folder
with the logs of a failed seed.
"""

import argparse
import collections
import concurrent.futures
import json
import multiprocessing
import pathlib
import random
import shutil
import sys
import tempfile
import threading
import time
import traceback

from callers import CALLER_COUNT, CRASHING_CALLERS, Caller, CrashingCaller
from checks import CHECKS, RECOVERY_TIMEOUT_S
from environment import (
    BOUNDS, LIMIT, LIMITED_KEY, PORT_OFFSET, PROBE_SERVICES, SECOND_DOMAIN, SoakEnvironment,
    eventually, key_of, set_port_range)
from record import Record
from schedule import (
    draw_changes, draw_copies, draw_crashing_requests, draw_evacuations, draw_faults,
    draw_limits, draw_notices, draw_process_faults, draw_restore)

POST_RECOVERY_LOAD_S = 3.0  # duration of the load after the recovery
FAULT_FREE_START_S = 4.0  # before the first fault, so that timing bounds apply from it on
FIRST_PORT = 26000 + PORT_OFFSET  # above the ports of the other tests
LAST_PORT = 31999 + PORT_OFFSET  # below the ephemeral range
SERVICE_TARGETS = ["plain", "model"] * 2  # each as likely as two of its servers
SEEDS_PATH = pathlib.Path(__file__).parent / "seeds.txt"


def assign_port_range(counter, processes):
    """Gives each worker process its own port range."""
    ports = (LAST_PORT - FIRST_PORT + 1) // processes
    with counter.get_lock():
        first = FIRST_PORT + counter.value * ports
        counter.value += 1
    set_port_range(first, first + ports - 1)


def wait_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def collect_thread_errors():
    """Returns a list that collects uncaught exceptions of the soak's threads.

    After one, a fault or a caller may be missing, so the seed must not pass.
    """
    errors = []
    threading.excepthook = lambda raised: errors.append(
        "".join(traceback.format_exception(raised.exc_value)))
    return errors


def inject_faults(environment, faults, changes, start):
    """Starts each fault and configuration change at its time; returns when all have ended."""
    def change_configuration_at(at_s):
        wait_until(start + at_s)
        environment.change_configuration()

    def inject_at(fault):
        wait_until(start + fault.at_s)
        environment.apply(fault)

    threads = [threading.Thread(target=inject_at, args=(fault,)) for fault in faults]
    threads += [threading.Thread(target=change_configuration_at, args=(at_s,))
                for at_s in changes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def wait_for_recovery(environment):
    """Returns the time at which all gateways were ready, or 0 after RECOVERY_TIMEOUT_S."""
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < deadline:
        if all(instance.in_rotation for instance in environment.instances.values()):
            return time.monotonic()
        time.sleep(0.05)
    return 0.0


def build_record(environment, callers, recovered):
    calls = [call for caller in callers for call in caller.calls]
    disconnects = {}
    for backend in environment.all_backends():
        disconnects.update(backend.disconnects)
    return Record(
        calls=calls, runs=environment.runs(),
        fault_periods=[tuple(entry) for entry in environment.fault_periods],
        drains=environment.drains, changes=environment.changes,
        arrivals={backend.name: list(backend.arrivals)
                  for backend in environment.all_backends()},
        pauses={backend.name: list(backend.pauses)
                for backend in environment.all_backends()},
        crashes=dict(environment.crashes),
        evacuations=list(environment.evacuations), cold=list(environment.cold),
        limits={name: list(named) for name, named in environment.limits.items()},
        usage=list(environment.cloud.usage),
        scale=list(environment.cloud.scale),
        exits=[end for instance in environment.instances.values()
               for end in instance.exits],
        disconnects=disconnects, bounds=BOUNDS, limit=LIMIT, recovered=recovered,
        limited_key=LIMITED_KEY,
        removed_by={key_of(index): index + 1 for index, _, _ in environment.changes},
        probe_services=PROBE_SERVICES)


def save_logs(environment, seed, faults, violations):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    for instance in environment.instances.values():
        shutil.copy(instance.gateway.log_path, folder / f"{instance.name}.log")
    (folder / "faults").write_text("\n".join(map(str, faults)), encoding="utf-8")
    (folder / "violations").write_text(json.dumps(violations, indent=1), encoding="utf-8")
    return folder


def run_seed(seed, seconds, instance_count, quiet, may_evacuate=True):
    rng = random.Random(seed)
    errors = collect_thread_errors()
    evacuations = [] if quiet or not may_evacuate else draw_evacuations(
        random.Random(f"{seed}/evacuations"), seconds, SECOND_DOMAIN)
    with SoakEnvironment(instance_count, two_domains=bool(evacuations)) as environment:
        eventually(lambda: all(instance.in_rotation
                               for instance in environment.instances.values()))
        faults = [] if quiet else draw_faults(rng, seconds, environment.names,
                                              sorted(environment.slots))
        if not quiet:
            faults += draw_notices(random.Random(f"{seed}/notices"), seconds,
                                   sorted(environment.slots))
            faults += draw_restore(random.Random(f"{seed}/restore"), seconds)
            faults += draw_process_faults(random.Random(f"{seed}/processes"), seconds,
                                          environment.names)
            faults += draw_limits(random.Random(f"{seed}/limits"), seconds,
                                  sorted(environment.slots) + SERVICE_TARGETS)
            faults += draw_copies(random.Random(f"{seed}/copies"), seconds,
                                  sorted(environment.slots) + SERVICE_TARGETS)
            faults += evacuations
        crashing = [] if quiet else draw_crashing_requests(random.Random(f"{seed}/crashing"),
                                                           seconds)
        stopped = threading.Event()
        callers = [Caller(number, seed, environment, stopped)
                   for number in range(CALLER_COUNT)]
        start = time.monotonic() + FAULT_FREE_START_S
        crashing_callers = [CrashingCaller(number, seed, environment, start, fault)
                            for fault in crashing for number in range(CRASHING_CALLERS)]
        inject_faults(environment, faults, draw_changes(rng, seconds), start)
        for caller in crashing_callers:
            caller.thread.join()
        environment.wait_until_returned()
        faults += crashing
        recovered = wait_for_recovery(environment)
        time.sleep(POST_RECOVERY_LOAD_S)
        stopped.set()
        for caller in callers:
            caller.thread.join()
        record = build_record(environment, callers + crashing_callers, recovered)
        violations = {name: found for name, check in CHECKS.items()
                      if (found := check(record))}
        if errors:
            violations["soak_itself"] = errors
        served = collections.Counter(call.status for call in record.calls)
        print(f"{'FAIL' if violations else 'ok'} seed={seed} faults={len(faults)} "
              f"answers={json.dumps(served, sort_keys=True)}", flush=True)
        for name, found in violations.items():
            print(f"VIOLATION {name} ({len(found)}): {found[0]}", flush=True)
        if violations:
            print(f"logs: {save_logs(environment, seed, faults, violations)}", flush=True)
        return not violations


def regression_seeds():
    """Reads the regression seeds; each line of the file is "SEED SECONDS INSTANCES cause". Only
    those whose cause begins with "domains" may evacuate one: the others keep the servers of one
    domain, in which they once failed."""
    lines = SEEDS_PATH.read_text(encoding="utf-8").splitlines()
    rows = [line.split(maxsplit=3) for line in lines
            if line.strip() and not line.startswith("#")]
    return [(*map(int, row[:3]), row[3].startswith("domains")) for row in rows]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", default="1",
                        help="FIRST[-LAST], or 'kept' for those in seeds.txt")
    parser.add_argument("--seconds", type=int, default=15, help="duration of the faults")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--quiet", action="store_true", help="inject no faults")
    options = parser.parse_args()
    if options.seed == "kept":
        jobs = regression_seeds()
    else:
        first, _, last = options.seed.partition("-")
        jobs = [(seed, options.seconds, options.instances, True)
                for seed in range(int(first), int(last or first) + 1)]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
            options.parallel, context, assign_port_range,
            (context.Value("i", 0), options.parallel)) as pool:
        passed = [future.result() for future in
                  [pool.submit(run_seed, *job[:3], options.quiet, job[3]) for job in jobs]]
    print(f"{passed.count(True)} passed, {passed.count(False)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
