"""Tests processes that start while a restored store holds an older configuration than the
other gateways have in force."""

import time
import unittest

import fakes
from configuration_documents import configuration, tenant
from gateway_process import eventually
from platform_test_case import PlatformTestCase

RELAYED_INSTANCES = 6  # of one domain; some of them follow a relay
APPLY_BOUND_S = 2.0
REVOKE_BOUND_S = 3.0
REPORTS_READ_S = 4.0  # until each instance has read the others' reports again


class RestoredConfigurationTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.write_configuration(1, "key1")
        self.backend = fakes.Backend("p1")
        self.addCleanup(self.backend.server.stop)
        self.register_server()
        self.gateways = []

    def write_configuration(self, version, key):
        self.store.put("op", "config", configuration(
            version=version, tenants=[tenant("tenant1", key)]))

    def register_server(self):
        self.store.put("servers", "p1", self.backend.registration("plain"))

    def start(self, name, **options):
        gateway = self.start_gateway(
            name=name, bounds={"revoke_ms": int(REVOKE_BOUND_S * 1000)}, **options)
        self.gateways.append(gateway)
        return gateway

    @staticmethod
    def is_accepted(gateway, key):
        return gateway.call("/safe/x", Authorization=f"Token {key}")[0] == 200

    @staticmethod
    def responds(gateway):
        """Polled faster than eventually() does, for the first moment."""
        deadline = time.monotonic() + 2
        while time.monotonic() < deadline:
            connection = gateway.connect()
            try:
                connection.connect()
                return True
            except OSError:
                continue
            finally:
                connection.close()
        return False

    def instances_known(self, gateway):
        return any(event["name"] == "instances_known"
                   and int(event["instances"]) >= len(self.gateways)
                   for event in gateway.log_events())

    def replace_key(self, copy):
        """The operator replaces key1; then the store is restored from a copy with key1."""
        self.write_configuration(2, "key2")
        for gateway in self.gateways:
            eventually(lambda g=gateway: self.is_accepted(g, "key2"))
        time.sleep(1.5)  # until each instance has read a later position
        self.store.restore(copy)

    def assert_key1_refused(self, gateway):
        """The gateway refuses the key within the bound, and from then on."""
        started = time.monotonic()
        eventually(lambda: not self.is_accepted(gateway, "key1"))
        self.assertLess(time.monotonic() - started, REVOKE_BOUND_S)
        while time.monotonic() - started < REVOKE_BOUND_S + REPORTS_READ_S:
            self.assertFalse(self.is_accepted(gateway, "key1"))
            time.sleep(0.1)
        self.assertTrue(self.is_accepted(gateway, "key2"))

    def assert_all_follow(self, version, key):
        self.write_configuration(version, key)
        confirmed = time.monotonic()
        for gateway in self.gateways:
            eventually(lambda g=gateway: self.is_accepted(g, key))
            self.assertLess(time.monotonic() - confirmed, APPLY_BOUND_S, gateway.name)
            self.assertFalse(self.is_accepted(gateway, "key1"), gateway.name)
            self.assertFalse(self.is_accepted(gateway, "key2"), gateway.name)

    def check_process_started_after_restore(self, instances):
        for number in range(instances):
            self.start(f"gw{number}")
        for gateway in self.gateways:
            eventually(lambda g=gateway: self.instances_known(g))
        self.replace_key(self.store.copy())
        self.assert_key1_refused(self.start("late"))
        self.assert_all_follow(3, "key3")

    # Guards against a process that runs requests by a key which was taken away, since the
    # restored store has the older configuration.
    def test_process_started_after_a_restore_refuses_a_removed_key(self):
        self.check_process_started_after_restore(2)

    # The same from the first request that the process accepts.
    def test_new_process_accepts_no_removed_key_before_it_knows_the_others(self):
        self.start("gw0")
        self.start("gw1")
        for gateway in self.gateways:
            eventually(lambda g=gateway: self.instances_known(g))
        self.replace_key(self.store.copy())
        for number in range(8):
            late = self.start_gateway(wait=False, name=f"late{number}")
            eventually(lambda g=late: self.responds(g))
            deadline = time.monotonic() + 1
            while time.monotonic() < deadline:
                self.assertFalse(self.is_accepted(late, "key1"), late.history())
            self.assertTrue(self.is_accepted(late, "key2"), late.history())

    # The same where the process comes to follow a relay, which has the older row as well.
    def test_process_that_follows_a_relay_after_a_restore_refuses_a_removed_key(self):
        self.check_process_started_after_restore(RELAYED_INSTANCES)
        late = self.gateways[-1]
        self.assertTrue(any(event["name"] == "relay_followed"
                            for event in late.log_events()))

    # Guards against the same where the copy lacks the reports of the other instances.
    def test_process_refuses_a_removed_key_once_the_reports_are_written_again(self):
        copy = self.store.copy()
        self.start("gw0")
        self.start("gw1")
        self.replace_key(copy)
        self.assert_key1_refused(self.start("late"))
        self.assert_all_follow(3, "key3")

    def check_instances_that_missed_a_version(self, instances):
        """Instances behind one link miss a configuration, which the store then loses."""
        link = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(link.stop)
        for number in range(2):
            self.start(f"gw{number}")
        cut = [self.start(f"cut{number}", store_address=link.address, domain="z2")
               for number in range(instances)]
        for gateway in self.gateways:
            eventually(lambda g=gateway: self.instances_known(g))
        time.sleep(REPORTS_READ_S)
        copy = self.store.copy()
        link.rejects_calls = True
        time.sleep(0.5)  # until no call of theirs is under way
        self.write_configuration(2, "key2")
        for gateway in self.gateways[:2]:
            eventually(lambda g=gateway: self.is_accepted(g, "key2"))
        time.sleep(REVOKE_BOUND_S + 0.5)
        self.store.restore(copy)
        link.rejects_calls = False
        deadline = time.monotonic() + REPORTS_READ_S
        while time.monotonic() < deadline:
            for gateway in cut:
                self.assertFalse(self.is_accepted(gateway, "key1"), gateway.name)
        for gateway in cut:
            eventually(lambda g=gateway: self.is_accepted(g, "key2"))
        self.assert_all_follow(3, "key3")

    # Guards against an instance that was cut off while a key was taken away, and takes the
    # older configuration of the restored store for the latest one.
    def test_instance_that_missed_a_lost_configuration_refuses_a_removed_key(self):
        self.check_instances_that_missed_a_version(1)

    # The same where instances follow a relay that was cut off as well.
    def test_followers_that_missed_a_lost_configuration_refuse_a_removed_key(self):
        self.check_instances_that_missed_a_version(RELAYED_INSTANCES)

    # Guards against a process that keeps what a peer sent when the operator writes the lost
    # version again with another content.
    def test_the_operators_word_replaces_what_peers_sent(self):
        self.start("gw0")
        self.start("gw1")
        eventually(lambda: self.instances_known(self.gateways[0]))
        self.replace_key(self.store.copy())
        self.assert_key1_refused(self.start("late"))
        self.assert_all_follow(2, "key4")


if __name__ == "__main__":
    unittest.main()
