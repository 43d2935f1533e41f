"""Tests that a call which an instance gives up cannot reach its receiver later."""

import socket
import threading
import time
import types
import unittest

from configuration_documents import configuration
from gateway_process import Gateway, eventually
from platform_test_case import PlatformTestCase
import fakes

CALL_TIMEOUT_S = 0.9  # of a call to the cloud
RELEASE_DELAY_S = 2.6  # after SIGTERM, while new connections still come
INSTANCES_STOPPED = 6  # each in another moment of its calls
STOP_STAGGER_S = 0.17
RECORDING_DELAY_S = 0.1  # of the threads of this process
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class SilentCloud:
    """Records calls that it does not answer, and how and when their connections end."""

    def __init__(self, silent=True):
        self.silent = silent
        self.answered = 0
        self.calls = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        host, port = self.listener.getsockname()
        self.server = types.SimpleNamespace(address=f"{host}:{port}")
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.read, args=(connection,), daemon=True).start()

    def read(self, connection):
        call = types.SimpleNamespace(arrived=time.monotonic(), ended=None, reset=False)
        try:
            while connection.recv(65536):
                if not self.silent:
                    self.answered += 1
                    connection.sendall(ANSWER)
                elif call not in self.calls:
                    call.arrived = time.monotonic()
                    self.calls.append(call)
        except ConnectionResetError:
            call.reset = True
        call.ended = time.monotonic()
        connection.close()

    def stop(self):
        self.listener.close()


class RecordingStore(fakes.Store):
    """Records when the lease was released."""

    def __init__(self):
        super().__init__()
        self.released_at = None

    def transact(self, change):
        applied = super().transact(change)
        if self.lease_holders and not self.lease_holders[-1] and not self.released_at:
            self.released_at = time.monotonic()
        return applied


class GivenUpCallTest(PlatformTestCase):
    def start_holder(self, number=0, silent=True):
        """Starts an instance with a store and a cloud of its own."""
        store = RecordingStore()
        self.addCleanup(store.server.stop)
        store.put("op", "config", configuration())
        backend = fakes.Backend("p1")
        self.addCleanup(backend.server.stop)
        store.put("servers", "p1", backend.registration("plain"))
        cloud = SilentCloud(silent)
        self.addCleanup(cloud.stop)
        gateway = Gateway(store, cloud, name=f"gw{number}")
        self.addCleanup(gateway.stop)
        return types.SimpleNamespace(store=store, cloud=cloud, gateway=gateway)

    # Guards against a report that a former holder of the lease has given up and that its
    # machine still delivers after those of its successor.
    def test_call_without_an_answer_is_reset(self):
        holder = self.start_holder()
        call = eventually(lambda: next(iter(holder.cloud.calls), None))
        eventually(lambda: call.ended)
        self.assertTrue(call.reset)
        self.assertLess(call.ended - call.arrived, CALL_TIMEOUT_S + 0.3)

    # Guards against the same for a process that is killed while a call is under way.
    def test_call_of_a_killed_process_is_reset(self):
        holder = self.start_holder()
        call = eventually(lambda: next(iter(holder.cloud.calls), None))
        holder.gateway.child.kill()
        eventually(lambda: call.ended)
        self.assertTrue(call.reset)

    # Guards against a call under way when the lease is released: a successor may act at once.
    def test_no_call_is_under_way_once_the_lease_is_released(self):
        holders = [self.start_holder(number, silent=False)
                   for number in range(INSTANCES_STOPPED)]
        for holder in holders:
            eventually(lambda: holder.cloud.answered >= 2)
        for holder in holders:
            holder.gateway.child.terminate()
            timer = threading.Timer(RELEASE_DELAY_S - CALL_TIMEOUT_S, setattr,
                                    (holder.cloud, "silent", True))
            timer.start()
            time.sleep(STOP_STAGGER_S)
        calls = 0
        for holder in holders:
            eventually(lambda: holder.store.released_at)
            holder.gateway.child.wait()
            for call in holder.cloud.calls:
                eventually(lambda: call.ended)
                self.assertTrue(call.reset)
                self.assertLess(call.ended, holder.store.released_at + RECORDING_DELAY_S)
                calls += 1
        self.assertGreater(calls, 0)


if __name__ == "__main__":
    unittest.main()
