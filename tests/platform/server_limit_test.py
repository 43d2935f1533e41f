"""Tests that all gateways together keep to the limits that servers name in their answers."""

import collections
import signal
import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

WINDOW_S = 4
BOUND_AFTER_S = 3  # the limit binds this long after it was first named
HAND_OVER_S = 4.5  # until an instance may grant after the set of instances changed
EVENTS = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


class Load:
    """Callers that send requests to gateways, one after the other, until stopped."""

    def __init__(self, gateways, path, callers=3, pause_s=0.03, **fields):
        self.gateways = gateways
        self.path = path
        self.pause_s = pause_s
        self.fields = fields
        self.results = collections.Counter()  # by status; 0: no answer
        self.results_of = collections.defaultdict(collections.Counter)  # by gateway
        self.delays = []  # Retry-After of refusals
        self.longest_s = 0.0  # until a refusal
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(gateway, number), daemon=True)
                        for gateway in gateways for number in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, gateway, caller):
        sent = 0
        while not self.stopped.is_set():
            sent += 1
            started = time.monotonic()
            try:
                status, headers, _ = gateway.call(
                    self.path, request_id=f"{gateway.name}-{caller}-{sent}-{started}",
                    **self.fields)
            except Exception:  # the gateway ends its callers' connections when it ends
                status, headers = 0, {}
            self.results[status] += 1
            self.results_of[gateway.name][status] += 1
            if status == 503:
                self.delays.append(float(headers.get("Retry-After", 0)))
                self.longest_s = max(self.longest_s, time.monotonic() - started)
            time.sleep(self.pause_s)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(10)


class ServerLimitTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())

    def start_backends(self, count, service="plain"):
        backends = [self.start_backend(f"b{number}", service) for number in range(count)]
        for backend in backends:
            backend.answer_pause_s = 0.01
        return backends

    def start_gateways(self, count, domains=1):
        gateways = [self.start_gateway(name=f"gw{number}", domain=f"z{number % domains + 1}")
                    for number in range(count)]
        for gateway in gateways:
            eventually(lambda gateway=gateway: self.knows(gateway, count))
        time.sleep(HAND_OVER_S)
        return gateways

    @staticmethod
    def knows(gateway, count):
        known = [event["instances"] for event in gateway.log_events()
                 if event["name"] == "instances_known"]
        return known and known[-1] == str(count)

    def load(self, gateways, path="/safe/x", **options):
        load = Load(gateways, path, **options)
        self.addCleanup(load.stop)
        return load

    def limit(self, backends, value):
        for backend in backends:
            backend.limit = value
        return time.monotonic()

    def arrivals(self, backend, since, until=None):
        return [when for _, when in backend.arrivals
                if since <= when <= (until or time.monotonic())]

    def assert_within(self, backend, limit, named, until=None):
        """Checks the requests at a server in each window since its limit binds."""
        arrivals = self.arrivals(backend, named + BOUND_AFTER_S, until)
        most = max((len([other for other in arrivals if when <= other < when + WINDOW_S])
                    for when in arrivals), default=0)
        self.assertLessEqual(most, 1.5 * limit * WINDOW_S + 5, backend.name)

    def granter_of(self, server, gateways):
        """Returns the gateway that the others ask for permits of a server."""
        def named():
            names = [event["granter"] for gateway in gateways
                     for event in gateway.log_events()
                     if event["name"] == "server_limited" and event["server"] == server]
            return names and names[-1]
        name = eventually(named)
        return next(gateway for gateway in gateways if gateway.name == name)

    # Guards against instances that each send a server requests as if they were alone.
    def test_limited_server_among_others_gets_its_limit_and_the_others_the_rest(self):
        limited, *others = self.start_backends(3)
        gateways = self.start_gateways(4, domains=2)
        named = self.limit([limited], "2")
        load = self.load(gateways)
        time.sleep(11)
        load.stop()
        self.assert_within(limited, 2, named)
        self.assertEqual(set(load.results), {200})
        self.assertGreater(min(len(other.arrivals) for other in others), 200)
        self.assertGreaterEqual(len(self.arrivals(limited, named + BOUND_AFTER_S)), 8)

    # Guards against callers that wait for a limited server, or return all at once.
    def test_callers_are_refused_at_once_while_all_servers_are_limited(self):
        backends = self.start_backends(2)
        gateways = self.start_gateways(3)
        named = self.limit(backends, "1.5")
        load = self.load(gateways)
        time.sleep(11)
        load.stop()
        for backend in backends:
            self.assert_within(backend, 1.5, named)
            self.assertGreaterEqual(len(self.arrivals(backend, named + BOUND_AFTER_S)), 6)
        self.assertEqual(set(load.results), {200, 503})
        self.assertLess(load.longest_s, 1)
        self.assertGreater(min(load.delays), 0)
        self.assertGreater(max(load.delays) - min(load.delays), 0.5)

    # Guards against a pool of model servers that keeps prompts at a limited server.
    def test_prompts_leave_a_limited_model_server(self):
        backends = self.start_backends(3, "model")
        gateways = self.start_gateways(3)
        fields = {"Cowslipknot_Token_Count": "3000,10",
                  "Cowslipknot_Prefix_Hash": "a1:2000,b2:1000"}
        load = self.load(gateways, "/stream/x", **fields)
        time.sleep(1)
        limited = max(backends, key=lambda backend: len(backend.arrivals))
        named = self.limit([limited], "1.1")
        time.sleep(10)
        load.stop()
        self.assert_within(limited, 1.1, named)
        self.assertEqual(set(load.results), {200})

    # Guards against a limit that is kept after its end, or not changed with the server's.
    def test_limit_that_rises_falls_and_ends_is_followed(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(3)
        load = self.load(gateways)
        named = self.limit([limited], "1")
        time.sleep(9)
        raised = time.monotonic()
        self.assert_within(limited, 1, named)
        self.limit([limited], "10")
        time.sleep(7)
        lowered = time.monotonic()
        self.assert_within(limited, 10, raised)
        self.assertGreater(len(self.arrivals(limited, raised)), 30)
        self.limit([limited], "2")
        time.sleep(8)
        self.assert_within(limited, 2, lowered + 2)
        ended = self.limit([limited], "")
        time.sleep(4)
        load.stop()
        self.assertGreater(len(self.arrivals(limited, ended + 2, ended + 4)), 40)

    def test_server_with_a_limit_of_zero_is_asked_now_and_then(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(2)
        load = self.load(gateways)
        named = self.limit([limited], "0")
        time.sleep(14)
        self.assert_within(limited, 0, named)
        self.assertGreater(len(self.arrivals(limited, named + BOUND_AFTER_S)), 0)
        self.limit([limited], "")
        before = len(limited.arrivals)
        eventually(lambda: len(limited.arrivals) > before + 50)
        load.stop()
        self.assertEqual(set(load.results), {200})

    def test_odd_limits_are_logged_and_bounded(self):
        backends = self.start_backends(5)
        gateway, = self.start_gateways(1)
        odd = {"b0": ("-3", "limit_adjusted"), "b1": ("inf", "limit_adjusted"),
               "b2": ("nan", "limit_unreadable"), "b3": ("soon", "limit_unreadable")}
        for backend in backends[:4]:
            self.limit([backend], odd[backend.name][0])
        load = self.load([gateway])
        eventually(lambda: min(len(backend.arrivals) for backend in backends[1:]) > 20
                   and backends[0].arrivals)
        load.stop()
        self.assertEqual(set(load.results), {200})
        # Once each, whatever the rate of the answers.
        logged = [(event["server"], event["name"]) for event in gateway.log_events()
                  if event["name"].startswith("limit_")]
        self.assertEqual(sorted(logged), sorted(
            (name, event) for name, (_, event) in odd.items()))

    # Guards against an unreadable value that ends a limit.
    def test_unreadable_limit_keeps_the_one_known(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(2)
        named = self.limit([limited], "2")
        load = self.load(gateways)
        time.sleep(4)
        self.limit([limited], "2 a second")
        time.sleep(6)
        load.stop()
        self.assert_within(limited, 2, named)

    # Guards against granters that add up, or servers left unused, after a granter ended.
    def test_limit_holds_while_its_granter_is_killed_and_started_again(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(4, domains=2)
        named = self.limit([limited], "3")
        load = self.load(gateways)
        granter = self.granter_of("b0", gateways)
        time.sleep(5)
        granter.child.send_signal(signal.SIGKILL)
        granter.child.wait()
        killed = time.monotonic()
        time.sleep(3)
        granter.start()
        eventually(granter.ready)
        time.sleep(9)
        load.stop()
        self.assert_within(limited, 3, named)
        self.assertGreater(len(self.arrivals(limited, killed + 8)), 4)
        for gateway in gateways:
            if gateway is not granter:  # which refuses while it starts
                self.assertEqual(set(load.results_of[gateway.name]), {200})

    def test_limit_holds_while_its_granter_is_paused(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(4, domains=2)
        named = self.limit([limited], "4")
        load = self.load(gateways)
        granter = self.granter_of("b0", gateways)
        time.sleep(4)
        granter.child.send_signal(signal.SIGSTOP)
        self.addCleanup(granter.child.send_signal, signal.SIGCONT)
        paused = time.monotonic()
        time.sleep(6)
        resumed = time.monotonic()
        granter.child.send_signal(signal.SIGCONT)
        time.sleep(6)
        load.stop()
        self.assert_within(limited, 4, named)
        # The substitutes grant a part meanwhile.
        self.assertGreater(len(self.arrivals(limited, paused + 1, resumed)), 2)

    # Guards against all callers waiting for a granter that does not respond.
    def test_one_request_at_a_time_waits_for_a_paused_granter(self):
        self.start_backends(2)[0].limit = "4"
        gateways = self.start_gateways(2)
        load = self.load(gateways, callers=8)
        granter = self.granter_of("b0", gateways)
        asker = next(gateway for gateway in gateways if gateway is not granter)
        time.sleep(1)
        granter.child.send_signal(signal.SIGSTOP)
        self.addCleanup(granter.child.send_signal, signal.SIGCONT)
        time.sleep(5)
        waits = [event for event in asker.log_events()
                 if event["name"] == "permit_granter_unresponsive"]
        granter.child.send_signal(signal.SIGCONT)
        load.stop()
        self.assertTrue(waits)
        self.assertLessEqual(len(waits), 7)  # one each second, and two more

    # Guards against a limit that is forgotten when a registration lapses for a moment.
    def test_limit_outlives_a_registration_that_lapses(self):
        limited, _ = self.start_backends(2)
        limited.answer_pause_s = 0.6
        gateways = self.start_gateways(6, domains=2)
        named = self.limit([limited], "2")
        load = self.load(gateways, callers=6)
        time.sleep(5)
        row = self.store.get("servers", "b0")
        self.store.delete("servers", "b0")
        time.sleep(1)
        self.store.put("servers", "b0", row)
        returned = time.monotonic()
        time.sleep(5)
        load.stop()
        self.assert_within(limited, 2, named)
        self.assertTrue(self.arrivals(limited, returned + 1))

    # Guards against an instance that starts and does not know of the limit.
    def test_instance_that_starts_keeps_to_the_limit(self):
        limited, _ = self.start_backends(2)
        gateways = self.start_gateways(2)
        named = self.limit([limited], "2")
        load = self.load(gateways)
        time.sleep(3)
        added = [self.start_gateway(name=f"late{number}") for number in range(2)]
        later = self.load(added)
        time.sleep(10)
        load.stop()
        later.stop()
        self.assert_within(limited, 2, named)
        for gateway in added:
            self.assertTrue([event for event in gateway.log_events()
                             if event["name"] == "server_limited"])


if __name__ == "__main__":
    unittest.main()
