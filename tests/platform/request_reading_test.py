"""Tests that a request is read under the configuration in force when it arrives, and that a
planned stop waits for requests that are being read."""

import signal
import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 100, "header_timeout_ms": 1000,
          "idle_timeout_ms": 20000}
LONG_BODY = b"x" * 5000
IDLE_CLOSE_S = 2.6  # from SIGTERM until idle connections are closed


def fields(request):
    return {"Host": "h.example", "Cowslipknot-Request-Id": request,
            "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": "3000"}


class RequestReadingTest(PlatformTestCase):
    def start(self, limits):
        self.store.put("op", "config", configuration(limits=limits))
        self.start_backend("b0")
        return self.start_gateway()

    def assert_status(self, connection, status):
        answer = connection.getresponse()
        answer.read()
        self.assertEqual(answer.status, status)

    # Guards against reading a request under the limits that were in force when its connection
    # became idle.
    def test_raised_size_limit_holds_for_connections_that_are_idle_already(self):
        gateway = self.start(LIMITS)
        kept = gateway.connect()
        self.addCleanup(kept.close)
        kept.request("POST", "/safe/x", body=b"hello", headers=fields("a1"))
        self.assert_status(kept, 200)
        self.store.put("op", "config",
                       configuration(2, limits=dict(LIMITS, max_body_bytes=100000)))
        eventually(lambda: gateway.call("/safe/x", body=LONG_BODY)[0] == 200)
        kept.request("POST", "/safe/x", body=LONG_BODY, headers=fields("a2"))
        self.assert_status(kept, 200)

    # Guards against ending the process while a request that began before idle connections
    # were closed is being read.
    def test_planned_stop_answers_a_request_that_is_being_read(self):
        gateway = self.start(dict(LIMITS, max_body_bytes=100000))
        kept = gateway.connect()
        self.addCleanup(kept.close)
        kept.request("POST", "/safe/x", body=b"hello", headers=fields("a1"))
        self.assert_status(kept, 200)
        gateway.child.send_signal(signal.SIGTERM)
        time.sleep(IDLE_CLOSE_S - 0.5)
        kept.putrequest("POST", "/safe/x", skip_host=True)
        for name, value in dict(fields("a2"), **{"Content-Length": "5000"}).items():
            kept.putheader(name, value)
        kept.endheaders(LONG_BODY[:1000])
        time.sleep(1)
        kept.send(LONG_BODY[1000:])
        self.assert_status(kept, 200)


if __name__ == "__main__":
    unittest.main()
