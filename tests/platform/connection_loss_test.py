"""Tests that requests and responses survive what the operating system does with connections:
queues of new connections, resets with unread bytes, half-closed and slow callers."""

import http.client
import signal
import socket
import threading
import time
import unittest

import fakes
from configuration_documents import configuration, services
from gateway_process import eventually
from platform_test_case import PlatformTestCase

STOP_S = 6
ACCEPTS_S = 2.6  # after SIGTERM
QUEUED = 60
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 5000,
          "idle_timeout_ms": 20000}
LARGE = 3_000_000  # more than the buffers of the operating system hold


def request(number, body=b"hello", path="/safe/x", length=None, extra=""):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\n"
            f"Cowslipknot-Request-Id: r{number}\r\nCowslipknot-Deadline-Ms: 5000\r\n"
            f"{extra}Content-Length: {len(body) if length is None else length}\r\n\r\n"
            ).encode() + body


def read_answer(connection):
    """Returns status, headers and body."""
    answer = http.client.HTTPResponse(connection, method="POST")
    answer.begin()
    return answer.status, answer.headers, answer.read()


class ConnectionLossTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(
            limits=LIMITS, services=services(max_conns=1000)))
        self.backend = self.start_backend("b0")

    def connect(self, gateway, receive_bytes=0):
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.settimeout(20)
        connection.connect(("127.0.0.1", gateway.port))
        self.addCleanup(connection.close)
        return connection

    def send_many(self, gateway, count=QUEUED):
        connections = [self.connect(gateway) for _ in range(count)]
        for number, connection in enumerate(connections):
            connection.sendall(request(number))
        return connections

    def answers(self, connections):
        """Returns the status of each answer, or how its connection ended."""
        ends = []
        for connection in connections:
            try:
                ends.append(read_answer(connection)[0])
            except (OSError, http.client.HTTPException) as error:
                ends.append(type(error).__name__)
        return ends

    def assert_queued_are_answered(self, successor=False):
        gateway = self.start_gateway()
        gateway.child.send_signal(signal.SIGTERM)
        time.sleep(ACCEPTS_S - 0.4)
        gateway.child.send_signal(signal.SIGSTOP)
        connections = self.send_many(gateway)
        if successor:
            other = self.start_gateway(name="gw2", port=gateway.port)
        time.sleep(0.8)
        gateway.child.send_signal(signal.SIGCONT)
        ends = self.answers(connections)
        self.assertEqual(set(ends) - {200, 503}, set(), ends)
        gateway.child.wait(timeout=STOP_S + 5)
        if successor:
            self.assertEqual(other.call("/safe/x", "last")[0], 200)

    # Guards against resetting connections that the operating system had accepted, with whole
    # requests, when a planned stop closes the listener.
    def test_requests_in_the_queue_of_a_listener_that_closes_are_answered(self):
        self.assert_queued_are_answered()

    def test_the_same_beside_a_successor_on_the_address(self):
        self.assert_queued_are_answered(successor=True)

    # Guards against losing what callers sent while the process did not run.
    def test_requests_that_arrive_while_the_process_is_paused_are_answered(self):
        gateway = self.start_gateway()
        gateway.child.send_signal(signal.SIGSTOP)
        connections = self.send_many(gateway, 200)
        time.sleep(1)
        gateway.child.send_signal(signal.SIGCONT)
        ends = self.answers(connections)
        self.assertEqual(set(ends) - {200, 503}, set(), ends)
        self.assertGreater(ends.count(200), len(ends) / 2)

    # Guards against a reset with unread bytes that takes the response with it: the caller
    # sends on after an early rejection.
    def test_rejection_of_a_body_that_is_not_read_arrives(self):
        gateway = self.start_gateway()
        for number in range(10):
            connection = self.connect(gateway)
            connection.sendall(request(number, b"x" * 60000, length=10_000_000))
            for _ in range(20):
                try:
                    connection.sendall(b"x" * 60000)
                except OSError:
                    break
                time.sleep(0.01)
            self.assertEqual(read_answer(connection)[0], 413)

    # Guards against the same with requests that follow the one that closes.
    def test_response_arrives_although_more_requests_follow(self):
        gateway = self.start_gateway()
        connection = self.connect(gateway)
        first = request(0, extra="Connection: close\r\n")
        connection.sendall(first + b"".join(request(n) for n in range(1, 50)))
        time.sleep(0.5)
        self.assertEqual(read_answer(connection)[0], 200)

    # Guards against cutting a response that the caller reads slowly, and against one that
    # keeps others waiting.
    def test_slow_reader_gets_the_whole_response_and_delays_nobody(self):
        gateway = self.start_gateway()
        self.respond_with(LARGE)
        connection = self.connect(gateway, receive_bytes=4096)
        connection.sendall(request(1))
        time.sleep(0.3)
        longest = 0.0
        for number in range(20):
            started = time.monotonic()
            self.assertEqual(gateway.call("/safe/x", f"q{number}")[0], 200)
            longest = max(longest, time.monotonic() - started)
        self.assertLess(longest, 1.0)
        time.sleep(1.5)
        status, _, body = read_answer(connection)
        self.assertEqual((status, len(body)), (200, LARGE))

    def respond_with(self, size):
        self.backend.pending_faults = [fakes.RawAnswer(
            b"HTTP/1.1 200 OK\r\nCowslipknot-Request-Id: {id}\r\n"
            b"Cowslipknot-Server-Signature: sig\r\nContent-Length: %d\r\n\r\n" % size
            + b"x" * size)]

    # Guards against bytes of a response that are lost because the process ends while its
    # caller is still reading.
    def test_response_that_is_being_read_when_the_process_ends_arrives(self):
        gateway = self.start_gateway()
        self.respond_with(400_000)
        connection = self.connect(gateway, receive_bytes=4096)
        connection.sendall(request(1))
        eventually(lambda: self.backend.runs)
        gateway.child.send_signal(signal.SIGTERM)
        gateway.child.wait(timeout=STOP_S + 5)
        status, _, body = read_answer(connection)
        self.assertEqual((status, len(body)), (200, 400_000))

    # Guards against work for a caller that has gone: a close and a half-close look the same.
    def test_half_closed_caller_counts_as_gone(self):
        gateway = self.start_gateway()
        self.backend.answer_pause_s = 3
        self.backend.pending_faults = ["mute"]
        connection = self.connect(gateway)
        connection.sendall(request(1))
        eventually(lambda: self.backend.runs)
        connection.shutdown(socket.SHUT_WR)
        started = time.monotonic()
        self.assertEqual(connection.recv(1), b"")
        eventually(lambda: "r1" in self.backend.disconnects)
        self.assertLess(time.monotonic() - started, 1.0)

    # Guards against a request that is cut in the middle of its body by a planned stop, and
    # one that follows on a kept connection.
    def test_requests_that_arrive_in_pieces_during_a_planned_stop_are_answered(self):
        gateway = self.start_gateway()
        ends = []

        def call(number):
            connection = self.connect(gateway)
            wire = request(number, b"x" * 1000)
            try:
                for _ in range(100):
                    connection.sendall(wire[:400])
                    time.sleep(0.03)
                    connection.sendall(wire[400:])
                    status, headers, _ = read_answer(connection)
                    ends.append(status)
                    if headers["Connection"] == "close":
                        return
            except (OSError, http.client.HTTPException) as error:
                ends.append(type(error).__name__)
        threads = [threading.Thread(target=call, args=(number,)) for number in range(30)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        gateway.child.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(set(ends) - {200, 503}, set(), ends[-40:])


if __name__ == "__main__":
    unittest.main()
