"""Failure case in which servers answer uploads before they have received them, and with what is no
answer."""

import http.client
import socket
import struct
import threading
import time

from case_support import AUTH_HEADERS, OBJECTS_PATH, CaseResult
from checker import Violation
from cluster import Cluster, http_json, wait_until

HEAD_END = b"\r\n\r\n"
PAUSE_S = 0.05  # for what was sent to be read
RECEIVE_BUFFER_BYTES = 4096  # so that an upload is not received whole
TIMEOUT_MS = 1500  # in which a lookup is repeated
SIZES = (60_000, 400_000, 900_000)


class EarlyServer:
    """Answers each request once it has read its head, and ends the connection.

    By the request's path: "reset" sends a part of a 200 that has no length and resets the
    connection, "half" ends its side first, and a number is sent as the status of an answer.
    """

    def __init__(self):
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.try_to_answer, args=(connection,), daemon=True).start()

    def try_to_answer(self, connection):
        try:
            with connection:
                self.answer(connection)
        except OSError:
            pass  # the caller has left

    def answer(self, connection):
        received = b""
        while HEAD_END not in received:
            piece = connection.recv(1)
            if not piece:
                return
            received += piece
        self.requests += 1
        lines = received.split(b"\r\n")
        request = next(line for line in lines if line.lower().startswith(b"x-request-id"))
        end = lines[0].split(b" ")[1].rsplit(b"/", 1)[1]
        if end.isdigit():
            connection.sendall(b"HTTP/1.1 " + end + b" Odd\r\n" + request
                               + b"\r\nContent-Length: 3\r\n\r\nodd")
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\n" + request + b"\r\n\r\na part")
        if end == b"half":
            connection.shutdown(socket.SHUT_WR)
        time.sleep(PAUSE_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def early_answers(options, seed):
    """A server answers uploads with a part of a 200 and resets the connection, or with a status
    that is none. No caller gets that as an answer, and none is told that nothing ran."""
    def send(cluster, path, size, key):
        headers = {**AUTH_HEADERS, "Idempotency-Key": key}
        try:
            status, fields, _ = http_json("POST", cluster.entry_address(0), path,
                                          {"upload": "x" * size}, headers, timeout=30)
            return status, fields["X-Execution"]
        except (http.client.HTTPException, OSError) as error:
            return 0, repr(error)

    with Cluster(seed=seed, entries=1, engines=1, plains=0, **options) as cluster:
        objects = cluster.folder / "objects.toml"
        objects.write_text(OBJECTS_PATH.read_text().replace("= 10000", f"= {TIMEOUT_MS}"))
        cluster.start_and_configure(objects)
        server = EarlyServer()
        http_json("POST", cluster.platform_address(), "/test/instances", {"upsert": [{
            "id": "early", "kind": "plain", "host": "127.0.0.1", "port": server.port,
            "domain": cluster.domain_of(0), "pool": "desks", "incarnation": 1, "leaving": False,
            "reclaimable": False, "price": 1.0}]})
        wait_until(lambda: any(row["server"] == "early" for row in cluster.status(0)["servers"]))
        violations = []
        answers = {}
        for kind in ("filings", "lookups"):
            for end in ("reset", "half", "000", "099", "600"):
                for size in (1,) if end.isdigit() else SIZES:
                    before = server.requests
                    status, execution = send(cluster, f"/{kind}/{end}", size,
                                             f"{kind}-{end}-{size}")
                    answers[f"{kind} {end} {size}"] = status
                    if server.requests == before:
                        violations.append(Violation("case", f"{kind} {end} {size}: not sent"))
                    elif status not in (502, 503, 504) or execution != "outcome-unknown":
                        violations.append(Violation(
                            "answers", f"{kind} {end} {size}: {status} {execution}"))
        server.listener.close()
        return CaseResult(violations, answers)
