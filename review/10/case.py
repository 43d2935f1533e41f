"""A server asks for a pause; its registration lapses and comes back before the pause ends."""

import http.client
import http.server
import pathlib
import socketserver
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.path.insert(0, str(HERE.parents[1] / "tests" / "platform"))
import harness2 as harness  # noqa: E402
from configuration_documents import configuration  # noqa: E402

PAUSE_S = 25.0  # the Retry-After of the first refusal
CUT_AT_S = 1.0  # after the first refusal: the server no longer reaches the store
CUT_S = 5.5
SILENCE_S = 3 * harness.HEARTBEAT_MS / 1000  # after which the store removes a registration
SLACK_S = 0.5  # of the rule, after the first refusal
ALLOWED = 2  # requests from one machine
CALLERS = 32
WORK_S = 0.05  # of a request, and of the queue in which a request is refused
SETTLE_S = 2.0


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """A plain service. While it pauses, it refuses each request and says how long it still
    wants none."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, name, record):
        super().__init__(("127.0.0.1", 0), Handler)
        self.name = name
        self.record = record
        self.lock = threading.Lock()
        self.pause_next = False
        self.pause_until = 0.0
        self.first_refusal = None  # when it was answered
        self.arrivals = []
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def registration(self, seq):
        return {"service": "plain", "address": f"127.0.0.1:{self.server_address[1]}",
                "zone": "z1", "version": "v1", "slots": 16, "state": "ready",
                "warmup_left_ms": 0, "seq": seq, "born": 1}

    def pause_left(self):
        with self.lock:
            if self.pause_next:
                self.pause_next = False
                self.pause_until = time.monotonic() + PAUSE_S
            return self.pause_until - time.monotonic()

    def handle_error(self, *_):
        pass

    def stop(self):
        self.shutdown()
        self.server_close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_GET(self):
        server = self.server
        request = self.headers["Cowslipknot-Request-Id"]
        if self.headers["Cowslipknot-Expect-Instance"] != server.name:
            self.answer(421, request)
            return
        arrived = time.monotonic()
        left = server.pause_left()
        time.sleep(WORK_S)
        if left <= 0:
            server.record.line(f"{server.name} runs {request}")
            self.answer(200, request, {"Cowslipknot-Server-Signature": "sig"}, b"ok")
            return
        with server.lock:
            server.arrivals.append((request, arrived))
        server.record.line(f"{server.name} refuses {request}: 503, Retry-After {left:.1f}")
        self.answer(503, request, {"Cowslipknot-Not-Executed": "1",
                                   "Retry-After": f"{left:.1f}"})
        with server.lock:
            server.first_refusal = server.first_refusal or time.monotonic()

    def answer(self, status, request, headers=None, body=b""):
        self.send_response(status)
        for name, value in {"Cowslipknot-Request-Id": request, **(headers or {})}.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Callers:
    """Look something up again and again, each on a connection that it keeps."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True)
                        for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        connection = http.client.HTTPConnection(*self.address, timeout=5)
        count = 0
        while not self.stopped.is_set():
            count += 1
            request = f"c{number}-{count}"
            try:
                connection.request("GET", "/safe/x", headers={
                    "Host": "h.example", "Cowslipknot-Request-Id": request,
                    "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": "2500"})
                answer = connection.getresponse()
                answer.read()
                self.record.line(f"caller: {request} got {answer.status}")
            except OSError as error:
                self.record.line(f"caller: {request} failed: {error}")
                connection.close()
            self.stopped.wait(0.02)
        connection.close()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def run(installation, record):
    store = installation.store
    store.put("op", "config", configuration())
    servers = [installation.add_server(Server(name, record)) for name in ("s1", "s2", "s3")]
    for server in servers:
        store.put("servers", server.name, server.registration(seq=1))
    gateway = installation.add_gateway("gw1")
    gateway.wait_until_ready()
    callers = Callers(gateway.callers, record)
    time.sleep(SETTLE_S)
    paused = servers[0]
    paused.pause_next = True
    deadline = time.monotonic() + 5
    while paused.first_refusal is None:
        if time.monotonic() > deadline:
            raise harness.CannotRun("the server got no request")
        time.sleep(0.01)
    time.sleep(CUT_AT_S)
    record.line(f"s1 {'no longer reaches' if harness.TROUBLE else 'reaches'} the store")
    time.sleep(SILENCE_S)
    if harness.TROUBLE:
        record.line("the store removes the registration of s1: three liveness reports missed")
        store.delete("servers", "s1")
    time.sleep(CUT_S - SILENCE_S)
    record.line("s1 writes its liveness report: the same process")
    store.put("servers", "s1", paused.registration(seq=9))
    time.sleep(max(0.0, paused.pause_until - time.monotonic()))
    callers.stop()
    since = paused.first_refusal + SLACK_S
    late = [request for request, at in paused.arrivals if since < at < paused.pause_until]
    record.line(f"s1 got {len(late)} requests from {SLACK_S} s after its refusal to the end of "
                f"its pause; allowed {ALLOWED}: {' '.join(late)}")
    print(f"{len(late)} requests in the pause; allowed {ALLOWED}")
    return harness.BROKEN if len(late) > ALLOWED else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(HERE, run))
