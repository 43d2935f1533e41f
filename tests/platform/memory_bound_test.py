"""Tests that what callers and the store send does not exhaust a gateway's memory."""

import json
import socket
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

MEMORY_MB = 64  # limit of the gateway
MAX_BODY_BYTES = 4 << 20
BLOCK = b"x" * 65536


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
