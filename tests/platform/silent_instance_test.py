"""Tests that an instance which lost the store long ago sends nothing to servers that have left."""

import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

DRAIN_BOUND_S = 2.0
REVOKE_BOUND_S = 3.0


class SilentInstanceTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.server = self.start_backend("leaving", born=5)
        self.other = self.start_backend("other", born=5)
        self.link = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(self.link.stop)
        bounds = {"revoke_ms": int(REVOKE_BOUND_S * 1000)}
        self.reader = self.start_gateway(name="gw1", bounds=bounds)
        self.silent = self.start_gateway(name="gw2", bounds=bounds,
                                         store_address=self.link.address)
        for gateway in (self.reader, self.silent):
            eventually(lambda g=gateway: g.known_instances() == 2)

    def lose_store(self):
        """The others no longer count the instance as serving."""
        self.link.rejects_calls = True
        eventually(lambda: self.reader.known_instances() == 1)

    def assert_not_used(self):
        time.sleep(DRAIN_BOUND_S)
        arrived = len(self.server.arrivals)
        for number in range(30):
            # A public route, which needs no store.
            self.assertEqual(self.silent.call("/open/x", request_id=f"late{number}")[0], 200)
        self.assertEqual(len(self.server.arrivals), arrived, self.silent.history("server"))

    # Guards against DRAIN of issue 55: instances without recent reports were told of no leaving
    # server, although they go on serving.
    def test_draining_server_gets_no_request_from_an_instance_that_lost_the_store(self):
        self.lose_store()
        self.store.put("servers", "leaving", self.server.registration(
            "plain", born=5, state="draining"))
        self.assert_not_used()

    def test_removed_server_gets_no_request_from_an_instance_that_lost_the_store(self):
        self.lose_store()
        self.store.delete("servers", "leaving")
        self.assert_not_used()

    def test_server_that_says_so_gets_no_request_from_an_instance_that_lost_the_store(self):
        self.lose_store()
        self.server.leaving = True
        arrived = len(self.server.arrivals)
        number = iter(range(1000))
        eventually(lambda: self.reader.call("/open/x", request_id=f"r{next(number)}")[0] == 200
                   and len(self.server.arrivals) > arrived)
        self.assert_not_used()


if __name__ == "__main__":
    unittest.main()
