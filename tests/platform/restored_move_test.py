"""Tests that the result of a move outlasts a restore of the store from a copy that was made
before the move ended."""

import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

DURATION_S = 15
MOVE_TIMEOUT_S = 2 * DURATION_S
CALLERS = 8
SETTLE_S = 2.0  # until each gateway has applied a decision
LOST_S = 1.5  # until the operator writes a lost order again
STATUS_TIMEOUT_S = 8.0  # covers a lease that passes to another gateway
# Leaves time for a lease that passes to another gateway.
LONG_DURATION_S = 30


class RestoredMoveTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.gateways = []
        self.ended = threading.Event()
        self.numbers = iter(range(10**9))

    def add_backend(self, name, version, **options):
        backend = fakes.Backend(name, **options)
        self.addCleanup(backend.server.stop)
        self.store.put("servers", name, backend.registration(
            "plain", version=version, slots=64))
        return backend

    def start(self, name):
        gateway = self.start_gateway(name=name)
        self.gateways.append(gateway)
        return gateway

    def start_callers(self):
        def send(caller):
            while not self.ended.is_set():
                try:
                    gateways = list(self.gateways)
                    gateways[caller % len(gateways)].call(
                        "/safe/x", request_id=f"m{next(self.numbers)}")
                except OSError:
                    pass

        callers = [threading.Thread(target=send, args=(caller,)) for caller in range(CALLERS)]
        for caller in callers:
            caller.start()

        def stop():
            self.ended.set()
            for caller in callers:
                caller.join()

        self.addCleanup(stop)

    def state(self):
        status = self.store.get("status", "rollout/plain")
        return status and status["state"]

    def move_row(self):
        return self.store.get("cowslipknot", "move/plain")

    def write_order(self, duration_s=DURATION_S, to="v2"):
        self.store.put("op", "rollout/plain", {
            "service": "plain", "to": to, "duration_s": duration_s})

    def decide_move(self, **new_server):
        """Carries out a move. Returns the servers of both versions and copies of the store
        from before the order and from before the decision."""
        old = self.add_backend("old", "v1", answer_pause_s=0.02)
        self.start("gw0")
        self.start("gw1")
        self.start_callers()
        time.sleep(2)  # the usual times become known
        new = self.add_backend("new", "v2", **new_server)
        before = self.store.copy()
        self.write_order()
        eventually(lambda: self.state() == "in_progress")
        running = self.store.copy()
        deadline = time.monotonic() + MOVE_TIMEOUT_S
        while self.state() == "in_progress" and time.monotonic() < deadline:
            time.sleep(0.05)
        return old, new, before, running

    def assert_state_again(self, state):
        deadline = time.monotonic() + STATUS_TIMEOUT_S
        while self.state() != state and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertEqual(self.state(), state)

    def check_result_outlasts_restores(self, state, unused, before, running):
        self.assertEqual(self.state(), state)
        time.sleep(SETTLE_S)
        runs = len(unused.runs)
        self.store.restore(running)
        self.assert_state_again(state)
        time.sleep(SETTLE_S)
        self.assertEqual(len(unused.runs), runs, "with the order in the copy")
        self.store.restore(before)
        time.sleep(LOST_S)
        self.write_order()
        self.assert_state_again(state)
        time.sleep(SETTLE_S)
        self.assertEqual(len(unused.runs), runs, "with the order written again")
        self.assertEqual(self.state(), state)

    # Guards against a completed move that begins anew: traffic returns to the old version.
    def test_completed_move_stays_completed(self):
        old, _, before, running = self.decide_move(answer_pause_s=0.02)
        self.check_result_outlasts_restores("completed", old, before, running)

    # Guards against a bad version that is tried again after its move was reverted.
    def test_reverted_move_stays_reverted(self):
        _, new, before, running = self.decide_move(answer_pause_s=0.15)
        self.check_result_outlasts_restores("reverted", new, before, running)

    # Guards against a bad version that is tried again since the copy has the move before.
    def test_reverted_move_stays_reverted_after_an_earlier_one(self):
        self.decide_move(answer_pause_s=0.02)
        self.assertEqual(self.state(), "completed")
        bad = self.add_backend("bad", "v3", answer_pause_s=0.15)
        time.sleep(SETTLE_S)
        before = self.store.copy()
        self.write_order(to="v3")
        eventually(lambda: self.state() == "in_progress")
        eventually(lambda: self.state() == "reverted")
        time.sleep(SETTLE_S)
        runs = len(bad.runs)
        self.store.restore(before)
        time.sleep(LOST_S)
        self.write_order(to="v3")
        self.assert_state_again("reverted")
        time.sleep(SETTLE_S)
        self.assertEqual(len(bad.runs), runs)

    # Guards against a move that begins anew, with a new deadline, while it is undecided.
    def test_undecided_move_goes_on(self):
        self.add_backend("old", "v1", answer_pause_s=0.02)
        self.start("gw0")
        self.start("gw1")
        self.start_callers()
        time.sleep(2)  # the usual times become known
        self.add_backend("new", "v2", answer_pause_s=0.02)
        before = self.store.copy()
        self.write_order(LONG_DURATION_S)
        ordered = time.monotonic()
        while not self.move_row() or self.move_row()["reason"] == "trial":
            self.assertLess(time.monotonic() - ordered, LONG_DURATION_S)
            time.sleep(0.05)
        started, share = (self.move_row()[name] for name in ("started_ms", "share"))
        self.store.restore(before)
        time.sleep(LOST_S)
        self.write_order(LONG_DURATION_S)
        row = eventually(self.move_row)
        self.assertEqual(row["started_ms"], started)
        self.assertGreaterEqual(row["share"], share)
        while (self.state() in (None, "in_progress")
               and time.monotonic() - ordered < 2 * LONG_DURATION_S):
            time.sleep(0.05)
        self.assertLess(time.monotonic() - ordered, LONG_DURATION_S)
        self.assertEqual(self.state(), "completed")

    # Guards against a decision that is taken back since a process that started after the
    # restore comes to hold the lease.
    def test_decision_outlasts_the_lease_holder(self):
        old, _, before, _ = self.decide_move(answer_pause_s=0.02)
        self.assertEqual(self.state(), "completed")
        time.sleep(SETTLE_S)
        holder = self.gateways[[self.holds_lease(gateway)
                                for gateway in self.gateways].index(True)]
        self.gateways.remove(holder)
        holder.child.kill()
        self.store.restore(before)
        late = self.start("late")
        time.sleep(LOST_S)
        runs = len(old.runs)
        for number in range(40):
            late.call("/safe/x", request_id=f"late{number}")
        self.assertEqual(len(old.runs), runs, "before the order is written again")
        self.write_order()
        self.assert_state_again("completed")
        time.sleep(STATUS_TIMEOUT_S)
        self.assertEqual(self.state(), "completed")

    @staticmethod
    def holds_lease(gateway):
        names = [event["name"] for event in gateway.log_events()
                 if event["name"] in ("lease_taken", "lease_lost")]
        return bool(names) and names[-1] == "lease_taken"


if __name__ == "__main__":
    unittest.main()
