"""Tests that no server is given up for one that is gone, after the store was restored from a copy
that lacks the decision of a move while all gateways were killed."""

import threading
import time
import unittest

import fakes
from configuration_documents import configuration
from gateway_process import eventually
from platform_test_case import PlatformTestCase

DURATION_S = 8
MOVE_TIMEOUT_S = 2 * DURATION_S
CALLERS = 8
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 4  # after which the store has removed a registration
RECOVERY_S = 12.0
SERVED_S = 2.0


class Platform:
    """Writes the heartbeats of the servers, and ends servers by the status of a move."""

    def __init__(self, store):
        self.store = store
        self.servers = {}  # running, by name: (server, version)
        self.silent = {}  # heartbeats without a write, by name
        self.states = []  # of the move, in order
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def add(self, backend, version):
        self.servers[backend.name] = (backend, version)
        self.beat(backend, version)

    def beat(self, backend, version):
        self.store.put("servers", backend.name, backend.registration(
            "plain", version=version, slots=64, seq=time.monotonic_ns()))

    def stop(self, version):
        for name, (backend, of) in list(self.servers.items()):
            if of == version:
                del self.servers[name]
                backend.server.kill()
                self.store.delete("servers", name)

    def run(self):
        beat_at = time.monotonic()
        while not self.ended.wait(0.05):
            status = self.store.get("status", "rollout/plain")
            state = status and status["state"]
            if state and (not self.states or self.states[-1] != state):
                self.states.append(state)
                if state != "in_progress":
                    self.stop("v1" if state == "completed" else "v2")
            if time.monotonic() < beat_at:
                continue
            beat_at += HEARTBEAT_S
            for backend, version in list(self.servers.values()):
                self.beat(backend, version)
            for name in self.store.keys("servers"):
                self.silent[name] = 0 if name in self.servers else self.silent.get(name, 0) + 1
                if self.silent[name] >= SILENT_HEARTBEATS:
                    self.store.delete("servers", name)


class LostDecisionTest(PlatformTestCase):
    def setUp(self):
        super().setUp()
        self.store.put("op", "config", configuration())
        self.platform = Platform(self.store)
        self.gateways = []
        self.ended = threading.Event()
        self.numbers = iter(range(10**9))
        self.served = []  # when requests were served

    def add_server(self, version, **options):
        backend = fakes.Backend(f"server-{version}", **options)
        self.addCleanup(backend.server.stop)
        self.platform.add(backend, version)
        return backend

    def send(self, caller):
        while not self.ended.is_set():
            gateway = self.gateways[caller % len(self.gateways)]
            try:
                status = gateway.call("/safe/x", request_id=f"m{next(self.numbers)}")[0]
            except OSError:
                time.sleep(0.02)
                continue
            if status == 200:
                self.served.append(time.monotonic())
            else:
                time.sleep(0.02)

    def start_all(self):
        callers = [threading.Thread(target=self.send, args=(caller,))
                   for caller in range(CALLERS)]
        for number in range(2):
            self.gateways.append(self.start_gateway(name=f"gw{number}"))
        self.platform.thread.start()
        for caller in callers:
            caller.start()

        def stop():
            self.ended.set()
            self.platform.ended.set()
            for thread in (*callers, self.platform.thread):
                thread.join()

        self.addCleanup(stop)

    def write_order(self):
        self.store.put("op", "rollout/plain",
                       {"service": "plain", "to": "v2", "duration_s": DURATION_S})

    def decide_move(self, **new_server):
        """Returns copies of the store from before the order and from before the decision."""
        self.add_server("v1", answer_pause_s=0.02)
        self.start_all()
        time.sleep(4)  # the lease is held, and the usual times are known
        self.add_server("v2", **new_server)
        before = self.store.copy()
        self.write_order()
        eventually(lambda: "in_progress" in self.platform.states)
        running = self.store.copy()
        deadline = time.monotonic() + MOVE_TIMEOUT_S
        while len(self.platform.states) < 2 and time.monotonic() < deadline:
            time.sleep(0.05)
        time.sleep(1)
        return before, running

    def lose_decision(self, copy):
        """The store is restored from a copy while all gateways are killed."""
        self.store.down = True
        for gateway in self.gateways:
            gateway.child.kill()
            gateway.child.wait()
        time.sleep(0.5)
        self.store.restore(copy)
        self.store.down = False
        for gateway in self.gateways:
            gateway.start()

    def history(self):
        return "".join(gateway.history("move_step", "move_decision") for gateway in self.gateways)

    def assert_served(self):
        since = time.monotonic()
        time.sleep(SERVED_S)
        recent = [at for at in self.served if at >= since]
        self.assertGreater(len(recent), 20, self.history())

    def check_completed_again(self):
        time.sleep(RECOVERY_S)
        self.assert_served()
        eventually(lambda: self.platform.states[-1] == "completed")
        self.assertNotIn("reverted", self.platform.states, self.history())
        self.assert_served()

    # Guards against RECOVER of review/13: a completed move whose decision was lost was reverted
    # for want of results in time, so that the servers of neither version were left.
    def test_completed_move_is_not_reverted_once_the_old_servers_are_gone(self):
        _, running = self.decide_move(answer_pause_s=0.02)
        self.assertEqual(self.platform.states[-1], "completed", self.history())
        self.lose_decision(running)
        self.check_completed_again()

    # The same where the operator writes the order again, which is then younger than the store.
    def test_order_that_is_written_again_is_not_reverted_without_old_servers(self):
        before, _ = self.decide_move(answer_pause_s=0.02)
        self.assertEqual(self.platform.states[-1], "completed", self.history())
        self.lose_decision(before)
        time.sleep(1.5)
        self.write_order()
        eventually(lambda: self.platform.states[-1] == "in_progress")
        self.check_completed_again()

    # The same for the other decision, which has ended the servers of the new version.
    def test_reverted_move_is_not_completed_once_the_new_servers_are_gone(self):
        _, running = self.decide_move(answer_pause_s=0.15)
        self.assertEqual(self.platform.states[-1], "reverted", self.history())
        self.lose_decision(running)
        time.sleep(RECOVERY_S)
        self.assert_served()
        self.assertNotIn("completed", self.platform.states, self.history())


if __name__ == "__main__":
    unittest.main()
