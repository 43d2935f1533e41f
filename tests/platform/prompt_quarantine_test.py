"""Tests gateways against requests whose prompts crash the servers that answer them."""

import http.client
import time
import unittest

from configuration_documents import configuration, route
from gateway_process import eventually
from platform_test_case import PlatformTestCase

GATEWAYS = 3
SERVERS = 16
FIRST_PART = "a1"  # shared by all prompts of the route
CRASHING_PART = "bad1"
CRASHING_REQUESTS = 14
MAX_CRASHES = 5  # the instances know the part by then
CONTACT_S = 3  # after its start, an instance knows what the others know
CHECK_S = 0.5  # a server whose answer broke off has been checked by then
MAX_REQUESTS_LATER = 3  # that reach servers with the part


class PromptQuarantineTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backends = []
        for number in range(SERVERS):
            backend = self.start_backend(f"b{number}", "model")
            backend.crashes_on = CRASHING_PART
            self.backends.append(backend)
        self.gateways = [self.start_gateway(name=f"gw{number}") for number in range(GATEWAYS)]
        eventually(lambda: all(self.peers_known(gateway) for gateway in self.gateways))
        self.sent = 0

    @staticmethod
    def events(gateway, name):
        return [event for event in gateway.log_events() if event["name"] == name]

    def peers_known(self, gateway):
        known = self.events(gateway, "instances_known")
        return known and int(known[-1]["instances"]) >= GATEWAYS

    def send(self, gateway, *parts):
        """Sends a request whose prompt has these parts and one of its own.

        Returns the status, or 0 for a connection that ended."""
        self.sent += 1
        prefix = ",".join(f"{part}:100" for part in (*parts, f"f{self.sent:04x}"))
        try:
            return gateway.call("/stream/x", request_id=f"r{self.sent}",
                                Cowslipknot_Token_Count="300,10",
                                Cowslipknot_Prefix_Hash=prefix)[0]
        except (http.client.HTTPException, OSError):
            return 0

    def runs_with_part(self):
        return [run for backend in self.backends for run in backend.runs
                if CRASHING_PART in run["headers"].get("Cowslipknot-Prefix-Hash", "")]

    def send_crashing_requests(self):
        for number in range(CRASHING_REQUESTS):
            gateway = self.gateways[number % len(self.gateways)]
            self.send(gateway, FIRST_PART, CRASHING_PART)
            self.send(gateway, FIRST_PART)
            time.sleep(0.3)

    # Guards against BUDGET of issue 23: requests with one part in common ended one model
    # server after the other, whichever instance they came to.
    def test_part_that_crashes_servers_is_kept_from_them(self):
        self.send_crashing_requests()
        self.assertLessEqual(len(self.runs_with_part()), MAX_CRASHES)
        for gateway in self.gateways:
            self.assertEqual(self.send(gateway, FIRST_PART, CRASHING_PART), 503)
            self.assertEqual(self.send(gateway, CRASHING_PART), 503)
            self.assertEqual(self.send(gateway, FIRST_PART), 200)

    # Guards against an instance that forgets with its process what the others know.
    def test_restarted_instance_learns_of_the_part_before_it_sends_it(self):
        self.send_crashing_requests()
        before = len(self.runs_with_part())
        gateway = self.gateways[0]
        gateway.child.kill()
        gateway.child.wait()
        gateway.start()
        eventually(gateway.ready)
        started = time.monotonic()
        eventually(lambda: len(self.events(gateway, "prompt_quarantined")) > 1)
        self.assertLess(time.monotonic() - started, CONTACT_S)
        for _ in range(5):
            self.send(gateway, FIRST_PART, CRASHING_PART)
        self.assertEqual(len(self.runs_with_part()), before)

    # Guards against a quarantine that only the memory of processes holds.
    def test_part_is_known_after_all_instances_were_killed(self):
        self.send_crashing_requests()
        time.sleep(3)  # longer than the interval between reports
        before = len(self.runs_with_part())
        for gateway in self.gateways:
            gateway.child.kill()
            gateway.child.wait()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            eventually(gateway.ready)
            eventually(lambda gateway=gateway: len(
                self.events(gateway, "prompt_quarantined")) > 1)
            self.send(gateway, FIRST_PART, CRASHING_PART)
        self.assertLessEqual(len(self.runs_with_part()) - before, MAX_REQUESTS_LATER)

    # Guards against servers that are blamed on prompts although only links broke.
    def test_reset_connections_put_no_part_in_quarantine(self):
        for backend in self.backends:
            backend.crashes_on = None
            backend.pending_faults = ["crash"] * 3
        for number in range(CRASHING_REQUESTS):
            self.send(self.gateways[number % GATEWAYS], FIRST_PART, "c0ffee")
        for gateway in self.gateways:
            eventually(lambda gateway=gateway: self.events(gateway, "server_checked"))
        time.sleep(CHECK_S)
        for gateway in self.gateways:
            self.assertFalse(self.events(gateway, "prompt_quarantined"))

    def crash_one_server(self, part):
        """Sends a request that crashes the server to which it comes, and only that one."""
        crashed = []

        def crash(_):
            crashed.append(True)
            self.set_crashes_on(None)
        for backend in self.backends:
            backend.on_crash = crash
        self.set_crashes_on(part)
        self.send(self.gateways[0], FIRST_PART, part)
        self.assertEqual(len(crashed), 1)
        time.sleep(CHECK_S)

    def set_crashes_on(self, part):
        for backend in self.backends:
            backend.crashes_on = part

    # Guards against LOST of review/3: answers without framing never showed that a part is
    # harmless, so that a crash of another cause condemned the part that all prompts share.
    def test_unframed_answers_show_that_a_part_is_harmless(self):
        self.store.put("op", "config", configuration(version=2, route_list=[
            route("stream", "/stream/", "streaming", "model", max_attempts=1)]))
        time.sleep(CONTACT_S)
        for backend in self.backends:
            backend.usual_fault = "unframed"
        self.crash_one_server(FIRST_PART)
        for gateway in self.gateways:
            self.assertEqual(self.send(gateway, FIRST_PART), 200)
        time.sleep(CHECK_S)
        self.crash_one_server(CRASHING_PART)
        self.crash_one_server(CRASHING_PART)
        for gateway in self.gateways:
            self.assertEqual(self.send(gateway, FIRST_PART), 200, gateway.history("prompt_"))
        self.crash_one_server(CRASHING_PART)
        for gateway in self.gateways:
            eventually(lambda gateway=gateway: self.events(gateway, "prompt_quarantined"))
            self.assertEqual(self.send(gateway, FIRST_PART, CRASHING_PART), 503)
            self.assertEqual(self.send(gateway, FIRST_PART), 200)


if __name__ == "__main__":
    unittest.main()
