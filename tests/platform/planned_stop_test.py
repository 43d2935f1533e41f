"""Tests which requests a gateway serves, and which it turns away, during a planned stop."""

import http.client
import signal
import threading
import time
import unittest

from configuration_documents import configuration, route
from gateway_process import eventually
from platform_test_case import PlatformTestCase

STOP_S = 6
CALLS_END_S = 5.0  # after SIGTERM; the rest of STOP_S is for the final report
LATE_S = 2.2  # after SIGTERM, before idle connections are closed
LONG_S = 4.0  # more than is left then
DEADLINE_MS = "20000"
ENOUGH_CALLS = 100  # until a route's durations are known
MAX_RETRY_DELAY_S = 0.2  # callers come back to another instance
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 100000, "header_timeout_ms": 10000,
          "idle_timeout_ms": 20000}


def routes(timeout_ms, target_ms):
    common = {"timeout_ms": timeout_ms, "slo_ms": target_ms}
    return [
        route("safe", "/safe/", "safe", "plain", **common),
        route("once", "/once/", "unsafe", "plain", **common),
        route("stream", "/stream/", "streaming", "model", resumable=True,
              itl_target_ms=300, **common),
        route("stream1", "/stream1/", "streaming", "model", **common),
    ]


class PlannedStopTest(PlatformTestCase):
    def start(self, timeout_ms=20000, target_ms=2000):
        self.store.put("op", "config", configuration(
            route_list=routes(timeout_ms, target_ms), limits=LIMITS))
        self.backends = {}
        for service in ("plain", "model"):
            self.backends[service] = self.start_backend(service, service, slots=64)
        return self.start_gateway(bounds={"stop_s": STOP_S})

    def connect(self, gateway):
        connection = gateway.connect()
        self.addCleanup(connection.close)
        return connection

    @staticmethod
    def fields(request):
        return {"Host": "h.example", "Cowslipknot-Request-Id": request,
                "Authorization": "Token key1", "Cowslipknot-Deadline-Ms": DEADLINE_MS}

    def send(self, connection, request, path):
        connection.request("POST", path, body=b"hello", headers=self.fields(request))

    def call(self, connection, request, path):
        """Sends one request; returns status, headers and body."""
        self.send(connection, request, path)
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()

    def terminate(self, gateway):
        gateway.child.send_signal(signal.SIGTERM)
        return time.monotonic()

    def slow_down(self):
        """Lets each further request take longer than is left late in a stop."""
        self.backends["plain"].answer_pause_s = LONG_S
        self.backends["model"].event_pause_s = LONG_S / 4

    def runs(self, request):
        return [run for backend in self.backends.values() for run in backend.runs
                if run["headers"]["Cowslipknot-Request-Id"] == request]

    def assert_turned_away(self, answer, request):
        status, headers, _ = answer
        self.assertEqual((status, headers["X-Execution"]), (503, "not-run"))
        self.assertEqual(headers["Connection"], "close")
        self.assertLessEqual(float(headers["Retry-After"]), MAX_RETRY_DELAY_S)
        self.assertEqual(self.runs(request), [])

    def assert_exits_in_time(self, gateway, terminated):
        gateway.child.wait(timeout=STOP_S + 5)
        self.assertLess(time.monotonic() - terminated, STOP_S)

    def call_late(self, path, kept=True):
        gateway = self.start()
        connection = self.connect(gateway)
        if kept:
            self.assertEqual(self.call(connection, "a1", path)[0], 200)
        self.slow_down()
        terminated = self.terminate(gateway)
        time.sleep(LATE_S)
        started = time.monotonic()
        answer = self.call(connection, "r1", path)
        self.assert_turned_away(answer, "r1")
        self.assertLess(time.monotonic() - started, 0.5)
        self.assert_exits_in_time(gateway, terminated)

    # Guards against sending a request that may not be repeated to a server late in a planned
    # stop and cutting it at the end.
    def test_late_unsafe_request_that_cannot_end_in_time_is_turned_away(self):
        self.call_late("/once/x")

    def test_late_safe_request_that_cannot_end_in_time_is_turned_away(self):
        self.call_late("/safe/x")

    def test_late_stream_that_cannot_end_in_time_is_turned_away(self):
        self.call_late("/stream1/x")

    def test_late_resumable_stream_that_cannot_end_in_time_is_turned_away(self):
        self.call_late("/stream/x")

    def test_late_request_on_a_new_connection_is_turned_away(self):
        self.call_late("/once/x", kept=False)

    # Guards against judging a request by the time left when its head arrived.
    def test_request_whose_body_arrives_late_is_turned_away(self):
        gateway = self.start()
        connection = self.connect(gateway)
        self.slow_down()
        self.terminate(gateway)
        connection.putrequest("POST", "/once/x", skip_host=True)
        for name, value in dict(self.fields("r1"), **{"Content-Length": "5"}).items():
            connection.putheader(name, value)
        connection.endheaders(b"he")
        time.sleep(LATE_S)
        connection.send(b"llo")
        answer = connection.getresponse()
        self.assert_turned_away((answer.status, answer.headers, answer.read()), "r1")

    # Guards against closing without an answer while a request is being read.
    def test_request_that_is_still_being_read_at_the_end_is_turned_away(self):
        gateway = self.start()
        connection = self.connect(gateway)
        terminated = self.terminate(gateway)
        connection.putrequest("POST", "/once/x", skip_host=True)
        for name, value in dict(self.fields("r1"), **{"Content-Length": "5"}).items():
            connection.putheader(name, value)
        connection.endheaders(b"he")
        answer = connection.getresponse()
        self.assert_turned_away((answer.status, answer.headers, answer.read()), "r1")
        self.assertGreater(time.monotonic() - terminated, CALLS_END_S - 0.5)
        self.assert_exits_in_time(gateway, terminated)

    # Guards against turning away requests that can end in time, by the durations of earlier
    # ones or by their route's timeout.
    def test_late_requests_that_end_in_time_are_served(self):
        gateway = self.start()
        connection = self.connect(gateway)
        for number in range(ENOUGH_CALLS):
            for path in ("/once/x", "/stream/x", "/stream1/x"):
                answer = self.call(connection, f"a{number}{path}", path)
                self.assertEqual(answer[0], 200)
        kept = {path: self.connect(gateway)
                for path in ("/once/x", "/stream/x", "/stream1/x")}
        for path, idle in kept.items():
            self.assertEqual(self.call(idle, "b" + path, path)[0], 200)
        self.terminate(gateway)
        time.sleep(LATE_S)
        for path, idle in kept.items():
            status, headers, _ = self.call(idle, "r" + path, path)
            self.assertEqual((status, headers["Connection"]), (200, "close"))

    def test_late_request_of_unknown_duration_is_served_by_its_target(self):
        gateway = self.start(target_ms=500)
        self.backends["plain"].answer_pause_s = 1
        connection = self.connect(gateway)
        self.terminate(gateway)
        time.sleep(LATE_S)
        self.assertEqual(self.call(connection, "r1", "/once/x")[0], 200)

    def test_late_request_whose_route_times_out_in_time_is_served(self):
        gateway = self.start(timeout_ms=2000)
        self.backends["plain"].answer_pause_s = 1
        connection = self.connect(gateway)
        self.assertEqual(self.call(connection, "a1", "/once/x")[0], 200)
        self.terminate(gateway)
        time.sleep(LATE_S)
        self.assertEqual(self.call(connection, "r1", "/once/x")[0], 200)

    def test_requests_known_to_take_long_are_turned_away(self):
        gateway = self.start(target_ms=500)
        self.backends["plain"].answer_pause_s = LONG_S

        def call(number):
            with_answer = self.call(self.connect(gateway), f"a{number}", "/once/x")
            self.assertEqual(with_answer[0], 200)
        threads = [threading.Thread(target=call, args=(number,))
                   for number in range(ENOUGH_CALLS // 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        connection = self.connect(gateway)
        self.assertEqual(self.call(connection, "b1", "/once/x")[0], 200)
        self.terminate(gateway)
        time.sleep(LATE_S)
        self.assert_turned_away(self.call(connection, "r1", "/once/x"), "r1")

    def end_running(self, path):
        """Returns the answer to a request that runs when the gateway has to end."""
        gateway = self.start()
        connection = self.connect(gateway)
        self.backends["plain"].answer_pause_s = 3 * STOP_S
        self.backends["model"].event_pause_s = 3 * STOP_S
        if path.startswith("/stream"):
            self.backends["model"].pending_faults = ["mute"]
        else:
            self.backends["plain"].pending_faults = ["mute"]
        self.send(connection, "r1", path)
        eventually(lambda: self.runs("r1"))
        terminated = self.terminate(gateway)
        answer = connection.getresponse()
        answer.read()
        self.assertGreater(time.monotonic() - terminated, CALLS_END_S - 0.5)
        self.assertEqual((answer.status, answer.headers["X-Execution"]),
                         (504, "outcome-unknown"))
        self.assertEqual(answer.headers["Connection"], "close")
        self.assertEqual(len(self.runs("r1")), 1)
        self.assert_exits_in_time(gateway, terminated)

    # Guards against a final report that takes longer than the rest of a planned stop.
    def assert_final_report_ends_in_time(self, hinder_store):
        gateway = self.start()
        eventually(lambda: self.store.lease_holders)
        self.backends["plain"].answer_pause_s = 4 * LONG_S
        connection = self.connect(gateway)
        self.send(connection, "r1", "/safe/x")
        terminated = self.terminate(gateway)
        time.sleep(CALLS_END_S - 0.2)
        hinder_store()
        self.assert_exits_in_time(gateway, terminated)
        names = [(event["name"], event.get("detail", "")) for event in gateway.log_events()]
        self.assertTrue([detail for name, detail in names
                         if name == "platform_lost" and "final report" in detail],
                        gateway.history("platform_", "stopped"))
        self.assertEqual(names[-1][0], "stopped")

    def test_process_ends_in_time_although_the_store_is_silent(self):
        self.assert_final_report_ends_in_time(lambda: setattr(self.store, "silent", True))

    def test_process_ends_in_time_although_the_store_is_slow(self):
        def hinder():
            self.store.lease_contended = True
            self.store.delay_s = 0.6
        self.assert_final_report_ends_in_time(hinder)

    # Guards against cutting a request without an answer at the end of a planned stop, and
    # against saying that it did not run.
    def test_unsafe_request_that_runs_at_the_end_is_answered(self):
        self.end_running("/once/x")

    def test_safe_request_that_runs_at_the_end_is_answered(self):
        self.end_running("/safe/x")

    def test_stream_without_events_that_runs_at_the_end_is_answered(self):
        self.end_running("/stream1/x")

    # Guards against ending a stream inside an event, or as if it were complete.
    def test_stream_that_has_begun_ends_between_events(self):
        gateway = self.start()
        connection = self.connect(gateway)
        self.backends["model"].event_pause_s = 2
        self.send(connection, "r1", "/stream1/x")
        answer = connection.getresponse()
        self.terminate(gateway)
        with self.assertRaises(http.client.IncompleteRead) as cut:
            answer.read()
        self.assertTrue(cut.exception.partial.endswith(b"\n\n"), cut.exception.partial)


if __name__ == "__main__":
    unittest.main()
