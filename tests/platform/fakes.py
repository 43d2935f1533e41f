"""Fakes of the platform's services: store, cloud and backend servers.

They run in threads of the test process on loopback and record the requests that
they receive. Each implements the published protocol; fields enable faults.
"""

import base64
import http.server
import io
import json
import os
import socket
import struct
import threading
import time
import urllib.parse


PIECE_PAUSE_S = 0.02  # between the pieces of an event
STOP_POLL_INTERVAL_S = 0.05  # a server that stops serves for up to this time


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server on one loopback address. `owner` is the fake that it serves."""

    daemon_threads = True
    request_queue_size = 128  # a full queue drops connections, which stalls clients for seconds
    rejects_calls = False  # answers 503 to the store calls at this address
    allow_reuse_address = True

    def __init__(self, handler, owner, port=0):
        self.open_connections = set()
        self.store_calls = []  # at this address: (wall clock time in ms, path)
        super().__init__(("127.0.0.1", port), handler)
        self.owner = owner
        self.thread = threading.Thread(
            target=self.serve_forever, args=(STOP_POLL_INTERVAL_S,), daemon=True)
        self.thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def stop(self):
        self.shutdown()
        self.server_close()

    def kill(self):
        """Stops like a crashed process: resets all open connections."""
        self.stop()
        for connection in list(self.open_connections):
            reset_connection(connection)

    def process_request(self, request, client_address):
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Prints no traceback: tests close connections on purpose."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def send(self, status, body=b"", headers=None):
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def send_json(self, status, value):
        self.send(status, json.dumps(value).encode(),
                  {"Content-Type": "application/json"})

    def hold(self):
        """Never answers the call; returns once the caller gives it up."""
        self.connection.settimeout(10)
        try:
            self.connection.recv(1)
        except OSError:
            pass
        self.close_connection = True


MAX_TRANSACTION_ENTRIES = 100  # of the platform's store
STORE_UPTIME_MS = 100_000_000  # when the machine of the test starts
ENTRY_LISTS = ("expected", "set_keys", "remove")  # of a transaction


class Store:
    """A store of versioned rows with conditional transactions and a change feed."""

    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.version = 0
        self.era = 1  # rises with each restore
        self.clock_shift_ms = 0  # of the clock that it states
        self.compacted_version = 0  # changes up to this version are no longer in the feed
        self.down = False
        self.silent = False  # calls are never answered, even after it is cleared
        self.delay_s = 0.0  # before each answer
        self.lose_answers = 0  # number of transactions to commit without an answer
        self.cut_reads = None  # turns the bytes of an answer to a read into those sent
        self.lost_renewals = 0  # number of writes of the lease to lose, without an answer
        self.lease_contended = False  # another instance always writes the lease row first
        self.calls = []
        self.lease_holders = []  # in the order written; empty for a released lease
        self.server = Server(StoreHandler, self)

    def put(self, table, key, value):
        """Writes a row as an operator or a backend server does."""
        with self.changed:
            self._set(table, key, json.dumps(value).encode())

    def put_raw(self, table, key, value):
        with self.changed:
            self._set(table, key, value)

    def delete(self, table, key):
        with self.changed:
            self._set(table, key, None)

    def get(self, table, key):
        with self.changed:
            row = self.rows.get((table, key))
        return None if row is None or row["value"] is None else json.loads(row["value"])

    def copy(self):
        """Returns a copy from which the store can be restored."""
        with self.changed:
            return {"rows": dict(self.rows), "version": self.version}

    def restore(self, copy):
        """Loses what was written after the copy; its versions are given out again."""
        with self.changed:
            self.rows = dict(copy["rows"])
            self.version = copy["version"]
            self.compacted_version = min(self.compacted_version, self.version)
            self.era += 1
            self.changed.notify_all()

    def compact_history(self):
        with self.changed:
            self.compacted_version = self.version

    def keys(self, table):
        with self.changed:
            return [key for (name, key), row in self.rows.items()
                    if name == table and row["value"] is not None]

    def _set(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = {"value": value, "ver": self.version}
        self.changed.notify_all()

    def _holds(self, conditions):
        for row in conditions:
            known = self.rows.get((row["table"], row["key"]))
            present = known is not None and known["value"] is not None
            if (known["ver"] if present else 0) != row["ver"]:
                return False
        return True

    def transact(self, change):
        """Applies the change if all conditions hold; returns whether it was applied, or None
        if it is lost."""
        with self.changed:
            writes_lease = any(row["key"] == "lease" for row in change["expected"])
            if self.lease_contended and writes_lease:
                self._set("cowslipknot", "lease", b"{}")
            if not self._holds(change["expected"]):
                return False
            if self.lost_renewals > 0 and writes_lease:
                self.lost_renewals -= 1
                return None
            self.version += 1
            for row in change["set_keys"]:
                value = base64.b64decode(row["value"])
                self.rows[(row["table"], row["key"])] = {
                    "value": value, "ver": self.version}
                if row["key"] == "lease":
                    self.lease_holders.append(json.loads(value)["holder"])
            for row in change["remove"]:
                self.rows[(row["table"], row["key"])] = {
                    "value": None, "ver": self.version}
            self.changed.notify_all()
            return True

    def render(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.version,
                "now_ms": STORE_UPTIME_MS + int(time.monotonic() * 1000)
                + self.clock_shift_ms}

    def read(self, table):
        with self.changed:
            rows = [encode_row(table, key, row)
                    for (name, key), row in sorted(self.rows.items())
                    if name == table and row["value"] is not None]
            return self.render(rows)

    def feed(self, table, since, wait_s):
        """Returns the rows changed after version `since`, waiting up to `wait_s` for one, or
        None if the feed no longer holds those changes."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            while True:
                if since < self.compacted_version or since > self.version:
                    return None
                rows = [encode_row(table, key, row)
                        for (name, key), row in self.rows.items()
                        if name == table and row["ver"] > since]
                remaining_s = deadline - time.monotonic()
                if rows or remaining_s <= 0 or self.down:
                    return self.render(sorted(rows, key=lambda row: row["ver"]))
                self.changed.wait(remaining_s)


