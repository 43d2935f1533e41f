"""Tests what a gateway does on what servers say of themselves in their answers."""

import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


class ServerNoticesTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.requests = 0

    def start_backends(self, service, count=2):
        backends = [fakes.Backend(f"b{number}") for number in range(count)]
        for backend in backends:
            self.addCleanup(backend.server.stop)
            self.store.put("servers", backend.name, backend.registration(service))
        return backends

    def call(self, gateway, path="/safe/x", **fields):
        self.requests += 1
        return gateway.call(path, request_id=f"r{self.requests}", **fields)

    def call_until_answered(self, gateway, backend, path="/safe/x"):
        """Sends requests until one has reached the server."""
        for _ in range(50):
            self.call(gateway, path)
            if backend.requests:
                return
        self.fail("no request reached the server")

    def assert_no_more_requests(self, gateway, backend, path="/safe/x"):
        before = len(backend.requests)
        for _ in range(20):
            self.assertEqual(self.call(gateway, path)[0], 200)
        self.assertEqual(len(backend.requests), before)

    # Guards against requests sent to a server after it said in an answer that it leaves.
    def test_server_that_says_it_leaves_gets_no_further_request(self):
        leaving, _ = self.start_backends("plain")
        leaving.leaving = True
        gateway = self.start_gateway()
        self.call_until_answered(gateway, leaving)
        self.assert_no_more_requests(gateway, leaving)
        eventually(lambda: [event for event in gateway.log_events()
                            if event["name"] == "server_leaving"])
        # A registration of the same process that was delayed does not end it.
        self.store.put("servers", leaving.name, leaving.registration("plain", seq=2))
        time.sleep(0.5)
        self.assert_no_more_requests(gateway, leaving)

    def test_leaving_holds_while_the_store_is_down(self):
        leaving, _ = self.start_backends("plain")
        gateway = self.start_gateway()
        self.store.down = True
        leaving.leaving = True
        self.call_until_answered(gateway, leaving)
        self.assert_no_more_requests(gateway, leaving)

    def test_leaving_is_read_from_refusals_and_failures(self):
        for fault in ("reject", "fail"):
            with self.subTest(fault=fault):
                leaving, = self.start_backends("plain", count=1)
                leaving.leaving = True
                leaving.pending_faults = [fault]
                gateway = self.start_gateway()
                self.call_until_answered(gateway, leaving)
                for _ in range(5):
                    self.assertEqual(self.call(gateway)[0], 503)
                self.assertEqual(len(leaving.requests), 1)

    def test_stream_of_a_leaving_server_runs_to_its_end(self):
        leaving, = self.start_backends("model", count=1)
        leaving.leaving = True
        leaving.event_pause_s = 0.2
        gateway = self.start_gateway()
        results = []
        caller = threading.Thread(target=lambda: results.append(
            gateway.call("/stream/x", request_id="stream", Cowslipknot_Token_Count="9,9")))
        caller.start()
        eventually(lambda: [event for event in gateway.log_events()
                            if event["name"] == "server_leaving"])
        status, _, _ = gateway.call("/stream/x", request_id="next",
                                    Cowslipknot_Token_Count="9,9")
        caller.join()
        self.assertEqual(status, 503)
        self.assertEqual((results[0][0], results[0][2]), (200, EVENTS))
        self.assertEqual(leaving.requests, ["stream"])

    def test_new_start_of_a_server_that_left_is_used(self):
        leaving, _ = self.start_backends("plain")
        leaving.leaving = True
        gateway = self.start_gateway()
        self.call_until_answered(gateway, leaving)
        self.assert_no_more_requests(gateway, leaving)
        leaving.leaving = False
        leaving.requests.clear()
        self.store.put("servers", leaving.name, leaving.registration("plain", born=2))
        time.sleep(0.5)
        self.call_until_answered(gateway, leaving)

    def test_other_instances_are_told(self):
        leaving, _ = self.start_backends("plain")
        gateway, other = self.start_gateway(), self.start_gateway(name="gw2")
        for instance in (gateway, other):
            eventually(lambda instance=instance: [
                event for event in instance.log_events()
                if event["name"] == "instances_known" and event["instances"] == "2"])
        leaving.leaving = True
        self.call_until_answered(gateway, leaving)
        eventually(lambda: [event for event in other.log_events()
                            if event["name"] == "server_leaving"])
        self.assert_no_more_requests(other, leaving)

    # Guards against an instance that starts later and sends requests to a leaving server.
    def test_instance_that_starts_later_is_told(self):
        leaving, _ = self.start_backends("plain")
        gateway = self.start_gateway()
        leaving.leaving = True
        self.call_until_answered(gateway, leaving)
        other = self.start_gateway(name="gw2")
        eventually(lambda: [event for event in other.log_events()
                            if event["name"] == "server_leaving"])
        self.assert_no_more_requests(other, leaving)

    # Guards against requests sent to a server during the time for which it wants none.
    def test_server_that_asks_for_a_pause_gets_no_request_until_its_end(self):
        pausing, _ = self.start_backends("plain")
        pausing.pending_faults = ["reject"]
        pausing.retry_after = "1.5"
        gateway = self.start_gateway()
        self.call_until_answered(gateway, pausing)
        end = time.monotonic() + 1.5 - 0.3  # the pause began before this line
        while time.monotonic() < end:
            self.assertEqual(self.call(gateway)[0], 200)
        self.assertEqual(len(pausing.requests), 1)
        self.store.delete("servers", "b1")
        eventually(lambda: self.call(gateway)[0] == 200 and len(pausing.requests) > 1)

    # Guards against callers that wait for their deadline, or return at the same moment.
    def test_callers_are_refused_at_once_while_all_servers_pause(self):
        pausing, = self.start_backends("plain", count=1)
        pausing.pending_faults = ["reject"]
        pausing.retry_after = "2"
        gateway = self.start_gateway()
        self.call(gateway)
        started = time.monotonic()
        delays = []
        for _ in range(10):
            status, headers, _ = self.call(gateway)
            self.assertEqual(status, 503)
            delays.append(time.monotonic() + float(headers["Retry-After"]))
        self.assertLess(time.monotonic() - started, 1)
        self.assertEqual(len(pausing.requests), 1)
        self.assertGreater(min(delays), started + 1.5)
        self.assertGreater(max(delays) - min(delays), 0.2)

    # Guards against notices in the log that do not say how old the answer was.
    def test_age_of_the_answer_is_logged_and_notices_are_counted(self):
        server, = self.start_backends("model", count=1)
        server.pending_faults = ["reject"]
        server.retry_after = "0.2"
        server.event_pause_s = 0.3  # its answer ends after 1.5 s
        gateway = self.start_gateway()
        self.call(gateway, "/stream/x", Cowslipknot_Token_Count="9,9")
        time.sleep(0.3)
        server.leaving = True
        self.call(gateway, "/stream/x", Cowslipknot_Token_Count="9,9")
        ages = {event["name"]: int(event["age_ms"]) for event in gateway.log_events()
                if event["name"] in ("server_paused", "server_leaving")}
        self.assertEqual(set(ages), {"server_paused", "server_leaving"})
        for age_ms in ages.values():
            self.assertTrue(0 <= age_ms < 1000, ages)
        metrics = gateway.metrics()
        for notice in ("pauses", "leavings"):
            self.assertIn(f'cowslipknot_server_{notice}_total{{service="model"}} 1', metrics)

    def test_unusable_pause_is_logged_and_does_not_keep_the_server_unused(self):
        for value in ("-3", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(value=value):
                pausing, = self.start_backends("plain", count=1)
                pausing.pending_faults = ["reject"]
                pausing.retry_after = value
                gateway = self.start_gateway()
                self.call(gateway)
                self.assertEqual(self.call(gateway)[0], 200)
                self.assertEqual(["pause_adjusted"],
                                 [event["name"] for event in gateway.log_events()
                                  if event["name"].startswith("pause")])


if __name__ == "__main__":
    unittest.main()
