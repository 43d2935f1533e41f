"""Tests who is refused, and what its caller is told, while a service lacks room."""

import threading
import time
import unittest

from configuration_documents import configuration, route
from gateway_process import eventually
from platform_test_case import PlatformTestCase

NO_ROOM = "2003"
MANY = 20000  # more requests than a test sends


def routes_of_three_priorities():
    return [route(f"p{priority}", f"/p{priority}/", "safe", "plain", priority=priority)
            for priority in range(3)]


class AdmissionShortageTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration(route_list=routes_of_three_priorities()))
        self.backends = [self.start_backend(f"b{number}") for number in range(4)]
        self.stopped = threading.Event()
        self.results = []  # (gateway, priority, request id, status, headers, seconds)
        self.callers = []
        self.addCleanup(self.stop_load)

    def fill_servers(self):
        """Half of the servers' attempts find their queue full."""
        for backend in self.backends:
            backend.pending_faults = ["reject", "reject", "", ""] * (MANY // 4)

    def empty_servers(self):
        for backend in self.backends:
            backend.pending_faults = []

    def load(self, gateway, callers=6):
        def run(number):
            sent = 0
            while not self.stopped.is_set():
                sent += 1
                priority = sent % 3
                request = f"{gateway.name}-{number}-{sent}"
                started = time.monotonic()
                try:
                    status, headers, _ = gateway.call(f"/p{priority}/x", request_id=request)
                except OSError:
                    status, headers = 0, {}
                self.results.append((gateway.name, priority, request, status, headers,
                                     time.monotonic() - started))
                time.sleep(0.02)
        for number in range(callers):
            self.callers.append(threading.Thread(target=run, args=(number,), daemon=True))
            self.callers[-1].start()

    def stop_load(self):
        self.stopped.set()
        for caller in self.callers:
            caller.join()

    def refused(self, priority):
        return [result for result in self.results if result[1] == priority
                and result[4].get("X-Result-Code") == NO_ROOM]

    def sent(self, priority):
        return [result for result in self.results if result[1] == priority]

    def counted(self, gateway, name):
        return any(event["name"] == name for event in gateway.log_events())

    # Guards against servers that decide by chance who is served while they are full, and
    # against an instance that needs others to decide.
    def test_servers_refuse_half_the_least_urgent_are_refused_first_and_did_not_run(self):
        gateway = self.start_gateway(sheds=True)
        self.fill_servers()
        self.load(gateway)
        eventually(lambda: len(self.refused(2)) > 20)
        time.sleep(2)
        self.stop_load()
        shares = [len(self.refused(priority)) / len(self.sent(priority))
                  for priority in range(3)]
        self.assertLessEqual(shares[0], shares[1] + 0.05, shares)
        self.assertLess(shares[1], shares[2], shares)
        ran = {run["headers"]["Cowslipknot-Request-Id"]
               for backend in self.backends for run in backend.runs}
        for result in self.refused(1) + self.refused(2):
            self.assertEqual(result[3], 503)
            self.assertNotIn(result[2], ran)
            self.assertEqual(result[4]["X-Execution"], "not-run")
            delay = float(result[4]["Retry-After"])
            self.assertGreater(delay, 0)
            self.assertLessEqual(delay, 1)  # a third of the caller's time
        self.assertIn("cowslipknot_shortage_refusals_total", gateway.metrics())

    # Guards against classes that get nothing for as long as a shortage lasts.
    def test_servers_refuse_all_each_priority_is_still_tried(self):
        gateway = self.start_gateway(sheds=True)
        for backend in self.backends:
            backend.usual_fault = "reject"
        self.load(gateway)
        time.sleep(6)
        self.stop_load()
        for priority in range(3):
            sent, refused = len(self.sent(priority)), len(self.refused(priority))
            self.assertGreater(sent - refused, 0.1 * sent, priority)

    # Guards against a shortage that outlasts its cause.
    def test_after_the_shortage_nobody_is_refused(self):
        gateway = self.start_gateway(sheds=True)
        self.fill_servers()
        self.load(gateway)
        eventually(lambda: self.counted(gateway, "shortage_began"))
        self.empty_servers()
        eventually(lambda: self.counted(gateway, "shortage_ended"))
        before = len(self.results)
        time.sleep(1)
        self.stop_load()
        self.assertEqual({result[3] for result in self.results[before + 6:]}, {200})

    # Guards against an instance with little load that fills servers which others spare.
    def test_an_instance_that_met_no_full_server_is_told_by_others(self):
        gateways = [self.start_gateway(name=f"gw{number}", sheds=True) for number in range(2)]
        for gateway in gateways:
            eventually(lambda gateway=gateway: gateway.known_instances() == 2)
        self.fill_servers()
        self.load(gateways[0])
        eventually(lambda: self.counted(gateways[1], "shortage_began"))

    # Guards against effects on deployments that did not ask for it.
    def test_without_the_setting_servers_decide(self):
        gateway = self.start_gateway()
        self.fill_servers()
        self.load(gateway)
        time.sleep(2)
        self.stop_load()
        self.assertEqual(sum(len(self.refused(priority)) for priority in range(3)), 0)
        self.assertFalse(self.counted(gateway, "shortage_began"))


if __name__ == "__main__":
    unittest.main()
