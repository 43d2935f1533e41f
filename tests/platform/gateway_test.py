"""The gateway as a real process before stand-ins of the users' platform."""

import http.client
import json
import signal
import socket
import subprocess
import threading
import time
import unittest

import standin
from documents import configuration, route, tenant
from gateway_process import BINARY, PATIENCE_S, Gateway, eventually

MOVE_PATIENCE_S = 30  # twice the duration of the moves ordered here


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.store = standin.Store()
        self.cloud = standin.Cloud()
        self.backends = {}
        self.gateways = []
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.cloud.server.stop)

    def add_backend(self, name, service, **options):
        backend = standin.Backend(name, **options)
        self.backends[name] = backend
        self.addCleanup(backend.server.stop)
        self.store.put("servers", name, backend.entry(service))
        return backend

    def start(self, wait=True, **options):
        gateway = Gateway(self.store, self.cloud, **options)
        self.gateways.append(gateway)
        self.addCleanup(gateway.stop)
        if wait:
            eventually(gateway.ready)
        return gateway

    def ran(self, request_id):
        return [run for backend in self.backends.values() for run in backend.runs
                if run["headers"]["Cowslipknot-Request-Id"] == request_id]

    def test_a_request_is_passed_unchanged_but_for_what_the_system_sets(self):
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

    def test_unknown_keys_and_routes_are_rejected_only_under_a_configuration(self):
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

    def test_a_stream_that_breaks_within_an_event_goes_on_whole_elsewhere(self):
        self.store.put("op", "config", configuration())
        for name in ("m1", "m2"):
            self.add_backend(name, "model").behave = []
        gateway = self.start()
        for backend in self.backends.values():
            backend.behave = ["crash"]
            break
        for attempt in range(4):
            request = f"r{attempt}"
            status, _, body = gateway.call("/stream/x", request_id=request,
                                           Cowslipknot_Token_Count="100,10")
            self.assertEqual(status, 200)
            expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n)
                                for n in range(1, 6))
            self.assertEqual(body, expected)
        resumed = [run for run in self.ran("r0") + self.ran("r1") + self.ran("r2")
                   + self.ran("r3") if "Last-Event-Id" in run["headers"]]
        for run in resumed:
            self.assertEqual(run["headers"]["Last-Event-Id"], "2")

    def test_a_stream_that_may_not_resume_is_not_ended_as_if_it_were_whole(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("m1", "model")
        self.add_backend("m2", "model").behave = ["crash"]
        backend.behave = ["crash"]
        gateway = self.start()
        with self.assertRaises((http.client.IncompleteRead, OSError)):
            gateway.call("/stream1/x", Cowslipknot_Token_Count="100,10")
        self.assertEqual(len(self.ran("r1")), 1)

    def test_a_request_that_may_run_once_is_not_sent_again_after_a_reset(self):
        self.store.put("op", "config", configuration())
        for name in ("p1", "p2"):
            self.add_backend(name, "plain").behave = ["reset"]
        gateway = self.start()
        status, headers, _ = gateway.call("/once/x")
        self.assertEqual(status, 502)
        self.assertEqual(headers["X-Execution"], "outcome-unknown")
        self.assertEqual(len(self.ran("r1")), 1)

    def test_a_rejected_request_is_sent_to_another_server(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain").behave = ["reject"]
        self.add_backend("p2", "plain").behave = ["reject"]
        gateway = self.start()
        self.assertEqual(gateway.call("/once/x")[0], 503)
        self.assertEqual(self.ran("r1"), [])
        self.assertEqual(gateway.call("/once/x", request_id="r2")[0], 200)
        self.assertEqual(len(self.ran("r2")), 1)

    def test_answers_of_other_requests_and_half_answers_reach_nobody(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        backend.behave = ["foreign"]
        self.assertEqual(gateway.call("/safe/x")[2], b"echo:hello")
        backend.behave = ["cut"]
        status, _, body = gateway.call("/once/x", request_id="r2")
        self.assertEqual(status, 502)
        self.assertNotIn(b"half", body)

    def test_a_repeatable_request_is_tried_again_after_a_failure(self):
        self.store.put("op", "config", configuration())
        for name in ("p1", "p2"):
            self.add_backend(name, "plain")
        gateway = self.start()
        self.backends["p1"].behave = ["fail"]
        for attempt in range(4):
            self.assertEqual(
                gateway.call("/safe/x", request_id=f"r{attempt}")[0], 200)

    def test_malformed_framing_is_answered_400_and_reaches_no_server(self):
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

    def test_a_caller_that_leaves_stops_the_servers_work(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        gateway = self.start()
        backend.behave = ["mute"]
        connection = gateway.connect()
        connection.request("GET", "/safe/x", headers={
            "Host": "h.example", "Cowslipknot-Request-Id": "r1",
            "Authorization": "Token key1"})
        eventually(lambda: backend.runs)
        connection.close()
        eventually(lambda: "r1" in backend.gone)

    def test_a_draining_or_unreadable_server_gets_no_request(self):
        self.store.put("op", "config", configuration())
        leaving = self.add_backend("p1", "plain")
        self.add_backend("p2", "plain")
        self.store.put_raw("servers", "broken", b"{\"service\":7")
        gateway = self.start()
        self.store.put("servers", "p1", leaving.entry("plain", state="draining"))
        eventually(lambda: any(line["name"] == "server_gone"
                               for line in gateway.lines()))
        for attempt in range(6):
            gateway.call("/safe/x", request_id=f"r{attempt}")
        self.assertEqual(leaving.runs, [])
        self.assertTrue(any(line["name"] == "registration_unreadable"
                            for line in gateway.lines()))

    def test_a_leaving_server_is_known_where_the_store_is_out_of_reach(self):
        self.store.put("op", "config", configuration())
        backend = self.add_backend("p1", "plain")
        front = standin.Server(standin.StoreHandler, self.store)
        self.addCleanup(front.stop)
        self.start(name="gw1")
        cut_off = self.start(name="gw2", store_address=front.address)
        # Both have read of each other.
        eventually(lambda: [line for line in cut_off.lines()
                            if line["name"] == "instances_known"
                            and line["instances"] == "2"])
        eventually(lambda: [line for line in self.gateways[0].lines()
                            if line["name"] == "instances_known"
                            and line["instances"] == "2"])
        front.refuses = True
        entry = backend.entry("plain")
        entry["state"] = "draining"
        self.store.put("servers", "p1", entry)
        eventually(lambda: [line for line in cut_off.lines()
                            if line["name"] == "server_leaving"])

    def order_move(self, duration_s):
        """Starts a version beside the old one and asks for the move."""
        self.store.put("op", "config", configuration())
        self.add_backend("old", "plain")
        gateway = self.start()
        self.store.put("op", "rollout/plain", {
            "service": "plain", "to": "v2", "duration_s": duration_s})
        new = self.add_backend("new", "plain")
        self.store.put("servers", "new", new.entry("plain", version="v2"))
        eventually(lambda: self.store.get("status", "rollout/plain"))
        return gateway, new

    def send_until(self, gateway, state):
        """Sends requests from several callers until the move's status says so;
        returns their number."""
        deadline = time.monotonic() + MOVE_PATIENCE_S
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

    def test_a_good_version_is_moved_to_and_the_order_is_completed(self):
        gateway, new = self.order_move(duration_s=15)
        status = self.store.get("status", "rollout/plain")
        self.assertEqual((status["to"], status["state"]), ("v2", "in_progress"))
        self.send_until(gateway, "completed")
        runs = len(new.runs)
        gateway.call("/once/x", request_id="after")
        self.assertEqual(len(new.runs), runs + 1)

    def test_a_bad_version_is_taken_back_and_gets_nothing_more(self):
        gateway, new = self.order_move(duration_s=15)
        new.behave = ["fail"] * 100000
        sent = self.send_until(gateway, "reverted")
        self.assertLess(len(new.runs), 0.1 * sent + 50)
        runs = len(new.runs)
        for name in range(100):
            gateway.call("/once/x", request_id=f"after{name}")
        self.assertEqual(len(new.runs), runs)

    def test_keyed_requests_stop_when_the_store_is_silent_and_public_ones_go_on(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.down = True
        eventually(lambda: gateway.call("/safe/x")[0] == 503)
        self.assertEqual(gateway.call("/open/x", request_id="r2")[0], 200)
        self.store.down = False
        eventually(lambda: gateway.call("/safe/x", request_id="r3")[0] == 200)

    def test_connections_to_the_store_that_went_silent_are_replaced(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.silent = True
        eventually(lambda: not gateway.ready())
        self.store.silent = False
        eventually(gateway.ready)
        self.assertEqual(gateway.call("/safe/x")[0], 200)

    def test_a_change_is_in_force_after_history_was_lost(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        self.store.put("op", "other", {})
        self.store.put("op", "config", configuration(
            version=5, route_list=[route("new", "/new/", "safe", "plain")]))
        self.store.forget_history()
        eventually(lambda: gateway.call("/new/x")[0] == 200)
        self.store.put("op", "config", configuration(version=4))
        self.store.put("op", "config", configuration(version=6, route_list=[
            route("newer", "/newer/", "safe", "plain")]))
        eventually(lambda: gateway.call("/newer/x", request_id="r2")[0] == 200)
        self.assertEqual(gateway.call("/safe/x", request_id="r3")[0], 404)

    def test_usage_of_all_instances_is_reported_once_by_one_holder(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        second = self.start(name="gw2")
        eventually(lambda: len(self.store.keys("cowslipknot")) >= 4)
        eventually(lambda: any(line["name"] == "cluster_clock_set"
                               for line in second.lines()))
        eventually(lambda: any(line["name"] == "cluster_clock_set"
                               for line in first.lines()))
        sent = 0
        for gateway in (first, second):
            for number in range(5):
                eventually(lambda g=gateway, n=number:
                           g.call("/safe/x", request_id=f"{g.name}-{n}")[0] == 200)
                sent += 1

        def counted():
            return sum(call["counts"].get("tenant1", 0)
                       for call in self.cloud.usage) == sent

        eventually(counted)
        windows = [call["window"] for call in self.cloud.usage]
        self.assertEqual(len(windows), len(set(windows)))
        self.assertEqual(len({call["holder"] for call in self.cloud.usage}), 1)

    def test_a_lost_answer_of_the_store_neither_doubles_nor_loses_a_report(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        self.start()
        eventually(lambda: self.cloud.usage)
        self.store.lose_answers = 6
        seen = len(self.cloud.usage)
        eventually(lambda: len(self.cloud.usage) >= seen + 3)
        by_window = {}
        for call in self.cloud.usage:
            counts = by_window.setdefault(call["window"], call["counts"])
            self.assertEqual(counts, call["counts"])
        windows = sorted(by_window)
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))

    def test_another_instance_takes_over_with_a_higher_epoch(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        eventually(lambda: self.cloud.usage)
        self.start(name="gw2")
        first.stop()
        epoch = self.cloud.usage[-1]["epoch"]
        taken = eventually(lambda: [call for call in self.cloud.usage
                                    if call["holder"] == "gw2"])
        self.assertGreater(taken[0]["epoch"], epoch)

    def test_a_planned_stop_gives_the_lease_up(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        first = self.start(name="gw1")
        eventually(lambda: self.store.lease_holders[-1:] == ["gw1"])
        second = self.start(name="gw2")
        first.child.send_signal(signal.SIGTERM)
        eventually(lambda: self.store.lease_holders[-1:] == ["gw2"])
        self.assertIn("", self.store.lease_holders)
        self.assertEqual(second.child.poll(), None)

    def test_a_long_prompt_at_a_server_is_known_to_other_instances(self):
        self.store.put("op", "config", configuration())
        self.add_backend("m1", "model", events=1)
        self.add_backend("m2", "model", events=1)
        gateways = [self.start(name=name) for name in ("gw1", "gw2")]
        for gateway in gateways:
            eventually(lambda g=gateway: [line for line in g.lines()
                                          if line["name"] == "instances_known"
                                          and line["instances"] == "2"])
        tries = iter(range(1000))

        def avoided():
            """Whether many short prompts all miss the server of a long one."""
            name = f"t{next(tries)}"
            gateways[0].call("/stream/x", name, Cowslipknot_Token_Count="90000,8")
            for number in range(30):
                # Without a body, each is sent in one segment.
                gateways[1].call("/stream/x", f"{name}-{number}", method="GET",
                                 body=None, Cowslipknot_Token_Count="10,8")
            by_server = [{run["headers"]["Cowslipknot-Request-Id"]
                          for run in backend.runs}
                         for backend in self.backends.values()]
            long = [ids for ids in by_server if name in ids]
            return long and not any(f"{name}-{number}" in long[0]
                                    for number in range(30))

        eventually(avoided)

    def test_a_report_is_written_though_another_instance_takes_the_lease(self):
        self.store.rival_lease = True
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        self.start(name="gw1")

        def sequence():
            reports = [self.store.get("cowslipknot", key)["sequence"]
                       for key in self.store.keys("cowslipknot")
                       if key.startswith("report/gw1/")]
            return max(reports, default=0)

        # The lease is attempted from the second report on.
        eventually(lambda: sequence() >= 4)

    def test_a_limit_is_lent_to_the_instance_that_has_the_load(self):
        limited = [tenant("tenant1", "key1", rate_per_s=1000, burst=1000)]
        self.store.put("op", "config", configuration(tenants=limited))
        self.add_backend("m1", "model", events=1)
        gateways = [self.start(name=name) for name in ("gw1", "gw2", "gw3")]

        # Alone, an instance would have the whole limit.
        eventually(lambda: [line for line in gateways[0].lines()
                            if line["name"] == "instances_known"
                            and line["instances"] == "3"])
        # Its own part is then at most 0.4 of the limit with a tenth tolerated,
        # after what it had left of the burst and of one request.
        start = time.monotonic()
        served = []

        def more_than_its_own_part():
            size = {"Cowslipknot_Token_Count": "200,100"}
            if gateways[0].call("/stream/x", **size)[0] == 200:
                served.append(300)
            own = 0.4 * 1.1 * 1000 * (time.monotonic() - start) + 1000 + 300
            return sum(served) > own

        eventually(more_than_its_own_part)

    def test_a_planned_stop_finishes_what_is_in_flight(self):
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
        self.assertEqual(gateway.child.wait(timeout=PATIENCE_S), 0)

    def test_a_request_behind_an_answer_that_began_before_a_stop_is_not_begun(self):
        self.store.put("op", "config", configuration(route_list=[
            route("stream", "/stream/", "streaming", "model", timeout_ms=9000)]))
        self.add_backend("m1", "model", events=10, event_pause_s=0.4)
        gateway = self.start()
        ask = ("POST /stream/x HTTP/1.1\r\nHost: h.example\r\n"
               "Cowslipknot-Request-Id: {}\r\nAuthorization: Token key1\r\n"
               "Cowslipknot-Token-Count: 10,10\r\nContent-Length: 1\r\n\r\nx")
        with socket.create_connection(("127.0.0.1", gateway.port), 10) as caller:
            caller.sendall(ask.format("r1").encode())
            received = caller.recv(1)
            gateway.child.send_signal(signal.SIGTERM)
            eventually(lambda: not gateway.ready())
            caller.sendall(ask.format("r2").encode())
            while piece := caller.recv(65536):
                received += piece
        self.assertEqual(received.count(b"HTTP/1.1 200"), 1)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))
        self.assertEqual(self.ran("r2"), [])

    def test_a_new_connection_is_served_until_the_balancer_has_noticed_a_stop(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        gateway.child.send_signal(signal.SIGTERM)
        eventually(lambda: not gateway.ready())
        status, headers, _ = gateway.call("/safe/x")
        self.assertEqual(status, 200)
        self.assertEqual(headers["Connection"], "close")
        self.assertEqual(gateway.child.wait(timeout=PATIENCE_S), 0)

    def test_a_wrong_settings_file_is_reported_and_changes_nothing(self):
        self.store.put("op", "config", configuration())
        self.add_backend("p1", "plain")
        gateway = self.start()
        gateway.settings.write_text("[node]\nname = 7\n", encoding="utf-8")
        gateway.child.send_signal(signal.SIGHUP)
        eventually(lambda: any(line["name"] == "settings_rejected"
                               for line in gateway.lines()))
        self.assertEqual(gateway.call("/safe/x")[0], 200)

    def fleet(self, gateway, *options):
        return subprocess.run([BINARY, "fleet", "--config", gateway.settings, *options],
                              capture_output=True, text=True, timeout=60, check=False)

    def test_operators_see_what_the_store_says_of_all_gateways(self):
        self.store.put("op", "config", configuration(version=7))
        self.add_backend("p1", "plain")
        self.store.put_raw("servers", "broken", b"{\"service\":7")
        gateways = [self.start(name=name) for name in ("gw1", "gw2")]

        def status():
            shown = json.loads(self.fleet(gateways[0], "--output", "json").stdout)
            known = [row for row in shown["instances"] if row["revision"] == 7]
            return shown if len(known) == 2 and shown["lease"] else None

        shown = eventually(status)
        self.assertEqual(shown["revision"], 7)
        self.assertIn(shown["lease"]["holder"], ("gw1", "gw2"))
        self.assertEqual([row["server"] for row in shown["servers"]], ["p1"])
        self.assertEqual(shown["unreadable_rows"], 1)
        table = self.fleet(gateways[1])
        self.assertEqual(table.returncode, 0)
        self.assertIn("gw2", table.stdout)

    def test_operators_are_told_that_the_store_is_away(self):
        gateway = self.start(wait=False)
        self.store.down = True
        told = self.fleet(gateway)
        self.assertNotEqual(told.returncode, 0)
        self.assertIn("error", told.stderr)


if __name__ == "__main__":
    unittest.main()
