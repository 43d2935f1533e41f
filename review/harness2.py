"""What the scripts of cases 6 and later share: gateways, started with the deploy file's command,
before the project's stand-ins of the store and the cloud (tests/platform/fakes.py), and small
stand-ins of backend servers and callers that follow the operators' pages.

Everything listens on 127.0.0.1, on ports that the system chooses. Processes are ended by id.
"""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "platform"))
import fakes  # noqa: E402

BINARY = ROOT / "target" / "cowslipknot"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_MS = 1200
# The figures of sites/svs-router, in the words of deploy/settings.toml.tmpl.
BOUNDS = {
    "apply_ms": 2000, "revoke_ms": 5000, "drain_ms": 2000, "heartbeat_ms": HEARTBEAT_MS,
    "stop_s": 8, "lease_ms": 3000, "usage_window_s": 5, "usage_due_s": 10,
    "retry_ratio": 0.2, "retry_slack": 54, "exposure_share": 0.1, "exposure_slack": 50,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 140000}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be brought about; the rule was not tested."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    """Returns ports that are free now."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Gateway:
    """One instance. Keeps its addresses when its process is started again."""

    def __init__(self, folder, name, store_address, cloud_address, domain="z1",
                 memory_mb=260, descriptors=4100, bounds=None):
        self.name = name
        callers, readiness, metrics, peers = free_ports(4)
        self.callers = ("127.0.0.1", callers)
        self.readiness = ("127.0.0.1", readiness)
        self.metrics = ("127.0.0.1", metrics)
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        figures = "\n".join(f"{key} = {value}" for key, value
                            in {**BOUNDS, **(bounds or {})}.items())
        self.settings.write_text(f"""[node]
name = "{name}"
domain = "{domain}"
[listen]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
metrics = "127.0.0.1:{metrics}"
peers = "127.0.0.1:{peers}"
[store]
address = "{store_address}"
[cloud]
address = "{cloud_address}"
reports_usage = true
orders_capacity = true
[limits]
memory_mb = {memory_mb}
descriptors = {descriptors}
[bounds]
{figures}
""", encoding="utf-8")
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [BINARY, "gateway", "--config", self.settings], cwd=ROOT, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def send_signal(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.readiness, timeout=1) as connection:
                connection.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n"
                                   b"Connection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > deadline or self.child.poll() is not None:
                raise CannotRun(f"{self.name} is not ready")
            time.sleep(0.02)


class Installation:
    """A store, a cloud and gateways, which are ended together."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="cowslipknot-review-")
        self.store = fakes.Store()
        self.cloud = fakes.Cloud()
        self.gateways = []
        self.servers = []

    def __enter__(self):
        if not BINARY.exists():
            raise CannotRun("target/cowslipknot is missing")
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.stop()
        self.store.server.stop()
        self.cloud.server.stop()
        self.folder.cleanup()

    def add_gateway(self, name, **options):
        gateway = Gateway(self.folder.name, name, self.store.server.address,
                          self.cloud.server.address, **options)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def add_server(self, server):
        self.servers.append(server)
        return server


def run_case(folder, case):
    """Runs a case with a record; returns the exit code of its script."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # of the script's time limit
    record = Record(folder)
    record.line(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        with Installation(record) as installation:
            code = case(installation, record)
    except (CannotRun, OSError) as error:
        record.line(f"the case could not run: {error}")
        print(f"could not run: {error}")
        return NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken",
                 NOT_RUN: "the case could not run"}[code])
    return code