def encode_row(table, key, row):
    encoded = {"table": table, "part": "", "key": key, "ver": row["ver"]}
    if row["value"] is None:
        encoded["removed"] = True
    else:
        encoded["value"] = base64.b64encode(row["value"]).decode()
    return encoded


class StoreHandler(Handler):
    def send(self, status, body=b"", headers=None):
        store = self.server.owner
        fields = {"Store-Era": str(store.era), **(headers or {})}
        if self.command != "GET" or not store.cut_reads:
            super().send(status, body, fields)
            return
        connection, self.wfile = self.wfile, io.BytesIO()
        super().send(status, body, fields)
        whole, self.wfile = self.wfile.getvalue(), connection
        self.wfile.write(store.cut_reads(whole))
        self.close_connection = True

    def hold_if_silent(self):
        """Holds the call without an answer if the store is silent; returns whether it did."""
        time.sleep(self.server.owner.delay_s)
        if not self.server.owner.silent:
            return False
        self.hold()
        return True

    def do_GET(self):
        store = self.server.owner
        store.calls.append(self.path)
        self.server.store_calls.append((time.time() * 1000, self.path))
        if self.hold_if_silent():
            return
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if store.down or self.server.rejects_calls:
            self.send(503)
        elif url.path == "/-/rows-get":
            self.send_json(200, store.read(query["table"]))
        elif url.path == "/-/rows-feed":
            rows = store.feed(query["table"], int(query["since_rev"]),
                              int(query["wait_ms"]) / 1000)
            self.send_json(410 if rows is None else 200, rows or {})
        else:
            self.send(404)

    def do_POST(self):
        store = self.server.owner
        store.calls.append(self.path)
        self.server.store_calls.append((time.time() * 1000, self.path))
        change = json.loads(self.read_body())
        if self.hold_if_silent():
            return
        if store.down or self.server.rejects_calls:
            self.send(503)
            return
        if sum(len(change[name]) for name in ENTRY_LISTS) > MAX_TRANSACTION_ENTRIES:
            self.send(400)
            return
        applied = store.transact(change)
        if applied is None:
            self.hold()
            return
        if applied and store.lose_answers > 0:
            store.lose_answers -= 1
            reset_client(self)
            return
        self.send_json(200 if applied else 412, store.render([]))


def reset_connection(connection):
    """Closes a connection with a TCP reset."""
    try:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.shutdown(socket.SHUT_RD)  # unblocks a thread in recv
        # close() would wait until the handler has closed its files.
        os.close(connection.detach())
    except OSError:
        pass  # already closed


