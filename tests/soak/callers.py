"""Callers that keep their connections, and record what they see."""

import dataclasses
import http.client
import random
import threading
import time

from world import EVENTS, LIMITED_KEY, key_of

DEADLINE_MS = 3000
PACE_S = 0.08  # mean pause of a caller between two requests
CALLERS = 10
ABANDONED = 0.03  # of the streams
PROMPT_TOKENS = 300
OUTPUT_TOKENS = 40
UNSIZED_TOKENS = 10  # what a request without a stated size costs

KINDS = {"safe": 25, "once": 25, "open": 10, "stream": 20, "stream1": 8, "probe": 12}


@dataclasses.dataclass
class Call:
    """One request as its caller saw it."""
    request: str
    kind: str
    gateway: str
    boot: int
    key: str
    tokens: int
    sent: float
    ended: float = 0.0
    status: int = 0  # 0: no whole header came
    whole: bool = False
    correct: bool = False
    signature: str = ""
    execution: str = ""
    abandoned: float = 0.0


class Caller:
    """Sends one request after the other to one gateway at a time."""

    def __init__(self, number, seed, world, stopped):
        self.random = random.Random(f"{seed}/{number}")
        self.number = number
        self.world = world
        self.stopped = stopped
        self.calls = []
        self.machine = None
        self.connection = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        count = 0
        while not self.stopped.is_set():
            time.sleep(self.random.expovariate(1 / PACE_S))
            kind = self.random.choices(list(KINDS), weights=KINDS.values())[0]
            self._call(f"c{self.number}-{count}", kind)
            count += 1

    def _connect(self):
        machines = list(self.world.machines.values())
        ready = [machine for machine in machines if machine.in_rotation]
        self.machine = self.random.choice(ready or machines)
        direct = self.random.random() < 0.5
        host, port = ("127.0.0.1", self.machine.gateway.port) if direct else \
            self.machine.front.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=8)
        self.connection.connect()

    def _disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _key(self):
        """A key that has a limit, was just taken away, or is in force."""
        index = self.world.current_index()
        drawn = self.random.random()
        if drawn < 0.2:
            return LIMITED_KEY
        if drawn < 0.35:
            return key_of(max(0, index - 1))
        return key_of(index + 1 if drawn < 0.6 else index)

    def _call(self, request, kind):
        try:
            if self.connection is None:
                self._connect()
        except OSError:
            self._disconnect()
            return
        key = "" if kind in ("open", "probe") else self._key()
        prompt = PROMPT_TOKENS if kind in ("stream", "stream1") else 0
        headers = {"Host": "h.example", "Cowslipknot-Request-Id": request,
                   "Cowslipknot-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Authorization"] = f"Token {key}"
        if prompt:
            headers["Cowslipknot-Token-Count"] = f"{prompt},{OUTPUT_TOKENS}"
        call = Call(request, kind, self.machine.name, self.machine.boot, key,
                    prompt + OUTPUT_TOKENS if prompt else UNSIZED_TOKENS,
                    time.monotonic())
        self.calls.append(call)
        body = f"body of {request}".encode()
        try:
            self.connection.request("POST", f"/{kind}/x", body=body, headers=headers)
            answer = self.connection.getresponse()
            call.status = answer.status
            call.signature = answer.headers["Cowslipknot-Server-Signature"] or ""
            call.execution = answer.headers["X-Execution"] or ""
            if prompt and call.status == 200 and self.random.random() < ABANDONED:
                answer.read(1)
                call.abandoned = time.monotonic()
                self._disconnect()
                return
            received = answer.read()
            call.whole = True
            call.correct = received == expected_body(kind, body)
            if answer.will_close:
                self._disconnect()
        except (OSError, http.client.HTTPException):
            self._disconnect()
        finally:
            call.ended = time.monotonic()


def expected_body(kind, body):
    if kind in ("stream", "stream1"):
        return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n)
                        for n in range(1, EVENTS + 1))
    return b"echo:" + body
