"""Tests that a gateway answers each request that it accepted, also beside timeouts, silent
servers and configuration changes."""

import http.client
import signal
import socket
import threading
import time
import unittest

from configuration_documents import configuration
from platform_test_case import PlatformTestCase

IDLE_TIMEOUT_S = 1.0
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
CALLER_PATIENCE_S = 2.4  # eight allowed gaps of the streams in configuration()
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 1000}


def limits(idle_s):
    return dict(LIMITS, idle_timeout_ms=int(idle_s * 1000))


class LostRequestTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(limits=limits(IDLE_TIMEOUT_S)))

    def start(self, service="plain", count=1):
        self.backends = []
        for number in range(count):
            self.backends.append(self.start_backend(f"b{number}", service))
        return self.start_gateway()

    @staticmethod
    def send(connection, request, path="/safe/x"):
        connection.request("POST", path, body=b"hello", headers={
            "Host": "h.example", "Cowslipknot-Request-Id": request,
            "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": "3000"})

    def assert_answered(self, connection, status=200):
        answer = connection.getresponse()
        answer.read()
        self.assertEqual(answer.status, status)

    # Guards against dropping a request that arrived before its idle connection's
    # timeout was handled.
    def test_request_that_arrived_before_a_late_idle_timeout_is_answered(self):
        gateway = self.start()
        for attempt in range(5):
            connection = gateway.connect()
            self.send(connection, f"a{attempt}")
            self.assert_answered(connection)
            time.sleep(IDLE_TIMEOUT_S * 0.6)
            gateway.child.send_signal(signal.SIGSTOP)
            self.send(connection, f"b{attempt}")
            time.sleep(IDLE_TIMEOUT_S * 0.6)
            gateway.child.send_signal(signal.SIGCONT)
            self.assert_answered(connection)
            connection.close()

    # Guards against closing a connection by an idle timeout that was raised meanwhile.
    def test_raised_idle_timeout_holds_for_connections_that_are_idle_already(self):
        gateway = self.start()
        connection = gateway.connect()
        self.send(connection, "a1")
        self.assert_answered(connection)
        self.store.put("op", "config", configuration(2, limits=limits(5)))
        time.sleep(IDLE_TIMEOUT_S * 2)
        self.send(connection, "a2")
        self.assert_answered(connection)

    # Guards against dropping a request that had arrived when a planned stop closed its
    # idle connection.
    def test_request_that_arrived_before_a_planned_stop_closes_is_answered(self):
        self.store.put("op", "config", configuration(2, limits=limits(20)))
        gateway = self.start()
        connections = [gateway.connect() for _ in range(10)]
        for number, connection in enumerate(connections):
            self.send(connection, f"a{number}")
            self.assert_answered(connection)
        gateway.child.send_signal(signal.SIGTERM)
        time.sleep(2.2)  # before idle connections are closed
        gateway.child.send_signal(signal.SIGSTOP)
        for number, connection in enumerate(connections):
            self.send(connection, f"b{number}")
        time.sleep(0.8)  # the stop's timer has expired meanwhile
        gateway.child.send_signal(signal.SIGCONT)
        for connection in connections:
            self.assert_answered(connection)

    def stream(self, gateway, request="r1"):
        started = time.monotonic()
        status, _, body = gateway.call("/stream/x", request_id=request,
                                       Cowslipknot_Token_Count="100,10")
        self.assertEqual((status, body), (200, EVENTS))
        return time.monotonic() - started

    # Guards against cutting a stream whose server is silent for a second, where no other
    # server could go on with it.
    def test_stream_of_the_only_server_survives_a_silent_second(self):
        gateway = self.start("model")
        self.backends[0].pending_faults = ["silent"]
        self.stream(gateway)
        self.assertEqual(len(self.backends[0].runs), 1)

    # Guards against leaving sound servers, and cutting streams at last, because a silence
    # falls inside an event.
    def test_streams_survive_a_silence_inside_an_event(self):
        gateway = self.start("model", count=2)
        for backend in self.backends:
            backend.pending_faults = ["silent_inside"]
            backend.silence_s = 1.0
        status, _, body = gateway.call("/stream/x", Cowslipknot_Token_Count="100,10")
        self.assertEqual((status, body), (200, EVENTS))
        self.assertEqual(sum(len(backend.runs) for backend in self.backends), 1)

    # Guards against cutting streams when the next server declines, or is silent as well.
    def test_streams_survive_a_silent_second_of_all_servers(self):
        gateway = self.start("model", count=2)
        for backend in self.backends:
            backend.pending_faults = ["silent"]
        self.stream(gateway)

    def test_stream_survives_a_silent_second_while_the_other_server_is_full(self):
        gateway = self.start("model", count=2)
        for number in range(2):
            self.backends[number].pending_faults = ["silent"]
            self.backends[1 - number].pending_faults = ["reject"] * 3
            self.stream(gateway, f"r{number}")

    # Guards against waiting for a silent server for longer than its caller does.
    def test_stream_of_a_server_that_stays_silent_resumes_before_its_caller_leaves(self):
        gateway = self.start("model", count=2)
        for backend in self.backends:
            backend.silence_s = 10
        self.backends[0].pending_faults = ["silent"]
        for number in range(3):
            self.assertLess(self.stream(gateway, f"r{number}"), CALLER_PATIENCE_S)
        self.assertFalse(self.backends[0].pending_faults)

    # Guards against cutting a broken stream when the servers left are full for a moment.
    def test_broken_stream_resumes_when_a_full_server_accepts_again(self):
        gateway = self.start("model", count=2)
        self.backends[0].pending_faults = ["crash", "reject"]
        self.backends[1].pending_faults = ["reject"]
        self.stream(gateway)


if __name__ == "__main__":
    unittest.main()
