"""Tests that what callers send does not exhaust a gateway's memory."""

import socket
import time
import unittest

from configuration_documents import configuration
from platform_test_case import PlatformTestCase

MEMORY_MB = 64  # limit of the gateway
MAX_BODY_BYTES = 4 << 20
BLOCK = b"x" * 65536


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


if __name__ == "__main__":
    unittest.main()
