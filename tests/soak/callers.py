"""Callers that reuse their connections and record the result of each request."""

import dataclasses
import http.client
import random
import threading
import time

from environment import (
    EVENTS_PER_STREAM, LIMITED_KEY, REPEATING_KEY, crashing_body, idle_limit_s, key_of)
from record import NOT_EXECUTED_STATUSES

DEADLINE_MS = 3000
MEAN_REQUEST_INTERVAL_S = 0.08  # mean time that a caller waits between two requests
CALLER_COUNT = 10
LONG_PAUSE_SHARE = 0.03  # share of pauses that use most of the limit on idle connections
IDLE_LIMIT_FRACTION = 0.8  # callers reuse connections for this much of the limit
ABANDONED_SHARE = 0.03  # share of streams that the caller abandons
PROMPT_TOKENS = 300
OUTPUT_TOKENS = 40
MAX_REPEATS = 4  # of a request that was not executed
REPEAT_PAUSE_S = (0.0, 0.05)
MAX_RETRY_AFTER_S = DEADLINE_MS / 1000 / 3  # patient callers wait no longer
OTHER_GATEWAY_SHARE = 0.2  # share of repeats that may go to another gateway
POLLED_SHARE = 0.15  # share of requests that are alike but for their ids
POLLED_BODY = b"polled"
CRASHING_CALLERS = 2  # that send the same crashing request
MEAN_CRASHING_INTERVAL_S = 0.25  # between two requests of one of them
UNSIZED_REQUEST_TOKENS = 10  # quota cost of a request that does not state its size

KIND_WEIGHTS = {"safe": 25, "once": 25, "open": 10, "stream": 20, "stream1": 8, "probe": 12}


@dataclasses.dataclass
class Call:
    """One request as its caller saw it. Times are seconds of the monotonic clock."""
    request: str
    kind: str
    gateway: str
    boot: int  # number of restarts of the gateway process before the request
    key: str
    tokens: int
    sent: float
    body: bytes = b""
    ended: float = 0.0
    status: int = 0  # 0: no complete response header was received
    whole: bool = False  # the complete body was received
    correct: bool = False
    signature: str = ""
    execution: str = ""
    result_code: str = ""
    retry_after: str = ""
    answered: float = 0.0  # when the response header was received
    abandoned: float = 0.0  # when the caller closed the connection early; or 0

    def was_refused(self):
        """Whether the gateway said that the request was not executed and never will be."""
        return self.whole and self.status in NOT_EXECUTED_STATUSES and not self.signature


