"""Tests a gateway against servers that stop in the middle of an answer and close."""

import http.client
import re
import socket
import unittest

import fakes
from configuration_documents import configuration
from platform_test_case import PlatformTestCase

NOT_RUN = (408, 421, 429, 503)  # a caller concludes from these that a request did not run
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6)]
BODY = b"a body of the server that is cut"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n"
FOREIGN = (b"HTTP/1.1 200 OK\r\nCowslipknot-Request-Id: other\r\n"
           b"Cowslipknot-Server-Signature: sig\r\nContent-Length: 7\r\n\r\nforeign")
PATHS = {"safe": "/safe/x", "unsafe": "/once/x", "stream": "/stream1/x",
         "resumable": "/stream/x"}


def head(framing):
    return (b"HTTP/1.1 200 OK\r\nCowslipknot-Request-Id: {id}\r\n"
            b"Cowslipknot-Server-Signature: sig\r\nContent-Type: text/event-stream\r\n"
            + framing + b"\r\n")


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def whole_answers(is_stream):
    """By framing: the whole answer, and whether each end of its body can be told."""
    pieces = EVENTS if is_stream else [BODY[:9], BODY[9:]]
    body = b"".join(pieces)
    trailer = b"0\r\nX-Trailer: end\r\n\r\n"
    return {
        "length": head(b"Content-Length: %d\r\n" % len(body)) + body,
        "chunked": head(b"Transfer-Encoding: chunked\r\n")
                   + b"".join(map(chunk, pieces)) + trailer,
        "unframed": head(b"") + body,
    }


def cuts(framing, answer):
    """By name: the part of an answer that is sent, for points at which a server may stop."""
    end = answer.index(b"\r\n\r\n") + 4
    points = {
        "after one byte": 1,
        "in the version": 6,
        "before the status": 9,
        "in the status": 11,
        "after the status": 12,
        "in the reason": 14,
        "after the reason": 15,
        "in the end of the status line": 16,
        "after the status line": 17,
        "in a field's name": 25,
        "after a colon": answer.index(b": ") + 1,
        "in a value": answer.index(b"sig") + 2,
        "after a value": answer.index(b"sig") + 3,
        "in the end of a field": answer.index(b"sig") + 4,
        "after a field": answer.index(b"sig") + 5,
        "in the framing's field": end - 8,
        "in the end of the last field": end - 3,
        "before the empty line": end - 2,
        "in the empty line": end - 1,
    }
    if framing != "unframed":
        points.update({"after the head": end, "in the body": end + 20,
                       "before the last byte": len(answer) - 1})
    if framing == "chunked":
        trailer = answer.index(b"0\r\nX-Trailer")
        points.update({
            "in a chunk's size": end + 1,
            "in the end of a chunk's size": answer.index(b"\r\n", end) + 1,
            "after a chunk's size": answer.index(b"\r\n", end) + 2,
            "after a chunk's data": trailer - 2,
            "before the last chunk": trailer,
            "in the last chunk's size": trailer + 1,
            "before the trailer": trailer + 3,
            "in a trailer's name": trailer + 6,
            "in a trailer's value": trailer + 15,
            "before the end of the trailer": len(answer) - 2,
        })
    return {name: answer[:size] for name, size in points.items()}


def cases(is_stream):
    """Yields a name and the bytes of each answer that is cut."""
    for framing, answer in whole_answers(is_stream).items():
        for point, sent in cuts(framing, answer).items():
            yield f"{framing}, {point}", sent
    answer = whole_answers(is_stream)["length"]
    for point in ("after the status line", "after a field", "before the empty line"):
        sent = cuts("length", answer)[point]
        yield f"interim response, {point}", INTERIM + sent
        yield f"another answer, {point}", FOREIGN + sent
    yield "nothing", b""
    yield "interim response", INTERIM
    yield "in an interim response", INTERIM[:-2]
    yield "in an interim response's status line", INTERIM[:15]
    yield "another answer", FOREIGN
    yield "in another answer", FOREIGN[:-3]


class CutHeadTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.requests = 0

    def start(self, service, count):
        self.backends = []
        for number in range(count):
            self.backends.append(self.start_backend(f"b{number}", service))
        self.gateway = self.start_gateway()

    def call(self, path, deadline_ms=3000):
        """Returns the request's id, the status, the body, and whether the answer looks
        complete to its caller."""
        self.requests += 1
        request = f"r{self.requests}"
        with socket.create_connection(("127.0.0.1", self.gateway.port),
                                      timeout=15) as connection:
            connection.sendall((f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
                                f"Cowslipknot-Request-Id: {request}\r\n"
                                "Authorization: Token key1\r\nConnection: close\r\n"
                                f"Cowslipknot-Deadline-Ms: {deadline_ms}\r\n"
                                "Content-Length: 5\r\n\r\nhello").encode())
            response = http.client.HTTPResponse(connection)
            try:
                response.begin()
                return request, response.status, response.read(), True
            except http.client.IncompleteRead as error:
                return request, response.status, error.partial, False
            except (http.client.HTTPException, OSError):
                return request, 0, b"", False

    def runs(self, request):
        return sum(run["headers"]["Cowslipknot-Request-Id"] == request
                   for backend in self.backends for run in backend.runs)

    def assert_not_taken_for_whole(self, kind, result):
        request, status, body, complete = result
        self.assertNotIn(status, NOT_RUN)
        if kind == "unsafe":
            self.assertEqual(self.runs(request), 1)
            self.assertNotEqual(status, 200)
            self.assertTrue(complete)  # a caller learns that the outcome is unknown
        elif kind == "safe":
            self.assertIn((status, body, complete),
                          ((200, b"echo:hello", True), (502, body, True)))
        else:
            pieces = [int(number) for number in re.findall(rb"piece (\d+)\n\n", body)]
            self.assertEqual(pieces, list(range(1, len(pieces) + 1)))
            if status == 200 and complete:
                self.assertEqual(body, b"".join(EVENTS))
        self.assertNotIn(b"foreign", body)

    def run_cases(self, kind, resets):
        path = PATHS[kind]
        # A stream that has begun waits for a retry until then.
        deadline_ms = 1000 if kind == "resumable" else 3000
        is_stream = kind in ("stream", "resumable")
        self.start("model" if is_stream else "plain", count=1)
        backend = self.backends[0]
        for name, sent in cases(is_stream):
            for is_kept in (False, True):
                with self.subTest(kind=kind, cut=name, resets=resets, kept=is_kept):
                    # A whole answer before it ends the server's ejection. After
                    # `unframed` its connection is closed.
                    backend.pending_faults = [] if is_kept else ["unframed"]
                    self.assertEqual(self.call(path)[1], 200)
                    backend.pending_faults = [fakes.RawAnswer(sent, resets)]
                    result = self.call(path, deadline_ms)
                    self.assertEqual(backend.pending_faults, [])
                    self.assert_not_taken_for_whole(kind, result)

    # Guards against a part of an answer being passed on with the length of what came, as
    # if it were whole, and against a second run of a request that may have run.
    def test_safe_request_gets_no_answer_that_is_cut(self):
        for resets in (False, True):
            self.run_cases("safe", resets)

    def test_unsafe_request_gets_no_answer_that_is_cut_and_runs_once(self):
        for resets in (False, True):
            self.run_cases("unsafe", resets)

    def test_stream_that_is_cut_does_not_look_complete(self):
        for resets in (False, True):
            self.run_cases("stream", resets)

    def test_resumable_stream_that_is_cut_has_each_event_once(self):
        for resets in (False, True):
            self.run_cases("resumable", resets)

    # Guards against a head that counts as ended at any of its bytes.
    def test_answer_that_is_cut_after_any_of_its_bytes_is_not_whole(self):
        self.start("plain", count=1)
        backend = self.backends[0]
        for framing, answer in whole_answers(is_stream=False).items():
            head_size = answer.index(b"\r\n\r\n") + 4
            end = head_size if framing == "unframed" else len(answer)
            for size in range(end):
                with self.subTest(framing=framing, size=size):
                    backend.pending_faults = [fakes.RawAnswer(answer[:size])]
                    self.assert_not_taken_for_whole("unsafe", self.call(PATHS["unsafe"]))
                    self.assertEqual(self.call(PATHS["unsafe"])[1], 200)

    # The cases above are cut: the same bytes to their end are an answer.
    def test_answer_that_is_not_cut_is_passed_on(self):
        for kind, service, is_stream in (("unsafe", "plain", False),
                                         ("stream", "model", True)):
            self.start(service, count=1)
            for framing, answer in whole_answers(is_stream).items():
                # A kept connection may be reused in the moment in which it is closed.
                answer = answer.replace(b"Content-Type", b"Connection: close\r\nContent-Type")
                for prefix in (b"", INTERIM, FOREIGN):
                    with self.subTest(kind=kind, framing=framing, prefix=prefix):
                        self.backends[0].pending_faults = [fakes.RawAnswer(prefix + answer)]
                        _, status, body, complete = self.call(PATHS[kind])
                        self.assertEqual((status, complete), (200, True),
                                         self.gateway.log_events()[-5:])
                        self.assertEqual(body, b"".join(EVENTS) if is_stream else BODY)

    # Guards against an empty answer of a server that stopped after its head: without a
    # length or chunks, nothing tells it from a whole one.
    def test_unframed_answer_without_a_body_is_not_whole(self):
        for kind in PATHS:
            with self.subTest(kind=kind):
                is_stream = kind in ("stream", "resumable")
                self.start("model" if is_stream else "plain", count=1)
                self.backends[0].pending_faults = [fakes.RawAnswer(head(b""))]
                self.assert_not_taken_for_whole(kind, self.call(PATHS[kind]))


if __name__ == "__main__":
    unittest.main()
