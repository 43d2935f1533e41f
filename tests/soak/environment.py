"""The processes and fakes of a soak run, and the injection of faults into them."""

import collections
import contextlib
import json
import random
import signal
import subprocess
import threading
import time
import urllib.request

from domain_checks import COLD_RATE, WARMUP_S
from process_faults import ProcessFaults
from processes import GatewayInstance, SupervisedGateway, measure_main_cpu_s

import fakes
from configuration_documents import configuration, route, routes, services, tenant
from gateway_process import (  # noqa: E402
    BINARY, PORT_OFFSET, eventually, free_port, set_port_range)

# Bounds in the settings of the gateways, also used by the checks.
BOUNDS = {"apply_ms": 3000, "evacuate_ms": 3000, "revoke_ms": 5000, "drain_ms": 3000, "stop_s": 8,
          "lease_ms": 3000, "usage_window_s": 2, "usage_due_s": 6,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 2000}
LIMIT = {"rate_per_s": 600, "burst": 3000}  # tokens, of tenant "limited"
RESTORE_REWRITE_S = 0.5  # until the operator and the servers have written theirs again
REGISTRATION_EXPIRY_S = 2.0  # time until a crashed server's registration is removed
EVENTS_PER_STREAM = 6
EVENT_INTERVAL_S = 0.05  # between the events of a stream
MAX_CONNS = 100  # per server; more than the callers need
MODEL_SERVER_SLOTS = 8
STORE_DELAY_S = 0.3  # below the 0.9 s timeout of a store call
LOST_ANSWER_COUNT = 4  # consecutive store transactions that stay unanswered
PROBE_SERVICES = 3
NAMED_LIMITS = (0.5, 5.0)  # requests a second that a server names
NAMED_LIMIT_INTERVAL_S = (2.0, 6.0)  # between two changes of it
MAX_COPIED_REFUSALS = 4  # of a server, in series
REFUSAL_STATUSES = (400, 421, 429, 503, 503, 503)
COPY_TIMES = ("at_once", "idle", "late", "late", "split")
IDLE_LIMITS_S = (4.0, 1.0, 2.5)  # of callers' connections, by configuration in turn
LIMITED_KEY = "limited-key"
REPEATING_KEY = "repeating-key"  # never revoked
SECOND_DOMAIN = "z2"  # of every second server, in runs with evacuations
CRASHED_SERVER_RETURN_S = 2.0  # time until a server that a request has crashed is back


def key_of(version):
    return f"key-{version}"


def crashing_body(service):
    """The body of the requests that crash each server of a service."""
    return f"crashes {service}".encode()


def idle_limit_s(index):
    return IDLE_LIMITS_S[index % len(IDLE_LIMITS_S)]


def configuration_at(index, cold=False):
    """The configuration with the given index. Each one revokes a key and points the
    probe route to another service. If servers are `cold` after their start, it says so."""
    warmup = {"warmup_s": WARMUP_S, "warmup_per_s": COLD_RATE} if cold else {}
    return configuration(
        version=1 + 3 * index,
        limits={"max_header_bytes": 8192, "max_body_bytes": 100000,
                "header_timeout_ms": 1000,
                "idle_timeout_ms": int(idle_limit_s(index) * 1000)},
        route_list=[
            *routes(),
            route("probe", "/probe/", "safe", f"probe{index % PROBE_SERVICES}",
                  public=True)],
        services=[
            *(service | warmup for service in services(
                max_conns=MAX_CONNS, slots=MODEL_SERVER_SLOTS)),
            *({"name": f"probe{n}", "max_conns": MAX_CONNS}
              for n in range(PROBE_SERVICES))],
        tenants=[tenant("main", key_of(index), key_of(index + 1)),
                 tenant("repeating", REPEATING_KEY),
                 tenant("limited", LIMITED_KEY, **LIMIT)])


