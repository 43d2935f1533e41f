"""Tests that a gateway outlives the moments in which it gets no memory."""

import resource
import socket
import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

MAX_BODY_BYTES = 128 << 20
BODY_BYTES = 100 << 20  # more than the allocator keeps mapped for a thread
ROW_BYTES = 5 << 20  # below the limit of an answer
READ_S = 4.0  # in which a gateway has read the store
SPARE_BYTES = 4 << 20  # that the process may still map


def mapped_bytes(process):
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[0]) * resource.getpagesize()


class NoMemory:
    """Keeps a process from mapping more than a little memory."""

    def __init__(self, process):
        self.process = process

    def __enter__(self):
        self.limits = resource.prlimit(self.process.pid, resource.RLIMIT_AS)
        bound = mapped_bytes(self.process) + SPARE_BYTES
        resource.prlimit(self.process.pid, resource.RLIMIT_AS, (bound, self.limits[1]))

    def __exit__(self, *failure):
        if self.process.poll() is None:
            resource.prlimit(self.process.pid, resource.RLIMIT_AS, self.limits)


class ExhaustedMemoryTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(limits={
            "max_header_bytes": 8192, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 1000, "idle_timeout_ms": 5000}))
        self.backend = self.start_backend("b0")
        self.gateway = self.start_gateway()

    def names(self):
        return [event["name"] for event in self.gateway.log_events()]

    def send_long_request(self):
        """Announces a body for which no memory is left. Returns what comes back."""
        with socket.create_connection(("127.0.0.1", self.gateway.port), 5) as caller:
            caller.sendall(b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                           b"Cowslipknot-Request-Id: long\r\n"
                           b"Authorization: Token key1\r\n"
                           b"Content-Length: %d\r\n\r\nx" % BODY_BYTES)
            try:
                return caller.recv(1000)
            except ConnectionResetError:
                return b""

    # Guards against an end of the process: the exception of a read left the event loop.
    def test_serves_on_after_a_body_for_which_there_is_no_memory(self):
        with NoMemory(self.gateway.child):
            self.send_long_request()
        time.sleep(0.2)
        self.assertIsNone(self.gateway.child.poll(), self.gateway.history())
        self.assertEqual(self.gateway.call("/safe/x")[0], 200)
        self.assertIn("callback_failed", self.names())

    # Guards against a loop that is gone for good: the process counts as ready and serves
    # by an old view of the store.
    def test_reads_the_store_on_after_an_answer_for_which_there_was_no_memory(self):
        with NoMemory(self.gateway.child):
            self.store.put("servers", "huge", {"pad": "y" * ROW_BYTES})
            time.sleep(READ_S)
        self.assertIsNone(self.gateway.child.poll(), self.gateway.history())
        self.store.delete("servers", "huge")
        self.start_backend("b1")
        eventually(lambda: "b1" in [event["server"] for event in self.gateway.log_events()
                                    if event["name"] == "server_registered"])
        self.assertIn("loop_restarted", self.names(), self.gateway.history())
        self.assertIn('cowslipknot_loop_restarts_total{task="watch servers"}',
                      self.gateway.metrics())


if __name__ == "__main__":
    unittest.main()
