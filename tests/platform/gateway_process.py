"""Runs a gateway process on loopback against fakes of the platform's services."""

import atexit
import fcntl
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / os.environ.get("BUILD_DIR", "build") / "cowslipknot"
# Keeps two runs of the tests on one machine apart; at most 0, at least -18000.
PORT_OFFSET = int(os.environ.get("TEST_PORT_OFFSET", "0"))
FIRST_PORT = 20000 + PORT_OFFSET  # below the ephemeral range and the ports of the soak
LAST_PORT = 25999 + PORT_OFFSET
WAIT_TIMEOUT_S = 20

_ports = {"first": FIRST_PORT, "last": LAST_PORT,
          "next": FIRST_PORT + os.getpid() % 900}


_reserved = {}  # port: file whose lock keeps other test processes from it


def _reserve(port):
    """Returns whether no other test process uses a port. Gateways could share one, since
    they allow it for a planned restart, and a test would reach another test's gateway."""
    if port in _reserved:
        return True
    path = pathlib.Path(tempfile.gettempdir()) / f"cowslipknot-test-port-{port}"
    lock = open(path, "w", encoding="ascii")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return False
    _reserved[port] = lock
    return True


@atexit.register
def _release_ports():
    for lock in _reserved.values():
        lock.close()


def set_port_range(first, last):
    """Restricts free_port to a range, so that test processes do not share ports."""
    _ports.update(first=first, last=last, next=first)


def free_port():
    """Returns a port that no process listens on and no other test process uses."""
    while True:
        port = _ports["next"]
        _ports["next"] = port + 1 if port < _ports["last"] else _ports["first"]
        if not _reserve(port):
            continue
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                return port


def eventually(condition):
    """Polls until the condition returns a true value and returns that value.

    Raises AssertionError after WAIT_TIMEOUT_S.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"condition not met within {WAIT_TIMEOUT_S} s")


class Gateway:
    """A gateway instance. Its addresses and settings stay the same when its process is
    restarted."""

    def __init__(self, store, cloud, name="gw1", usage_window_s=1,
                 store_address=None, domain="z1", bounds=None, port=None,
                 memory_mb=256, sheds=False):
        self.name = name
        self.paused = False  # by a signal of the test
        self.port = port or free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        self.peers_port = free_port()
        self.folder = tempfile.TemporaryDirectory()
        self.settings = pathlib.Path(self.folder.name) / "settings.toml"
        bounds_values = {"revoke_ms": 3000, "lease_ms": 1000,
                         "usage_window_s": usage_window_s, "usage_due_s": 6, "stop_s": 6,
                         **(bounds or {})}
        bounds_text = "\n".join(f"{key} = {value}" for key, value in bounds_values.items())
        self.settings.write_text(f"""
[node]
name = "{name}"
domain = "{domain}"
[listen]
callers = "127.0.0.1:{self.port}"
readiness = "127.0.0.1:{self.ready_port}"
metrics = "127.0.0.1:{self.metrics_port}"
peers = "127.0.0.1:{self.peers_port}"
[store]
address = "{store_address or store.server.address}"
[cloud]
address = "{cloud.server.address}"
reports_usage = true
orders_capacity = true
[admission]
sheds_under_shortage = {str(sheds).lower()}
[limits]
memory_mb = {memory_mb}
[bounds]
{bounds_text}
""", encoding="utf-8")
        self.log_path = pathlib.Path(self.folder.name) / "log"
        self.log = open(self.log_path, "wb")
        self.start()

    def start(self):
        self.child = subprocess.Popen(
            [BINARY, "gateway", "--config", self.settings], stdout=self.log,
            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def ready(self):
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self.ready_port,
                                                    timeout=2)
            connection.request("GET", "/-/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        self.log.close()
        self.folder.cleanup()

    def metrics(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics_port, timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return text

    def peak_memory_mb(self):
        status = pathlib.Path(f"/proc/{self.child.pid}/status").read_text(encoding="ascii")
        peak_kb = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak_kb.split()[1]) / 1024

    def log_events(self):
        # The process may be writing its last line at this moment.
        complete_lines = self.log_path.read_bytes().split(b"\n")[:-1]
        return [json.loads(line) for line in complete_lines if line.startswith(b"{")]

    def known_instances(self):
        """How many instances the gateway last said that it knows."""
        counts = [int(event["instances"]) for event in self.log_events()
                  if event["name"] == "instances_known"]
        return counts[-1] if counts else 0

    def history(self, *names):
        """The log's events whose names begin so, one a line, for failure messages."""
        return "".join(f"\n{event}" for event in self.log_events()
                       if event["name"].startswith(names or ""))

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=15)

    def call(self, path, request_id="r1", method="POST", body=b"hello", **headers):
        """Sends one request; returns status, headers and body."""
        connection = self.connect()
        fields = {"Host": "h.example", "Cowslipknot-Request-Id": request_id,
                  "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": "3000"}
        fields.update({name.replace("_", "-"): value
                       for name, value in headers.items()})
        try:
            connection.request(method, path, body=body, headers=fields)
            response = connection.getresponse()
            return response.status, response.headers, response.read()
        finally:
            connection.close()
