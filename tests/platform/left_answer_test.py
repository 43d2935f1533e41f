"""Tests a gateway whose callers leave while their complete answer is being sent to them."""

import socket
import threading
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

LARGE = 3 << 20  # more than the sockets between gateway and caller hold
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 2 * LARGE, "header_timeout_ms": 1000,
          "idle_timeout_ms": 5000}


class LeftAnswerTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(limits=LIMITS))
        self.backend = self.start_backend("b0")
        self.gateway = self.start_gateway(memory_mb=1024)

    def send_without_reading(self, request_id):
        """Sends a request with a large answer. Returns its socket."""
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(("127.0.0.1", self.gateway.port))
        head = ("POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\n"
                f"Cowslipknot-Request-Id: {request_id}\r\nContent-Length: {LARGE}\r\n\r\n")
        caller.sendall(head.encode() + b"x" * LARGE)
        return caller

    def has_run(self, request_id):
        return any(run["headers"]["Cowslipknot-Request-Id"] == request_id
                   for run in self.backend.runs)

    # Guards against a caller whose end resets the connection to the server, which carries the
    # request of another caller by then.
    def test_caller_that_leaves_its_answer_breaks_no_other_request(self):
        leaving = self.send_without_reading("leaving")
        eventually(lambda: any(event["name"] == "request_done"
                               for event in self.gateway.log_events()))
        self.backend.answer_pause_s = 1.0
        answers = []
        other = threading.Thread(target=lambda: answers.append(
            self.gateway.call("/once/x", request_id="other")[0]))
        other.start()
        eventually(lambda: self.has_run("other"))
        leaving.shutdown(socket.SHUT_WR)
        other.join()
        leaving.close()
        self.assertEqual(answers, [200], self.gateway.history("attempt"))


if __name__ == "__main__":
    unittest.main()
