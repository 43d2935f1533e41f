"""Tests that what servers, callers, other instances and the store send does not exhaust a
gateway's memory, also over all of its connections."""

import http.client
import json
import socket
import struct
import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

MEMORY_MB = 64  # limit of the gateway
SENDERS = 100
PIECE_BYTES = 900_000  # below each bound of a single response, request or frame
MAX_BODY_BYTES = 4 << 20
HOLD_S = 1.5
CLOSED_S = 1.0
BLOCK = b"x" * 65536
CONNECTIONS = 1500
HEADER_BYTES = 64 << 10


class HeldBody:
    """A backend server's part of a body, after which it sends nothing until it is left."""

    data = (b"HTTP/1.1 200 OK\r\nCowslipknot-Request-Id: {id}\r\n"
            b"Cowslipknot-Server-Signature: sig\r\nContent-Length: 1000000\r\n\r\n"
            + b"x" * PIECE_BYTES)


class EndlessTable(fakes.Store):
    """Says of each page of rows that more follow, when `endless`."""

    endless = False
    page = 0

    def read(self, table):
        answer = super().read(table)
        if self.endless:
            self.page += 1
            answer["truncated"] = True
            answer["rows"] = [fakes.encode_row(table, f"k{self.page}.{number}",
                                               {"value": b"y" * 2000, "ver": 1})
                              for number in range(400)]
        return answer


class MemoryBoundTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(limits={
            "max_header_bytes": 8192, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 1000, "idle_timeout_ms": 5000}))

    def start(self):
        self.backend = self.start_backend("b0")
        return self.start_gateway(memory_mb=MEMORY_MB)

    def assert_bounded(self, gateway):
        self.assertIsNone(gateway.child.poll())
        self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)
        self.assertEqual(gateway.call("/once/x", request_id="last")[0], 200)

    @staticmethod
    def run_all(target, count=SENDERS):
        threads = [threading.Thread(target=target, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    # Guards against many responses, each within its bound, taking all memory of the process.
    def test_bodies_of_many_responses_that_do_not_end_leave_memory(self):
        gateway = self.start()
        self.backend.pending_faults = [fakes.RawAnswer(HeldBody.data, holds=True)] * SENDERS
        statuses = []

        def call(number):
            try:
                statuses.append(gateway.call("/once/x", request_id=f"r{number}")[0])
            except (OSError, http.client.HTTPException) as error:
                statuses.append(repr(error))
        self.run_all(call)
        self.assertEqual(len(statuses), SENDERS)
        self.assertEqual(set(statuses) - {502, 504}, set(), gateway.history())
        # A response that no request took would be that of the next one.
        self.assertEqual(self.backend.pending_faults, [], gateway.history())
        self.assert_bounded(gateway)

    # Guards against a caller's chunk header or trailer without end.
    def test_endless_framing_of_a_request_is_rejected(self):
        gateway = self.start()
        for beginning in (b"5;", b"0\r\nX-Filler: "):
            with socket.create_connection(("127.0.0.1", gateway.port)) as caller:
                caller.sendall(b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                               b"Cowslipknot-Request-Id: r1\r\nAuthorization: Token key1\r\n"
                               b"Transfer-Encoding: chunked\r\n\r\n" + beginning)
                closed_at = time.monotonic() + 5
                with self.assertRaises(OSError):
                    while time.monotonic() < closed_at:
                        caller.sendall(BLOCK)
            self.assert_bounded(gateway)

    # Guards against a caller that keeps a rejected connection open by sending on: what closes
    # it waits for the caller for 150 ms.
    def test_connection_is_closed_although_its_caller_sends_on(self):
        gateway = self.start()
        for _ in range(10):
            with socket.create_connection(("127.0.0.1", gateway.port)) as caller:
                caller.sendall(b"no request\r\n\r\n")
                started = time.monotonic()
                with self.assertRaises(OSError):
                    while time.monotonic() < started + CLOSED_S:
                        caller.sendall(BLOCK)

    # Guards against many request bodies, each within its bound, taking all memory; callers
    # that are turned away are told that their request did not run.
    def test_bodies_of_many_requests_leave_memory(self):
        gateway = self.start()
        statuses = []

        def call(number):
            connection = gateway.connect()
            connection.putrequest("POST", "/once/x", skip_host=True)
            for name, value in {"Host": "h.example", "Authorization": "Token key1",
                                "Cowslipknot-Request-Id": f"r{number}",
                                "Content-Length": str(MAX_BODY_BYTES)}.items():
                connection.putheader(name, value)
            try:
                connection.endheaders()
                for _ in range(PIECE_BYTES * 4 // len(BLOCK)):
                    connection.send(BLOCK)
                time.sleep(HOLD_S)
            except OSError:
                pass  # the answer may be there
            try:
                answer = connection.getresponse()
                statuses.append((answer.status, bool(answer.headers["Retry-After"])))
            except (OSError, http.client.HTTPException):
                pass
            connection.close()
        self.run_all(call, 40)
        self.assertIn((503, True), statuses)
        self.assertEqual([run for run in self.backend.runs
                          if run["headers"]["Cowslipknot-Request-Id"] != "last"], [])
        self.assert_bounded(gateway)

    # Guards against headers, each within its bound, and ordinary buffers of many connections
    # taking all memory.
    def assert_connections_leave_memory(self, beginning):
        self.store.put("op", "config", configuration(2, limits={
            "max_header_bytes": HEADER_BYTES, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000, "idle_timeout_ms": 5000}))
        gateway = self.start()
        callers = []
        for _ in range(CONNECTIONS):
            caller = socket.create_connection(("127.0.0.1", gateway.port), timeout=5)
            self.addCleanup(caller.close)
            try:
                caller.sendall(beginning)
            except OSError:
                pass  # it was rejected
            callers.append(caller)
        time.sleep(HOLD_S)
        self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)
        for caller in callers:
            caller.close()
        self.assert_bounded(gateway)

    def test_headers_of_many_connections_leave_memory(self):
        self.assert_connections_leave_memory(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Filler: " +
            b"x" * (HEADER_BYTES - 1000))

    def test_ordinary_bodies_of_many_connections_leave_memory(self):
        self.assert_connections_leave_memory(
            b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 16000\r\n\r\n" +
            b"x" * 15900)

    # Guards against other instances' frames, each within its bound, taking all memory.
    def test_frames_that_do_not_end_leave_memory(self):
        gateway = self.start()

        def send(_):
            with socket.create_connection(("127.0.0.1", gateway.peers_port)) as peer:
                try:
                    peer.sendall(struct.pack("<I", MAX_BODY_BYTES))
                    for _ in range(PIECE_BYTES * 4 // len(BLOCK)):
                        peer.sendall(BLOCK)
                    time.sleep(HOLD_S)
                except OSError:
                    pass  # it was closed
        self.run_all(send, 40)
        self.assert_bounded(gateway)

    # Guards against a peer that keeps memory by a frame that it does not finish.
    def test_frame_that_is_not_finished_is_given_up(self):
        gateway = self.start()
        with socket.create_connection(("127.0.0.1", gateway.peers_port), timeout=15) as peer:
            peer.sendall(struct.pack("<I", 1000) + b"x")
            self.assertEqual(peer.recv(1), b"")

    # Guards against a store whose table never ends.
    def test_table_without_end_leaves_memory(self):
        self.store.server.stop()
        self.store = EndlessTable()
        self.store.put("op", "config", configuration())
        self.addCleanup(self.store.server.stop)
        self.store.endless = True
        gateway = self.start_gateway(wait=False, memory_mb=MEMORY_MB)
        eventually(lambda: [event for event in gateway.log_events()
                            if "has no end" in json.dumps(event)])
        self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)
        self.store.endless = False
        eventually(gateway.ready)


if __name__ == "__main__":
    unittest.main()
