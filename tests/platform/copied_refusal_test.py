"""Tests a gateway against servers that send the refusal of a request more than once."""

import collections
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

MAX_TRIES = 12  # of a caller that repeats what was not run
WAYS = ("at_once", "idle", "late", "split")
RESTARTS = 3
STATUSES = (400, 421, 429, 503)


class CopiedRefusalTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backend = self.start_backend("b0")
        self.gateway = self.start_gateway()
        self.sent = 0
        self.own = []  # ids that are sent once

    def call_until_answered(self, request_id, path="/once/x"):
        """Repeats a request with its id while the answer is that it was not run.

        Returns the last status."""
        for _ in range(MAX_TRIES):
            status = self.gateway.call(path, request_id=request_id)[0]
            if status not in (408, 421, 429, 503):
                return status
        return status

    def runs_of(self, request_id):
        return sum(run["headers"]["Cowslipknot-Request-Id"] == request_id
                   for run in self.backend.runs)

    def assert_runs_once(self, *refusals):
        """A request that these refusals meet runs once, and its caller gets the answer."""
        self.sent += 1
        request_id = f"r{self.sent}"
        self.backend.pending_faults = list(refusals)
        status = self.call_until_answered(request_id)
        self.assertEqual(self.runs_of(request_id), 1, self.gateway.history("attempt"))
        self.assertEqual(status, 200, self.gateway.history("attempt"))

    # Guards against TWICE of issue 39: the copy of a refusal was taken for the refusal of the
    # same request when a caller had sent it again, while a server was running it.
    def test_copy_of_a_refusal_does_not_refuse_the_same_request_again(self):
        for refusals in range(1, 6):
            with self.subTest(refusals=refusals):
                self.assert_runs_once(*[fakes.CopiedRefusal() for _ in range(refusals)])

    def test_copies_of_any_refusal_at_any_time_refuse_no_later_request(self):
        for status in STATUSES:
            for when in WAYS:
                for copies in (1, 2):
                    with self.subTest(status=status, when=when, copies=copies):
                        self.assert_runs_once(fakes.CopiedRefusal(status, when, copies))

    def test_copies_with_a_body_refuse_no_later_request(self):
        for when in WAYS:
            for chunked in (False, True):
                with self.subTest(when=when, chunked=chunked):
                    self.assert_runs_once(fakes.CopiedRefusal(
                        when=when, body=b"busy" * 500, chunked=chunked))

    # A copy that the end of its connection follows leaves open whether the request ran.
    def test_copy_before_the_end_of_a_connection_promises_nothing(self):
        self.backend.pending_faults = [fakes.CopiedRefusal(closes=True)]
        for number in range(3):
            status = self.gateway.call("/once/x", request_id=f"closing{number}")[0]
            self.assertIn(status, (200, 502, 503))
            if status != 503:
                continue
            self.assertEqual(self.runs_of(f"closing{number}"), 0)

    # The id of another request tells that a refusal is a copy.
    def test_copy_of_another_requests_refusal_is_skipped(self):
        for when in WAYS:
            with self.subTest(when=when):
                self.backend.pending_faults = [fakes.CopiedRefusal(when=when)]
                self.gateway.call("/once/x", request_id=f"first-{when}")
                status = self.call_until_answered(f"second-{when}")
                self.assertEqual(status, 200)
                self.assertEqual(self.runs_of(f"second-{when}"), 1)

    # Guards against TWICE within one call, whose caller uses each id once: two entries at one
    # address, as after a restart of a server, are two servers to the call but one connection.
    def test_copy_from_an_address_refuses_no_attempt_at_its_next_server(self):
        other = self.start_backend("b1", zone="z2")
        self.backend.misdirection = fakes.CopiedRefusal(421)
        for number in range(RESTARTS):
            name = f"gone{number}"
            self.store.put("servers", name, self.backend.registration("plain"))
            eventually(lambda name=name: self.send_own() or name in self.tried_servers())
            self.store.delete("servers", name)
        for request in self.own:
            runs = self.runs_by_id(self.backend)[request] + self.runs_by_id(other)[request]
            self.assertLessEqual(runs, 1, self.gateway.history("attempt"))

    def send_own(self):
        request_id = f"own{len(self.own)}"
        self.own.append(request_id)
        self.gateway.call("/once/x", request_id=request_id)

    def tried_servers(self):
        return {event["server"] for event in self.gateway.log_events()
                if event["name"] == "attempt_started"}

    @staticmethod
    def runs_by_id(backend):
        return collections.Counter(run["headers"]["Cowslipknot-Request-Id"]
                                   for run in backend.runs)


if __name__ == "__main__":
    unittest.main()
