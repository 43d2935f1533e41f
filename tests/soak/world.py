"""The processes and stand-ins of a soak, and the faults it injects into them."""

import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

import standin  # noqa: E402
from documents import (  # noqa: E402
    configuration, route, routes, services, tenant)
from gateway_process import (  # noqa: E402
    BINARY, Gateway, eventually, free_port, use_ports)

# What the gateways are told to keep; the checks use the same figures.
BOUNDS = {"apply_ms": 3000, "revoke_ms": 5000, "drain_ms": 3000, "stop_s": 8,
          "lease_ms": 3000, "usage_window_s": 2, "usage_due_s": 6,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 2000}
LIMIT = {"rate_per_s": 600, "burst": 3000}  # of tenant "limited", tokens
RESTART_PAUSE_S = 0.3  # from a process' end to its next start
LAPSE_S = 2.0  # after which a crashed server's registration lapses
EVENTS = 6  # of a stream
EVENT_PAUSE_S = 0.05
MAX_CONNS = 100  # of a server; beyond what the callers need
SLOTS = 8  # of a model server
STORE_DELAY_S = 0.3  # within what a call to the store waits, 0.9 s
ANSWERS_LOST = 4  # transactions of the store in a row
AWAIT_READY_S = 5.0  # a started process is ready within a second or two
READINESS_PAUSE_S = 0.25  # between two questions; two misses end the rotation
PROBE_SERVICES = 3
LIMITED_KEY = "limited-key"


def key_of(version):
    return f"key-{version}"


def document(index):
    """The configuration of a version. Each takes one key away and sends the
    probe route to another service."""
    return configuration(
        version=1 + 3 * index,
        route_list=[
            *routes(),
            route("probe", "/probe/", "safe", f"probe{index % PROBE_SERVICES}",
                  public=True)],
        services=[
            *services(max_conns=MAX_CONNS, slots=SLOTS),
            *({"name": f"probe{n}", "max_conns": MAX_CONNS}
              for n in range(PROBE_SERVICES))],
        tenants=[tenant("main", key_of(index), key_of(index + 1)),
                 tenant("limited", LIMITED_KEY, **LIMIT)])


