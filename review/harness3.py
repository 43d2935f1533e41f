"""Stand-ins and helpers for the scripts of the third review: a store, a cloud, raw servers,
raw clients and gateway processes on loopback.

All stand-ins run in one event loop of the script. They speak what PROTOCOL.md says; a case
adds only the disruption that its claim names.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
LOOPBACK = "127.0.0.1"
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, one event a line with the time since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()
        self.add("case", trouble=int(has_trouble()))

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start:8.3f} {what} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Request:
    """A request as read from a connection, or an answer."""

    def __init__(self, head, body):
        lines = head.decode("latin-1").split("\r\n")
        self.start_line = lines[0]
        self.fields = [line.split(":", 1) for line in lines[1:] if ":" in line]
        self.body = body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.strip().lower() == name.lower():
                return value.strip()
        return default

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def id(self):
        return self.get("Cowslipknot-Request-Id")


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return body
        body += (await reader.readexactly(size + 2))[:-2]


async def read_message(reader, has_body=True):
    """Reads one message with a length or chunks; raises if the connection ends."""
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
    message = Request(head, b"")
    if not has_body:
        return message
    if "chunked" in message.get("Transfer-Encoding").lower():
        message.body = await read_chunked(reader)
    else:
        message.body = await reader.readexactly(int(message.get("Content-Length") or 0))
    return message


def encode_answer(status, reason, fields, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def start_listener(handle, port=0):
    """Starts a listener, at a free port unless one is given. @return the server and its address"""

    async def serve(reader, writer):
        try:
            await handle(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the peer has left, or the case ends
        finally:
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, port, limit=1 << 23, backlog=512)
    return server, f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


class Store:
    """The platform's store in its form `table`."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 0  # rises with each restore from a copy
        self.is_away = False  # answers 503, which means that nothing was done
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        self.server, self.address = await start_listener(self._serve)

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, its versions are given out
        again."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self._notify()

    def get(self, table, key):
        value = self.rows.get((table, key), (None, 0))[0]
        return None if value is None else json.loads(value)

    def put(self, table, key, document):
        self._write(table, key, json.dumps(document).encode())
        self._notify()

    def remove(self, table, key):
        self._write(table, key, None)
        self._notify()

    def _write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _encode(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    def _render(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    def _transact(self, call):
        for row in call["expected"]:
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (version if value is not None else 0) != row["ver"]:
                return 412
        self.version += 1
        for row in call["set_keys"]:
            self.rows[(row["table"], row["key"])] = (base64.b64decode(row["value"]),
                                                     self.version)
        for row in call["remove"]:
            self.rows[(row["table"], row["key"])] = (None, self.version)
        self._notify()
        return 200

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        table = query.get("table", "")
        if self.is_away:
            return 503, {}
        if url.path == "/-/rows-tx":
            return self._transact(json.loads(request.body)), self._render([])
        if url.path == "/-/rows-get":
            keys = sorted(key for name, key in self.rows if name == table)
            rows = [self._encode(table, key) for key in keys
                    if self.rows[(table, key)][0] is not None]
            return 200, self._render(rows)
        if url.path != "/-/rows-feed":
            return 404, {}
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            if self.is_away:
                return 503, {}
            if self.era != era or int(query["since_rev"]) > self.version:
                return 410, {}
            keys = [key for name, key in self.rows
                    if name == table and self.rows[(name, key)][1] > int(query["since_rev"])]
            left = deadline - time.monotonic()
            if keys or left <= 0:
                rows = [self._encode(table, key) for key in keys]
                return 200, self._render(sorted(rows, key=lambda row: row["ver"]))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            status, document = await self._answer(request)
            writer.write(encode_answer(status, "Store", {"Store-Era": self.era,
                                                         "Content-Type": "application/json"},
                                       json.dumps(document).encode()))
            await writer.drain()


class Cloud:
    """Accepts the calls of the lease holder."""

    def __init__(self):
        self.calls = []
        self.address = ""

    async def start(self):
        self.server, self.address = await start_listener(self._serve)

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            self.calls.append(request)
            writer.write(encode_answer(200, "OK", {}))
            await writer.drain()


class Server:
    """A plain service. A case overrides `answer`, which has the connection's writer."""

    def __init__(self, record, name, service, zone="nl-west-a", version="v1"):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.connections = []
        self.runs = []  # ids of the requests that began to run, in order
        self.version = version
        self.state = "ready"  # or draining, or gone
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.address = ""

    async def start(self):
        self.listener, self.address = await start_listener(self._serve)

    def stop(self):
        """Ends at once: accepts no connection and closes those that it has."""
        self.state = "gone"
        self.listener.close()
        for connection in list(self.connections):
            connection["writer"].transport.abort()

    def registration(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": 6, "state": self.state, "warmup_left_ms": 0,
                "seq": self.seq, "born": self.born}

    def signed(self, request):
        return {"Cowslipknot-Request-Id": request.id,
                "Cowslipknot-Server-Signature": f"3e1b.{self.name}.{request.id}"}

    def is_meant(self, request):
        return request.get("Cowslipknot-Expect-Instance", self.name) == self.name

    def misdirected(self, request):
        return encode_answer(421, "Misdirected Request",
                             {"Cowslipknot-Request-Id": request.id,
                              "Cowslipknot-Instance-Id": self.name})

    def run(self, request):
        self.runs.append(request.id)
        self.record.add("run", server=self.name, id=request.id, request=request.start_line)

    async def answer(self, request, connection):
        """Answers one request. `connection` is a dictionary of this connection, which has
        the writer as `writer`."""
        if not self.is_meant(request):
            connection["writer"].write(self.misdirected(request))
            return
        self.run(request)
        connection["writer"].write(encode_answer(200, "OK", self.signed(request), b"done"))

    async def _serve(self, reader, writer):
        connection = {"writer": writer, "reader": reader}
        self.connections.append(connection)
        try:
            while not connection.get("closed"):
                request = await read_message(reader)
                self.record.add("server_got", server=self.name, id=request.id,
                                request=request.start_line)
                await self.answer(request, connection)
                await writer.drain()
        finally:
            self.connections.remove(connection)


async def keep_registered(store, servers):
    """Writes the registrations as the servers' heartbeats do, and removes those of servers that
    were silent for three heartbeats, until it is cancelled."""
    silent = {}
    while True:
        if not store.is_away:
            for server in servers:
                if server.state != "gone":
                    store.put("servers", server.name, server.registration())
                elif store.get("servers", server.name) is None:
                    silent.pop(server.name, None)
                else:
                    silent[server.name] = silent.get(server.name, 0) + 1
                    if silent[server.name] > 3:
                        store.remove("servers", server.name)
        await asyncio.sleep(HEARTBEAT_S)


def route(name, prefix, kind, service, **fields):
    document = {"name": name, "hostname": HOST, "path_prefix": prefix, "kind": kind,
                "service": service, "timeout_ms": 2500, "slo_ms": 150, "priority": 2,
                "max_attempts": 2, "public": False, "sticky": False, "resumable": False}
    document.update(fields)
    return document


def configuration(routes, services, version=1, **fields):
    document = {"version": version, "route_list": routes, "services": services,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                           "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
                "tenants": [{"name": TENANT, "api_keys": [KEY], "unit": "tokens",
                             "uncached_tokens": 100, "rate_per_s": 0, "burst": 0}]}
    document.update(fields)
    return document


def free_ports(count):
    """Ports that were free at one moment."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((LOOPBACK, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


# The fields that deploy/settings.toml.tmpl uses, as `fleetbench wire` shows them for the
# small deployments.
SETTINGS = """[node]
name = "{name}"
domain = "{zone}"
[listen]
callers = "127.0.0.1:{callers}"
readiness = "127.0.0.1:{readiness}"
metrics = "127.0.0.1:{metrics}"
peers = "127.0.0.1:{peers}"
[store]
address = "{store}"
[cloud]
address = "{cloud}"
reports_usage = true
orders_capacity = true
[limits]
memory_mb = 260
descriptors = 4100
[bounds]
apply_ms = 2000
revoke_ms = 5000
drain_ms = 2000
heartbeat_ms = 1200
stop_s = 8
lease_ms = 3000
usage_window_s = 5
usage_due_s = 10
retry_ratio = 0.2
retry_slack = 54
exposure_share = 0.1
exposure_slack = 50
quota_window_s = 8
quota_overage = 0.1
quota_slack = 140000
"""


def start_command(settings):
    """The command of the deploy file, with the path of its settings replaced."""
    with open(ROOT / "deploy/system.toml", "rb") as file:
        words = tomllib.load(file)["roles"]["gateway"]["run"].split()
    program = ROOT / words[0]
    if not program.is_file():
        raise CannotRun(f"{words[0]} is missing: run the build of the deploy file")
    return [str(program)] + [str(settings) if word.startswith("/etc/") else word
                             for word in words[1:]]


class Gateway:
    """A gateway process. It keeps its addresses when it is started again."""

    def __init__(self, record, folder, store, cloud, name="edge-nl-west-a-1",
                 zone="nl-west-a"):
        self.record = record
        self.name = name
        callers, readiness, metrics, peers = free_ports(4)
        self.port = callers
        self.readiness = readiness
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.settings.write_text(SETTINGS.format(
            name=name, zone=zone, callers=callers, readiness=readiness, metrics=metrics,
            peers=peers, store=store.address, cloud=cloud.address), encoding="utf-8")
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(start_command(self.settings), cwd=ROOT, stdout=log,
                                          stderr=subprocess.STDOUT,
                                          stdin=subprocess.DEVNULL)
        self.record.add("gateway_started", name=self.name, pid=self.child.pid)

    def send_signal(self, number):
        self.record.add("signal", name=self.name, number=int(number))
        self.child.send_signal(number)

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.readiness)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 2)
            return answer.status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.child.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.child.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def log_text(self, pattern):
        lines = self.log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if re.search(pattern, line)]


class Client:
    """A client that keeps its connection open for further requests."""

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.port,
                                                                 limit=1 << 23)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, request_id, body=b"", deadline_ms=2500, fields=None,
                   key=KEY):
        if self.writer is None:
            await self.connect()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"Cowslipknot-Request-Id: {request_id}",
                 f"Cowslipknot-Deadline-Ms: {deadline_ms}"]
        if key:
            lines.append(f"Authorization: Token {key}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.record.add("sent", id=request_id, request=lines[0])
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self, request_id, has_body=True, timeout_s=5):
        """@return the answer, or None if the connection ended or nothing came in time"""
        try:
            answer = await asyncio.wait_for(read_message(self.reader, has_body), timeout_s)
        except (OSError, EOFError, ValueError, asyncio.TimeoutError) as error:
            self.record.add("no_answer", id=request_id, why=type(error).__name__)
            self.close()
            return None
        self.record.add("answered", id=request_id, status=answer.status,
                        signature=answer.get("Cowslipknot-Server-Signature") or "none",
                        line=repr(answer.start_line), body=repr(answer.body[:60]))
        if answer.get("Connection").lower() == "close":
            self.close()
        return answer

    async def call(self, method, path, request_id, body=b"", **options):
        await self.send(method, path, request_id, body, **options)
        return await self.receive(request_id)


def main(folder, play):
    """Plays a case: `play(record, work)` returns whether the rule held."""
    record = Record(folder)
    gateways = []
    code = CANNOT_RUN
    try:
        with tempfile.TemporaryDirectory() as work:
            try:
                held = asyncio.run(play(record, pathlib.Path(work), gateways))
                code = HELD if held else BROKEN
            finally:
                for gateway in gateways:
                    gateway.end()
    except (CannotRun, OSError) as error:
        record.add("cannot_run", why=error)
    record.add("end", code=code)
    record.close()
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           CANNOT_RUN: "the case could not be run"}[code])
    sys.exit(code)
