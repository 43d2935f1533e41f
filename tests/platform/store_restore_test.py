"""Tests gateways on a store that is restored from a copy and loses its latest rows."""

import time
import unittest

import fakes
from configuration_documents import configuration, tenant
from gateway_process import eventually
from platform_test_case import PlatformTestCase

INSTANCES = 6
APPLY_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
SILENCE_LIMIT_S = 5  # a registration without a write is then known to be of a running server
ROWS_LOST = 40  # more than are written during a test's waits


class StoreRestoreTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backends = {}
        for name in ("p1", "p2"):
            self.backends[name] = self.start_backend(name)
        self.gateways = []

    def register(self, name, **fields):
        self.store.put("servers", name, self.backends[name].registration("plain", **fields))

    def start(self, name, **options):
        gateway = self.start_gateway(name=name, **options)
        self.gateways.append(gateway)
        return gateway

    def start_with_relays(self):
        for number in range(INSTANCES):
            self.start(f"gw{number}")
        eventually(lambda: sum(self.follows(gateway) for gateway in self.gateways)
                   >= INSTANCES - 3)

    @staticmethod
    def follows(gateway):
        return any(event["name"] == "relay_followed" for event in gateway.log_events())

    def lose_rows(self):
        """Restores the store from a copy that lacks its latest versions."""
        copy = self.store.copy()
        for number in range(ROWS_LOST):
            self.store.put("test", "row", number)
        time.sleep(1.5)  # until each instance has read a later position
        self.store.restore(copy)

    def assert_key_replaced(self, old, new, gateways, version):
        """The operator replaces an API key; each gateway follows within the bound."""
        self.store.put("op", "config", configuration(
            version=version, tenants=[tenant("tenant1", new)]))
        confirmed = time.monotonic()
        for gateway in gateways:
            eventually(lambda g=gateway: g.call(
                "/safe/x", Authorization=f"Token {old}")[0] == 401)
            self.assertLess(time.monotonic() - confirmed, APPLY_BOUND_S, gateway.name)
            self.assertEqual(
                gateway.call("/safe/x", Authorization=f"Token {new}")[0], 200)

    # Guards against followers that wait for versions which the store assigns again.
    def test_followers_apply_changes_after_a_restore(self):
        self.start_with_relays()
        self.lose_rows()
        self.assert_key_replaced("key1", "key2", self.gateways, version=2)
        self.lose_rows()
        self.assert_key_replaced("key2", "key3", self.gateways, version=3)

    # Guards against a follower that takes a restore for a new one when it leaves its relay
    # later, and keeps removed servers for a while once more.
    def test_followers_that_leave_their_relays_know_of_the_restore(self):
        self.start_with_relays()
        followers = [gateway for gateway in self.gateways if self.follows(gateway)]
        self.lose_rows()
        time.sleep(2 * DRAIN_BOUND_S)  # until the relays have passed the restore on
        for gateway in self.gateways:
            if gateway not in followers:
                gateway.child.kill()
        for gateway in followers:
            eventually(lambda g=gateway: any(event["name"] == "relay_left"
                                             for event in g.log_events()))
        time.sleep(2 * DRAIN_BOUND_S)  # until each has read the registrations itself
        for gateway in followers:
            names = [event["name"] for event in gateway.log_events()]
            self.assertNotIn("store_restored", names[names.index("relay_left"):],
                             gateway.history("store_", "relay_"))

    # Guards against a reader that does not notice a restore, since the versions have
    # passed its own again when it asks next.
    def test_instance_cut_off_during_a_restore_reads_what_it_missed(self):
        link = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(link.stop)
        gateway = self.start("gw1", store_address=link.address,
                             bounds={"revoke_ms": 30000})
        copy = self.store.copy()
        for number in range(ROWS_LOST):
            self.store.put("test", "row", number)
        time.sleep(1.5)
        link.rejects_calls = True
        eventually(lambda: any(event["name"] == "platform_lost"
                               for event in gateway.log_events()))
        time.sleep(0.5)
        self.store.restore(copy)
        self.store.put("op", "config", configuration(
            version=2, tenants=[tenant("tenant1", "key2")]))
        for number in range(2 * ROWS_LOST):
            self.store.put("test", "row", number)
        link.rejects_calls = False
        eventually(lambda: gateway.call("/safe/x")[0] == 401)

    def assert_no_request_reaches(self, name):
        before = len(self.backends[name].runs)
        for gateway in self.gateways:
            for number in range(8):
                gateway.call("/safe/x", request_id=f"{gateway.name}.{number}")
        self.assertEqual(len(self.backends[name].runs), before, "".join(
            gateway.history("server_", "store_", "relay_") for gateway in self.gateways))

    def restore_after_registration(self, name, **fields):
        """Restores the store, in which a server has written at a later version."""
        copy = self.store.copy()
        for number in range(ROWS_LOST):
            self.store.put("test", "row", number)
        self.register(name, **fields)
        time.sleep(DRAIN_BOUND_S)
        self.store.restore(copy)

    # Guards against a drain that is dropped since its version is below a known one.
    def test_server_that_leaves_after_a_restore_gets_no_request(self):
        self.start_with_relays()
        self.restore_after_registration("p1", warmup_left_ms=10)
        self.register("p1", state="draining")
        time.sleep(DRAIN_BOUND_S)
        self.assert_no_request_reaches("p1")

    # Guards against a leaving server that the copy shows as ready.
    def test_server_that_left_before_a_restore_gets_no_request(self):
        self.start_with_relays()
        self.restore_after_registration("p1", state="draining")
        end = time.monotonic() + SILENCE_LIMIT_S + 1
        while time.monotonic() < end:
            self.assert_no_request_reaches("p1")
            time.sleep(0.7)


if __name__ == "__main__":
    unittest.main()
