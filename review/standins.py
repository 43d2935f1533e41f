"""What the cases share: a small deployment on loopback, and stand-ins for its surroundings.

The store and the cloud are those of tests/platform/fakes.py. Backend servers and callers are
written here, with plain sockets, so that a case decides on each byte and its time.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/platform"))
import fakes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TEMPLATE = ROOT / "deploy/settings.toml.tmpl"
READY_TIMEOUT_S = 20

# The settings that the platform fills into the template, with the figures of
# sites/svs-router.toml and the example in DEPLOY.md.
SITE_FIELDS = {
    "heartbeat_ms": 1200, "limits.memory_mb": 260, "limits.max_fds": 4100,
    "bounds.config_apply_ms": 2000, "bounds.revoke_ms": 5000, "bounds.drain_ms": 2000,
    "bounds.grace_s": 8, "bounds.lease_ms": 3000, "bounds.window_s": 5,
    "bounds.usage_late_s": 10, "bounds.retry_ratio": 0.2, "bounds.retry_slack": 54,
    "bounds.exposure_share": 0.1, "bounds.exposure_slack": 50, "bounds.quota_window_s": 8,
    "bounds.quota_overage": 0.1, "bounds.quota_slack": 140000,
}


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Renders the subset of the platform's templates that the project's template uses."""

    def section(match):
        return match.group(2) if fields.get(match.group(1)) is not None else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(fields[match.group(1)]), text)


def run_command():
    """The command of the deploy file that starts an instance."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()


class Machine:
    """A machine of the platform with one instance. Like the platform, it ends a process that
    exceeds the memory limit."""

    def __init__(self, deployment, name, zone="nl-west-a", **fields):
        self.record = deployment.record
        self.name = name
        self.port = free_port()
        self.ready_port = free_port()
        self.killed_for_memory = False
        self.peak_mb = 0
        self.fields = {
            **SITE_FIELDS, "node_name": name, "zone": zone, "ip": HOST,
            "listen.http": f"{HOST}:{self.port}",
            "listen.readiness": f"{HOST}:{self.ready_port}",
            "port_range.0": free_port(), "port_range.1": free_port(),
            "provider.address": deployment.store.server.address,
            "cloud.address": deployment.cloud.server.address, **fields}
        settings = pathlib.Path(deployment.folder.name) / f"{name}.toml"
        settings.write_text(render(TEMPLATE.read_text(encoding="utf-8"), self.fields),
                            encoding="utf-8")
        self.log = open(pathlib.Path(deployment.folder.name) / f"{name}.log", "ab")
        program, *arguments = run_command()
        arguments = [str(settings) if argument.startswith("/etc/") else argument
                     for argument in arguments]
        self.process = subprocess.Popen([str(ROOT / program), *arguments], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=subprocess.STDOUT)
        threading.Thread(target=self.limit_memory, daemon=True).start()

    def resident_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) / 1024 if found else 0

    def limit_memory(self):
        limit = self.fields["limits.memory_mb"]
        while self.process.poll() is None:
            resident = self.resident_mb()
            self.peak_mb = max(self.peak_mb, resident)
            if resident > limit:
                self.killed_for_memory = True
                self.process.send_signal(signal.SIGKILL)
                self.record(f"platform: {self.name} has {resident:.0f} MB, over its limit of "
                            f"{limit} MB: killed")
                return
            time.sleep(0.02)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
            connection.request("GET", "/-/readyz")
            ready = connection.getresponse().status == 200
            connection.close()
            return ready
        except (OSError, http.client.HTTPException):
            return False

    def terminate(self):
        self.record(f"platform: SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Deployment:
    """A store, a cloud, machines and servers; ends what it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory()
        self.store = fakes.Store()
        self.cloud = fakes.Cloud()
        self.machines = []
        self.servers = []

    def add_machine(self, name, **fields):
        machine = Machine(self, name, **fields)
        self.machines.append(machine)
        return machine

    def add_server(self, name, service, behave, **fields):
        server = Server(self.record, name, behave)
        self.servers.append(server)
        self.register(server, service, **fields)
        return server

    def register(self, server, service, **fields):
        entry = {"service": service, "address": f"{HOST}:{server.port}", "zone": "nl-west-a",
                 "version": "v1", "slots": 32, "state": "ready", "warmup_left_ms": 0, "seq": 1,
                 "born": server.born}
        self.store.put("servers", server.name, {**entry, **fields})

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(machine.is_ready() for machine in self.machines):
            if time.monotonic() > deadline:
                raise RuntimeError("the machines did not become ready")
            time.sleep(0.05)

    def log_lines(self, *names):
        """The events of these names that the machines logged."""
        events = []
        for path in sorted(pathlib.Path(self.folder.name).glob("*.log")):
            for line in path.read_bytes().split(b"\n"):
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if event.get("name") in names:
                    events.append(event)
        return events

    def record_log(self, *names):
        for event in self.log_lines(*names):
            event.pop("time_ms", None)
            self.record(f"log: {json.dumps(event)}")

    def end(self):
        for machine in self.machines:
            machine.end()
        for server in self.servers:
            server.stop()
        self.store.server.stop()
        self.cloud.server.stop()
        self.folder.cleanup()