def reset_client(handler):
    reset_connection(handler.connection)
    handler.close_connection = True


class Cloud:
    """Records the usage reports and capacity orders."""

    def __init__(self):
        self.usage = []
        self.scale = []
        self.down = False
        self.silent = False  # calls are never answered
        self.on_usage = None  # called with a report before it is answered
        self.server = Server(CloudHandler, self)


class CloudHandler(Handler):
    def do_POST(self):
        cloud = self.server.owner
        call = json.loads(self.read_body())
        call["holder"] = self.headers["Cowslipknot-Lease-Holder"]
        call["epoch"] = int(self.headers["Cowslipknot-Fencing-Token"])
        call["time"] = time.monotonic()
        if cloud.down:
            self.send(503)
            return
        if cloud.silent:
            self.hold()
            return
        (cloud.usage if self.path == "/usage" else cloud.scale).append(call)
        if cloud.on_usage and self.path == "/usage":
            cloud.on_usage(call)
        self.send(200)


class RawAnswer:
    """Bytes that a backend sends as its answer before it closes or resets the connection, or
    `holds` it until it is left. `{id}` stands for the id of the request."""

    def __init__(self, data, resets=False, holds=False):
        self.data = data
        self.resets = resets
        self.holds = holds


class CopiedRefusal:
    """Refuses a request without executing it, and sends the same refusal again.

    `when` the copies are sent: "at_once" with the refusal, "idle" a moment later, "late" when
    the next request on the connection has arrived, "split" half of them idle and half late.
    """

    IDLE_DELAY_S = 0.03

    def __init__(self, status=503, when="late", copies=1, body=b"", chunked=False,
                 closes=False):
        self.status = status
        self.when = when
        self.copies = copies
        self.body = body
        self.chunked = chunked
        self.closes = closes  # the connection after the copies

    def encode(self, request):
        head = (f"HTTP/1.1 {self.status} Refused\r\nCowslipknot-Not-Executed: 1\r\n"
                f"Cowslipknot-Request-Id: {request}\r\n").encode()
        if not self.chunked:
            return head + b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body
        chunk = b"%x\r\n" % len(self.body) + self.body + b"\r\n" if self.body else b""
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"


class Backend:
    """A backend server. `pending_faults` holds the faults of the next requests, in order:

    "reject": answers 503 without executing the request; with `retry_after`, if it is set,
    "crash": resets the connection in the middle of a stream's third event,
    "reset": executes the request and resets the connection,
    "foreign": sends an answer with another request's id before its own,
    "cut": ends the body before its Content-Length, "fail": answers 500,
    "mute": executes the request and never answers,
    "endless_head", "endless_interim", "endless_body": sends a header, interim responses or
    the body of a signed answer until the caller closes,
    "endless_chunk_header", "endless_trailer": begins a chunked body, and sends a chunk's size
    line or a field after the last chunk until the caller closes,
    "endless_refusal": refuses without executing, with such a body,
    "endless_event": such an event as the third of a stream,
    "trickle": a byte of the third event of a stream now and then, "comments": comments
    instead of the third event of a stream, now and then,
    "silent": sends nothing for `silence_s` before the third event of a stream, and goes on,
    "silent_inside": the same inside the third event, which is sent in pieces,
    "late_copy": answers, and sends the answer once more when the next request on the
    connection has arrived, without an id; "late_refusal": sends an earlier refusal then,
    "reject_twice": refuses, and sends the refusal, with its id, once more then,
    "fail_404", "fail_410", "fail_429", "fail_503": answers with that status,
    "other_type": with a 200 that is no stream of events,
    "no_event": with a 200 that holds no complete event,
    "from_start": ignores Last-Event-Id, "gap": leaves out the first event that is due,
    "repeat": sends the second event once more after the third,
    "unframed", "unframed_cut", "unframed_reset": an answer with neither a length nor chunks;
    complete, ended inside an event, or reset at the end of one,
    a RawAnswer: executes the request, sends these bytes and closes, resets or waits,
    a CopiedRefusal: see there.

    `answer_pause_s` is the time until an answer that is no stream.
    """

    def __init__(self, name, events=5, event_pause_s=0.0, answer_pause_s=0.0, port=0):
        self.name = name
        self.events = events
        self.event_pause_s = event_pause_s
        self.answer_pause_s = answer_pause_s
        self.silence_s = 1.2
        self.pending_faults = []
        self.usual_fault = ""  # of the requests after those
        self.crashes_on = None  # a prompt part: the server ends when it begins to answer it
        self.crashes_on_body = None  # the server ends when it runs a body that begins so
        self.crash_pause_s = 0.0  # between the beginning of that run and the end
        self.crash_after_events = 0  # of a stream, which are sent before the end
        self.on_crash = None  # called before that with the body, empty for a prompt part
        self.misdirection = None  # CopiedRefusal of a request that names another server
        self.leaving = False  # says so in each answer
        self.retry_after = ""  # of each 503
        self.limit = ""  # requests a second that it names in each answer
        self.wants_none_until = 0.0  # answers 503 with the rest of this time until then
        self.requests = []  # ids of all requests that arrived
        self.arrivals = []  # (request id, time) of those that were meant for it
        self.pauses = []  # (request id, time of the 503, end of the time that it states)
        self.runs = []  # requests that were executed, with their headers
        self.disconnects = {}  # request id: time at which the caller's disconnect was noticed
        self.server = Server(BackendHandler, self, port)

    def registration(self, service, zone="z1", **fields):
        registration = {"service": service, "address": self.server.address, "zone": zone,
                        "version": "v1", "slots": 4, "state": "ready",
                        "warmup_left_ms": 0, "seq": 1, "born": 1}
        registration.update(fields)
        return registration


