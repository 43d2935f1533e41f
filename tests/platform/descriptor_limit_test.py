"""Tests what a gateway does when its file descriptors run out."""

import http.client
import os
import resource
import socket
import threading
import time
import unittest

from configuration_documents import configuration, route, routes, services
from gateway_process import eventually
from platform_test_case import PlatformTestCase

DESCRIPTORS = 256  # of the gateway
MANY = 300
SERVED_S = 3.0
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 20000,
          "idle_timeout_ms": 30000}


class DescriptorLimitTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.publish(1)
        self.backends = [self.start_backend(f"b{number}") for number in range(2)]

    def publish(self, version, **fields):
        self.store.put("op", "config", configuration(
            version, limits=LIMITS, services=services(max_conns=1000), **fields))

    def start(self):
        # A process inherits the limits of the one that starts it.
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, limits[1]))
        try:
            gateway = self.start_gateway(wait=False)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        eventually(gateway.ready)
        return gateway

    def hold(self, port, count=MANY, data=b""):
        """Opens connections and leaves them open until they are closed or the test ends."""
        held = []
        for _ in range(count):
            connection = socket.create_connection(("127.0.0.1", port), timeout=10)
            self.addCleanup(connection.close)
            if data:
                connection.sendall(data)
            held.append(connection)
        return held

    def assert_serves(self, gateway, request="last", path="/once/x"):
        started = time.monotonic()
        status, headers, body = gateway.call(path, request_id=request)
        self.assertEqual(status, 200, (dict(headers), body))
        self.assertLess(time.monotonic() - started, SERVED_S)

    @staticmethod
    def logged(gateway, name, **fields):
        return [event for event in gateway.log_events() if event["name"] == name
                and all(event[key] == value for key, value in fields.items())]

    # Guards against idle callers that leave no descriptor for others, the servers, the store
    # and the readiness check.
    def test_idle_callers_do_not_keep_an_instance_from_serving(self):
        gateway = self.start()
        self.hold(gateway.port)
        time.sleep(0.5)
        for number in range(10):
            self.assert_serves(gateway, f"r{number}")
        self.assertTrue(gateway.ready())
        self.publish(2, route_list=routes() + [route("new", "/new/", "safe", "plain")])
        eventually(lambda: gateway.call("/new/x", "n1")[0] == 200)
        self.assertEqual(self.logged(gateway, "attempt_failed"), [])
        self.assertTrue(self.logged(gateway, "connection_limit_reached", action="idle_closed"))
        self.assertIn('cowslipknot_connection_limit_total{action="idle_closed"}',
                      gateway.metrics())

    # Guards against accepting that stops without a log line, and does not resume at once.
    def test_accepting_pauses_while_no_connection_is_idle(self):
        gateway = self.start()
        held = self.hold(gateway.port, data=b"POST /once/x HTTP/1.1\r\nHost: h")
        eventually(lambda: self.logged(gateway, "connection_limit_reached",
                                       action="accept_paused"))
        self.assertTrue(gateway.ready())
        paused = len(self.logged(gateway, "connection_limit_reached"))
        time.sleep(2)
        self.assertLessEqual(len(self.logged(gateway, "connection_limit_reached")), paused + 3)
        for connection in held:
            connection.close()
        self.assert_serves(gateway)

    # Guards against counting a connection that this instance lacks the descriptor for against
    # its server, until no server is left.
    def test_requests_beyond_the_descriptors_do_not_count_against_servers(self):
        gateway = self.start()
        process = gateway.child.pid
        limits = resource.prlimit(process, resource.RLIMIT_NOFILE)
        open_now = len(os.listdir(f"/proc/{process}/fd"))
        resource.prlimit(process, resource.RLIMIT_NOFILE, (open_now + 30, limits[1]))
        answers = self.call_at_once(gateway, 100)
        resource.prlimit(process, resource.RLIMIT_NOFILE, limits)
        self.assertEqual({answer for answer in answers if answer[0] != 200} -
                         {(503, "not-run")}, set())
        self.assertEqual(self.logged(gateway, "attempt_failed", code="3001"), [])
        self.assertTrue(self.logged(gateway, "descriptors_exhausted"))
        self.assert_serves(gateway)

    # Guards against a part for servers that is smaller than what the callers' part brings.
    def test_requests_that_the_descriptors_can_carry_are_served(self):
        gateway = self.start()
        self.assertEqual({answer[0] for answer in self.call_at_once(gateway, 100)}, {200})
        self.assertEqual(self.logged(gateway, "descriptors_exhausted"), [])

    # Guards against slow senders that keep out the load balancer's check.
    def test_half_sent_requests_do_not_silence_the_readiness_check(self):
        gateway = self.start()
        self.assert_serves(gateway)
        for port in (gateway.ready_port, gateway.metrics_port):
            self.hold(port, count=40, data=b"GET /")
        time.sleep(0.5)
        started = time.monotonic()
        self.assertTrue(gateway.ready())
        self.assertTrue(gateway.metrics())
        self.assertLess(time.monotonic() - started, 2)

    def call_at_once(self, gateway, count):
        """Sends requests at the same time to servers that take a second; returns answers."""
        for backend in self.backends:
            backend.answer_pause_s = 1.0
        answers = []

        def call(number):
            try:
                status, headers, _ = gateway.call("/once/x", f"r{number}",
                                                  Cowslipknot_Deadline_Ms="8000")
                answers.append((status, headers["X-Execution"]))
            except (OSError, http.client.HTTPException) as error:
                answers.append((0, repr(error)))
        threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for backend in self.backends:
            backend.answer_pause_s = 0.0
        return answers

    def assert_serves_beside_connections_to(self, name):
        gateway = self.start()
        self.hold(getattr(gateway, name))
        time.sleep(0.5)
        self.assert_serves(gateway)
        eventually(gateway.ready)
        self.assertTrue(gateway.metrics())

    # Guards against connections of other instances, or to the readiness and metrics
    # addresses, that leave no descriptor for callers.
    def test_connections_of_peers_leave_descriptors(self):
        self.assert_serves_beside_connections_to("peers_port")

    def test_connections_to_the_readiness_check_leave_descriptors(self):
        self.assert_serves_beside_connections_to("ready_port")

    def test_connections_to_the_metrics_leave_descriptors(self):
        self.assert_serves_beside_connections_to("metrics_port")


if __name__ == "__main__":
    unittest.main()
