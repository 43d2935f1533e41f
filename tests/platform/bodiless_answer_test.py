"""Tests a gateway whose servers answer a polled request without a body, and crash at times."""

import threading
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

CRASHES = 3  # as many would hold a request that was never answered
PATH = "/once/poll"
NO_CONTENT = (b"HTTP/1.1 204 No Content\r\nCowslipknot-Request-Id: {id}\r\n"
              b"Cowslipknot-Server-Signature: sig\r\n\r\n")


class BodilessAnswerTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.gateway = self.start_gateway()

    def poll(self, request_id):
        return self.gateway.call(PATH, request_id=request_id)[0]

    def answer_and_crash(self, number):
        """A server answers the polled request, and crashes under the next one."""
        backend = self.start_backend(f"b{number}", born=number + 1)
        eventually(lambda: self.gateway.call("/safe/other", request_id=f"o{number}")[0] == 200)
        backend.pending_faults = [fakes.RawAnswer(NO_CONTENT), "mute"]
        self.assertEqual(self.poll(f"answered{number}"), 204)
        caller = threading.Thread(target=self.poll, args=(f"broken{number}",))
        caller.start()
        eventually(lambda: sum(run["path"] == PATH for run in backend.runs) == 2)
        backend.server.kill()
        caller.join()
        eventually(lambda: len([event for event in self.gateway.log_events()
                                if event["name"] == "server_checked"]) > number)
        self.store.delete("servers", backend.name)

    # Guards against a polled request that is held although each server had answered it before it
    # crashed: 204 and 304 have no body, so that no length is missing.
    def test_answers_that_have_no_body_clear_their_request(self):
        for number in range(CRASHES):
            self.answer_and_crash(number)
        self.start_backend("sound", born=CRASHES + 1)
        eventually(lambda: self.gateway.call("/safe/other", request_id="o")[0] == 200)
        self.assertEqual(self.poll("again"), 200, self.gateway.history("prompt_quarantined"))


if __name__ == "__main__":
    unittest.main()
