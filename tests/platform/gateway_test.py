"""Tests a gateway process against fakes of the platform's services."""

import http.client
import json
import signal
import socket
import subprocess
import threading
import time
import unittest

import fakes
from configuration_documents import configuration, route, tenant
from gateway_process import BINARY, WAIT_TIMEOUT_S, Gateway, eventually

MOVE_TIMEOUT_S = 30  # twice the duration of the moves in these tests


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.store = fakes.Store()
        self.cloud = fakes.Cloud()
        self.backends = {}
        self.gateways = []
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.cloud.server.stop)

    def add_backend(self, name, service, **options):
        backend = fakes.Backend(name, **options)
        self.backends[name] = backend
        self.addCleanup(backend.server.stop)
        self.store.put("servers", name, backend.registration(service))
        return backend

    def start(self, wait=True, **options):
        gateway = Gateway(self.store, self.cloud, **options)
        self.gateways.append(gateway)
        self.addCleanup(gateway.stop)
        if wait:
            eventually(gateway.ready)
        return gateway

    def executions(self, request_id):
        return [run for backend in self.backends.values() for run in backend.runs
                if run["headers"]["Cowslipknot-Request-Id"] == request_id]

    def test_forwards_request_unchanged_except_for_system_headers(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        status, headers, body = gateway.call("/safe/a%20b?q=1", X_Own="kept")
        self.assertEqual((status, body), (200, b"echo:hello"))
        self.assertEqual(headers["Cowslipknot-Server-Signature"], "sig-p1")
        run = backend.runs[0]
        self.assertEqual((run["method"], run["path"], run["body"]),
                         ("POST", "/safe/a%20b?q=1", b"hello"))
        self.assertEqual(run["headers"]["Cowslipknot-Tenant"], "tenant1")
        self.assertEqual(run["headers"]["X-Own"], "kept")
        self.assertNotIn("Authorization", run["headers"])
        self.assertLessEqual(int(run["headers"]["Cowslipknot-Deadline-Ms"]), 3000)

    def test_rejects_unknown_keys_and_routes_only_with_a_configuration(self):
        gateway = self.start(wait=False)
        status = eventually(lambda: self.try_call(gateway, "/safe/x"))
        self.assertEqual(status, 503)
        self.assertFalse(gateway.ready())
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        eventually(gateway.ready)
        self.assertEqual(gateway.call("/nowhere/")[0], 404)
        self.assertEqual(
            gateway.call("/safe/x", Authorization="Token wrong")[0], 401)
        eventually(lambda: gateway.call("/open/x", Authorization="")[0] == 200)

    @staticmethod
    def try_call(gateway, path):
        try:
            return gateway.call(path)[0]
        except OSError:
            return None

    def test_stream_broken_within_an_event_resumes_complete_on_another_server(self):
        self.store.put("op", "config", configuration())
        for name in ("m1", "m2"):
            self.add_backend(name, "model").pending_faults = []
        gateway = self.start()
        for backend in self.backends.values():
            backend.pending_faults = ["crash"]
            break
        for attempt in range(4):
            request = f"r{attempt}"
            status, _, body = gateway.call("/stream/x", request_id=request,
                                           Cowslipknot_Token_Count="100,10")
            self.assertEqual(status, 200)
            expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n)
                                for n in range(1, 6))
            self.assertEqual(body, expected)
        resumed = [run for run in self.executions("r0") + self.executions("r1")
                   + self.executions("r2") + self.executions("r3")
                   if "Last-Event-Id" in run["headers"]]
        for run in resumed:
            self.assertEqual(run["headers"]["Last-Event-Id"], "2")

    def test_broken_non_resumable_stream_does_not_end_as_complete(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("m1", "model")
        self.add_backend("m2", "model").pending_faults = ["crash"]
        backend.pending_faults = ["crash"]
        gateway = self.start()
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            gateway.call("/stream1/x", Cowslipknot_Token_Count="100,10")
        self.assertEqual(len(self.executions("r1")), 1)

    def test_at_most_once_request_is_not_retried_after_a_reset(self):
        self.store.put("op", "config", configuration())
        for name in ("p1", "p2"):
            self.add_backend(name, "plain").pending_faults = ["reset"]
        gateway = self.start()
        status, headers, _ = gateway.call("/once/x")
        self.assertEqual(status, 502)
        self.assertEqual(headers["X-Execution"], "outcome-unknown")
        self.assertEqual(len(self.executions("r1")), 1)

    def test_rejected_request_is_retried_on_another_server(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain").pending_faults = ["reject"]
        self.add_backend("p2", "plain").pending_faults = ["reject"]
        gateway = self.start()
        self.assertEqual(gateway.call("/once/x")[0], 503)
        self.assertEqual(self.executions("r1"), [])
        self.assertEqual(gateway.call("/once/x", request_id="r2")[0], 200)
        self.assertEqual(len(self.executions("r2")), 1)

    def test_foreign_and_truncated_answers_are_not_delivered(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        backend.pending_faults = ["foreign"]
        self.assertEqual(gateway.call("/safe/x")[2], b"echo:hello")
        backend.pending_faults = ["cut"]
        status, _, body = gateway.call("/once/x", request_id="r2")
        self.assertEqual(status, 502)
        self.assertNotIn(b"half", body)

    def test_safe_request_is_retried_after_a_failure(self):
        self.store.put("op", "config", configuration())
        for name in ("p1", "p2"):
            self.add_backend(name, "plain")
        gateway = self.start()
        self.backends["p1"].pending_faults = ["fail"]
        for attempt in range(4):
            self.assertEqual(
                gateway.call("/safe/x", request_id=f"r{attempt}")[0], 200)

    def test_malformed_framing_is_rejected_with_400_and_not_forwarded(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        head = (b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                b"Cowslipknot-Request-Id: r1\r\nAuthorization: Token key1\r\n")
        for framing in (b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                        b"Transfer-Encoding: xchunked\r\n",
                        b"Content-Length: 5\r\nContent-Length: 6\r\n",
                        b"Content-Length: -5\r\n"):
            with socket.create_connection(("127.0.0.1", gateway.port),
                                          timeout=10) as connection:
                connection.sendall(head + framing + b"\r\n0\r\n\r\nGET / HTTP/1.1")
                answer = connection.recv(65536)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), framing)
        self.assertEqual(backend.runs, [])

    def test_caller_disconnect_cancels_request_at_the_server(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        backend.pending_faults = ["mute"]
        connection = gateway.connect()
        connection.request("GET", "/safe/x", headers={
            "Host": "h.example", "Cowslipknot-Request-Id": "r1",
            "Authorization": "Token key1"})
        eventually(lambda: backend.runs)
        connection.close()
        eventually(lambda: "r1" in backend.disconnects)

    def test_draining_or_unreadable_server_gets_no_request(self):
        self.store.put("op", "config", configuration())
        leaving = self.add_backend("p1", "plain")
        self.add_backend("p2", "plain")
        self.store.put_raw("servers", "broken", b"{\"service\":7")
        gateway = self.start()
        self.store.put("servers", "p1", leaving.registration("plain", state="draining"))
        eventually(lambda: any(event["name"] == "server_gone"
                               for event in gateway.log_events()))
        for attempt in range(6):
            gateway.call("/safe/x", request_id=f"r{attempt}")
        self.assertEqual(leaving.runs, [])
        self.assertTrue(any(event["name"] == "registration_unreadable"
                            for event in gateway.log_events()))

    def test_instance_without_store_learns_of_leaving_server_from_peer(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        store_proxy = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(store_proxy.stop)
        self.start(name="gw1")
        gateway_without_store = self.start(name="gw2", store_address=store_proxy.address)
        # Both instances have discovered each other.
        eventually(lambda: [event for event in gateway_without_store.log_events()
                            if event["name"] == "instances_known"
                            and event["instances"] == "2"])
        eventually(lambda: [event for event in self.gateways[0].log_events()
                            if event["name"] == "instances_known"
                            and event["instances"] == "2"])
        store_proxy.rejects_calls = True
        registration = backend.registration("plain")
        registration["state"] = "draining"
        self.store.put("servers", "p1", registration)
        eventually(lambda: [event for event in gateway_without_store.log_events()
                            if event["name"] == "server_leaving"])

    def order_move(self, duration_s):
        """Starts a server with a new version beside the old one and orders the move."""
        self.store.put("op", "config", configuration())
        self.add_backend("old", "plain")
        gateway = self.start()
        self.store.put("op", "rollout/plain", {
            "service": "plain", "to": "v2", "duration_s": duration_s})
        new = self.add_backend("new", "plain")
        self.store.put("servers", "new", new.registration("plain", version="v2"))
        eventually(lambda: self.store.get("status", "rollout/plain"))
        return gateway, new

    def send_until(self, gateway, state):
        """Sends requests from several callers until the move reaches `state`; returns the
        number of requests sent."""
        deadline = time.monotonic() + MOVE_TIMEOUT_S
        sent = [0] * 4

        def send(caller):
            while (self.store.get("status", "rollout/plain")["state"] != state
                   and time.monotonic() < deadline):
                gateway.call("/once/x", request_id=f"m{caller}.{sent[caller]}")
                sent[caller] += 1

        callers = [threading.Thread(target=send, args=(caller,))
                   for caller in range(len(sent))]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertEqual(self.store.get("status", "rollout/plain")["state"], state)
        return sum(sent)

    def test_move_to_a_good_version_completes(self):
        gateway, new = self.order_move(duration_s=15)
        status = self.store.get("status", "rollout/plain")
        self.assertEqual((status["to"], status["state"]), ("v2", "in_progress"))
        self.send_until(gateway, "completed")
        runs = len(new.runs)
        gateway.call("/once/x", request_id="after")
        self.assertEqual(len(new.runs), runs + 1)

    def test_bad_version_is_rolled_back_and_gets_no_more_requests(self):
        gateway, new = self.order_move(duration_s=15)
        new.pending_faults = ["fail"] * 100000
        sent = self.send_until(gateway, "reverted")
        self.assertLess(len(new.runs), 0.1 * sent + 50)
        runs = len(new.runs)
        for name in range(100):
            gateway.call("/once/x", request_id=f"after{name}")
        self.assertEqual(len(new.runs), runs)

    def test_store_outage_rejects_keyed_requests_but_not_public_ones(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.down = True
        eventually(lambda: gateway.call("/safe/x")[0] == 503)
        self.assertEqual(gateway.call("/open/x", request_id="r2")[0], 200)
        self.store.down = False
        eventually(lambda: gateway.call("/safe/x", request_id="r3")[0] == 200)

    def test_silent_store_connections_are_replaced(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.silent = True
        eventually(lambda: not gateway.ready())
        self.store.silent = False
        eventually(gateway.ready)
        self.assertEqual(gateway.call("/safe/x")[0], 200)

    def test_configuration_change_applies_after_feed_compaction(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.put("op", "other", {})
        self.store.put("op", "config", configuration(
            version=5, route_list=[route("new", "/new/", "safe", "plain")]))
        self.store.compact_history()
        eventually(lambda: gateway.call("/new/x")[0] == 200)
        self.store.put("op", "config", configuration(version=4))
        self.store.put("op", "config", configuration(version=6, route_list=[
            route("newer", "/newer/", "safe", "plain")]))
        eventually(lambda: gateway.call("/newer/x", request_id="r2")[0] == 200)
        self.assertEqual(gateway.call("/safe/x", request_id="r3")[0], 404)

    def test_usage_of_all_instances_is_reported_once_by_the_lease_holder(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        second = self.start(name="gw2")
        eventually(lambda: len(self.store.keys("cowslipknot")) >= 4)
        eventually(lambda: any(event["name"] == "cluster_clock_set"
                               for event in second.log_events()))
        eventually(lambda: any(event["name"] == "cluster_clock_set"
                               for event in first.log_events()))
        sent = 0
        for gateway in (first, second):
            for number in range(5):
                eventually(lambda g=gateway, n=number:
                           g.call("/safe/x", request_id=f"{g.name}-{n}")[0] == 200)
                sent += 1

        def all_requests_reported():
            return sum(call["counts"].get("tenant1", 0)
                       for call in self.cloud.usage) == sent

        eventually(all_requests_reported)
        windows = [call["window"] for call in self.cloud.usage]
        self.assertEqual(len(windows), len(set(windows)))
        self.assertEqual(len({call["holder"] for call in self.cloud.usage}), 1)

    def test_lost_store_answers_neither_duplicate_nor_lose_usage_reports(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        self.start()
        eventually(lambda: self.cloud.usage)
        self.store.lose_answers = 6
        reported_before = len(self.cloud.usage)
        eventually(lambda: len(self.cloud.usage) >= reported_before + 3)
        by_window = {}
        for call in self.cloud.usage:
            counts = by_window.setdefault(call["window"], call["counts"])
            self.assertEqual(counts, call["counts"])
        windows = sorted(by_window)
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))

    def test_usage_is_reported_after_many_processes_have_been_replaced(self):
        self.store.put("op", "config", configuration())
        for number in range(250):
            self.store.put("cowslipknot", f"report/old{number}/1", {
                "node": f"old{number}", "domain": "z1", "started": 1, "sequence": 1,
                "as_of_ms": 1, "stopping": True, "demand": {}, "busy": {}, "usage": {}})
        self.add_backend("p1", "plain")
        self.start()
        eventually(lambda: len(self.cloud.usage) >= 6)
        eventually(lambda: not [key for key in self.store.keys("cowslipknot")
                                if key.startswith("report/old")])

    def test_lease_failover_increases_the_epoch(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        eventually(lambda: self.cloud.usage)
        self.start(name="gw2")
        first.stop()
        epoch = self.cloud.usage[-1]["epoch"]
        new_holder_calls = eventually(lambda: [call for call in self.cloud.usage
                                               if call["holder"] == "gw2"])
        self.assertGreater(new_holder_calls[0]["epoch"], epoch)

    def test_planned_stop_releases_the_lease(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        eventually(lambda: self.store.lease_holders[-1:] == ["gw1"])
        second = self.start(name="gw2")
        first.child.send_signal(signal.SIGTERM)
        eventually(lambda: self.store.lease_holders[-1:] == ["gw2"])
        self.assertIn("", self.store.lease_holders)
        self.assertEqual(second.child.poll(), None)

    def test_instances_avoid_a_server_with_a_long_prompt_of_another(self):
        self.store.put("op", "config", configuration())
        self.add_backend("m1", "model", events=1)
        self.add_backend("m2", "model", events=1)
        gateways = [self.start(name=name) for name in ("gw1", "gw2")]
        for gateway in gateways:
            eventually(lambda g=gateway: [event for event in g.log_events()
                                          if event["name"] == "instances_known"
                                          and event["instances"] == "2"])
        attempt_numbers = iter(range(1000))

        def long_prompt_server_avoided():
            """Whether 30 short prompts were all sent to other servers than a long prompt."""
            name = f"t{next(attempt_numbers)}"
            gateways[0].call("/stream/x", name, Cowslipknot_Token_Count="90000,8")
            for number in range(30):
                # Without a body, each request is sent in one segment.
                gateways[1].call("/stream/x", f"{name}-{number}", method="GET",
                                 body=None, Cowslipknot_Token_Count="10,8")
            by_server = [{run["headers"]["Cowslipknot-Request-Id"]
                          for run in backend.runs}
                         for backend in self.backends.values()]
            long_prompt_ids = [ids for ids in by_server if name in ids]
            return long_prompt_ids and not any(f"{name}-{number}" in long_prompt_ids[0]
                                               for number in range(30))

        eventually(long_prompt_server_avoided)

    def test_report_is_written_despite_lease_contention(self):
        self.store.lease_contended = True
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        self.start(name="gw1")

        def sequence():
            reports = [self.store.get("cowslipknot", key)["sequence"]
                       for key in self.store.keys("cowslipknot")
                       if key.startswith("report/gw1/")]
            return max(reports, default=0)

        # Another instance writes the lease when this one first tries to acquire it.
        eventually(lambda: ("cowslipknot", "lease") in self.store.rows)
        before = sequence()
        eventually(lambda: sequence() >= before + 2)

    def test_instance_with_the_load_borrows_quota_from_others(self):
        limited = [tenant("tenant1", "key1", rate_per_s=1000, burst=1000)]
        self.store.put("op", "config", configuration(tenants=limited))
        self.add_backend("m1", "model", events=1)
        gateways = [self.start(name=name) for name in ("gw1", "gw2", "gw3")]

        # An instance that knows of no other one would use the entire limit.
        eventually(lambda: [event for event in gateways[0].log_events()
                            if event["name"] == "instances_known"
                            and event["instances"] == "3"])
        # Its own share is then at most 0.4 of the limit plus a tolerance of a tenth, on top
        # of the remaining burst and of one request.
        start = time.monotonic()
        served = []

        def served_more_than_own_share():
            size = {"Cowslipknot_Token_Count": "200,100"}
            if gateways[0].call("/stream/x", **size)[0] == 200:
                served.append(300)
            own_share = 0.4 * 1.1 * 1000 * (time.monotonic() - start) + 1000 + 300
            return sum(served) > own_share

        eventually(served_more_than_own_share)

    def test_planned_stop_completes_requests_in_flight(self):
        self.store.put("op", "config", configuration())
        self.add_backend("m1", "model", events=10, event_pause_s=0.2)
        gateway = self.start()
        connection = gateway.connect()
        connection.request("POST", "/stream/x", body=b"x", headers={
            "Host": "h.example", "Cowslipknot-Request-Id": "r1",
            "Authorization": "Token key1", "Cowslipknot-Token-Count": "10,10"})
        response = connection.getresponse()
        gateway.child.send_signal(signal.SIGTERM)
        eventually(lambda: not gateway.ready())
        body = response.read()
        connection.close()
        self.assertEqual(body.count(b"\n\n"), 10)
        self.assertEqual(gateway.child.wait(timeout=WAIT_TIMEOUT_S), 0)

    def test_pipelined_request_is_not_started_after_a_stop(self):
        self.store.put("op", "config", configuration(route_list=[
            route("stream", "/stream/", "streaming", "model", timeout_ms=9000)]))
        self.add_backend("m1", "model", events=10, event_pause_s=0.4)
        gateway = self.start()
        request = ("POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
                   "Cowslipknot-Request-Id: {}\r\nAuthorization: Token key1\r\n"
                   "Cowslipknot-Token-Count: 10,10\r\nContent-Length: 1\r\n\r\nx")
        with socket.create_connection(("127.0.0.1", gateway.port), 10) as caller:
            caller.sendall(request.format("r1").encode())
            received = caller.recv(1)
            gateway.child.send_signal(signal.SIGTERM)
            eventually(lambda: not gateway.ready())
            caller.sendall(request.format("r2").encode())
            while piece := caller.recv(65536):
                received += piece
        self.assertEqual(received.count(b"HTTP/1.1 200"), 1)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.executions("r2"), [])

    def test_new_connections_are_served_until_the_load_balancer_notices_a_stop(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        gateway.child.send_signal(signal.SIGTERM)
        eventually(lambda: not gateway.ready())
        status, headers, _ = gateway.call("/safe/x")
        self.assertEqual(status, 200)
        self.assertEqual(headers["Connection"], "close")
        self.assertEqual(gateway.child.wait(timeout=WAIT_TIMEOUT_S), 0)

    def test_invalid_settings_file_is_reported_and_ignored(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        gateway.settings.write_text("[node]\nname = 7\n", encoding="utf-8")
        gateway.child.send_signal(signal.SIGHUP)
        eventually(lambda: any(event["name"] == "settings_rejected"
                               for event in gateway.log_events()))
        self.assertEqual(gateway.call("/safe/x")[0], 200, gateway.history())

    # Guards against a reload that resets connections or the state of servers.
    def test_invalid_settings_file_disturbs_no_request(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain", answer_pause_s=0.2)
        gateway = self.start()
        self.assertEqual(gateway.call("/safe/x")[0], 200)
        connections = set(backend.server.open_connections)
        gateway.settings.write_text("[node]\nname = 7\n", encoding="utf-8")
        statuses = []
        sender = threading.Thread(target=lambda: statuses.extend(
            gateway.call("/safe/x", request_id=f"n{number}")[0] for number in range(10)))
        sender.start()
        reloads = 0
        while sender.is_alive():
            gateway.child.send_signal(signal.SIGHUP)
            reloads += 1
            eventually(lambda count=reloads: sum(
                event["name"] == "settings_rejected"
                for event in gateway.log_events()) >= count)
        sender.join()
        self.assertGreater(reloads, 10)
        self.assertEqual(statuses, [200] * 10, gateway.history())
        self.assertEqual(len(backend.requests), 11)
        self.assertEqual(set(backend.server.open_connections), connections)

    # Guards against windows that are dropped before their reports are due.
    def test_windows_that_are_not_due_are_reported_after_an_outage_of_the_cloud(self):
        self.store.put("op", "config", configuration())
        self.start(bounds={"usage_due_s": 15})
        eventually(lambda: self.cloud.usage)
        self.cloud.down = True
        time.sleep(9)
        self.cloud.down = False
        last = int(time.time())
        eventually(lambda: self.cloud.usage[-1]["window"] > last)
        windows = [call["window"] for call in self.cloud.usage]
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))

    def run_fleet(self, gateway, *options):
        return subprocess.run([BINARY, "fleet", "--config", gateway.settings, *options],
                              capture_output=True, text=True, timeout=60, check=False)

    def test_fleet_command_shows_the_state_of_all_gateways(self):
        self.store.put("op", "config", configuration(version=7))
        self.add_backend("p1", "plain")
        self.store.put_raw("servers", "broken", b"{\"service\":7")
        gateways = [self.start(name=name) for name in ("gw1", "gw2")]

        def status():
            shown = json.loads(self.run_fleet(gateways[0], "--output", "json").stdout)
            known = [row for row in shown["instances"] if row["revision"] == 7]
            return shown if len(known) == 2 and shown["lease"] else None

        shown = eventually(status)
        self.assertEqual(shown["revision"], 7)
        self.assertIn(shown["lease"]["holder"], ("gw1", "gw2"))
        self.assertEqual([row["server"] for row in shown["servers"]], ["p1"])
        self.assertEqual(shown["unreadable_rows"], 1)
        table = self.run_fleet(gateways[1])
        self.assertEqual(table.returncode, 0)
        self.assertIn("gw2", table.stdout)

    def test_fleet_command_reports_an_unreachable_store(self):
        gateway = self.start(wait=False)
        self.store.down = True
        result = self.run_fleet(gateway)
        self.assertNotEqual(result.returncode, 0)
        self.assertIn("error", result.stderr)


if __name__ == "__main__":
    unittest.main()
