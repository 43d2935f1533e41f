"""Tests a gateway against servers that answer an upload before they have read it, and break off
or answer what is no answer."""

import http.client
import socket
import struct
import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

PART = b"a part of the answer"
MAX_BODY_BYTES = 8 << 20
SIZES = (60_000, 400_000, 4_000_000)
RECEIVE_BUFFER_BYTES = 4096  # of the server, so that it has not received the upload
HEAD_END = b"\r\n\r\n"
PAUSE_S = 0.05  # for what was sent to be read
ENDS = ("reset", "close", "half closed, then reset")


class EarlyServer:
    """Answers each request once it has read its head, with a 200 that has no length and a part
    of its body, and ends the connection."""

    def __init__(self, end):
        self.end = end
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self):
        self.listener.close()

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
        fields = dict(line.split(b": ", 1) for line in received.split(b"\r\n")[1:-2])
        request = fields[b"Cowslipknot-Request-Id"]
        connection.sendall(b"HTTP/1.1 200 OK\r\nCowslipknot-Request-Id: " + request
                           + b"\r\nCowslipknot-Server-Signature: sig\r\n\r\n" + PART)
        if self.end == "half closed, then reset":
            connection.shutdown(socket.SHUT_WR)
        time.sleep(PAUSE_S)
        if "reset" in self.end:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))


class EarlyAnswerTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        document = configuration()
        document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        self.store.put("op", "config", document)
        self.gateway = self.start_gateway()
        self.requests = 0

    def start_early_server(self, end):
        server = EarlyServer(end)
        self.addCleanup(server.stop)
        self.store.put("servers", "early", {
            "service": "plain", "address": server.address, "zone": "z1", "version": "v1",
            "slots": 4, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1})
        return server

    def call(self, path, body):
        """Returns the status, and whether a part was taken for a complete answer."""
        self.requests += 1
        try:
            status, _, answer = self.gateway.call(path, f"r{self.requests}", body=body)
        except (http.client.HTTPException, OSError):
            return 0, False
        return status, status == 200

    # Guards against a part of an answer that a caller takes for all of it, because the answer has
    # no length and the reset of its connection is not seen.
    def test_part_of_an_answer_to_an_upload_is_not_whole(self):
        for end in ENDS:
            server = self.start_early_server(end)
            eventually(lambda: self.call("/safe/x", b"") and server.requests > 0)
            for path in ("/safe/x", "/once/x"):
                for size in SIZES:
                    with self.subTest(end=end, path=path, size=size):
                        status, whole = self.call(path, b"x" * size)
                        self.assertFalse(whole, self.gateway.log_events()[-3:])
                        self.assertNotIn(status, (408, 421, 429, 503))
            self.store.delete("servers", "early")

    # Guards against a status that is none, which a caller gets as an answer.
    def test_answer_without_a_status_of_the_protocol_is_none(self):
        backends = [self.start_backend("b1"), self.start_backend("b2")]
        eventually(lambda: self.call("/safe/x", b"")[0] == 200)
        for status in (b"000", b"099", b"600", b"999"):
            answer = (b"HTTP/1.1 " + status + b" Odd\r\nCowslipknot-Request-Id: {id}\r\n"
                      b"Cowslipknot-Server-Signature: sig\r\nContent-Length: 3\r\n\r\nodd")
            for path in ("/once/x", "/safe/x"):
                with self.subTest(status=status, path=path):
                    for backend in backends:
                        backend.pending_faults = [fakes.RawAnswer(answer)]
                    self.assertIn(self.call(path, b"")[0], (500, 502, 504))
                    self.assertLess(sum(len(backend.pending_faults) for backend in backends), 2)
                    for backend in backends:
                        backend.pending_faults = []


if __name__ == "__main__":
    unittest.main()
