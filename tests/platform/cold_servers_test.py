"""Tests that all gateways together send a cold server no more than it tolerates."""

import signal
import threading
import time
import unittest

import fakes
from configuration_documents import configuration, services
from gateway_process import eventually
from platform_test_case import PlatformTestCase

RATE = 4  # requests a second that a cold server takes
TOLERATED = 1.5 * RATE + 5  # within any second
WARMUP_S = 6
HAND_OVER_S = 4.5  # until an instance may grant after the set of instances changed


class ColdServersTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        cold = [dict(service, warmup_s=WARMUP_S, warmup_per_s=RATE)
                for service in services(max_conns=100)]
        self.store.put("op", "config", configuration(services=cold))
        self.stopped = threading.Event()
        self.results = []  # status of each request, and how long it took
        self.addCleanup(self.stopped.set)

    def register(self, backend, zone="z1", **fields):
        self.store.put("servers", backend.name,
                       backend.registration("plain", zone=zone, **fields))

    def start_backend_at(self, name, zone, **fields):
        backend = fakes.Backend(name)
        self.addCleanup(backend.server.stop)
        backend.answer_pause_s = 0.01
        self.register(backend, zone, **fields)
        return backend

    def start_gateways(self, count):
        gateways = [self.start_gateway(name=f"gw{number}", domain=f"z{number % 2 + 1}")
                    for number in range(count)]
        for gateway in gateways:
            eventually(lambda gateway=gateway: gateway.known_instances() == count)
        time.sleep(HAND_OVER_S)
        return gateways

    def load(self, gateways, callers=3):
        def run(gateway, number):
            sent = 0
            while not self.stopped.is_set():
                sent += 1
                started = time.monotonic()
                try:
                    status, headers, _ = gateway.call(
                        "/safe/x", request_id=f"{gateway.name}-{number}-{sent}-{started}")
                except OSError:
                    status, headers = 0, {}
                self.results.append((status, time.monotonic() - started,
                                     headers.get("Retry-After")))
                time.sleep(0.02)
        for gateway in gateways:
            for number in range(callers):
                threading.Thread(target=run, args=(gateway, number), daemon=True).start()

    def assert_tolerated(self, backend, since, until=None):
        arrivals = [when for _, when in backend.arrivals
                    if since <= when <= (until or time.monotonic())]
        most = max((len([other for other in arrivals if when <= other < when + 1])
                    for when in arrivals), default=0)
        self.assertLessEqual(most, TOLERATED, backend.name)
        return len(arrivals)

    # Guards against instances that all choose a server which has just started and is idle.
    def test_server_that_registers_cold_warms_up_slowly(self):
        warm = self.start_backend_at("warm", "z1")
        gateways = self.start_gateways(4)
        self.load(gateways)
        since = time.monotonic()
        cold = self.start_backend_at("cold", "z1", warmup_left_ms=WARMUP_S * 1000, born=2)
        time.sleep(WARMUP_S)
        self.assertGreater(self.assert_tolerated(cold, since), RATE)
        self.assertGreater(len(warm.arrivals), 100)
        time.sleep(4)  # warm since 1 to 3 s
        self.assertGreater(len([when for _, when in cold.arrivals
                                if when > time.monotonic() - 1]), TOLERATED)
        self.assertEqual({status for status, _, _ in self.results}, {200})

    # Guards against the rate of before at a server that turns cold while it runs.
    def test_server_that_turns_cold_again_gets_its_rate(self):
        backends = [self.start_backend_at(f"b{number}", "z1") for number in range(2)]
        gateways = self.start_gateways(4)
        self.load(gateways)
        time.sleep(1)
        self.register(backends[0], warmup_left_ms=WARMUP_S * 1000, seq=2)
        time.sleep(2)  # the bound on what registrations say
        since = time.monotonic()
        time.sleep(3)
        self.assert_tolerated(backends[0], since)

    # Guards against callers that wait while all servers are cold.
    def test_with_all_servers_cold_the_rest_is_refused_at_once(self):
        backends = [self.start_backend_at(f"b{number}", "z1", warmup_left_ms=60000, born=2)
                    for number in range(2)]
        gateways = self.start_gateways(4)
        since = time.monotonic()
        self.load(gateways)
        time.sleep(4)
        self.stopped.set()
        for backend in backends:
            self.assertGreater(self.assert_tolerated(backend, since), RATE)
        self.assertEqual({status for status, _, _ in self.results}, {200, 503})
        refused = [(took, after) for status, took, after in self.results if status == 503]
        self.assertLess(max(took for took, _ in refused), 1)
        self.assertTrue(all(after and float(after) > 0 for _, after in refused))

    # Guards against two granters that add up, and against a start that begins with full load.
    def test_bound_holds_when_granters_are_killed_and_started(self):
        self.start_backend_at("warm", "z1")
        cold = self.start_backend_at("cold", "z1", warmup_left_ms=60000, born=2)
        gateways = self.start_gateways(4)
        self.load(gateways)
        since = time.monotonic()
        for gateway in gateways[:2]:
            time.sleep(1)
            gateway.child.send_signal(signal.SIGKILL)
            gateway.child.wait()
            gateway.start()
            eventually(gateway.ready)
        time.sleep(3)
        self.assert_tolerated(cold, since)

    # Guards against full load on a domain whose servers started again while it was evacuated.
    def test_servers_of_a_domain_that_returns_get_their_cold_rate(self):
        self.start_backend_at("east", "z2")
        west = [self.start_backend_at(f"west{number}", "z1") for number in range(2)]
        self.store.put("op", "evacuate/z1", {})
        gateways = self.start_gateways(4)
        self.load(gateways)
        time.sleep(1)
        self.assertEqual([len(backend.arrivals) for backend in west], [0, 0])
        self.store.delete("op", "evacuate/z1")
        since = time.monotonic()
        time.sleep(WARMUP_S - 0.5)
        arrived = [self.assert_tolerated(backend, since) for backend in west]
        self.assertGreater(min(arrived), 0)


if __name__ == "__main__":
    unittest.main()