def prompt_parts(headers):
    """The ids of the parts of a request's prompt."""
    text = headers["Cowslipknot-Prefix-Hash"] or ""
    return [part.partition(":")[0] for part in text.split(",")]


# By fault: what is sent once more on a connection, before the next answer.
LATE_COPIES = {
    "late_copy": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                 b"Cowslipknot-Server-Signature: sig\r\n\r\nlate",
    "late_refusal": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                    b"Cowslipknot-Not-Executed: 1\r\n\r\n",
}


# By fault: the beginning of what has no end, in a chunked body.
ENDLESS_FRAMING = {
    "endless_chunk_header": b"5;",
    "endless_trailer": b"5\r\nhello\r\n0\r\nX-Filler: ",
}
ENDLESS_FRAMING_BLOCK = b"x" * 65536

# By fault: status, content type and body.
WHOLE_ANSWERS = {
    "fail": (500, "text/plain", b"failed"),
    "fail_429": (429, "text/plain", b"failed"),
    "fail_503": (503, "text/plain", b"failed"),
    "fail_404": (404, "text/plain", b"failed"),
    "fail_410": (410, "text/plain", b"failed\n\n"),
    "other_type": (200, "text/html", b"failed\n\n"),
    "no_event": (200, "text/event-stream", b"failed"),
}


