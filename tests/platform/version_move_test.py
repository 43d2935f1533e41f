"""Tests moves to versions that are slow against fakes of the platform's services."""

import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import Gateway, eventually
from platform_test_case import PlatformTestCase

DURATION_S = 15
MOVE_TIMEOUT_S = 2 * DURATION_S
CALLERS = 12
# The platform's bounds on the requests to a bad version.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


class VersionMoveTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())

    def add_backend(self, name, service, version, **options):
        backend = fakes.Backend(name, **options)
        self.addCleanup(backend.server.stop)
        self.store.put("servers", name, backend.registration(
            service, version=version, slots=64))
        return backend

    def status(self, service):
        return self.store.get("status", f"rollout/{service}")

    def move(self, service, path, old, new, gateways=2):
        """Moves `service` from a server of the old version to one of the new version while
        callers send requests; returns the new server, the number of requests sent and the
        final state."""
        self.add_backend("old", service, "v1", **old)
        fleet = [Gateway(self.store, self.cloud, name=f"gw{number}")
                 for number in range(gateways)]
        for gateway in fleet:
            self.addCleanup(gateway.stop)
        for gateway in fleet:
            eventually(gateway.ready)
        decided = threading.Event()
        sent = [0] * CALLERS

        def send(caller):
            while not decided.is_set():
                try:
                    fleet[caller % gateways].call(path, request_id=f"m{caller}.{sent[caller]}")
                except OSError:
                    pass
                sent[caller] += 1

        callers = [threading.Thread(target=send, args=(caller,)) for caller in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(2)  # the usual times become known
        before = sum(sent)
        new_server = self.add_backend("new", service, "v2", **new)
        self.store.put("op", f"rollout/{service}", {
            "service": service, "to": "v2", "duration_s": DURATION_S})
        deadline = time.monotonic() + MOVE_TIMEOUT_S
        while time.monotonic() < deadline:
            status = self.status(service)
            if status and status["state"] != "in_progress":
                break
            time.sleep(0.05)
        decided.set()
        for caller in callers:
            caller.join()
        return new_server, sum(sent) - before, self.status(service)["state"]

    def check_rolled_back(self, new_server, sent, state):
        self.assertEqual(state, "reverted")
        self.assertLess(len(new_server.runs), EXPOSURE_SHARE * sent + EXPOSURE_SLACK)

    # Guards against: a version that answers several times slower is introduced.
    def test_version_that_answers_slower_is_rolled_back_within_the_exposure_bound(self):
        self.check_rolled_back(*self.move(
            "plain", "/safe/x", {"answer_pause_s": 0.02}, {"answer_pause_s": 0.15}))

    # Guards against: a version that streams several times slower is introduced.
    def test_version_that_streams_slower_is_rolled_back_within_the_exposure_bound(self):
        self.check_rolled_back(*self.move(
            "model", "/stream/x", {"events": 12, "event_pause_s": 0.02},
            {"events": 12, "event_pause_s": 0.1}))

    # Guards against: differences in speed between sound servers stop a move.
    def test_version_that_is_little_slower_is_introduced(self):
        _, _, state = self.move(
            "plain", "/safe/x", {"answer_pause_s": 0.04}, {"answer_pause_s": 0.05})
        self.assertEqual(state, "completed")

    # Guards against: an instance that lacks the store keeps sending to a bad version that
    # the others have rolled back.
    def test_instance_without_store_stops_using_a_version_that_is_bad_at_others(self):
        store_proxy = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(store_proxy.stop)
        self.add_backend("old", "plain", "v1")
        fleet = [Gateway(self.store, self.cloud, name="gw1"),
                 Gateway(self.store, self.cloud, name="gw2",
                         store_address=store_proxy.address)]
        for gateway in fleet:
            self.addCleanup(gateway.stop)
        for gateway in fleet:
            eventually(gateway.ready)
            eventually(lambda: [event for event in gateway.log_events()
                                if event["name"] == "instances_known"
                                and event["instances"] == "2"])
        new_server = self.add_backend("new", "plain", "v2")
        self.store.put("op", "rollout/plain", {
            "service": "plain", "to": "v2", "duration_s": DURATION_S})
        numbers = iter(range(10**6))

        def uses_new_version():
            request = f"trial{next(numbers)}"
            fleet[1].call("/open/x", request_id=request)
            return any(run["headers"]["Cowslipknot-Request-Id"] == request
                       for run in new_server.runs)

        eventually(uses_new_version)
        store_proxy.rejects_calls = True
        new_server.pending_faults = ["fail"] * 100000
        deadline = time.monotonic() + DURATION_S
        while (self.status("plain")["state"] == "in_progress"
               and time.monotonic() < deadline):
            fleet[0].call("/open/x", request_id=f"bad{next(numbers)}")
        self.assertEqual(self.status("plain")["state"], "reverted")
        for number in range(200):
            fleet[1].call("/open/x", request_id=f"late{number}")
        late = [run for run in new_server.runs
                if run["headers"]["Cowslipknot-Request-Id"].startswith("late")]
        self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()
