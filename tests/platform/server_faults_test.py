"""Tests a gateway against servers that send bytes that are no answer, or no end of one."""

import http.client
import re
import socket
import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
ROUTE_TIMEOUT_S = 3  # of the routes in configuration()
STALL_BOUND_S = 1.0  # two allowed gaps of the streams and a margin
MEMORY_MB = 64  # limit of the gateway in these tests


class ServerFaultsTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backends = []

    def start(self, service, faults, count=2):
        for number in range(count):
            backend = self.start_backend(f"b{number}", service)
            backend.pending_faults = list(faults)
            self.backends.append(backend)
        return self.start_gateway(memory_mb=MEMORY_MB)

    def assert_server_released(self, request="r1"):
        """The connection to the server that never ends was closed."""
        eventually(lambda: any(request in backend.disconnects for backend in self.backends))

    def call_timed(self, gateway, path, **fields):
        started = time.monotonic()
        try:
            result = gateway.call(path, **fields)
        except (http.client.HTTPException, OSError):
            result = (0, {}, b"")
        return result, time.monotonic() - started

    def test_endless_head_ends_the_attempt_at_once(self):
        gateway = self.start("plain", ["endless_head"], count=1)
        (status, _, _), took_s = self.call_timed(gateway, "/once/x")
        self.assertEqual(status, 502)
        self.assertLess(took_s, ROUTE_TIMEOUT_S)
        self.assert_server_released()

    def test_endless_interim_responses_end_with_the_timeout(self):
        gateway = self.start("plain", ["endless_interim"], count=1)
        (status, _, _), took_s = self.call_timed(gateway, "/once/x")
        self.assertIn(status, (502, 504))
        self.assertLess(took_s, ROUTE_TIMEOUT_S + 0.25)
        self.assert_server_released()

    def test_endless_body_is_not_delivered_and_memory_stays_bounded(self):
        gateway = self.start("plain", ["endless_body"] * 20, count=1)
        results = []

        def call(number):
            results.append(self.call_timed(gateway, "/once/x", request_id=f"r{number}"))

        callers = [threading.Thread(target=call, args=(n,)) for n in range(10)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for (status, _, body), took_s in results:
            self.assertIn(status, (502, 504))
            self.assertNotIn(b"xxxx", body)
            self.assertLess(took_s, ROUTE_TIMEOUT_S + 0.25)
        self.assertIsNone(gateway.child.poll())
        self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)

    # Guards against a server's chunk header or trailer without end taking all memory of the
    # process, and with it the requests of all other callers.
    def test_endless_framing_of_a_body_ends_the_attempt_and_memory_stays_bounded(self):
        for fault in ("endless_chunk_header", "endless_trailer"):
            with self.subTest(fault=fault):
                gateway = self.start("plain", [fault], count=1)
                (status, _, body), took_s = self.call_timed(
                    gateway, "/once/x", request_id=fault)
                self.assertEqual(status, 502)
                self.assertNotIn(b"xxxx", body)
                self.assertLess(took_s, ROUTE_TIMEOUT_S)
                self.assert_server_released(fault)
                self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)
                self.assertEqual(gateway.call("/once/x", request_id="next")[0], 200)

    def test_endless_framing_of_a_stream_ends_the_attempt_and_memory_stays_bounded(self):
        for fault in ("endless_chunk_header", "endless_trailer"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [fault], count=2)
                received, complete = self.read_stream(gateway, fault)
                self.assertNotIn(b"xxxx", received)
                if complete:
                    self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
                self.assert_server_released(fault)
                self.assertLess(gateway.peak_memory_mb(), MEMORY_MB)

    def test_endless_refusal_is_not_waited_for(self):
        gateway = self.start("plain", ["endless_refusal"], count=1)
        spare = fakes.Backend("spare")
        self.addCleanup(spare.server.stop)
        self.store.put("servers", "spare", spare.registration("plain"))
        eventually(lambda: [event for event in gateway.log_events()
                            if event["name"] == "server_registered"
                            and event["server"] == "spare"])
        for number in range(4):
            (status, _, _), took_s = self.call_timed(
                gateway, "/once/x", request_id=f"r{number}")
            self.assertEqual(status, 200)
            self.assertLess(took_s, 0.5)

    def assert_stalled_stream_resumes(self, fault):
        gateway = self.start("model", [])
        faulty, sound = self.backends
        faulty.pending_faults = [fault]
        sound.pending_faults = []
        for number in range(2):
            (status, _, body), took_s = self.call_timed(
                gateway, "/stream/x", request_id=f"r{number}",
                Cowslipknot_Token_Count="100,10")
            self.assertEqual(status, 200)
            self.assertEqual(body.replace(b": \n\n", b""), EVENTS)
            self.assertLess(took_s, STALL_BOUND_S)
        self.assertFalse(faulty.pending_faults)

    def test_stream_that_sends_a_byte_now_and_then_is_resumed(self):
        self.assert_stalled_stream_resumes("trickle")

    def test_stream_with_an_event_without_end_is_resumed(self):
        self.assert_stalled_stream_resumes("endless_event")

    def test_stream_that_sends_only_comments_is_resumed(self):
        self.assert_stalled_stream_resumes("comments")

    def test_slow_but_sound_stream_is_not_cut(self):
        gateway = self.start("model", [], count=1)
        self.backends[0].event_pause_s = 0.5  # longer than the target, within the limit
        (status, _, body), _ = self.call_timed(gateway, "/stream/x",
                                               Cowslipknot_Token_Count="100,10")
        self.assertEqual((status, body), (200, EVENTS))
        self.assertEqual(len(self.backends[0].runs), 1)

    def test_stream_without_resumption_ends_with_its_route_although_bytes_arrive(self):
        gateway = self.start("model", ["trickle"], count=1)
        _, took_s = self.call_timed(gateway, "/stream1/x",
                                    Cowslipknot_Token_Count="100,10")
        self.assertLess(took_s, ROUTE_TIMEOUT_S + 0.25)
        self.assert_server_released()

    # Guards against a log line for each byte of a stream that makes no progress.
    def test_stream_that_makes_no_progress_and_cannot_resume_is_logged_once(self):
        gateway = self.start("model", ["trickle"], count=1)
        self.call_timed(gateway, "/stream/x", Cowslipknot_Token_Count="100,10")
        stalls = [event for event in gateway.log_events() if event["name"] == "stream_stalled"]
        self.assertEqual(len(stalls), 1)

    def test_late_copy_of_an_answer_does_not_reach_the_next_caller(self):
        gateway = self.start("plain", ["late_copy"], count=1)
        self.assertEqual(gateway.call("/safe/x", request_id="r1", body=b"one")[2],
                         b"echo:one")
        status, _, body = gateway.call("/safe/x", request_id="r2", body=b"two")
        self.assertNotIn(b"late", body)
        self.assertEqual((status, body), (200, b"echo:two"))

    # Guards against "not run, try again" for a request that the server runs: a refusal of
    # an earlier request, sent once more without an id, was taken for its answer.
    def test_late_refusal_is_not_taken_for_the_answer_to_a_request_that_runs(self):
        for path in ("/once/x", "/safe/x"):
            with self.subTest(path=path):
                gateway = self.start("plain", ["late_refusal"], count=1)
                self.assertEqual(gateway.call(path, request_id="r1")[0], 200)
                status, _, body = gateway.call(path, request_id="r2", body=b"two")
                self.assertEqual((status, body), (200, b"echo:two"))
                self.assertEqual(len(self.backends[-1].runs), 2)
                self.assertEqual([event["status"] for event in gateway.log_events()
                                  if event["name"] == "response_skipped"], ["503"])

    # Guards against a request that is not idempotent running at two servers, and against
    # the promise that it did not run.
    def test_request_after_a_late_refusal_runs_once(self):
        gateway = self.start("plain", ["late_refusal", "mute"])
        for number in range(4):
            status, _, _ = gateway.call("/once/x", request_id=f"r{number}")
            runs = [run for backend in self.backends for run in backend.runs
                    if run["headers"]["Cowslipknot-Request-Id"] == f"r{number}"]
            self.assertEqual(len(runs), 1)
            self.assertNotIn(status, (429, 503))

    def read_stream(self, gateway, request_id, fields="", path="/stream/x"):
        """Returns all bytes of a response, and whether its last chunk was among them."""
        with socket.create_connection(("127.0.0.1", gateway.port), timeout=15) as connection:
            connection.sendall((f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                                f"Cowslipknot-Request-Id: {request_id}\r\n"
                                "Authorization: Token key1\r\nConnection: close\r\n"
                                "Cowslipknot-Token-Count: 100,10\r\n"
                                f"{fields}Content-Length: 0\r\n\r\n").encode())
            received = b""
            while piece := connection.recv(65536):
                received += piece
        return received, received.endswith(b"0\r\n\r\n")

    # Guards against an error of the server that a stream is resumed at standing in the
    # caller's stream, with its head, or ending the stream as if it were complete.
    def test_answer_that_is_no_stream_does_not_get_into_a_stream_that_has_begun(self):
        for fault in ("fail", "fail_404", "fail_410", "other_type", "no_event"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [])
                first, second = self.backends[-2:]
                first.pending_faults = second.pending_faults = ["crash", fault]
                received, complete = self.read_stream(gateway, "r1")
                self.assertEqual(received.count(b"HTTP/1.1"), 1)
                self.assertNotIn(b"failed", received)
                self.assertIn(b"piece 2", received)
                self.assertFalse(complete)

    def pieces(self, received):
        return [int(number) for number in re.findall(rb"piece (\d+)", received)]

    # Guards against pieces of a stream that come twice or are missing because a server
    # does not go on where it was asked to.
    def test_stream_that_goes_on_at_another_event_is_not_joined(self):
        for fault in ("from_start", "gap"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [])
                first, second = self.backends[-2:]
                first.pending_faults = second.pending_faults = ["crash", fault]
                received, complete = self.read_stream(gateway, "r1")
                self.assertEqual(self.pieces(received), [1, 2])
                self.assertFalse(complete)

    def test_stream_that_does_not_start_after_the_callers_event_is_taken_elsewhere(self):
        for fault in ("from_start", "gap"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [])
                first, second = self.backends[-2:]
                first.pending_faults = second.pending_faults = [fault]
                received, complete = self.read_stream(gateway, "r1", "Last-Event-Id: 2\r\n")
                self.assertEqual(self.pieces(received), [3, 4, 5])
                self.assertTrue(complete)

    def test_stream_whose_ids_go_back_goes_on_at_another_server(self):
        gateway = self.start("model", [])
        first, second = self.backends
        first.pending_faults = second.pending_faults = ["repeat"]
        received, complete = self.read_stream(gateway, "r1")
        self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
        self.assertTrue(complete)

    # Guards against an answer whose end cannot be seen being passed on as complete.
    def test_unframed_answer_that_ends_with_its_connection_is_complete(self):
        gateway = self.start("plain", ["unframed"], count=1)
        status, _, body = gateway.call("/once/x", body=b"one")
        self.assertEqual((status, body), (200, b"echo:one"))

    def test_unframed_answer_that_is_reset_is_not_complete(self):
        gateway = self.start("plain", ["unframed_reset"], count=1)
        self.assertEqual(gateway.call("/once/x", body=b"one")[0], 502)

    def test_unframed_stream_that_ends_at_an_event_is_complete(self):
        gateway = self.start("model", ["unframed"], count=1)
        received, complete = self.read_stream(gateway, "r1")
        self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
        self.assertTrue(complete)

    def test_unframed_stream_that_is_cut_or_reset_goes_on_at_another_server(self):
        for fault in ("unframed_cut", "unframed_reset"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [])
                first, second = self.backends[-2:]
                first.pending_faults = second.pending_faults = [fault]
                received, complete = self.read_stream(gateway, "r1")
                self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
                self.assertTrue(complete)

    def test_unframed_stream_that_is_cut_and_not_resumed_does_not_look_complete(self):
        for fault in ("unframed_cut", "unframed_reset"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [fault], count=1)
                received, complete = self.read_stream(gateway, "r1", path="/stream1/x")
                self.assertFalse(complete)
                self.assertNotIn(5, self.pieces(received))
                self.assertEqual(len(self.backends[-1].runs), 1)

    # Guards against giving up such a stream where it may go on at the same server.
    def test_unframed_stream_that_is_cut_resumes_at_its_only_server(self):
        for fault in ("unframed_cut", "unframed_reset"):
            with self.subTest(fault=fault):
                gateway = self.start("model", [fault], count=1)
                received, complete = self.read_stream(gateway, "r1")
                self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
                self.assertTrue(complete)

    # Guards against 503, which promises that a request did not run, where one attempt broke off
    # and the next one was refused.
    def test_refusal_of_the_last_attempt_promises_nothing_about_earlier_ones(self):
        for service, path in (("plain", "/safe/x"), ("model", "/stream/x")):
            with self.subTest(path=path):
                gateway = self.start(service, [])
                faults = ["reset"] + ["reject"] * 9
                for backend in self.backends:
                    backend.pending_faults = faults  # of the attempts in their order
                status = gateway.call(path, request_id=f"r-{service}")[0]
                runs = sum(run["headers"]["Cowslipknot-Request-Id"] == f"r-{service}"
                           for backend in self.backends for run in backend.runs)
                self.assertEqual((runs, status), (1, 502), gateway.history("attempt"))

    # Guards against taking the repeated refusal of an attempt for the answer to a later
    # attempt of the same request at the same server.
    def test_refusal_that_comes_twice_does_not_answer_the_next_attempt(self):
        gateway = self.start("model", ["crash", "reject_twice"], count=1)
        received, complete = self.read_stream(gateway, "r1")
        self.assertEqual(self.pieces(received), [1, 2, 3, 4, 5])
        self.assertTrue(complete)
        self.assertEqual(len(self.backends[0].runs), 2)  # the broken and the last attempt

    # Guards against "not run, try again" for a request that a server ran and answered with
    # such a status, without stating that it did not run it.
    def test_status_that_promises_too_much_is_not_passed_on(self):
        for fault in ("fail_429", "fail_503"):
            with self.subTest(fault=fault):
                gateway = self.start("plain", [fault], count=1)
                status, headers, _ = gateway.call("/once/x")
                self.assertEqual(status, 502)
                self.assertNotIn("Cowslipknot-Server-Signature", headers)
                self.assertEqual(len(self.backends[-1].runs), 1)


if __name__ == "__main__":
    unittest.main()