class BackendHandler(Handler):
    def do_GET(self):
        self.serve_request()

    def do_POST(self):
        self.serve_request()

    def end_headers(self):
        if self.server.owner.leaving:
            self.send_header("Server-Leaving", "1")
        if self.server.owner.limit:
            self.send_header("Server-Limit", self.server.owner.limit)
        if self.status == 503 and self.server.owner.retry_after:
            self.send_header("Retry-After", self.server.owner.retry_after)
        super().end_headers()

    def send_response(self, code, message=None):
        self.status = code
        super().send_response(code, message)

    def serve_request(self):
        backend = self.server.owner
        body = self.read_body()
        request = self.headers["Cowslipknot-Request-Id"]
        backend.requests.append(request)
        if self.copies_due:
            self.send_raw(self.copies_due)
            self.copies_due = b""
            if self.closes_after_copies:
                self.close_connection = True
                return
        if self.headers["Cowslipknot-Expect-Instance"] != backend.name:
            if backend.misdirection:
                self.send_copied_refusal(backend.misdirection, request)
                return
            self.send(421, headers={"Cowslipknot-Request-Id": request})
            return
        now = time.monotonic()
        backend.arrivals.append((request, now))
        if now < backend.wants_none_until:
            backend.pauses.append((request, now, backend.wants_none_until))
            self.send(503, headers={"Cowslipknot-Request-Id": request,
                                    "Cowslipknot-Not-Executed": "1",
                                    "Retry-After": f"{backend.wants_none_until - now:.3f}"})
            return
        fault = backend.pending_faults.pop(0) if backend.pending_faults else backend.usual_fault
        if fault == "endless_refusal":
            self.send_endless_body(503, {"Cowslipknot-Request-Id": request,
                                         "Cowslipknot-Not-Executed": "1"})
            return
        if isinstance(fault, CopiedRefusal):
            self.send_copied_refusal(fault, request)
            return
        if fault in ("reject", "reject_twice"):
            if fault == "reject_twice":
                self.late_copy = LATE_COPIES["late_refusal"].replace(
                    b"\r\n\r\n", b"\r\nCowslipknot-Request-Id: " + request.encode()
                    + b"\r\n\r\n")
            self.send(503, headers={"Cowslipknot-Request-Id": request,
                                    "Cowslipknot-Not-Executed": "1"})
            return
        backend.runs.append({"method": self.command, "path": self.path,
                             "body": body, "headers": dict(self.headers),
                             "time": time.monotonic(), "fault": fault,
                             "leaving": backend.leaving})
        if backend.crashes_on_body and body.startswith(backend.crashes_on_body):
            self.crash(body)
            return
        if self.late_copy:
            self.send_raw(self.late_copy)
        if isinstance(fault, RawAnswer):
            self.send_raw(fault.data.replace(b"{id}", request.encode()))
            if fault.holds:
                self.wait_until_disconnected(request)
            if fault.resets:
                time.sleep(0.01)  # until the bytes are read
                reset_client(self)
            self.close_connection = True
            return
        if fault == "reset":
            reset_client(self)
            return
        if fault == "mute":
            self.wait_until_disconnected(request)
            return
        signed_headers = {"Cowslipknot-Request-Id": request,
                          "Cowslipknot-Server-Signature": f"sig-{backend.name}"}
        if fault in ("endless_head", "endless_interim"):
            piece = (b"X-Filler: " + b"x" * 2000 + b"\r\n" if fault == "endless_head"
                     else b"HTTP/1.1 100 Continue\r\n\r\n")
            if fault == "endless_head":
                self.send_raw(b"HTTP/1.1 200 OK\r\n")
            self.send_without_end(piece, request)
            return
        if fault == "endless_body":
            self.send_endless_body(200, signed_headers)
            return
        if fault in ENDLESS_FRAMING:
            self.send_endless_framing(signed_headers, ENDLESS_FRAMING[fault])
            return
        self.late_copy = LATE_COPIES.get(fault, b"")
        if fault == "foreign":
            self.send(200, b"not yours",
                      dict(signed_headers, **{"Cowslipknot-Request-Id": "other"}))
        if fault in WHOLE_ANSWERS:
            status, content_type, text = WHOLE_ANSWERS[fault]
            self.send(status, text, dict(signed_headers, **{"Content-Type": content_type}))
        elif fault == "cut":
            self.send_response(200)
            for name, value in signed_headers.items():
                self.send_header(name, value)
            self.send_header("Content-Length", "100")
            self.end_headers()
            self.wfile.write(b"half")
            self.close_connection = True
        elif fault.startswith("unframed"):
            self.send_unframed(signed_headers, fault, body)
        elif self.path.startswith("/stream"):
            self.stream(signed_headers, fault, request)
        else:
            time.sleep(backend.answer_pause_s)
            self.send(200, b"echo:" + body, signed_headers)

    def crash(self, body):
        backend = self.server.owner
        time.sleep(backend.crash_pause_s)
        if backend.crash_after_events:
            self.send_response(200)
            self.send_header("Cowslipknot-Request-Id", self.headers["Cowslipknot-Request-Id"])
            self.send_header("Cowslipknot-Server-Signature", f"sig-{backend.name}")
            self.send_header("Content-Type", "text/event-stream")
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            for number in range(first, first + backend.crash_after_events):
                self.chunk(f"id: {number}\ndata: piece {number}\n\n".encode())
            time.sleep(0.01)  # until the events are read
        self.close_connection = True
        if backend.on_crash:
            backend.on_crash(body)
        backend.server.kill()

    def wait_until_disconnected(self, request):
        self.connection.settimeout(10)
        try:
            if not self.connection.recv(1):
                self.server.owner.disconnects[request] = time.monotonic()
        except OSError:
            self.server.owner.disconnects[request] = time.monotonic()
        self.close_connection = True

    late_copy = b""  # sent before the next answer of this connection
    copies_due = b""  # sent when the next request on this connection has arrived
    closes_after_copies = False

    def send_copied_refusal(self, fault, request):
        refusal = fault.encode(request)
        copies = refusal * fault.copies
        self.closes_after_copies = fault.closes
        if fault.when == "at_once":
            self.send_raw(refusal + copies)
            return
        self.send_raw(refusal)
        idle = {"late": 0, "idle": len(copies), "split": len(copies) // 2}[fault.when]
        self.copies_due = copies[idle:]
        if idle > 0:
            time.sleep(CopiedRefusal.IDLE_DELAY_S)
            self.send_raw(copies[:idle])

    def send_raw(self, data):
        self.wfile.write(data)
        self.wfile.flush()

    def send_without_end(self, piece, request, pause_s=0.001):
        """Sends until the caller closes."""
        try:
            while True:
                self.send_raw(piece)
                time.sleep(pause_s)
        except OSError:
            self.server.owner.disconnects[request] = time.monotonic()
        self.close_connection = True

    def send_endless_framing(self, headers, beginning):
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.send_raw(beginning)
        self.send_without_end(ENDLESS_FRAMING_BLOCK, headers["Cowslipknot-Request-Id"])

    def send_endless_body(self, status, headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.send_without_end(b"800\r\n" + b"x" * 0x800 + b"\r\n",
                              headers["Cowslipknot-Request-Id"])

    def send_unframed(self, signed_headers, fault, body):
        self.send_response(200)
        for name, value in signed_headers.items():
            self.send_header(name, value)
        if self.crashes():
            return
        self.end_headers()
        self.close_connection = True
        if self.path.startswith("/stream"):
            first = int(self.headers.get("Last-Event-Id") or 0) + 1
            pieces = [f"id: {number}\ndata: piece {number}\n\n".encode()
                      for number in range(first, self.server.owner.events + 1)]
        else:
            pieces = [b"echo:", body]
        if fault != "unframed":
            del pieces[-1:]
        if fault == "unframed_cut":
            pieces[-1] = pieces[-1][:-2]
        for piece in pieces:
            self.send_raw(piece)
        if fault == "unframed_reset":
            time.sleep(0.05)  # until the pieces are read
            reset_client(self)

    def crashes(self):
        """Ends the server if the request's prompt does so; returns whether it did."""
        backend = self.server.owner
        if not backend.crashes_on or backend.crashes_on not in prompt_parts(self.headers):
            return False
        self.close_connection = True
        if backend.on_crash:
            backend.on_crash(b"")
        backend.server.kill()
        return True

    def stream(self, signed_headers, fault, request):
        backend = self.server.owner
        self.send_response(200)
        for name, value in signed_headers.items():
            self.send_header(name, value)
        if self.crashes():
            return
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        first = {"from_start": 1, "gap": first + 1}.get(fault, first)
        numbers = list(range(first, backend.events + 1))
        if fault == "repeat":
            numbers[3:3] = [2]
        try:
            for number in numbers:
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                if fault == "crash" and number == 3:
                    self.chunk(event[:7])
                    reset_client(self)
                    return
                if fault == "silent" and number == 3:
                    time.sleep(backend.silence_s)
                if fault == "silent_inside" and number == 3:
                    self.chunk(event[:7])
                    time.sleep(backend.silence_s)
                    for start in range(7, len(event) - 2, 4):
                        self.chunk(event[start:start + 4])
                        time.sleep(PIECE_PAUSE_S)
                    event = event[start + 4:]
                if fault == "endless_event" and number == 3:
                    self.chunk(event[:-2])
                    self.send_without_end(b"800\r\n" + b"x" * 0x800 + b"\r\n", request)
                    return
                if fault == "trickle" and number == 3:
                    self.chunk(event[:-2])
                    self.send_without_end(b"1\r\nx\r\n", request, pause_s=0.2)
                    return
                if fault == "comments" and number == 3:
                    self.send_without_end(b"4\r\n: \n\n\r\n", request, pause_s=0.2)
                    return
                self.chunk(event)
                time.sleep(backend.event_pause_s)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            backend.disconnects[request] = time.monotonic()
            self.close_connection = True

    def chunk(self, data):
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        self.wfile.flush()
