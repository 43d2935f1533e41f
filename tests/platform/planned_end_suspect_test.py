"""Tests a gateway whose servers leave as planned while they run a long request."""

import threading
import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

ENDS = 3  # as many crashes would hold the request
PATH = "/once/report"
CHECK_S = 0.5  # a server whose answer broke off has been checked by then
DRAIN_S = 2.0  # a server serves on for so long after it has registered that it leaves


class PlannedEndSuspectTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.gateway = self.start_gateway()

    def run_until_server_leaves(self, number):
        """Sends the request to a server that says that it leaves, and ends before its answer."""
        backend = self.start_backend(f"b{number}", born=number + 1)
        eventually(lambda: self.gateway.call("/safe/other", request_id=f"o{number}")[0] == 200)
        backend.pending_faults = ["mute"]
        caller = threading.Thread(target=self.gateway.call, args=(PATH, f"r{number}"))
        caller.start()
        eventually(lambda: any(run["path"] == PATH for run in backend.runs))
        self.store.put("servers", backend.name,
                       backend.registration("plain", born=number + 1, state="draining"))
        time.sleep(DRAIN_S)
        backend.server.kill()
        caller.join()
        time.sleep(CHECK_S)
        self.store.delete("servers", backend.name)

    # Guards against a sound request that is held since its servers were replaced, one after the
    # other, before they had answered it.
    def test_request_of_servers_that_left_as_planned_is_not_held(self):
        for number in range(ENDS):
            self.run_until_server_leaves(number)
        self.start_backend("sound", born=ENDS + 1)
        eventually(lambda: self.gateway.call("/safe/other", request_id="o")[0] == 200)
        self.assertEqual(self.gateway.call(PATH, request_id="again")[0], 200,
                         self.gateway.history("prompt_quarantined", "server_checked"))


if __name__ == "__main__":
    unittest.main()