class SoakEnvironment:
    """All processes and fakes of a soak run, on loopback. Use as a context manager."""

    def __init__(self, instance_count, plains=4, models=3, two_domains=False):
        """With `two_domains`, every second server is in the second one, and servers are cold
        after their start."""
        self.two_domains = two_domains
        self.evacuated = set()  # domains
        self.evacuations = []  # (servers, time acknowledged, time taken back)
        self.cold = []  # (server, time from which it is cold)
        self.store = fakes.Store()
        self.cloud = fakes.Cloud()
        self.lock = threading.Lock()
        self.rows_lock = threading.RLock()  # writes of the operator and the servers
        self.registrations = {}  # server: its registration, as last written
        self.backends = {}  # slot: the fake server that currently runs there
        self.ended_backends = []  # fake servers that have stopped
        self.generation = 0
        self.fault_periods = []  # (target, kind, start, end)
        self.drains = []  # (server, time at which the store acknowledged it)
        self.crashes = collections.defaultdict(list)  # body: [time at which it crashed a server]
        self.returns = []  # threads that start crashed servers anew
        self.limits = collections.defaultdict(list)  # server: [(time, limit named, or 0)]
        self.changes = []  # (index, time begun, time acknowledged)
        self.names = [f"gw{n}" for n in range(instance_count)]
        self.slots = {f"plain{n}": "plain" for n in range(plains)}
        self.slots.update({f"model{n}": "model" for n in range(models)})
        self.slot_locks = {slot: threading.Lock() for slot in self.slots}
        self.forwarder = None
        self.instances = {}
        self.process_faults = ProcessFaults(BOUNDS, instance_count, self.fault_period)
        self.threads = []

    def _start(self):
        self._start_links()
        for slot in self.slots:
            self._add_backend(slot)
        for n in range(PROBE_SERVICES):
            backend = fakes.Backend(f"probe{n}")
            self.backends[f"probe{n}"] = backend
            self._write_registration(backend.name, backend.registration(f"probe{n}"))
        self.change_configuration()
        main_cpu_s = measure_main_cpu_s()
        for name in self.names:
            gateway = SupervisedGateway(
                self.store, self.cloud, name=name, bounds=BOUNDS, port=self.caller_ports[name],
                store_address=self.links[f"store-{name}"], main_cpu_s=main_cpu_s)
            self.instances[name] = GatewayInstance(name, gateway, self.links[f"callers-{name}"])
        for instance in self.instances.values():
            thread = threading.Thread(target=instance.supervise, daemon=True)
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
        links_argument = ",".join(f"{name}={self.links[name]}={target}"
                                  for name, target in targets.items())
        self.forwarder = subprocess.Popen(
            [BINARY.parent / "fake_forwarder", "--port", str(self.control),
             "--links", links_argument], stdout=subprocess.DEVNULL)
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
        """Starts a server with a new name at the slot's address."""
        self.generation += 1
        backend = fakes.Backend(f"{slot}-{self.generation}", events=EVENTS_PER_STREAM,
                                event_pause_s=EVENT_INTERVAL_S, port=self.ports[slot])
        backend.crashes_on_body = crashing_body(self.slots[slot])
        backend.on_crash = lambda _: self._record_crash(slot, backend)
        with self.lock:
            self.backends[slot] = backend
            self.set_links({slot: "up"})
        if self.two_domains and self.changes:  # not before the load begins
            self._register_cold(slot)
        else:
            self._write_registration(backend.name, self._registration(slot))

    def _write_registration(self, name, registration):
        """Writes a server's registration, or deletes it if there is none."""
        with self.rows_lock:
            self.registrations[name] = registration
            if registration:
                self.store.put("servers", name, registration)
            else:
                self.store.delete("servers", name)

    def _registration(self, slot, **fields):
        return self.backends[slot].registration(
            self.slots[slot], zone=self._domain_of(slot), address=self.links[slot], **fields)

    def _domain_of(self, slot):
        return SECOND_DOMAIN if self.two_domains and int(slot[-1]) % 2 else "z1"

    def _register_cold(self, slot):
        self.cold.append((self.backends[slot].name, time.monotonic()))
        self._write_registration(self.backends[slot].name, self._registration(
            slot, warmup_left_ms=int(WARMUP_S * 1000)))

    def _evacuate(self, fault):
        """The operator evacuates a domain; its servers are cold when it returns."""
        slots = [slot for slot in self.slots if self._domain_of(slot) == fault.target]
        self._write_order(fault.target, evacuated=True)
        acknowledged = time.monotonic()
        time.sleep(fault.for_s)
        taken_back = time.monotonic()
        servers = {backend.name for backend in self.all_backends()
                   if backend.name.rsplit("-", 1)[0] in slots}
        self.evacuations.append((tuple(sorted(servers)), acknowledged, taken_back))
        for slot in slots:
            with self.slot_locks[slot]:
                if self.registrations.get(self.backends[slot].name):
                    self._register_cold(slot)
        self._write_order(fault.target, evacuated=False)

    def _write_order(self, domain, evacuated):
        """Writes or removes the order to evacuate a domain once the store is available."""
        while self.store.down or self.store.silent:
            time.sleep(0.02)
        with self.rows_lock:
            if evacuated:
                self.evacuated.add(domain)
            else:
                self.evacuated.discard(domain)
            self._put_orders()

    def _put_orders(self):
        if not self.two_domains:
            return
        key = f"evacuate/{SECOND_DOMAIN}"
        if SECOND_DOMAIN in self.evacuated:
            self.store.put("op", key, {})
        elif key in self.store.keys("op"):
            self.store.delete("op", key)

    def _stop_backend(self, slot, crash):
        backend = self.backends[slot]
        with self.lock:
            self.ended_backends.append(backend)
        backend.server.kill() if crash else backend.server.stop()
        return backend

    def _record_crash(self, slot, backend):
        """A server ends with the request that it begins to run; its address refuses connections,
        by which gateways tell a crash from a broken link."""
        with self.lock:
            if self.backends[slot] is not backend or backend in self.ended_backends:
                return  # it has already ended
            self.ended_backends.append(backend)
            self.set_links({slot: "down"})
            self.crashes[backend.crashes_on_body].append(time.monotonic())
            thread = threading.Thread(target=self._return_crashed, args=(slot, backend))
            self.returns.append(thread)
            thread.start()

    def _return_crashed(self, slot, backend):
        """Starts a crashed server anew, unless another fault has replaced it."""
        begun = min(run["time"] for run in backend.runs if run["body"] == backend.crashes_on_body)
        with self.fault_period(slot, "request_crash", begun):
            time.sleep(CRASHED_SERVER_RETURN_S)
            with self.slot_locks[slot]:
                if self.backends[slot] is backend:
                    self._write_registration(backend.name, None)
                    self._add_backend(slot)

    def wait_until_returned(self):
        """Waits until the servers that requests have crashed are back."""
        with self.lock:
            returns = list(self.returns)
        for thread in returns:
            thread.join()

    def all_backends(self):
        """Returns the fake servers that run or have stopped."""
        with self.lock:
            return list(dict.fromkeys(self.ended_backends + list(self.backends.values())))

    def runs(self):
        """Returns the executions of each request at the backend servers, by request id."""
        executions = {}
        for backend in self.all_backends():
            for run in list(backend.runs):
                request = run["headers"]["Cowslipknot-Request-Id"]
                executions.setdefault(request, []).append(dict(run, server=backend.name))
        return executions

    # Configuration -------------------------------------------------------
    def change_configuration(self):
        """Writes the next configuration once the store is available."""
        while self.store.down or self.store.silent:
            time.sleep(0.02)
        with self.rows_lock:
            index = len(self.changes)
            begun = time.monotonic()
            self.store.put("op", "config", configuration_at(index, self.two_domains))
            self.changes.append((index, begun, time.monotonic()))

    def current_index(self):
        return len(self.changes) - 1

    # Faults --------------------------------------------------------------
    @contextlib.contextmanager
    def fault_period(self, target, kind, begun=None):
        period = [target, kind, begun or time.monotonic(), float("inf")]
        self.fault_periods.append(period)
        yield
        period[3] = time.monotonic()

    def apply(self, fault):
        """Injects a fault and reverts it; returns when it has ended."""
        with self.fault_period(fault.target, fault.kind):
            if fault.target in self.instances:
                self._inject_instance_fault(self.instances[fault.target], fault)
            elif fault.kind == "evacuated":
                self._evacuate(fault)
            elif fault.kind == "copied_refusals":
                self._copy_refusals(fault)
            elif fault.kind == "names_limit":
                self._name_limits(fault)
            elif fault.target in self.slots:
                self._inject_backend_fault(fault.target, fault)
            else:
                self._inject_environment_fault(fault)

    def _inject_instance_fault(self, instance, fault):
        if fault.kind in self.process_faults.by_kind:
            self.process_faults.inject(instance, fault)
        else:
            side, mode = fault.kind.split("_", 1)
            self._inject_link_fault(f"{side}-{instance.name}", mode, fault.for_s)

    def _inject_link_fault(self, link, mode, for_s):
        self.set_links({link: mode})
        if mode not in ("silent", "reset"):
            time.sleep(for_s)
            self.set_links({link: "pass"})

    def _inject_backend_fault(self, slot, fault):
        kind = fault.kind
        if kind.startswith("link_"):
            self._inject_link_fault(slot, kind.removeprefix("link_"), fault.for_s)
        elif kind == "misbehave":
            fault_names = ["reject", "crash", "reset", "foreign", "cut", "fail"]
            count = 1 + int(fault.for_s)
            first = int(fault.at_s * 1000)
            self.backends[slot].pending_faults.extend(
                fault_names[(first + n) % len(fault_names)] for n in range(count))
        elif kind == "wants_none":
            self.backends[slot].wants_none_until = time.monotonic() + fault.for_s
            time.sleep(fault.for_s)
        elif kind == "silent":
            self.backends[slot].pending_faults.extend(["silent"] * (1 + int(fault.for_s)))
        else:
            self._replace_backend(slot, kind)

    @staticmethod
    def service_of(kind):
        """The service that serves a kind of request."""
        return next(route["service"] for route in routes() if route["name"] == kind)

    def _slots_of(self, target):
        """The slots that are meant by a slot or a service."""
        return [slot for slot, service in self.slots.items() if target in (slot, service)]

    def _copy_refusals(self, fault):
        """The next requests at the target, a slot or all slots of a service, are refused, each
        more than once."""
        rng = random.Random(fault.at_s)
        for slot in self._slots_of(fault.target):
            self.backends[slot].pending_faults.extend(
                fakes.CopiedRefusal(rng.choice(REFUSAL_STATUSES), rng.choice(COPY_TIMES),
                                    rng.choice((1, 2)))
                for _ in range(rng.randint(1, MAX_COPIED_REFUSALS)))

    def _name_limits(self, fault):
        """The target, a slot or all slots of a service, names limits that change."""
        rng = random.Random(fault.at_s)
        slots = self._slots_of(fault.target)
        end = time.monotonic() + fault.for_s
        while (left_s := end - time.monotonic()) > 0:
            for slot in slots:
                self._name_limit(slot, NAMED_LIMITS[0] * (
                    NAMED_LIMITS[1] / NAMED_LIMITS[0]) ** rng.random())
            time.sleep(min(left_s, rng.uniform(*NAMED_LIMIT_INTERVAL_S)))
        for slot in slots:
            self._name_limit(slot, 0)

    def _name_limit(self, slot, limit):
        with self.lock:
            backend = self.backends[slot]
            self.limits[backend.name].append((time.monotonic(), limit))
            backend.limit = f"{limit:.3f}" if limit else ""

    def _replace_backend(self, slot, kind):
        with self.slot_locks[slot]:
            self._replace_locked(slot, kind)

    def _replace_locked(self, slot, kind):
        name = self.backends[slot].name
        if kind == "drain":
            self._write_registration(name, self._registration(slot, state="draining"))
            self.drains.append((name, time.monotonic()))
            time.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
            self._write_registration(name, None)
            self._stop_backend(slot, crash=False)
        elif kind == "says_leaving":  # the store still lists it as ready
            self.backends[slot].leaving = True
            time.sleep(BOUNDS["drain_ms"] / 1000 + 1.5)
            self._write_registration(name, None)
            self._stop_backend(slot, crash=False)
        elif kind == "crash":
            self._stop_backend(slot, crash=True)
            time.sleep(REGISTRATION_EXPIRY_S)
            self._write_registration(name, None)
        else:  # "reborn": replaced at once at the same address
            self._stop_backend(slot, crash=True)
            self._write_registration(name, None)
        self._add_backend(slot)

    def _restore_store(self, copy):
        self.store.restore(copy)
        time.sleep(RESTORE_REWRITE_S)
        with self.rows_lock:
            self.store.put("op", "config",
                           configuration_at(self.current_index(), self.two_domains))
            self._put_orders()
            for name, registration in self.registrations.items():
                self._write_registration(name, registration)

    def _inject_environment_fault(self, fault):
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
        elif kind == "store_restored":
            copy = self.store.copy()
            time.sleep(fault.for_s)
            self._restore_store(copy)
        elif kind == "store_forgets":
            self.store.compact_history()
        elif kind == "store_loses_answers":
            self.store.lose_answers = LOST_ANSWER_COUNT
            time.sleep(fault.for_s)
            self.store.lose_answers = 0
        elif kind == "cloud_down":
            self.cloud.down = True
            time.sleep(fault.for_s)
            self.cloud.down = False
        elif kind == "kill_all":
            for instance in self.instances.values():
                instance.send_signal(signal.SIGKILL)
            for instance in self.instances.values():
                instance.wait_until_ready()
        else:  # "stop_half": planned stops of half of the instances
            chosen = list(self.instances.values())[::2]
            stops = [threading.Thread(target=self.process_faults.stop, args=(instance,))
                     for instance in chosen]
            for stop in stops:
                stop.start()
            for stop in stops:
                stop.join()

    # Start and stop ------------------------------------------------------
    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()  # stops the processes that have started
            raise
        return self

    def __exit__(self, *unused):
        for instance in self.instances.values():
            instance.stopping = True
        for thread in self.threads:
            thread.join()
        for instance in self.instances.values():
            instance.gateway.child.send_signal(signal.SIGCONT)
            instance.gateway.stop()
        if self.forwarder is not None:
            self.forwarder.terminate()
            self.forwarder.wait()
