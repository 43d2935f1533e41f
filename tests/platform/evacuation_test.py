"""Tests that gateways send nothing more to the servers of an evacuated failure domain."""

import signal
import threading
import time
import unittest

from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

BOUND_S = 2  # from the order's acknowledgement until no request reaches the domain


class EvacuationTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.west = [self.start_backend(f"w{number}", zone="west") for number in range(2)]
        self.east = [self.start_backend(f"e{number}", zone="east") for number in range(2)]

    def start_gateways(self, count, domain="west"):
        gateways = [self.start_gateway(name=f"gw{number}", domain=domain)
                    for number in range(count)]
        for gateway in gateways:
            eventually(lambda gateway=gateway: gateway.known_instances() == count)
        return gateways

    def evacuate(self, domain):
        self.store.put("op", f"evacuate/{domain}", {})

    def take_back(self, domain):
        self.store.delete("op", f"evacuate/{domain}")

    def call_each(self, gateways, rounds=8, label=""):
        statuses = []
        for number in range(rounds):
            for gateway in gateways:
                request = f"{gateway.name}-{label}{number}-{time.monotonic()}"
                statuses.append(gateway.call("/safe/x", request_id=request)[0])
        return statuses

    @staticmethod
    def arrivals(backends, since=0.0):
        return [when for backend in backends for _, when in backend.arrivals if when >= since]

    def wait_for(self, gateway, name, **fields):
        return eventually(lambda: any(
            event["name"] == name and fields.items() <= event.items()
            for event in gateway.log_events()))

    # Guards against instances that go on using an evacuated domain, which they prefer.
    def test_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        gateways = self.start_gateways(3)
        self.call_each(gateways)
        self.assertGreater(len(self.arrivals(self.west)), 0)
        self.evacuate("west")
        time.sleep(BOUND_S)
        since = time.monotonic()
        self.assertEqual(set(self.call_each(gateways)), {200})
        self.assertEqual(self.arrivals(self.west, since), [])
        self.take_back("west")
        time.sleep(BOUND_S)
        since = time.monotonic()
        self.assertEqual(set(self.call_each(gateways)), {200})
        self.assertGreater(len(self.arrivals(self.west, since)), 0)

    # Guards against followers that learn of an order later than their relay.
    def test_followers_of_a_relay_keep_to_the_order(self):
        gateways = self.start_gateways(6)
        eventually(lambda: sum(
            any(event["name"] == "relay_followed" for event in gateway.log_events())
            for gateway in gateways) >= 3)
        self.evacuate("west")
        time.sleep(BOUND_S)
        since = time.monotonic()
        self.assertEqual(set(self.call_each(gateways, rounds=3)), {200})
        self.assertEqual(self.arrivals(self.west, since), [])
        eventually(lambda: any(event["name"] == "evacuation_in_force"
                               for gateway in gateways for event in gateway.log_events()))

    # Guards against a new process that uses the domain before it knows the order.
    def test_started_instance_sends_nothing_to_an_evacuated_domain(self):
        self.evacuate("west")
        gateway = self.start_gateway(domain="west")
        self.assertEqual(set(self.call_each([gateway])), {200})
        gateway.child.send_signal(signal.SIGKILL)
        gateway.child.wait()
        gateway.start()
        eventually(gateway.ready)
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.assertEqual(self.arrivals(self.west), [])

    # Guards against a paused process that goes on with what it knew before.
    def test_resumed_instance_learns_of_the_order(self):
        gateway = self.start_gateway(domain="west")
        self.call_each([gateway])
        gateway.child.send_signal(signal.SIGSTOP)
        self.evacuate("west")
        time.sleep(1)
        gateway.child.send_signal(signal.SIGCONT)
        time.sleep(BOUND_S)
        since = time.monotonic()
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.assertEqual(self.arrivals(self.west, since), [])

    def test_orders_hold_while_the_store_is_down(self):
        gateway = self.start_gateway(domain="west", bounds={"revoke_ms": 8000})
        self.evacuate("west")
        self.wait_for(gateway, "evacuation_begun", domain="west")
        self.store.down = True
        since = time.monotonic()
        for _ in range(4):
            self.assertEqual(set(self.call_each([gateway], rounds=2)), {200})
            time.sleep(0.5)
        self.store.down = False
        time.sleep(1)
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.assertEqual(self.arrivals(self.west, since), [])

    def test_order_that_ends_while_the_history_is_dropped_ends(self):
        gateway = self.start_gateway(domain="west")
        self.evacuate("west")
        self.wait_for(gateway, "evacuation_begun", domain="west")
        self.store.down = True
        time.sleep(0.5)
        self.take_back("west")
        self.store.compact_history()
        self.store.down = False
        self.wait_for(gateway, "evacuation_ended", domain="west")

    # Guards against requests to the domain between a restore and the operator's next write.
    def test_order_that_a_restore_lost_stays_in_force(self):
        gateway = self.start_gateway(domain="west")
        copy = self.store.copy()
        self.evacuate("west")
        self.wait_for(gateway, "evacuation_begun", domain="west")
        since = time.monotonic()
        self.store.restore(copy)
        self.wait_for(gateway, "store_restored", table="op")
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.evacuate("west")
        time.sleep(1)
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.assertEqual(self.arrivals(self.west, since), [])

    # Guards against requests that wait for servers which may not be used.
    def test_with_all_domains_evacuated_requests_are_refused_at_once(self):
        gateway = self.start_gateway(domain="west")
        self.evacuate("west")
        self.evacuate("east")
        self.wait_for(gateway, "evacuation_leaves_none", service="plain")
        started = time.monotonic()
        status, headers, _ = gateway.call("/safe/x", request_id="refused")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertIn("Retry-After", headers)
        self.take_back("east")
        self.wait_for(gateway, "evacuation_ended", domain="east")
        self.assertEqual(set(self.call_each([gateway])), {200})

    def test_order_for_an_unknown_domain_is_logged_and_changes_nothing(self):
        gateway = self.start_gateway(domain="west")
        self.evacuate("nowhere")
        self.wait_for(gateway, "evacuation_empty", domain="nowhere")
        self.store.put("op", "evacuate/", {})
        self.wait_for(gateway, "configuration_unreadable", key="evacuate/")
        self.assertEqual(set(self.call_each([gateway])), {200})
        self.assertGreater(len(self.arrivals(self.west)), 0)

    def test_running_stream_of_an_evacuated_domain_completes(self):
        model = self.start_backend("wm", "model", zone="west")
        model.events, model.event_pause_s = 10, 0.2
        gateway = self.start_gateway(domain="west")
        result = []
        thread = threading.Thread(target=lambda: result.append(
            gateway.call("/stream/x", request_id="s1", Cowslipknot_Deadline_Ms="8000")))
        thread.start()
        eventually(lambda: model.runs)
        self.evacuate("west")
        self.wait_for(gateway, "evacuation_begun", domain="west")
        thread.join(10)
        self.assertEqual(result[0][0], 200)
        self.assertEqual(result[0][2].count(b"data:"), 10)

    # Guards against a stream that goes on at a server of the evacuated domain.
    def test_stream_is_resumed_outside_the_evacuated_domain(self):
        first, other = (self.start_backend(name, "model", zone="west") for name in ("m1", "m2"))
        outside = self.start_backend("m3", "model", zone="east")
        for backend in (first, other, outside):
            backend.events, backend.event_pause_s = 10, 0.2
        gateway = self.start_gateway(domain="west")
        result = []
        thread = threading.Thread(target=lambda: result.append(
            gateway.call("/stream/x", request_id="s1", Cowslipknot_Deadline_Ms="8000")))
        thread.start()
        running = eventually(lambda: next((b for b in (first, other, outside) if b.runs), None))
        self.evacuate("west")
        self.wait_for(gateway, "evacuation_begun", domain="west")
        since = time.monotonic()
        running.server.kill()
        thread.join(10)
        self.assertEqual(result[0][0], 200)
        self.assertEqual(result[0][2].count(b"data:"), 10)
        self.assertEqual(self.arrivals([first, other], since), [])

    # Guards against a domain that is used again when the instances that know the order end.
    def test_order_holds_when_the_lease_holder_and_the_relays_are_killed(self):
        gateways = self.start_gateways(5)
        eventually(lambda: self.store.lease_holders)
        self.evacuate("west")
        time.sleep(BOUND_S)
        holder = self.store.lease_holders[-1]
        killed = [gateway for gateway in gateways if gateway.name == holder][:1]
        killed += [gateway for gateway in gateways if gateway not in killed][:2]
        since = time.monotonic()
        for gateway in killed:
            gateway.child.send_signal(signal.SIGKILL)
            gateway.child.wait()
            gateway.start()
        rest = [gateway for gateway in gateways if gateway not in killed]
        self.assertEqual(set(self.call_each(rest)), {200})
        for gateway in killed:
            eventually(gateway.ready)
        self.assertEqual(set(self.call_each(gateways)), {200})
        self.assertEqual(self.arrivals(self.west, since), [])


if __name__ == "__main__":
    unittest.main()