class Request:
    """A request as a server has read it."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.id = headers.get("cowslipknot-request-id", "")


class Reader:
    """Reads a connection. Unlike makefile(), leaves no second reference to the socket, so that
    its close() takes effect at once."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def receive(self):
        data = self.connection.recv(65536)
        self.buffer += data
        return bool(data)

    def take(self, size):
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def readline(self):
        while b"\n" not in self.buffer:
            if not self.receive():
                return b""
        return self.take(self.buffer.index(b"\n") + 1)

    def read(self, size):
        while len(self.buffer) < size:
            if not self.receive():
                raise ValueError("the connection ended within a request")
        return self.take(size)


def read_request(stream):
    """Reads one HTTP/1.1 request with a length; None at the end of the connection."""
    line = stream.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


class Server:
    """A backend server. `behave(server, connection, request)` writes the answer to a request
    and returns whether the connection is kept."""

    def __init__(self, record, name, behave):
        self.record = record
        self.name = name
        self.behave = behave
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id) of the requests that it began to work on
        self.connections = set()
        self.lock = threading.Lock()
        self.port = 0
        self.listen()

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.port = self.listener.getsockname()[1]
        self.listener.listen(128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = Reader(connection)
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    break
                if request.headers.get("cowslipknot-expect-instance") != self.name:
                    connection.sendall(head(421, request, signed=False) +
                                       b"Content-Length: 0\r\n\r\n")
                    continue
                self.runs.append((time.monotonic(), request.id))
                self.record(f"{self.name}: runs {request.id}")
                if not self.behave(self, connection, request):
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.connections.discard(connection)
        try:
            connection.close()
        except OSError:
            pass

    def stop(self):
        """Ends like a crashed process: resets its connections."""
        with self.lock:
            connections, self.connections = self.connections, set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                pass


def head(status, request, signed=True):
    """The first lines of an answer, without those about its body and without its end."""
    text = f"HTTP/1.1 {status} {http.client.responses[status]}\r\n"
    text += f"Cowslipknot-Request-Id: {request.id}\r\n"
    if signed:
        text += f"Cowslipknot-Server-Signature: sig.{request.id}\r\n"
    if status == 421:
        text += "Cowslipknot-Not-Executed: 1\r\n"
    return text.encode()


def answer_whole(connection, request, body):
    connection.sendall(head(200, request) + b"Content-Type: text/plain\r\nContent-Length: " +
                       str(len(body)).encode() + b"\r\n\r\n" + body)


def begin_stream(connection, request, framed=True):
    text = head(200, request) + b"Content-Type: text/event-stream\r\n"
    connection.sendall(text + (b"Transfer-Encoding: chunked\r\n\r\n" if framed else b"\r\n"))


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number, size=60):
    return f"id: {number}\ndata: {'x' * size}\n\n".encode()


def first_event(request):
    return int(request.headers.get("last-event-id", 0)) + 1


class Outcome:
    """What a caller got for one request."""

    def __init__(self):
        self.status = 0  # none
        self.headers = {}
        self.body = b""
        self.complete = False
        self.left = False  # the caller closed the connection, after a silence
        self.error = ""
        self.sent = time.monotonic()
        self.took_s = 0.0


