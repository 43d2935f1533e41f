"""Tests gateways against requests that crash servers while instances or servers have faults,
and what sound requests beside them get."""

import base64
import json
import signal
import subprocess
import threading
import time
import unittest
import urllib.request

import fakes
from configuration_documents import configuration, tenant
from crashing_servers import CONTACT_S, CRASHING, MAX_LATER, Caller, CrashingServers, send
from gateway_process import BINARY, eventually, free_port
from platform_test_case import PlatformTestCase

GATEWAYS = 3
SERVERS = 12
QUARANTINED = "2008"
REFUSED_WITHIN_S = 0.3
CRASHES_KNOWN_S = 1.5  # after which all instances know of a crash
MODEL = {"Cowslipknot_Token_Count": "300,10"}
FIRST_PARTS = "a1:100,a2:100"  # of the prompts of all callers


def prompt(last_part):
    return {**MODEL, "Cowslipknot_Prefix_Hash": f"{FIRST_PARTS},{last_part}:100"}


class CrashingRequestFaultsBase(PlatformTestCase):
    def setUp(self):
        super().setUp()
        keys = [f"key{number}" for number in range(1, 21)]
        self.store.put("op", "config", configuration(tenants=[tenant("tenant1", *keys)]))
        self.callers = []
        self.gateways = []

    def start(self, gateways=GATEWAYS, servers=SERVERS, service="plain", **fields):
        self.servers = CrashingServers(self.store, servers, service, **fields)
        self.addCleanup(self.servers.stop)
        self.gateways = [self.start_gateway(name=f"gw{number}") for number in range(gateways)]
        self.await_all_known()

    def await_all_known(self):
        eventually(lambda: all(gateway.known_instances() >= len(self.gateways)
                               for gateway in self.gateways))

    def repeat(self, gateway, path, body, **options):
        caller = Caller(gateway, path, body, **options)
        self.callers.append(caller)
        self.addCleanup(caller.stop)
        return caller

    def repeat_at_all(self, path, body, **options):
        return [self.repeat(gateway, path, body, **options) for gateway in self.gateways]

    def stop_callers(self):
        for caller in self.callers:
            caller.stopped.set()
        for caller in self.callers:
            caller.stop()

    def crash_three(self, path="/once/x", body=CRASHING, gateway=None, **headers):
        """Sends until the request is refused as quarantined."""
        for number in range(8):
            code = send(gateway or self.gateways[0], path, f"c.{number}", body, **headers)[1]
            if code == QUARANTINED:
                return
            time.sleep(0.3)
        self.fail(f"not quarantined after {len(self.servers.crashes)} crashes: {self.history()}")

    def events(self, name):
        return [event for gateway in self.gateways for event in gateway.log_events()
                if event["name"] == name]

    def history(self):
        return "".join(gateway.history("prompt_", "quarantine_", "server_checked")
                       for gateway in self.gateways)

    def assert_budget(self, body=CRASHING, disturbances=None):
        crashes = self.servers.crashes_by_body.get(body, [])
        self.assertGreaterEqual(len(crashes), 3)
        later = self.servers.later_arrivals(body, disturbances)
        self.assertLessEqual(len(later), MAX_LATER, f"{len(crashes)} crashes{self.history()}")

    def assert_none_quarantined(self):
        self.assertEqual(self.events("prompt_quarantined"), [])
        self.assertEqual(self.events("retry_withheld"), [])

    def assert_crashes_confirmed(self):
        """Servers ended while they ran the polled request, more than condemn one."""
        crashed = {event["server"] for event in self.events("server_checked")
                   if event["crashed"] == "true"}
        self.assertGreaterEqual(len(crashed), 5)

    def assert_never_refused(self, callers):
        for caller in callers:
            self.assertNotIn(QUARANTINED, caller.codes(), self.history())


