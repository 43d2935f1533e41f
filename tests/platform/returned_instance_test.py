"""Tests that an instance that lost touch with the store leaves servers in time that are removed
as it returns."""

import threading
import time
import unittest

from configuration_documents import configuration
from platform_test_case import PlatformTestCase

DRAIN_S = 2.0  # bound on the last request to a server whose registration is removed
CONTACT_S = 3.0  # after its return an instance is bound by that again
OBSERVED_S = 2.0  # beyond those bounds
CALLERS = 4


class ReturnedInstanceTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.leaver = self.start_backend("leaver")
        self.start_backend("other")
        self.gateway = self.start_gateway()

    def start_callers(self):
        stopped = threading.Event()

        def call(number):
            turn = 0
            while not stopped.is_set():
                turn += 1
                self.gateway.call("/once/x", f"r{number}.{turn}")
        threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        self.addCleanup(lambda: [thread.join() for thread in threads])
        self.addCleanup(stopped.set)

    def remove_leaver(self):
        self.store.delete("servers", "leaver")
        return time.monotonic()

    def late_requests(self, bound):
        """Requests that reach the removed server later than a time."""
        time.sleep(max(0.0, bound - time.monotonic()) + OBSERVED_S)
        self.assertGreater(len(self.leaver.arrivals), 0)
        return [f"{at - bound:.2f} s late" for _, at in self.leaver.arrivals if at > bound]

    # Guards against an instance that takes a cut of its own link for an outage of the store,
    # and keeps a removed server for longer than the bound after its return.
    def test_server_removed_after_a_cut_is_left_in_time(self):
        self.start_callers()
        self.store.silent = True
        time.sleep(4.0)
        self.store.silent = False
        returned = time.monotonic()
        time.sleep(0.4)
        removed = self.remove_leaver()
        self.assertEqual(
            self.late_requests(max(removed + DRAIN_S, returned + CONTACT_S)), [])

    # Guards against a grace period that ends only with the next read.
    def test_server_removed_after_an_outage_is_left_in_time(self):
        self.start_callers()
        self.store.down = True
        time.sleep(1.3)  # longer than the interval of the reads
        self.store.down = False
        time.sleep(0.05)
        removed = self.remove_leaver()
        self.assertEqual(self.late_requests(removed + DRAIN_S), [])


if __name__ == "__main__":
    unittest.main()