class Caller:
    """A caller with one connection, which it keeps. Leaves when nothing arrives for
    `patience_s`."""

    def __init__(self, record, machine, key="key1", patience_s=30.0):
        self.record = record
        self.key = key
        self.connection = http.client.HTTPConnection(HOST, machine.port, timeout=patience_s)

    def call(self, path, request_id, method="POST", body=b"hello", deadline_ms=15000, **headers):
        outcome = Outcome()
        fields = {"Host": "knot.example", "Cowslipknot-Request-Id": request_id,
                  "Authorization": f"Token {self.key}",
                  "Cowslipknot-Deadline-Ms": str(deadline_ms)}
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        self.record(f"caller: sends {request_id} {method} {path}")
        try:
            self.connection.request(method, path, body=body, headers=fields)
            response = self.connection.getresponse()
            outcome.status = response.status
            outcome.headers = dict(response.headers)
            while piece := response.read1():
                outcome.body += piece
            length = outcome.headers.get("Content-Length")
            if length is not None and int(length) != len(outcome.body):
                raise http.client.IncompleteRead(b"")
            response.read()  # ends the answer, so that the connection can be used again
            outcome.complete = True
        except http.client.IncompleteRead:
            outcome.error = "the connection ended before the end of the answer"
        except TimeoutError:
            outcome.left = True
            outcome.error = "the caller left"
            self.connection.close()
        except (OSError, http.client.HTTPException) as error:
            outcome.error = f"{type(error).__name__}: {error}"
        outcome.took_s = time.monotonic() - outcome.sent
        self.record(f"caller: {request_id} status {outcome.status}, "
                    f"{outcome.body.count(b'id: ')} events, "
                    f"{'complete' if outcome.complete else 'CUT'} after {outcome.took_s:.2f} s "
                    f"{outcome.error}")
        return outcome

    def close(self):
        self.connection.close()


def route(name, prefix, kind, service, **fields):
    return {"name": name, "hostname": "knot.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 12000, "slo_ms": 400, "priority": 0, "service": service,
            "max_attempts": 2, "public": False, "sticky": kind == "streaming",
            "resumable": False, **({"itl_target_ms": 300} if kind == "streaming" else {}),
            **fields}


def configuration(**fields):
    """The configuration of a small deployment, after the example of `fleetbench wire`."""
    return {
        "version": 7,
        "route_list": [
            route("draft", "/draft/", "streaming", "knot-servers", timeout_ms=15000,
                  slo_ms=1000, priority=1, max_attempts=1),
            route("letter", "/letter/", "streaming", "knot-servers", resumable=True),
            route("filing", "/filing/", "unsafe", "filing-desk", timeout_ms=1200, slo_ms=150,
                  priority=2, max_attempts=1),
            route("status", "/status/", "safe", "filing-desk", timeout_ms=1200, slo_ms=150,
                  priority=2),
        ],
        "services": [
            {"name": "knot-servers", "health_path": "/healthz", "max_conns": 230,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 32, "kv_capacity": 558872, "models": [{"name": "m"}]}},
            {"name": "filing-desk", "health_path": "/healthz", "max_conns": 100,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant1", "api_keys": ["key1"], "priority": 1, "unit": "tokens",
                     "uncached_tokens": 200, "rate_per_s": 304821, "burst": 304821}],
        **fields}


def main(run, folder):
    """Runs a case and exits with its result. `run(deployment)` returns whether the rule held."""
    deployment = Deployment(folder)
    record = deployment.record
    record(f"TROUBLE={int(TROUBLE)}")
    result = COULD_NOT_RUN
    try:
        result = HELD if run(deployment) else BROKEN
    except Exception as error:  # pylint: disable=broad-except
        record(f"could not run: {type(error).__name__}: {error}")
    finally:
        deployment.end()
    record(f"result: {('held', 'BROKEN', 'could not run')[result]}")
    print(f"{('held', 'BROKEN', 'could not run')[result]} (TROUBLE={int(TROUBLE)})")
    sys.stdout.flush()
    os._exit(result)  # threads of the stand-ins may still wait
