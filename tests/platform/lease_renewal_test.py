"""Tests that the holder of the lease keeps it beside calls that get no answer."""

import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

ROUNDS = 4
REPORTS_S = 3  # several reports of the holder


class LeaseRenewalTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.start_backend("p1")
        self.gateway = self.start_gateway()
        eventually(lambda: self.cloud.usage)

    def assert_lease_kept(self):
        history = self.gateway.history("lease_", "store_restored", "usage_skipped")
        self.assertNotIn("lease_lost", history)

    # Guards against a lease that is renewed so late that one lost write lets it expire.
    def test_lease_lasts_beyond_a_lost_renewal(self):
        for _ in range(ROUNDS):
            self.store.lost_renewals = 1
            eventually(lambda: self.store.lost_renewals == 0)
            time.sleep(REPORTS_S)
        self.assert_lease_kept()

    # Guards against the same where a restore has lost the last renewal.
    def test_lease_lasts_beyond_a_restore_and_a_lost_renewal(self):
        for _ in range(ROUNDS):
            self.store.lost_renewals = 1
            self.store.restore(self.store.copy())
            eventually(lambda: self.store.lost_renewals == 0)
            time.sleep(REPORTS_S)
        self.assert_lease_kept()


if __name__ == "__main__":
    unittest.main()
