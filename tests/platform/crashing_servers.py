"""Servers that end when they run certain requests, callers that repeat such requests, and
what BUDGET allows of them."""

import http.client
import threading
import time

import fakes

CRASHING = b"crashes"  # what the bodies begin with
BACK_AFTER_S = 2  # a crashed server is back as a new process at its address
CONTACT_S = 3
MAX_LATER = 3  # requests that reach servers later than CONTACT_S after the third crash


class CrashingServers:
    """Servers that end when they run what begins with CRASHING, and return after
    BACK_AFTER_S. `fields` are set at each fake server."""

    def __init__(self, store, count, service="plain", **fields):
        self.store = store
        self.service = service
        self.fields = {"answer_pause_s": 0.02, "crashes_on_body": CRASHING, **fields}
        self.crashes = []  # times
        self.crashes_by_body = {}  # body: times
        self.boots = 0
        self.lock = threading.Lock()
        self.ended = False
        self.timers = []
        self.backends = []  # of all boots
        self.running = {}  # port: fake server
        for _ in range(count):
            self.boot(0)

    def boot(self, port):
        with self.lock:
            if self.ended:
                return
            self.boots += 1
            name = f"{self.service}{self.boots}"
            backend = fakes.Backend(name, port=port)
            for field, value in self.fields.items():
                setattr(backend, field, value)
            backend.on_crash = lambda body: self.record_crash(backend, body)
            self.backends.append(backend)
            self.running[backend.server.server_address[1]] = backend
        self.store.put("servers", name,
                       backend.registration(self.service, born=self.boots))

    def record_crash(self, backend, body):
        with self.lock:
            now = time.monotonic()
            self.crashes.append(now)
            self.crashes_by_body.setdefault(body, []).append(now)
        self.replace(backend, BACK_AFTER_S)

    def replace(self, backend, after_s):
        """Starts a new server at the address of one that has ended."""
        port = backend.server.server_address[1]
        with self.lock:
            if self.running.get(port) is not backend:
                return
            del self.running[port]
            timer = threading.Timer(after_s, self.come_back, (backend, port))
            timer.daemon = True
            self.timers.append(timer)
        timer.start()

    def come_back(self, backend, port):
        self.store.delete("servers", backend.name)
        self.boot(port)

    def kill(self, backend, back_after_s=BACK_AFTER_S):
        """Ends a server for a reason that is in no request."""
        backend.server.kill()
        self.replace(backend, back_after_s)

    def stop(self):
        with self.lock:
            self.ended = True
        for timer in self.timers:
            timer.cancel()
        for backend in self.backends:
            backend.server.stop()

    def runs(self, body):
        """Requests with this body that servers began to run, in order of time."""
        return sorted((run for backend in self.backends for run in list(backend.runs)
                       if run["body"] == body), key=lambda run: run["time"])

    def arrivals(self, body):
        """Times at which servers began to run requests with this body."""
        return [run["time"] for run in self.runs(body)]

    def later_arrivals(self, body, disturbances=None):
        """Times of those runs that BUDGET counts: later than CONTACT_S after the third crash,
        sent by instances that were undisturbed for CONTACT_S.

        `disturbances` are lists of (start, end) by name of the instance, with which the ids
        of requests begin."""
        crashes = sorted(self.crashes_by_body.get(body, []))
        if len(crashes) < 3:
            return []
        later = []
        for run in self.runs(body):
            sender = run["headers"]["Cowslipknot-Request-Id"].partition(".")[0]
            disturbed = any(start <= run["time"] <= end + CONTACT_S
                            for start, end in (disturbances or {}).get(sender, []))
            if run["time"] > crashes[2] + CONTACT_S and not disturbed:
                later.append(run["time"])
        return later


class Caller:
    """Repeats a request at one instance, each time after a pause, until it is stopped."""

    def __init__(self, gateway, path, body, pause_s=0.25, timeout_s=15, **headers):
        self.gateway = gateway
        self.path = path
        self.body = body
        self.pause_s = pause_s
        self.timeout_s = timeout_s
        self.headers = headers
        self.answers = []  # (time, status or 0, result code or "")
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number = 0
        while not self.stopped.is_set():
            number += 1
            body = self.body(number) if callable(self.body) else self.body
            request = f"{self.gateway.name}.{id(self):x}.{number}"
            status, code = send(self.gateway, self.path, request, body, self.timeout_s,
                                **self.headers)
            self.answers.append((time.monotonic(), status, code))
            self.stopped.wait(self.pause_s)

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def statuses(self, since=0.0):
        return [status for at, status, _ in self.answers if at >= since]

    def codes(self):
        return [code for _, _, code in self.answers]


def send(gateway, path, request, body, timeout_s=15, **headers):
    """Returns status and result code, or 0 and nothing for a connection that ended."""
    connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=timeout_s)
    fields = {"Host": "h.example", "Cowslipknot-Request-Id": request,
              "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": "3000"}
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    try:
        connection.request("POST", path, body=body, headers=fields)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers.get("X-Result-Code") or ""
    except (http.client.HTTPException, OSError):
        return 0, ""
    finally:
        connection.close()
