"""Tests a gateway whose full servers refuse a request under which servers have crashed."""

import threading
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

CRASHES = 2  # one fewer than hold a request
PATH = "/once/late"


class RefusedSuspectTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.gateway = self.start_gateway()

    def call(self, path, request_id):
        return self.gateway.call(path, request_id=request_id)[0]

    def crash_under_request(self, number):
        backend = self.start_backend(f"b{number}", born=number + 1)
        eventually(lambda: self.call("/safe/other", f"o{number}") == 200)
        backend.pending_faults = ["mute"]
        caller = threading.Thread(target=self.call, args=(PATH, f"broken{number}"))
        caller.start()
        eventually(lambda: any(run["path"] == PATH for run in backend.runs))
        backend.server.kill()
        caller.join()
        eventually(lambda: len([event for event in self.gateway.log_events()
                                if event["name"] == "server_checked"]) > number)
        self.store.delete("servers", backend.name)

    # Guards against a request that is not offered to a free server, since a full one refused it:
    # an attempt that did not run crashes nothing.
    def test_refusal_by_a_full_server_does_not_end_a_request_that_may_be_sent(self):
        for number in range(CRASHES):
            self.crash_under_request(number)
        # Of another domain, so that the full one is tried first.
        free = self.start_backend("free", zone="z2", born=CRASHES + 1)
        eventually(lambda: self.call("/safe/other", "o1") == 200 and free.runs)
        full = self.start_backend("full", born=CRASHES + 2)
        eventually(lambda: self.call("/safe/other", "o2") == 200 and full.runs)
        full.pending_faults = ["reject"]
        self.assertEqual(self.call(PATH, "again"), 200, self.gateway.history("attempt", "retry"))


if __name__ == "__main__":
    unittest.main()
