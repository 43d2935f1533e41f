"""Tests what a gateway does when its file descriptors run out."""

import http.client
import resource
import threading
import time
import unittest

from configuration_documents import configuration, services
from gateway_process import eventually
from platform_test_case import PlatformTestCase

DESCRIPTORS = 256  # of the gateway
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

    def assert_serves(self, gateway, request="last", path="/once/x"):
        started = time.monotonic()
        status, headers, body = gateway.call(path, request_id=request)
        self.assertEqual(status, 200, (dict(headers), body))
        self.assertLess(time.monotonic() - started, SERVED_S)

    @staticmethod
    def logged(gateway, name, **fields):
        return [event for event in gateway.log_events() if event["name"] == name
                and all(event[key] == value for key, value in fields.items())]

    # Guards against counting a connection that this instance lacks the descriptor for against
    # its server, until no server is left.
    def test_requests_beyond_the_descriptors_do_not_count_against_servers(self):
        gateway = self.start()
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
        threads = [threading.Thread(target=call, args=(number,)) for number in range(200)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer for answer in answers if answer[0] != 200} -
                         {(503, "not-run")}, set())
        self.assertEqual(self.logged(gateway, "attempt_failed", code="3001"), [])
        self.assertTrue(self.logged(gateway, "descriptors_exhausted"))
        for backend in self.backends:
            backend.answer_pause_s = 0.0
        self.assert_serves(gateway)


if __name__ == "__main__":
    unittest.main()
