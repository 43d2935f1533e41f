"""Randomized soak of gateway processes under faults: soak.py --seed FIRST[-LAST].

A seed draws faults and load; processes are real, so that two runs of one seed
differ in their interleavings. Prints one line a seed, each broken promise, and
where the logs of a failed seed are.
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

from callers import CALLERS, Caller
from checks import CHECKS, RECOVERY_S, Record
from schedule import draw_changes, draw_faults
from world import (
    BOUNDS, LIMIT, LIMITED_KEY, PROBE_SERVICES, World, eventually, key_of, use_ports)

SERVING_S = 3.0  # of load after the recovery
START_S = 4.0  # before the first fault, so that bounds hold from it on
FIRST_PORT = 26000  # above those of the other tests
LAST_PORT = 31999  # below the ephemeral range
SEEDS = pathlib.Path(__file__).parent / "seeds.txt"


def take_ports(counter, processes):
    """Gives each process that runs seeds ports of its own."""
    ports = (LAST_PORT - FIRST_PORT + 1) // processes
    with counter.get_lock():
        first = FIRST_PORT + counter.value * ports
        counter.value += 1
    use_ports(first, first + ports - 1)


def wait_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def collect_thread_errors():
    """Errors of the soak's own threads from now on. With one, a fault or a
    caller may be missing, so that the seed can't pass."""
    errors = []
    threading.excepthook = lambda raised: errors.append(
        "".join(traceback.format_exception(raised.exc_value)))
    return errors


def inject(world, faults, changes, start):
    """Starts each fault and change at its time; returns when all are over."""
    def change_at(at_s):
        wait_until(start + at_s)
        world.change_configuration()

    def disturb_at(fault):
        wait_until(start + fault.at_s)
        world.apply(fault)

    threads = [threading.Thread(target=disturb_at, args=(fault,)) for fault in faults]
    threads += [threading.Thread(target=change_at, args=(at_s,)) for at_s in changes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def await_recovery(world):
    """The time at which all gateways were ready; 0 when some never were."""
    deadline = time.monotonic() + RECOVERY_S
    while time.monotonic() < deadline:
        if all(machine.in_rotation for machine in world.machines.values()):
            return time.monotonic()
        time.sleep(0.05)
    return 0.0


def record_of(world, callers, recovered):
    calls = [call for caller in callers for call in caller.calls]
    backends = world.ended + list(world.backends.values())
    gone = {}
    for backend in backends:
        gone.update(backend.gone)
    return Record(
        calls=calls, runs=world.runs(),
        troubles=[tuple(entry) for entry in world.troubles], drains=world.drains,
        changes=world.changes, usage=list(world.cloud.usage),
        scale=list(world.cloud.scale),
        own_ends=[(machine.name, code) for machine in world.machines.values()
                  for code in machine.own_ends],
        gone=gone, bounds=BOUNDS, limit=LIMIT, recovered=recovered,
        limited_key=LIMITED_KEY,
        removed_by={key_of(index): index + 1 for index, _, _ in world.changes},
        probe_services=PROBE_SERVICES)


def keep_logs(world, seed, faults):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    for machine in world.machines.values():
        shutil.copy(machine.gateway.log_path, folder / f"{machine.name}.log")
    (folder / "faults").write_text("\n".join(map(str, faults)), encoding="utf-8")
    return folder


def run_seed(seed, seconds, instances, quiet):
    draw = random.Random(seed)
    errors = collect_thread_errors()
    with World(instances) as world:
        eventually(lambda: all(machine.in_rotation
                               for machine in world.machines.values()))
        faults = [] if quiet else draw_faults(draw, seconds, world.names,
                                              sorted(world.slots))
        stopped = threading.Event()
        callers = [Caller(number, seed, world, stopped) for number in range(CALLERS)]
        inject(world, faults, draw_changes(draw, seconds), time.monotonic() + START_S)
        recovered = await_recovery(world)
        time.sleep(SERVING_S)
        stopped.set()
        for caller in callers:
            caller.thread.join()
        record = record_of(world, callers, recovered)
        broken = {name: found for name, check in CHECKS.items()
                  if (found := check(record))}
        if errors:
            broken["soak_itself"] = errors
        served = collections.Counter(call.status for call in record.calls)
        print(f"{'FAIL' if broken else 'ok'} seed={seed} faults={len(faults)} "
              f"answers={json.dumps(served, sort_keys=True)}", flush=True)
        for name, found in broken.items():
            print(f"BROKEN {name} ({len(found)}): {found[0]}", flush=True)
        if broken:
            print(f"logs: {keep_logs(world, seed, faults)}", flush=True)
        return not broken


def kept_seeds():
    """Seeds that failed once: "SEED SECONDS INSTANCES cause" a line."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    rows = [line.split(maxsplit=3) for line in lines
            if line.strip() and not line.startswith("#")]
    return [tuple(int(field) for field in row[:3]) for row in rows]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", default="1", help="FIRST[-LAST], or 'kept'")
    parser.add_argument("--seconds", type=int, default=15, help="of faults")
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--parallel", type=int, default=2)
    parser.add_argument("--quiet", action="store_true", help="without faults")
    options = parser.parse_args()
    if options.seed == "kept":
        jobs = kept_seeds()
    else:
        first, _, last = options.seed.partition("-")
        jobs = [(seed, options.seconds, options.instances)
                for seed in range(int(first), int(last or first) + 1)]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
            options.parallel, context, take_ports,
            (context.Value("i", 0), options.parallel)) as pool:
        passed = [future.result() for future in
                  [pool.submit(run_seed, *job, options.quiet) for job in jobs]]
    print(f"{passed.count(True)} passed, {passed.count(False)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