class CrashingRequestFaultsTest(CrashingRequestFaultsBase):
    # Model routes ------------------------------------------------------------

    # Guards against a prompt that is not told from others by its last part or its body.
    def test_prompt_that_crashes_servers_is_held_and_others_with_its_first_parts_are_served(self):
        self.start(service="model")
        others = self.repeat_at_all("/stream/x", b"sound", **prompt("c1"))
        crashing = self.repeat_at_all("/stream/x", CRASHING, **prompt("b1"))
        time.sleep(8)
        self.stop_callers()
        self.assert_budget()
        self.assert_never_refused(others)
        for caller in crashing:
            self.assertEqual(caller.answers[-1][1:], (503, QUARANTINED))
        for number, gateway in enumerate(self.gateways):
            self.assertEqual(
                send(gateway, "/stream/x", f"s.{number}", b"new", **prompt(f"d{number}"))[0],
                200, self.history())

    # Guards against a stream that is told from its first request by Last-Event-Id, as a caller
    # resumes it after the events that it got.
    def test_resumed_stream_that_crashes_servers_is_held(self):
        self.start(service="model", crash_after_events=2)
        crashing = [self.repeat(gateway, "/stream/x", CRASHING, **prompt("b1"),
                                Last_Event_Id=str(2 + 2 * number))
                    for number, gateway in enumerate(self.gateways)]
        time.sleep(8)
        self.stop_callers()
        self.assert_budget()
        for number, caller in enumerate(crashing):
            self.assertEqual(caller.answers[-1][1:], (503, QUARANTINED), self.history())
            self.assertEqual(send(self.gateways[number], "/stream/x", f"r.{number}", CRASHING,
                                  **prompt("b1"), Last_Event_Id="50")[1], QUARANTINED)

    # Instances with faults ---------------------------------------------------

    # Guards against an instance that was paused while the others saw the crashes.
    def test_paused_instance_keeps_to_the_budget_once_it_is_back(self):
        self.start()
        paused = self.gateways[2]
        paused.child.send_signal(signal.SIGSTOP)
        start = time.monotonic()
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(4)
        paused.child.send_signal(signal.SIGCONT)
        disturbances = {paused.name: [(start, time.monotonic())]}
        time.sleep(CONTACT_S + 3)
        self.stop_callers()
        self.assert_budget(disturbances=disturbances)

    # Guards against a paused instance that nobody asks and that has nothing to tell: it gets
    # the request only after its return.
    def test_returned_instance_knows_what_crashed_servers_during_its_pause(self):
        self.start()
        paused = self.gateways[2]
        paused.child.send_signal(signal.SIGSTOP)
        self.crash_three()
        time.sleep(2)
        paused.child.send_signal(signal.SIGCONT)
        time.sleep(CONTACT_S)
        before = len(self.servers.crashes)
        for number in range(4):
            self.assertEqual(send(paused, "/once/x", f"p.{number}", CRASHING)[1], QUARANTINED,
                             self.history())
        self.assertEqual(len(self.servers.crashes), before)

    # Guards against an instance that forgets with its process.
    def test_killed_instance_keeps_to_the_budget_once_it_is_back(self):
        self.start()
        killed = self.gateways[1]
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(1)
        killed.child.kill()
        killed.child.wait()
        start = time.monotonic()
        time.sleep(2)
        killed.start()
        eventually(killed.ready)
        disturbances = {killed.name: [(start, time.monotonic())]}
        time.sleep(CONTACT_S + 3)
        self.stop_callers()
        self.assert_budget(disturbances=disturbances)

    # Guards against a new instance that learns only from crashes of its own.
    def test_new_instance_keeps_to_the_budget(self):
        self.start()
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(1)
        added = self.start_gateway(name="gw3")
        self.gateways.append(added)
        self.await_all_known()
        disturbances = {added.name: [(0.0, time.monotonic())]}
        self.repeat(added, "/safe/x", CRASHING)
        time.sleep(CONTACT_S + 3)
        self.stop_callers()
        self.assert_budget(disturbances=disturbances)

    # Innocent requests -------------------------------------------------------

    # Guards against innocents that are blamed since they are on each server that crashes.
    def test_popular_and_polled_requests_beside_the_crashing_one_are_never_quarantined(self):
        self.start(answer_pause_s=0.1)
        polled = self.repeat_at_all("/safe/p", b"polled", pause_s=0.02)
        polled += self.repeat_at_all("/once/p", b"polled", pause_s=0.02)
        popular = [self.repeat(self.gateways[number % GATEWAYS], "/safe/q", b"popular",
                               pause_s=0.1, Authorization=f"Token key{number + 1}")
                   for number in range(18)]
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(9)
        self.stop_callers()
        self.assert_budget()
        self.assert_never_refused(polled + popular)

    # Guards against the same, where answers take so long that several servers crash meanwhile.
    def test_slow_polled_request_beside_the_crashing_one_is_never_quarantined(self):
        self.start(answer_pause_s=1.5)
        polled = [self.repeat(gateway, "/safe/p", b"polled", pause_s=0.05)
                  for gateway in self.gateways for _ in range(6)]
        time.sleep(2)  # it has been answered
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(8)
        self.stop_callers()
        self.assert_budget()
        self.assert_never_refused(polled)

    def poll(self):
        """A polled request on servers that end for reasons of their own."""
        polled = []
        for path in ("/safe/p", "/once/p") * 4:
            polled += self.repeat_at_all(path, b"polled", pause_s=0.01)
        eventually(lambda: all(200 in caller.statuses() for caller in polled))
        return polled

    def assert_safe_ones_served(self, polled):
        """A safe request is sent to a second server when the first one ends."""
        self.stop_callers()
        self.assert_none_quarantined()
        self.assert_never_refused(polled)
        for caller in polled:
            if caller.path.startswith("/safe"):
                self.assertEqual(set(caller.statuses()), {200}, self.history())

    # Guards against a polled request that is blamed for servers that are killed in turn.
    def test_servers_killed_in_turn_quarantine_nothing(self):
        self.start(crashes_on_body=None, answer_pause_s=0.1)
        polled = self.poll()
        for _ in range(14):
            self.servers.kill(list(self.servers.running.values())[0])
            time.sleep(0.5)
        self.assert_safe_ones_served(polled)
        self.assert_crashes_confirmed()

    # Guards against the same, where no answer that was sent after a kill is complete before
    # several more follow.
    def test_servers_killed_in_turn_do_not_quarantine_a_slow_request(self):
        self.start(crashes_on_body=None, answer_pause_s=2.7)
        polled = self.poll()
        for _ in range(14):
            self.servers.kill(list(self.servers.running.values())[0])
            time.sleep(0.5)
        self.stop_callers()
        self.assert_crashes_confirmed()
        self.assert_never_refused(polled)
        self.assertEqual(self.events("prompt_quarantined"), [])

    # Guards against a polled request that is blamed for a domain that is lost.
    def test_servers_of_a_domain_lost_at_once_quarantine_nothing(self):
        self.start(crashes_on_body=None, answer_pause_s=0.1)
        polled = self.poll()
        for _ in range(3):
            lost = list(self.servers.running.values())[:SERVERS // 3]
            threads = [threading.Thread(target=self.servers.kill, args=(server,))
                       for server in lost]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(2.5)
        self.stop_callers()
        self.assert_crashes_confirmed()
        self.assert_none_quarantined()
        self.assert_never_refused(polled)

    # Guards against a polled request that is blamed for links that are reset.
    def test_reset_connections_quarantine_nothing(self):
        self.start(crashes_on_body=None, answer_pause_s=0.05)
        polled = self.poll()
        for turn in range(24):
            backend = list(self.servers.running.values())[turn % SERVERS]
            backend.pending_faults = ["reset"]
            # A safe request is sent to two servers, of which one has a fault.
            eventually(lambda backend=backend: not backend.pending_faults)
            time.sleep(0.2)
        self.assert_safe_ones_served(polled)

    # Guards against a polled request that is blamed for servers of a release that replaces them
    # in turn, whose processes end at work.
    def test_rolling_replacement_quarantines_nothing(self):
        self.start(crashes_on_body=None, answer_pause_s=0.1)
        polled = self.poll()
        for backend in list(self.servers.running.values()):
            registration = backend.registration("plain", state="draining", seq=2)
            self.store.put("servers", backend.name, registration)
            time.sleep(0.3)
            self.servers.kill(backend, back_after_s=0.5)
            time.sleep(0.3)
        self.assert_safe_ones_served(polled)

    # Bounds ------------------------------------------------------------------

    # Guards against a caller that makes the instances forget by sending many requests.
    def test_thousands_of_other_requests_make_no_instance_forget(self):
        self.start()
        self.crash_three()
        time.sleep(CRASHES_KNOWN_S)
        others = []
        for gateway in self.gateways:
            others += [self.repeat(gateway, "/once/x", lambda number, tag=tag: b"%d.%d" % (
                tag, number), pause_s=0) for tag in range(3)]
        crashing = [self.repeat(gateway, "/once/x", lambda number, tag=tag: b"%s %d.%d" % (
            CRASHING, tag, number), pause_s=0.5) for tag, gateway in enumerate(self.gateways)]
        eventually(lambda: sum(len(caller.answers) for caller in others) > 2000
                   and len(self.servers.crashes) > 12)
        self.stop_callers()
        self.assert_never_refused(others + crashing)
        for gateway in self.gateways:
            self.assertEqual(send(gateway, "/once/x", "last.1", CRASHING)[1], QUARANTINED,
                             self.history())
            self.assertLess(gateway.peak_memory_mb(), 128)

    # What callers get ----------------------------------------------------------

    # Guards against a refusal that is late, does not say that nothing ran, or costs quota.
    def test_refusal_comes_at_once_says_when_to_come_back_and_costs_no_quota(self):
        self.store.put("op", "config", configuration(
            tenants=[tenant("tenant1", "key1", rate_per_s=1, burst=100)]))
        self.start(gateways=1)
        gateway = self.gateways[0]
        self.crash_three("/once/x")
        time.sleep(4)  # the servers are back
        for number in range(20):
            started = time.monotonic()
            status, headers, _ = gateway.call("/once/x", f"q{number}", body=CRASHING)
            self.assertLess(time.monotonic() - started, REFUSED_WITHIN_S)
            self.assertEqual((status, headers["X-Result-Code"], headers["X-Execution"]),
                             (503, QUARANTINED, "not-run"))
            self.assertGreater(float(headers["Retry-After"]), 1)
        self.assertEqual([gateway.call("/once/x", f"s{number}", body=b"sound")[0]
                          for number in range(5)], [200] * 5)

    # Guards against sound callers that are not served since the servers of their route crash.
    def test_sound_callers_are_served_while_servers_come_back(self):
        self.start()
        sound = self.repeat_at_all("/safe/s", lambda number: b"sound %d" % number, pause_s=0.03)
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(9)
        self.stop_callers()
        self.assert_budget()
        third = sorted(self.servers.crashes)[2]
        after = [status for caller in sound
                 for status in caller.statuses(since=third + CONTACT_S)]
        self.assertEqual(after.count(200), len(after))

    # Requests that differ in what is no part of them ------------------------------

    # Guards against a request that each instance takes for another one, since its caller names
    # the address of the instance beside the host.
    def test_port_and_case_of_the_host_tell_no_requests_apart(self):
        self.start(gateways=5)
        for number in range(15):
            gateway = self.gateways[number % 5]
            send(gateway, "/once/x", f"{gateway.name}.{number}", CRASHING,
                 Host=("h.example", "H.Example")[number % 2] + f":{gateway.port}")
            time.sleep(0.6)
        self.assert_budget()

    # Guards against a request that is not blamed as its callers leave before the server ends.
    def test_request_whose_callers_leave_before_the_crash_is_held(self):
        self.start(crash_pause_s=0.3)
        self.repeat_at_all("/once/x", CRASHING, timeout_s=0.1, pause_s=0.4)
        time.sleep(9)
        self.stop_callers()
        self.assert_budget()

    # Guards against the same, where the deadline ends before the server does.
    def test_request_whose_deadline_ends_before_the_crash_is_held(self):
        self.start(crash_pause_s=0.3)
        self.repeat_at_all("/once/x", CRASHING, pause_s=0.4, Cowslipknot_Deadline_Ms="150")
        time.sleep(9)
        self.stop_callers()
        self.assert_budget()


class LinkedStoreHandler(fakes.StoreHandler):
    """Tells an instance addresses of the others that lead through links."""

    def send(self, status, body=b"", headers=None):
        if self.command == "GET" and status == 200:
            answer = json.loads(body)
            for row in answer["rows"]:
                if "value" in row:
                    row["value"] = self.lead_through_links(row["value"])
            body = json.dumps(answer).encode()
        super().send(status, body, headers)

    def lead_through_links(self, encoded):
        value = base64.b64decode(encoded)
        for address, link in self.server.links.items():
            value = value.replace(b'"%s"' % address.encode(), b'"%s"' % link.encode())
        return base64.b64encode(value).decode()


class CutPeersTest(CrashingRequestFaultsBase):
    def start_linked(self):
        """Starts gateways, each of which reaches each other one through a link of its own."""
        self.servers = CrashingServers(self.store, SERVERS)
        self.addCleanup(self.servers.stop)
        stores = []
        for number in range(GATEWAYS):
            store = fakes.Server(LinkedStoreHandler, self.store)
            self.addCleanup(store.stop)
            store.rejects_calls = True  # until the links are there
            store.links = {}
            stores.append(store)
            self.gateways.append(self.start_gateway(wait=False, name=f"gw{number}",
                                                    store_address=store.address))
        links = []
        for number, store in enumerate(stores):
            for other, gateway in enumerate(self.gateways):
                if other == number:
                    continue
                address = f"127.0.0.1:{gateway.peers_port}"
                store.links[address] = f"127.0.0.1:{free_port()}"
                links.append(f"gw{number}-gw{other}={store.links[address]}={address}")
        self.control = free_port()
        forwarder = subprocess.Popen(
            [BINARY.parent / "fake_forwarder", "--port", str(self.control), "--links",
             ",".join(links)], stdout=subprocess.DEVNULL)
        self.addCleanup(forwarder.wait)
        self.addCleanup(forwarder.terminate)
        eventually(lambda: self.set_links({}))
        for store in stores:
            store.rejects_calls = False
        for gateway in self.gateways:
            eventually(gateway.ready)
        self.await_all_known()

    def set_links(self, modes):
        request = urllib.request.Request(f"http://127.0.0.1:{self.control}/test/links",
                                         data=json.dumps(modes).encode(), method="POST")
        try:
            with urllib.request.urlopen(request, timeout=10) as answer:
                return answer.status == 200
        except OSError:
            return False

    def set_links_of(self, names, mode):
        """Sets all links from and to these instances."""
        self.assertTrue(self.set_links({
            f"gw{a}-gw{b}": mode for a in range(GATEWAYS) for b in range(GATEWAYS)
            if a != b and (f"gw{a}" in names or f"gw{b}" in names)}))

    # Guards against instances that learn nothing of the crashes that others saw during a cut.
    def test_instances_cut_from_each_other_keep_to_the_budget_afterwards(self):
        self.start_linked()
        names = [gateway.name for gateway in self.gateways]
        self.set_links_of(names, "cut")
        start = time.monotonic()
        self.repeat_at_all("/safe/x", CRASHING)
        time.sleep(3)
        self.set_links_of(names, "pass")
        healed = time.monotonic()
        time.sleep(CONTACT_S + 3)
        self.stop_callers()
        self.assert_budget(disturbances={name: [(start, healed)] for name in names})

    def assert_knows_of_crashes_after(self, mode):
        self.start_linked()
        cut = self.gateways[2]
        self.set_links_of([cut.name], mode)
        self.crash_three()
        time.sleep(1)
        self.set_links_of([cut.name], "pass")
        time.sleep(CONTACT_S)
        before = len(self.servers.crashes)
        for number in range(4):
            self.assertEqual(send(cut, "/once/x", f"c.{number}", CRASHING)[1], QUARANTINED,
                             self.history())
        self.assertEqual(len(self.servers.crashes), before)

    # Guards against the same at an instance that gets the request only after the cut.
    def test_instance_that_was_cut_knows_what_crashed_servers_meanwhile(self):
        self.assert_knows_of_crashes_after("cut")

    # Guards against evidence that is lost with the connections which carried it.
    def test_instance_whose_links_fell_silent_knows_what_crashed_servers_meanwhile(self):
        self.assert_knows_of_crashes_after("silent")


if __name__ == "__main__":
    unittest.main()
