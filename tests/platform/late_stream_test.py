"""Tests that a gateway tells why a stream ended late."""

import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase


class LateStreamTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())

    def late_streams(self, gateway, request="r1"):
        return [event for event in gateway.log_events()
                if event["name"] == "stream_late" and event["request"] == request]

    # Guards against late streams of which nobody can tell whether the server or the way from
    # it held them.
    def test_a_late_stream_is_logged_and_counted_by_cause(self):
        backend = self.start_backend("b0", "model")
        backend.silence_s = 0.6
        gateway = self.start_gateway()
        for pause_s, cause in ((0.03, "server"), (0.0, "link")):
            with self.subTest(cause=cause):
                backend.pending_faults = ["silent"]
                backend.event_pause_s = pause_s
                self.assertEqual(gateway.call("/stream/x", request_id=cause)[0], 200)
                eventually(lambda: self.late_streams(gateway, cause))
                late, = self.late_streams(gateway, cause)
                self.assertEqual(late["cause"], cause)
                self.assertGreaterEqual(int(late[f"{cause}_pause_ms"]), 500)
                self.assertIn(f'cause="{cause}"', gateway.metrics())

    # Guards against lines and counts for streams that are within their targets.
    def test_a_stream_in_time_is_not_counted_as_late(self):
        self.start_backend("b0", "model")
        gateway = self.start_gateway()
        self.assertEqual(gateway.call("/stream/x")[0], 200)
        eventually(lambda: [event for event in gateway.log_events()
                            if event["name"] == "request_done"])
        self.assertEqual(self.late_streams(gateway), [])
        self.assertNotIn("cowslipknot_late_streams_total", gateway.metrics())


if __name__ == "__main__":
    unittest.main()
