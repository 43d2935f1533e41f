"""Tests that routes which require an API key stay closed, whatever the configuration lists."""

import time
import unittest

from configuration_documents import configuration, route, tenant
from gateway_process import eventually
from platform_test_case import PlatformTestCase

REVOKE_BOUND_S = 3.0
KEY = "Token key1"
# Documents of a tenant that has no key.
TENANTS_WITHOUT_KEYS = {
    "no tenants": [],
    "an empty list of keys": [tenant("tenant1")],
    "no list of keys": [{"name": "tenant1"}],
    "an empty key": [tenant("tenant1", "")],
}


def open_configuration(version):
    document = configuration(version=version)
    del document["tenants"]
    return document


class ClosedConfigurationTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backend = self.start_backend("p1")

    def start(self, name="gw1", **options):
        return self.start_gateway(
            name=name, bounds={"revoke_ms": int(REVOKE_BOUND_S * 1000)}, **options)

    def restart(self, gateway):
        gateway.child.kill()
        gateway.child.wait()
        gateway.start()
        eventually(gateway.ready)

    @staticmethod
    def status(gateway, authorization="", path="/safe/x"):
        return gateway.call(path, Authorization=authorization)[0]

    def wait_for_version(self, gateway, version):
        eventually(lambda: any(event["name"] == "revision_in_force"
                               and event["revision"] == str(version)
                               for event in gateway.log_events()))

    def assert_closed(self, gateway, detail):
        for authorization in ("", "Token", "Token ", KEY):
            self.assertEqual(self.status(gateway, authorization), 401,
                             f"{detail}, {authorization!r}")
        self.assertEqual(self.status(gateway, path="/open/x"), 200, detail)

    # Guards against CONFIG of review/12: a list of tenants without any opened all routes.
    def test_routes_stay_closed_without_any_key(self):
        gateway = self.start()
        for version, (detail, tenants) in enumerate(TENANTS_WITHOUT_KEYS.items(), 2):
            with self.subTest(detail):
                self.store.put("op", "config",
                               configuration(version=version, tenants=tenants))
                self.wait_for_version(gateway, version)
                self.assert_closed(gateway, detail)

    # Guards against the same in a process that has not read the keys that were removed.
    def test_routes_stay_closed_after_a_restart(self):
        gateway = self.start()
        for version, (detail, tenants) in enumerate(TENANTS_WITHOUT_KEYS.items(), 2):
            with self.subTest(detail):
                self.store.put("op", "config",
                               configuration(version=version, tenants=tenants))
                self.wait_for_version(gateway, version)
                self.restart(gateway)
                self.assert_closed(gateway, detail)

    def test_an_unreadable_list_opens_no_route(self):
        gateway = self.start()
        for version, tenants in enumerate((None, {}, [{"api_keys": ["key1"]}]), 2):
            with self.subTest(tenants=tenants):
                self.store.put("op", "config",
                               configuration(version=version, tenants=tenants))
                eventually(lambda: self.status(gateway, KEY) == 503)
                self.assertEqual(self.status(gateway), 503)
                self.store.put("op", "config", configuration(version=version + 10))
                eventually(lambda: self.status(gateway, KEY) == 200)

    def test_routes_need_no_key_without_a_list_of_tenants(self):
        self.store.put("op", "config", open_configuration(2))
        gateway = self.start()
        self.assertEqual(self.status(gateway), 200)
        self.restart(gateway)
        self.assertEqual(self.status(gateway), 200)

    def check_new_process_after_restore(self, opened, path):
        """The store is restored from a copy with a configuration that requires no key for a
        path; a process that starts then serves none without, from its first moment."""
        self.store.put("op", "config", opened)
        gateways = [self.start(f"gw{number}") for number in range(2)]
        for gateway in gateways:
            eventually(lambda g=gateway: g.known_instances() >= len(gateways))
            self.assertEqual(self.status(gateway, path=path), 200)
        copy = self.store.copy()
        self.store.put("op", "config", configuration(
            version=3, tenants=[tenant("tenant1", "key2")],
            route_list=[route("safe", "/safe/", "safe", "plain"),
                        route("open", "/open/", "safe", "plain")]))
        for gateway in gateways:
            eventually(lambda g=gateway: self.status(g, path=path) == 401)
        time.sleep(1.5)  # until each instance has read a later position
        self.store.restore(copy)
        for number in range(6):
            late = self.start(f"late{number}", wait=False)
            deadline = time.monotonic() + 2
            refused = 0
            while time.monotonic() < deadline:
                try:
                    status = self.status(late, path=path)
                except OSError:
                    continue  # not listening yet
                self.assertNotEqual(status, 200, late.history())
                refused += 1
            self.assertGreater(refused, 0)
            eventually(lambda g=late: self.status(g, path=path) == 401)

    # Guards against a process that relies on the open configuration of a restored store before
    # it has asked the others for a later one.
    def test_new_process_opens_no_closed_route_after_a_restore(self):
        self.check_new_process_after_restore(open_configuration(2), "/safe/x")

    def test_new_process_opens_no_route_that_was_public_after_a_restore(self):
        self.check_new_process_after_restore(configuration(version=2), "/open/x")


if __name__ == "__main__":
    unittest.main()
