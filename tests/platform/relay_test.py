"""Tests gateways of one failure domain, most of which follow a relay instead of reading
the store."""

import signal
import time
import unittest

import fakes
from configuration_documents import configuration, tenant
from gateway_process import Gateway, eventually
from platform_test_case import PlatformTestCase

INSTANCES = 6
APPLY_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
RELAYS = ("gw0", "gw1")  # those that started first
RELAY_TIMEOUT_MS = 650  # from a follower's request until its relay counts as lost
RELAY_RETRY_MS = 3000  # until a lost relay is asked again
PAUSE_OF_RELAYS_S = 1.5  # longer than the time-outs of both, one after the other
SETTLING_MS = 1500  # of calls under way when an instance begins to follow
STEADY_MS = 4000
USAGE_DUE_S = 10  # the platform's; a killed holder of the lease is replaced within 7 s


class RelayTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.backends = {}
        for name in ("p1", "p2"):
            self.backends[name] = self.start_backend(name)
        self.links = {}  # name: this gateway's address of the store
        self.gateways = []
        for number in range(INSTANCES):
            self.start(f"gw{number}")
        eventually(lambda: len(self.followers()) >= INSTANCES - 3)

    def start(self, name):
        link = fakes.Server(fakes.StoreHandler, self.store)
        self.addCleanup(link.stop)
        self.links[name] = link
        gateway = self.start_gateway(name=name, store_address=link.address,
                                     bounds={"usage_due_s": USAGE_DUE_S})
        self.gateways.append(gateway)
        return gateway

    @staticmethod
    def relay_of(gateway):
        """The name of the relay that a gateway follows; none if it reads the store."""
        relay = None
        for event in gateway.log_events():
            if event["name"] == "relay_followed":
                relay = event["relay"]
            elif event["name"] == "relay_left":
                relay = None
        return relay

    def followers(self):
        return [gateway for gateway in self.gateways if self.relay_of(gateway)]

    def followed_relay(self):
        names = [self.relay_of(gateway) for gateway in self.followers()]
        name = max(set(names), key=names.count)
        return next(gateway for gateway in self.gateways if gateway.name == name)

    def assert_within(self, bound_s, condition):
        started = time.monotonic()
        eventually(condition)
        self.assertLess(time.monotonic() - started, bound_s)

    @staticmethod
    def spans_of_following(gateway):
        """When a gateway followed relays: (start, end) in ms; end is None for the last one
        if it still does."""
        spans = []
        for event in gateway.log_events():
            if event["name"] == "relay_left":
                spans[-1] = (spans[-1][0], event["time_ms"])
            elif event["name"] == "relay_followed" and (not spans or spans[-1][1]):
                spans.append((event["time_ms"], None))
        return spans

    def follows_for(self, gateway, duration_ms):
        """Whether it has followed relays without an interruption for so long."""
        spans = self.spans_of_following(gateway)
        return spans and spans[-1][1] is None and (
            time.time() * 1000 - spans[-1][0] >= duration_ms)

    def assert_no_calls_while_following(self, gateway):
        calls = self.links[gateway.name].store_calls
        now = time.time() * 1000
        for start, end in self.spans_of_following(gateway):
            during = [call for call in calls
                      if start + SETTLING_MS <= call[0] < (end or now)]
            self.assertEqual(during, [], f"{gateway.name}: {self.history()}")

    def assert_left_late_relays_only(self, gateway, since_ms):
        """Checks that it left its relays only when all were lost, each since it was late."""
        lost = {}
        for event in gateway.log_events():
            if event["name"] == "relay_lost":
                lost[event["relay"]] = event["time_ms"]
                is_late = int(event["after_ms"]) >= RELAY_TIMEOUT_MS
                self.assertTrue(is_late or "lost the store" in event["detail"], event)
            elif event["name"] == "relay_left" and event["time_ms"] >= since_ms:
                recent = [relay for relay, time_ms in lost.items()
                          if event["time_ms"] - time_ms < RELAY_RETRY_MS]
                self.assertEqual(len(recent), 2, f"{gateway.name}: {self.history()}")

    def assert_followers_do_not_call_the_store(self, followers, since_ms):
        try:
            eventually(lambda: all(self.follows_for(gateway, SETTLING_MS + STEADY_MS)
                                   for gateway in followers))
        except AssertionError as error:
            raise AssertionError(self.history()) from error
        for gateway in followers:
            self.assert_no_calls_while_following(gateway)
            self.assert_left_late_relays_only(gateway, since_ms)
            now = time.time() * 1000
            followed_ms = sum(max(0, (end or now) - max(start, since_ms))
                              for start, end in self.spans_of_following(gateway))
            self.assertGreater(followed_ms, (now - since_ms) / 2, self.history())

    def settled_followers(self):
        # An instance that reads the store may take a lease that nobody holds.
        eventually(lambda: self.store.lease_holders)

        def settled():
            found = [gateway for gateway in self.gateways
                     if self.follows_for(gateway, SETTLING_MS)]
            return found if len(found) >= INSTANCES - 3 else None
        return eventually(settled)

    def test_followers_do_not_call_the_store(self):
        followers = self.settled_followers()
        before = {name: len(link.store_calls) for name, link in self.links.items()}
        time.sleep(STEADY_MS / 1000)
        calls = {name: link.store_calls[before[name]:]
                 for name, link in self.links.items()}
        for gateway in followers:
            self.assertEqual(calls[gateway.name], [], self.history())

    # Guards against followers that go on reading the store when their relays respond again.
    def test_followers_whose_relays_were_late_follow_them_again(self):
        followers = self.settled_followers()
        relays = [gateway for gateway in self.gateways if gateway.name in RELAYS]
        since_ms = time.time() * 1000
        for relay in relays:
            self.pause(relay)
        time.sleep(PAUSE_OF_RELAYS_S)
        for relay in relays:
            relay.child.send_signal(signal.SIGCONT)
            relay.paused = False
        for gateway in followers:
            eventually(lambda g=gateway: any(
                event["name"] == "relay_left" and event["time_ms"] >= since_ms
                for event in g.log_events()))
        self.assert_followers_do_not_call_the_store(followers, since_ms)

    def history(self):
        return "".join(gateway.history("relay_", "platform_", "lease_", "instances_")
                       for gateway in self.gateways)

    def test_configuration_change_applies_everywhere(self):
        self.store.put("op", "config", configuration(
            version=2, tenants=[tenant("tenant1", "key2")]))
        self.assert_within(APPLY_BOUND_S, lambda: all(
            gateway.call("/safe/x")[0] == 401 for gateway in self.gateways))
        for gateway in self.gateways:
            self.assertEqual(gateway.call("/safe/x", Authorization="Token key2")[0], 200)

    def drain(self, name):
        self.store.put("servers", name,
                       self.backends[name].registration("plain", state="draining"))

    def assert_no_request_reaches(self, name):
        before = len(self.backends[name].requests)
        for gateway in self.gateways:
            if gateway.child.poll() is not None or gateway.paused:
                continue
            for number in range(6):
                gateway.call("/safe/x", request_id=f"{gateway.name}.{number}")
        self.assertEqual(len(self.backends[name].requests), before, self.history())

    def test_leaving_server_gets_no_request(self):
        self.drain("p1")
        time.sleep(DRAIN_BOUND_S)
        self.assert_no_request_reaches("p1")

    # Guards against followers that take a leaving server back from their relay's update.
    def test_server_that_tells_one_instance_that_it_leaves_gets_no_request_of_followers(self):
        eventually(lambda: all(gateway.known_instances() == INSTANCES
                               for gateway in self.gateways))
        leaving = self.backends["p1"]
        leaving.leaving = True
        told = self.followers()[0]
        eventually(lambda: told.call("/safe/x")[0] == 200 and leaving.requests)
        time.sleep(DRAIN_BOUND_S)
        self.assert_no_request_reaches("p1")
        # A late registration of the same process and a new server cause updates.
        self.store.put("servers", "p1", leaving.registration("plain", seq=2))
        added = fakes.Backend("p3")
        self.addCleanup(added.server.stop)
        self.store.put("servers", "p3", added.registration("plain"))
        eventually(lambda: all(
            any(event["name"] == "server_registered" and event["server"] == "p3"
                for event in gateway.log_events()) for gateway in self.gateways))
        self.assert_no_request_reaches("p1")

    def pause(self, gateway):
        gateway.child.send_signal(signal.SIGSTOP)
        gateway.paused = True
        self.addCleanup(gateway.child.send_signal, signal.SIGCONT)

    def test_paused_relay_delays_no_change_past_its_bound(self):
        relay = self.followed_relay()
        self.pause(relay)
        others = [gateway for gateway in self.gateways if gateway is not relay]
        self.drain("p1")
        self.store.put("op", "config", configuration(
            version=2, tenants=[tenant("tenant1", "key2")]))
        changed = time.monotonic()
        for gateway in others:
            eventually(lambda g=gateway: g.call("/safe/x")[0] == 401)
        self.assertLess(time.monotonic() - changed, APPLY_BOUND_S)
        time.sleep(max(0.0, changed + DRAIN_BOUND_S - time.monotonic()))
        before = len(self.backends["p1"].runs)
        for gateway in others:
            for number in range(6):
                gateway.call("/safe/x", request_id=f"{gateway.name}.{number}",
                             Authorization="Token key2")
        self.assertEqual(len(self.backends["p1"].runs), before)

    def test_relay_without_the_store_delays_no_change_past_its_bound(self):
        relay = self.followed_relay()
        self.links[relay.name].rejects_calls = True
        self.store.put("op", "config", configuration(
            version=2, tenants=[tenant("tenant1", "key2")]))
        others = [gateway for gateway in self.gateways if gateway is not relay]
        self.assert_within(APPLY_BOUND_S, lambda: all(
            gateway.call("/safe/x")[0] == 401 for gateway in others))

    def test_resumed_relay_does_not_bring_an_old_state_back(self):
        relay = self.followed_relay()
        self.pause(relay)
        self.drain("p1")
        self.store.put("op", "config", configuration(
            version=2, tenants=[tenant("tenant1", "key2")]))
        others = [gateway for gateway in self.gateways if gateway is not relay]
        for gateway in others:
            eventually(lambda g=gateway: g.call("/safe/x")[0] == 401)
        time.sleep(DRAIN_BOUND_S)
        relay.child.send_signal(signal.SIGCONT)
        relay.paused = False
        before = len(self.backends["p1"].runs)
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline:
            for gateway in others:
                self.assertEqual(gateway.call("/safe/x")[0], 401)
                gateway.call("/safe/x", Authorization="Token key2")
        self.assertEqual(len(self.backends["p1"].runs), before)

    def test_usage_of_followers_is_reported_although_their_relay_dies(self):
        eventually(lambda: self.cloud.usage)
        for gateway in self.gateways:
            eventually(lambda g=gateway: any(event["name"] == "cluster_clock_set"
                                             for event in g.log_events()))
        relay = self.followed_relay()
        others = [gateway for gateway in self.gateways if gateway is not relay]
        sent = 0
        for number in range(4):
            for gateway in others:
                self.assertEqual(gateway.call("/safe/x", request_id=f"u{sent}")[0], 200)
                sent += 1
            if number == 1:
                relay.child.kill()
                relay.child.wait()
        self.assert_usage_reported(sent)

    def assert_usage_reported(self, sent):
        """Waits until the windows' reports count all requests. A report may be repeated
        exactly, which the platform ignores."""
        def counted():
            by_window = {}
            for call in list(self.cloud.usage):
                counts = by_window.setdefault(call["window"], call["counts"])
                self.assertEqual(counts, call["counts"], call)
            return sum(counts.get("tenant1", 0) for counts in by_window.values())
        try:
            eventually(lambda: counted() == sent)
        except AssertionError as error:
            raise AssertionError(f"{counted()} of {sent} counted: {self.cloud.usage}"
                                 f"{self.history()}") from error

    # Guards against a report that is changed when its holder did not survive its answer.
    def test_usage_report_is_repeated_exactly_after_its_holder_died(self):
        eventually(lambda: self.cloud.usage)
        for gateway in self.gateways:
            eventually(lambda g=gateway: any(event["name"] == "cluster_clock_set"
                                             for event in g.log_events()))
        killed = []

        def kill_holder(call):
            if killed or not call["counts"]:
                return
            killed.append(call)
            holder = next(gateway for gateway in self.gateways
                          if gateway.name == call["holder"])
            holder.child.kill()
            holder.child.wait()
        self.cloud.on_usage = kill_holder
        holder = self.cloud.usage[-1]["holder"]
        others = [gateway for gateway in self.gateways if gateway.name != holder]
        for number, gateway in enumerate(others):
            self.assertEqual(gateway.call("/safe/x", request_id=f"u{number}")[0], 200)
        eventually(lambda: killed)
        eventually(lambda: [call for call in self.cloud.usage if call["holder"] != holder
                            and call["window"] == killed[0]["window"]])
        self.assert_usage_reported(len(others))

    # Guards against instances that follow a relay before they know the shared time, and
    # then count no request.
    def test_usage_of_instances_that_start_together_is_reported(self):
        store = fakes.Store()
        self.addCleanup(store.server.stop)
        store.put("op", "config", configuration())
        store.put("servers", "p1", self.backends["p1"].registration("plain"))
        cloud = fakes.Cloud()
        self.addCleanup(cloud.server.stop)
        gateways = [Gateway(store, cloud, name=f"new{number}")
                    for number in range(INSTANCES)]
        for gateway in gateways:
            self.addCleanup(gateway.stop)
        for gateway in gateways:
            eventually(gateway.ready)
        eventually(lambda: cloud.usage)
        for number, gateway in enumerate(gateways):
            self.assertEqual(gateway.call("/safe/x", request_id=f"n{number}")[0], 200)
        eventually(lambda: sum(call["counts"].get("tenant1", 0)
                               for call in cloud.usage) == INSTANCES)

    def test_stopped_follower_writes_its_last_counts(self):
        eventually(lambda: self.cloud.usage)
        holder = self.cloud.usage[-1]["holder"]
        follower = next(gateway for gateway in self.followers()
                        if gateway.name != holder)
        self.assertEqual(follower.call("/safe/x")[0], 200)
        follower.child.send_signal(signal.SIGTERM)
        eventually(lambda: sum(call["counts"].get("tenant1", 0)
                               for call in self.cloud.usage) == 1)


if __name__ == "__main__":
    unittest.main()