class Caller:
    """Sends requests one after the other, on one connection at a time. Every second caller
    repeats those that were not executed, with the same id; half of these do so at once."""

    def __init__(self, number, seed, environment, stopped):
        self.rng = random.Random(f"{seed}/{number}")
        self.repeat_rng = random.Random(f"{seed}/{number}/repeats")
        self.polled_rng = random.Random(f"{seed}/{number}/polled")
        self.number = number
        self.max_repeats = MAX_REPEATS if number % 2 == 0 else 0
        self.max_wait_s = 0 if number % 4 == 0 else MAX_RETRY_AFTER_S
        self.environment = environment
        self.stopped = stopped
        self.calls = []
        self.instance = None
        self.connection = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        count = 0
        while not self.stopped.is_set():
            self.stopped.wait(self._draw_pause_s())
            kind = self.rng.choices(list(KIND_WEIGHTS), weights=KIND_WEIGHTS.values())[0]
            polled = kind != "probe" and self.polled_rng.random() < POLLED_SHARE
            self._call_until_executed(f"c{self.number}-{count}", kind, polled)
            count += 1

    def _call_until_executed(self, request, kind, polled=False):
        if polled:
            call = self._call(request, kind, "" if kind == "open" else REPEATING_KEY, POLLED_BODY)
        else:
            call = self._call(request, kind)
        for _ in range(self.max_repeats):
            if call is None or not call.was_refused() or self.stopped.is_set():
                return
            pause_s = (min(float(call.retry_after or 0), self.max_wait_s)
                       + self.repeat_rng.uniform(*REPEAT_PAUSE_S))
            if pause_s > self._max_idle_s() or self.repeat_rng.random() < OTHER_GATEWAY_SHARE:
                self._disconnect()
            self.stopped.wait(pause_s)
            call = self._call(request, kind, call.key, call.body)

    def _draw_pause_s(self):
        if self.rng.random() < LONG_PAUSE_SHARE:
            return self._max_idle_s()
        return self.rng.expovariate(1 / MEAN_REQUEST_INTERVAL_S)

    def _max_idle_s(self):
        """For how long an idle connection is kept."""
        return IDLE_LIMIT_FRACTION * idle_limit_s(self.environment.current_index())

    def _connect(self):
        instances = list(self.environment.instances.values())
        ready = [instance for instance in instances if instance.in_rotation]
        self.instance = self.rng.choice(ready or instances)
        direct = self.rng.random() < 0.5
        host, port = ("127.0.0.1", self.instance.gateway.port) if direct else \
            self.instance.forwarded_address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=8)
        self.connection.connect()

    def _disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _draw_key(self):
        """Draws an API key: the limited one, one just revoked, or a valid one."""
        index = self.environment.current_index()
        draw = self.rng.random()
        if draw < 0.2:
            return LIMITED_KEY
        if draw < 0.35:
            return key_of(max(0, index - 1))
        return key_of(index + 1 if draw < 0.6 else index)

    def _call(self, request, kind, key=None, body=None):
        """Returns the call, or None if there was no connection. Draws a key if none is given,
        and sends a body that no other request has."""
        try:
            if self.connection is None:
                self._connect()
        except OSError:
            self._disconnect()
            return None
        if key is None:
            key = "" if kind in ("open", "probe") else self._draw_key()
        prompt = PROMPT_TOKENS if kind in ("stream", "stream1") else 0
        headers = {"Host": "h.example", "Cowslipknot-Request-Id": request,
                   "Cowslipknot-Deadline-Ms": str(DEADLINE_MS)}
        if key:
            headers["Authorization"] = f"Token {key}"
        if prompt:
            headers["Cowslipknot-Token-Count"] = f"{prompt},{OUTPUT_TOKENS}"
        call = Call(request, kind, self.instance.name, self.instance.boot, key,
                    prompt + OUTPUT_TOKENS if prompt else UNSIZED_REQUEST_TOKENS,
                    time.monotonic(), body or f"body of {request}".encode())
        self.calls.append(call)
        try:
            self.connection.request("POST", f"/{kind}/x", body=call.body, headers=headers)
            answer = self.connection.getresponse()
            call.answered = time.monotonic()
            call.status = answer.status
            call.signature = answer.headers["Cowslipknot-Server-Signature"] or ""
            call.execution = answer.headers["X-Execution"] or ""
            call.result_code = answer.headers["X-Result-Code"] or ""
            call.retry_after = answer.headers["Retry-After"] or ""
            if prompt and call.status == 200 and self.rng.random() < ABANDONED_SHARE:
                answer.read(1)
                call.abandoned = time.monotonic()
                self._disconnect()
                return call
            received = answer.read()
            call.whole = True
            call.correct = received == expected_body(kind, call.body)
            if answer.will_close:
                self._disconnect()
        except (OSError, http.client.HTTPException):
            self._disconnect()
        finally:
            call.ended = time.monotonic()
        return call


class CrashingCaller(Caller):
    """Sends one request that crashes servers again and again, each time to any gateway, for
    the time of a fault, whose target is the kind of the request."""

    def __init__(self, number, seed, environment, start, fault):
        self.fault = fault
        self.begin = start + fault.at_s
        self.body = crashing_body(environment.service_of(fault.target))
        super().__init__(number, seed, environment, threading.Event())

    def _run(self):
        time.sleep(max(0.0, self.begin - time.monotonic()))
        count = 0
        with self.environment.fault_period(self.fault.target, self.fault.kind):
            while time.monotonic() < self.begin + self.fault.for_s:
                self._call(f"{self.fault.target}{self.number}-{count}", self.fault.target,
                           REPEATING_KEY, self.body)
                self._disconnect()
                count += 1
                time.sleep(self.rng.expovariate(1 / MEAN_CRASHING_INTERVAL_S))


def expected_body(kind, body):
    if kind in ("stream", "stream1"):
        return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n)
                        for n in range(1, EVENTS_PER_STREAM + 1))
    return b"echo:" + body