class Machine:
    """A gateway's machine. Its process is started again when it has ended."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.gateway = Gateway(world.store, world.cloud, name=name, bounds=BOUNDS,
                               port=world.caller_ports[name],
                               store_address=world.links[f"store-{name}"])
        self.front = world.links[f"callers-{name}"]
        self.boot = 0
        self.expected_end = False
        self.own_ends = []  # exit codes of processes that nobody ended
        self.in_rotation = False
        self.closing = False

    def send(self, number):
        if self.gateway.child.poll() is None:
            self.expected_end |= number in (signal.SIGTERM, signal.SIGKILL)
            self.gateway.child.send_signal(number)

    def supervise(self):
        """Restarts the process and asks for its readiness, as a platform does."""
        misses = 0
        while not self.closing:
            code = self.gateway.child.poll()
            if code is not None:
                if not self.expected_end:
                    self.own_ends.append(code)
                time.sleep(RESTART_PAUSE_S)
                if self.closing:
                    return
                self.boot += 1
                self.expected_end = False
                self.gateway.start()
            misses = 0 if self.gateway.ready() else misses + 1
            self.in_rotation = misses < 2
            time.sleep(READINESS_PAUSE_S)


class World:
    """Everything on loopback. Use as a context manager."""

    def __init__(self, instances, plains=4, models=3):
        self.store = standin.Store()
        self.cloud = standin.Cloud()
        self.lock = threading.Lock()
        self.backends = {}  # slot: the stand-in that serves there now
        self.ended = []  # stand-ins that are gone
        self.generation = 0
        self.troubles = []  # (target, kind, start, end)
        self.drains = []  # (server, time of the store's acknowledgement)
        self.changes = []  # (index, time begun, time acknowledged)
        self.names = [f"gw{n}" for n in range(instances)]
        self.slots = {f"plain{n}": "plain" for n in range(plains)}
        self.slots.update({f"model{n}": "model" for n in range(models)})
        self.slot_locks = {slot: threading.Lock() for slot in self.slots}
        self.forwarder = None
        self.machines = {}
        self.threads = []

    def _start(self):
        self._start_links()
        for slot in self.slots:
            self._add_backend(slot)
        for n in range(PROBE_SERVICES):
            backend = standin.Backend(f"probe{n}")
            self.backends[f"probe{n}"] = backend
            self.store.put("servers", backend.name, backend.entry(f"probe{n}"))
        self.change_configuration()
        for name in self.names:
            self.machines[name] = Machine(self, name)
        for machine in self.machines.values():
            thread = threading.Thread(target=machine.supervise, daemon=True)
            thread.start()
            self.threads.append(thread)

    # Links ---------------------------------------------------------------
    def _start_links(self):
        self.ports = {slot: free_port() for slot in self.slots}
        self.caller_ports = {name: free_port() for name in self.names}
        targets = {f"store-{name}": self.store.server.address for name in self.names}
        targets.update({f"callers-{name}": f"127.0.0.1:{port}"
                        for name, port in self.caller_ports.items()})
        targets.update({slot: f"127.0.0.1:{port}" for slot, port in self.ports.items()})
        self.links = {name: f"127.0.0.1:{free_port()}" for name in targets}
        self.control = free_port()
        listed = ",".join(f"{name}={self.links[name]}={target}"
                          for name, target in targets.items())
        self.forwarder = subprocess.Popen(
            [BINARY.parent / "fake_forwarder", "--port", str(self.control),
             "--links", listed], stdout=subprocess.DEVNULL)
        eventually(lambda: self.set_links({}))

    def set_links(self, modes):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control}/test/links",
            data=json.dumps(modes).encode(), method="POST")
        try:
            with urllib.request.urlopen(request, timeout=10) as answer:
                return answer.status == 200
        except OSError:
            return False

    # Backend servers -----------------------------------------------------
    def _add_backend(self, slot):
        """Starts a server at the slot's address under a name of its own."""
        self.generation += 1
        backend = standin.Backend(f"{slot}-{self.generation}", events=EVENTS,
                                  event_pause_s=EVENT_PAUSE_S, port=self.ports[slot])
        with self.lock:
            self.backends[slot] = backend
        self.store.put("servers", backend.name, self._entry(slot))

    def _entry(self, slot, **fields):
        return self.backends[slot].entry(self.slots[slot], address=self.links[slot],
                                         **fields)

    def _end_backend(self, slot, crash):
        backend = self.backends[slot]
        with self.lock:
            self.ended.append(backend)
        backend.server.kill() if crash else backend.server.stop()
        return backend

    def runs(self):
        """All requests that backend servers began, by id."""
        found = {}
        with self.lock:
            all_backends = self.ended + list(self.backends.values())
        for backend in dict.fromkeys(all_backends):
            for run in list(backend.runs):
                request = run["headers"]["Cowslipknot-Request-Id"]
                found.setdefault(request, []).append(dict(run, server=backend.name))
        return found

    # The operator --------------------------------------------------------
    def change_configuration(self):
        """Writes the next configuration once the store takes it."""
        while self.store.down or self.store.silent:
            time.sleep(0.02)
        index = len(self.changes)
        begun = time.monotonic()
        self.store.put("op", "config", document(index))
        self.changes.append((index, begun, time.monotonic()))

    def current_index(self):
        return len(self.changes) - 1

    # Faults --------------------------------------------------------------
    def apply(self, fault):
        """Injects a fault and takes it back; returns when it is over."""
        start = time.monotonic()
        entry = [fault.target, fault.kind, start, float("inf")]
        self.troubles.append(entry)
        if fault.target in self.machines:
            self._disturb_machine(self.machines[fault.target], fault)
        elif fault.target in self.slots:
            self._disturb_backend(fault.target, fault)
        else:
            self._disturb_world(fault)
        entry[3] = time.monotonic()

    def _disturb_machine(self, machine, fault):
        kind = fault.kind
        if kind == "stop":
            self._stop(machine)
        elif kind == "kill":
            machine.send(signal.SIGKILL)
            self._await_ready(machine)
        elif kind == "pause":
            child = machine.gateway.child
            machine.send(signal.SIGSTOP)
            time.sleep(fault.for_s)
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
        elif kind == "reload":
            machine.send(signal.SIGHUP)
        elif kind == "bad_settings":
            path = machine.gateway.settings
            text = path.read_text(encoding="utf-8")
            path.write_text("[node]\nname = 7\n", encoding="utf-8")
            machine.send(signal.SIGHUP)
            time.sleep(0.3)
            path.write_text(text, encoding="utf-8")
            machine.send(signal.SIGHUP)
        else:
            side, mode = kind.split("_", 1)
            self._disturb_link(f"{side}-{machine.name}", mode, fault.for_s)

    def _stop(self, machine):
        """SIGTERM, and SIGKILL after the time that the process has."""
        child = machine.gateway.child
        machine.send(signal.SIGTERM)
        try:
            child.wait(timeout=BOUNDS["stop_s"])
        except subprocess.TimeoutExpired:
            child.send_signal(signal.SIGKILL)
            child.wait()
        self._await_ready(machine)

    def _await_ready(self, machine):
        deadline = time.monotonic() + AWAIT_READY_S
        while not machine.gateway.ready() and time.monotonic() < deadline:
            time.sleep(0.1)

    def _disturb_link(self, link, mode, for_s):
        self.set_links({link: mode})
        if mode not in ("silent", "reset"):
            time.sleep(for_s)
            self.set_links({link: "pass"})

    def _disturb_backend(self, slot, fault):
        kind = fault.kind
        if kind.startswith("link_"):
            self._disturb_link(slot, kind.removeprefix("link_"), fault.for_s)
        elif kind == "misbehave":
            odd = ["reject", "crash", "reset", "foreign", "cut", "fail"]
            count = 1 + int(fault.for_s)
            first = int(fault.at_s * 1000)
            self.backends[slot].behave.extend(
                odd[(first + n) % len(odd)] for n in range(count))
        else:
            self._replace_backend(slot, kind)

    def _replace_backend(self, slot, kind):
        with self.slot_locks[slot]:
            self._replace_locked(slot, kind)

    def _replace_locked(self, slot, kind):
        name = self.backends[slot].name
        if kind == "drain":
            self.store.put("servers", name, self._entry(slot, state="draining"))
            self.drains.append((name, time.monotonic()))
            time.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
            self.store.drop("servers", name)
            self._end_backend(slot, crash=False)
        elif kind == "crash":
            self._end_backend(slot, crash=True)
            time.sleep(LAPSE_S)
            self.store.drop("servers", name)
        else:  # born again at once, at the same address
            self._end_backend(slot, crash=True)
            self.store.drop("servers", name)
        self._add_backend(slot)

    def _disturb_world(self, fault):
        kind = fault.kind
        if kind == "store_down":
            self.store.down = True
            time.sleep(fault.for_s)
            self.store.down = False
        elif kind == "store_stalled":
            self.store.silent = True
            time.sleep(fault.for_s)
            self.store.silent = False
        elif kind == "store_slow":
            self.store.delay_s = STORE_DELAY_S
            time.sleep(fault.for_s)
            self.store.delay_s = 0.0
        elif kind == "store_forgets":
            self.store.forget_history()
        elif kind == "store_loses_answers":
            self.store.lose_answers = ANSWERS_LOST
            time.sleep(fault.for_s)
            self.store.lose_answers = 0
        elif kind == "cloud_down":
            self.cloud.down = True
            time.sleep(fault.for_s)
            self.cloud.down = False
        elif kind == "kill_all":
            for machine in self.machines.values():
                machine.send(signal.SIGKILL)
            for machine in self.machines.values():
                self._await_ready(machine)
        else:  # a wave of planned stops
            chosen = list(self.machines.values())[::2]
            stops = [threading.Thread(target=self._stop, args=(machine,))
                     for machine in chosen]
            for stop in stops:
                stop.start()
            for stop in stops:
                stop.join()

    # The end -------------------------------------------------------------
    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()  # leaves no process behind
            raise
        return self

    def __exit__(self, *unused):
        for machine in self.machines.values():
            machine.closing = True
        for thread in self.threads:
            thread.join()
        for machine in self.machines.values():
            machine.gateway.child.send_signal(signal.SIGCONT)
            machine.gateway.stop()
        if self.forwarder is not None:
            self.forwarder.terminate()
            self.forwarder.wait()
